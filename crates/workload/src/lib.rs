//! What clients ask and when, drawn from a file and a seed. Arrivals are open-loop: none waits for an answer, so that a
//! slow service can't hide the load it should have borne. The lab and loopback play the same list.

use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tackmast_config::{ConfigError, Document, Place};

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Whole {
    seconds: f64,
    seed: u64,
}

/// One kind of asking: its volume, its pace, its sizes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    #[serde(skip)]
    pub name: String,
    pub volume: String,
    /// Requests a second over all hosts, outside surges.
    pub rate: f64,
    /// Part of them that writes.
    #[serde(default)]
    pub writes: f64,
    /// Least and most blocks of one, all alike likely.
    pub blocks: (u32, u32),
    /// So many of a thousand ask for that many blocks instead.
    #[serde(default)]
    pub large: Option<(f64, u32)>,
    /// Blocks of the volume that are asked for, from its start.
    pub span: u64,
    /// Surges: when, for how long, and times the rate.
    #[serde(default)]
    pub surges: Vec<(f64, f64, f64)>,
    /// Part of the load that one host gets beside its even part, and the seconds after which that is the next host.
    #[serde(default)]
    pub busiest: Option<(f64, f64)>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub seconds: f64,
    pub seed: u64,
    pub flows: Vec<Flow>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Microseconds from the start.
    pub at_us: u64,
    pub host: u32,
    pub flow: usize,
    pub write: bool,
    pub block: u64,
    pub blocks: u32,
}

impl Load {
    /// The load that a file holds.
    pub fn read(path: &std::path::Path) -> Result<Load, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError {
            file: file.clone(),
            line: 0,
            place: "file".into(),
            problem: format!("{e}; expected the file of a load"),
        })?;
        Load::parse(&file, &text)
    }

    /// Checks a text; an error names the place, what was found and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Load, ConfigError> {
        let doc = Document::parse(file, text)?;
        doc.require_known_blocks(&["load", "flow"])?;
        let whole: Whole = doc.block("load")?;
        let mut flows = Vec::new();
        for f in doc.labelled_blocks::<Flow>("flow")? {
            let within = |field: &str, x: f64, least: f64, most: f64| match x >= least && x <= most {
                true => Ok(()),
                false => {
                    let at = Place { kind: "flow", label: &f.label, name: field };
                    Err(doc.error_for(&at, x, &format!("a number from {least} to {most}")))
                }
            };
            let v = &f.value;
            within("rate", v.rate, 0.001, 1e6)?;
            within("writes", v.writes, 0.0, 1.0)?;
            within("blocks", f64::from(v.blocks.0), 1.0, f64::from(v.blocks.1))?;
            within("span", v.span as f64, f64::from(v.blocks.1.max(v.large.map_or(0, |l| l.1))), 1e15)?;
            if let Some((part, _)) = v.large {
                within("large", part, 0.0, 1000.0)?;
            }
            for (at, long, times) in &v.surges {
                within("surges", *at, 0.0, 86_400.0)?;
                within("surges", *long, 0.0, 86_400.0)?;
                within("surges", *times, 0.0, 1000.0)?;
            }
            if let Some((part, seconds)) = v.busiest {
                within("busiest", part, 0.0, 1.0)?;
                within("busiest", seconds, 0.01, 86_400.0)?;
            }
            flows.push(Flow { name: f.label, ..f.value });
        }
        if !(whole.seconds > 0.0 && whole.seconds <= 86_400.0) {
            let place = Place { kind: "load", label: "", name: "seconds" };
            return Err(doc.error_for(&place, whole.seconds, "a number above 0, up to 86400"));
        }
        Ok(Load { seconds: whole.seconds, seed: whole.seed, flows })
    }

    /// All arrivals in order of time, for so many hosts; the same for the same seed.
    pub fn arrivals(&self, hosts: u32) -> Arrivals<'_> {
        let mut next = BinaryHeap::new();
        let mut chances = Vec::new();
        for (i, f) in self.flows.iter().enumerate() {
            let mut chance = oorandom::Rand64::new(u128::from(self.seed) << 16 | i as u128);
            next.push(Reverse((gap_us(&mut chance, f.most()), i)));
            chances.push(chance);
        }
        Arrivals { load: self, hosts: hosts.max(1), next, chances }
    }
}

impl Flow {
    /// Times the rate at that moment.
    fn times(&self, at_s: f64) -> f64 {
        let on = self.surges.iter().filter(|(at, long, _)| at_s >= *at && at_s < at + long);
        on.map(|s| s.2).product()
    }

    /// The highest rate there is, for thinning.
    fn most(&self) -> f64 {
        self.rate * self.surges.iter().map(|s| s.2.max(1.0)).product::<f64>()
    }
}

fn gap_us(chance: &mut oorandom::Rand64, rate: f64) -> u64 {
    (-(1.0 - chance.rand_float()).ln() / rate * 1e6) as u64 + 1
}

pub struct Arrivals<'a> {
    load: &'a Load,
    hosts: u32,
    next: BinaryHeap<Reverse<(u64, usize)>>,
    chances: Vec<oorandom::Rand64>,
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let Reverse((at_us, flow)) = self.next.pop()?;
            let at_s = at_us as f64 / 1e6;
            if at_s >= self.load.seconds {
                continue;
            }
            let (f, chance) = (&self.load.flows[flow], &mut self.chances[flow]);
            self.next.push(Reverse((at_us + gap_us(chance, f.most()), flow)));
            // Drawn whether it counts or not, so that a surge moves no other arrival.
            let draws: [f64; 5] = std::array::from_fn(|_| chance.rand_float());
            if draws[0] * f.most() >= f.rate * f.times(at_s) {
                continue;
            }
            let host = match f.busiest {
                Some((part, every)) if draws[1] < part => (at_s / every) as u32 % self.hosts,
                Some((part, _)) => ((draws[1] - part) / (1.0 - part) * f64::from(self.hosts)) as u32,
                None => (draws[1] * f64::from(self.hosts)) as u32,
            };
            let (least, most) = f.blocks;
            let usual = least + (draws[2] * f64::from(most - least + 1)) as u32;
            let large = f.large.filter(|(part, _)| draws[3] * 1000.0 < *part);
            let blocks = large.map_or(usual, |(_, blocks)| blocks);
            let write = draws[4] < f.writes;
            let block = chance.rand_range(0..f.span - u64::from(blocks) + 1);
            return Some(Arrival { at_us, host: host.min(self.hosts - 1), flow, write, block, blocks });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LOAD: &str = r#"
load {
  seconds = 20
  seed = 3
}
flow "readers" {
  volume = "museum"
  rate = 200
  writes = 0.25
  blocks = [1, 8]
  large = [10, 64]
  span = 1000
  surges = [[5, 5, 3]]
  busiest = [0.5, 2]
}
flow "savers" {
  volume = "school"
  rate = 50
  writes = 1
  blocks = [4, 4]
  span = 100
}
"#;

    #[test]
    fn arrivals_are_as_the_file_says() {
        let load = Load::parse("l.hcl", LOAD).unwrap();
        let all: Vec<Arrival> = load.arrivals(4).collect();
        assert_eq!(all, load.arrivals(4).collect::<Vec<_>>());
        assert!(all.windows(2).all(|w| w[0].at_us <= w[1].at_us));
        let count = |f: &dyn Fn(&Arrival) -> bool| all.iter().filter(|a| f(a)).count() as f64;
        // What is counted, of how many, the least and the most part of them.
        let readers = count(&|a| a.flow == 0);
        for (name, found, of, low, high) in [
            ("readers", readers, 200.0 * 30.0, 0.95, 1.05),
            ("savers", count(&|a| a.flow == 1), 1000.0, 0.9, 1.1),
            (
                "surge",
                count(&|a| a.flow == 0 && (5_000_000..10_000_000).contains(&a.at_us)),
                3000.0,
                0.95,
                1.05,
            ),
            ("writes", count(&|a| a.flow == 0 && a.write), readers, 0.22, 0.28),
            ("large", count(&|a| a.blocks == 64), readers, 0.006, 0.014),
            (
                "busiest",
                count(&|a| a.flow == 0 && a.host == (a.at_us / 2_000_000) as u32 % 4),
                readers,
                0.6,
                0.65,
            ),
            ("outside", count(&|a| a.block + u64::from(a.blocks) > [1000, 100][a.flow]), 1.0, 0.0, 0.0),
        ] {
            assert!((low..=high).contains(&(found / of)), "{name}: {found} of {of}");
        }
    }

    #[test]
    fn wrong_files_get_one_clear_error() {
        for (from, to, expected) in [
            (
                "rate = 200",
                "rate = 0",
                "l.hcl:8: flow \"readers\" rate: 0; expected a number from 0.001 to 1000000",
            ),
            (
                "seconds = 20",
                "seconds = -1",
                "l.hcl:3: load seconds: -1; expected a number above 0, up to 86400",
            ),
            (
                "span = 100\n",
                "span = 3\n",
                "l.hcl:21: flow \"savers\" span: 3; expected a number from 4 to 1000000000000000",
            ),
        ] {
            let text = LOAD.replacen(from, to, 1);
            assert_eq!(Load::parse("l.hcl", &text).unwrap_err().to_string(), expected);
        }
        assert!(Load::parse("l.hcl", &LOAD.replace("writes", "wrotes")).is_err());
    }
}
