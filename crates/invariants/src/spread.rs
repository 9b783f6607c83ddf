//! Whether what one host was told of the node list holds for all that are connected: from so long after any host heard that a
//! node drains or is gone, until any hears that it is ready again, no host's attempt begins its way there. For days whose hosts are
//! connected among each other; it knows nothing of how they tell each other.

use std::collections::{BTreeMap, BTreeSet};
use tackmast_trace::{Event, Line, ListedState, Side};

/// What was found: nodes that were taken away while some host did not hear its list, attempts that left for them, and breaks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spread {
    pub stops: usize,
    pub attempts: usize,
    pub breaks: Vec<String>,
}

/// `within_us`: from a host's hearing until all go by it, the grace of what was on its way included.
pub fn judge(trace: &[Line], within_us: u64) -> Spread {
    let mut found = Spread::default();
    // Hosts that do not hear the list, by how many troubles; nodes that are taken away, and since when.
    let mut deaf: BTreeMap<u32, u32> = BTreeMap::new();
    let mut stopped: BTreeMap<&str, u64> = BTreeMap::new();
    let mut hosts: BTreeSet<u32> = BTreeSet::new();
    for line in trace {
        match &line.event {
            Event::HostUp { host } => _ = hosts.insert(*host),
            Event::Cut { host, side: Side::List, on } => {
                let n = deaf.entry(*host).or_default();
                *n = if *on { *n + 1 } else { n.saturating_sub(1) };
            }
            Event::Notified { host, node, state, .. } if deaf.get(host).is_none_or(|n| *n == 0) => {
                match state {
                    ListedState::Ready => _ = stopped.remove(node.as_str()),
                    _ => {
                        let new = !stopped.contains_key(node.as_str());
                        found.stops += usize::from(new && deaf.values().any(|n| *n > 0));
                        stopped.entry(node).or_insert(line.t);
                    }
                }
            }
            Event::Attempt { node, name, left_us, .. } => {
                let Some(since) = stopped.get(node.as_str()) else { continue };
                found.attempts += 1;
                // When it left its host counts, where that is known.
                let left = if *left_us > 0 { line.t.min(*left_us) } else { line.t };
                if left > since + within_us {
                    let ms = (left - since) / 1000;
                    found.breaks.push(format!(
                        "host {} sends to {node} {ms} ms after some host was told that it is not to be chosen",
                        name.host
                    ));
                }
            }
            _ => {}
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use tackmast_trace::AttemptName;

    fn told(t: u64, host: u32, state: ListedState) -> Line {
        Line { t, event: Event::Notified { host, node: "a".into(), state, started_us: 0 } }
    }

    fn cut(t: u64, host: u32, on: bool) -> Line {
        Line { t, event: Event::Cut { host, side: Side::List, on } }
    }

    fn attempt(t: u64, host: u32) -> Line {
        let name = AttemptName { host, generation: 1, request: t, attempt: 1 };
        let (session, command, part, volume, write) = (1, 1, 0, 1, false);
        let (offset, bytes, units, key, mark, left_us) = (0, 512, 1.0, 0, String::new(), 0);
        let node = "a".into();
        let event = Event::Attempt {
            node,
            name,
            session,
            command,
            part,
            volume,
            write,
            offset,
            bytes,
            units,
            key,
            mark,
            left_us,
        };
        Line { t, event }
    }

    #[test]
    fn which_attempts_are_too_late() {
        use ListedState::{Draining, Ready};
        let ms = 1_000;
        // What happens, and how many attempts are found, and how many of them are breaks, within 300 ms.
        type Case<'a> = (&'a str, Vec<Line>, (usize, usize, usize));
        let cases: Vec<Case> = vec![
            ("a ready node", vec![told(0, 0, Ready), attempt(900 * ms, 1)], (0, 0, 0)),
            ("soon enough", vec![told(0, 0, Draining), attempt(200 * ms, 1)], (0, 1, 0)),
            ("one that was told itself", vec![told(0, 0, Draining), attempt(900 * ms, 0)], (0, 1, 1)),
            (
                "one that does not hear the list",
                vec![cut(0, 1, true), told(1, 0, Draining), attempt(900 * ms, 1)],
                (1, 1, 1),
            ),
            (
                "ready again",
                vec![told(0, 0, Draining), told(500 * ms, 0, Ready), attempt(900 * ms, 1)],
                (0, 0, 0),
            ),
            (
                "told over a cut way",
                vec![cut(0, 1, true), told(1, 1, Draining), attempt(900 * ms, 0)],
                (0, 0, 0),
            ),
            (
                "whole again",
                vec![cut(0, 1, true), cut(1, 1, false), told(2, 1, Draining), attempt(900 * ms, 0)],
                (0, 1, 1),
            ),
        ];
        for (name, trace, expected) in cases {
            let found = judge(&trace, 300 * ms);
            assert_eq!((found.stops, found.attempts, found.breaks.len()), expected, "{name}: {found:?}");
        }
    }
}
