//! Reads and checks the file of a workload.

use crate::{Arrivals, Flow};
use serde::Deserialize;
use std::path::Path;
use tackmast_config::{read_text, ConfigError, Document, Place};

/// Seconds that a workload, and each time in it, may have at most.
const MAX_SECONDS: f64 = 86_400.0;
/// Seconds until the next host is the busiest, at least.
const MIN_BUSIEST_PERIOD_S: f64 = 0.01;
/// Requests a second of a flow, at least and at most.
const RATES: (f64, f64) = (0.001, 1e6);
/// Blocks of a volume that a flow may request from at most.
const MAX_SPAN: f64 = 1e15;
/// How many times the rate a surge may be at most.
const MAX_SURGE_FACTOR: f64 = 1000.0;

/// The `load` block of a file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadBlock {
    seconds: f64,
    seed: u64,
}

/// What clients request, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Its length in seconds.
    pub seconds: f64,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// The kinds of requests.
    pub flows: Vec<Flow>,
}

impl Workload {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Workload, ConfigError> {
        let text = read_text(path, "the file of a load")?;
        Workload::parse(&path.display().to_string(), &text)
    }

    /// Checks a text; an error names the place, what was found and what was expected.
    pub fn parse(file: &str, text: &str) -> Result<Workload, ConfigError> {
        let document = Document::parse(file, text)?;
        document.require_known_blocks(&["load", "flow"])?;
        let load: LoadBlock = document.block("load")?;
        let mut flows = Vec::new();
        for block in document.labelled_blocks::<Flow>("flow")? {
            let flow = Flow { name: block.label, ..block.value };
            FlowCheck { document: &document, flow: &flow }.run()?;
            flows.push(flow);
        }
        if !(load.seconds > 0.0 && load.seconds <= MAX_SECONDS) {
            let place = Place { kind: "load", label: "", name: "seconds" };
            return Err(document.error_for(&place, load.seconds, "a number above 0, up to 86400"));
        }
        Ok(Workload { seconds: load.seconds, seed: load.seed, flows })
    }

    /// All requests in order of time, for so many hosts; they depend on the file and the seed alone.
    pub fn arrivals(&self, host_count: u32) -> Arrivals<'_> {
        Arrivals::new(self, host_count)
    }
}

/// Checks the numbers of a flow.
struct FlowCheck<'a> {
    document: &'a Document,
    flow: &'a Flow,
}

impl FlowCheck<'_> {
    fn run(&self) -> Result<(), ConfigError> {
        let flow = self.flow;
        let max_blocks = f64::from(flow.blocks.max);
        let largest = flow.blocks.max.max(flow.large.map_or(0, |large| large.blocks));
        self.within("rate", flow.rate, RATES)?;
        self.within("writes", flow.writes, (0.0, 1.0))?;
        self.within("blocks", f64::from(flow.blocks.min), (1.0, max_blocks))?;
        self.within("span", flow.span as f64, (f64::from(largest), MAX_SPAN))?;
        if let Some(large) = flow.large {
            self.within("large", large.per_thousand, (0.0, 1000.0))?;
        }
        for surge in &flow.surges {
            self.within("surges", surge.start_s, (0.0, MAX_SECONDS))?;
            self.within("surges", surge.duration_s, (0.0, MAX_SECONDS))?;
            self.within("surges", surge.factor, (0.0, MAX_SURGE_FACTOR))?;
        }
        if let Some(busiest) = flow.busiest {
            self.within("busiest", busiest.share, (0.0, 1.0))?;
            self.within("busiest", busiest.period_s, (MIN_BUSIEST_PERIOD_S, MAX_SECONDS))?;
        }
        Ok(())
    }

    /// Checks a number against its least and greatest value.
    fn within(&self, field: &str, number: f64, (min, max): (f64, f64)) -> Result<(), ConfigError> {
        if number >= min && number <= max {
            return Ok(());
        }
        let place = Place { kind: "flow", label: &self.flow.name, name: field };
        Err(self.document.error_for(&place, number, &format!("a number from {min} to {max}")))
    }
}
