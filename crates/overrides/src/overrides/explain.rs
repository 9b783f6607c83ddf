//! Explains to an operator why a node has its state and weight.

use super::{Effective, Overrides};
use crate::explanation::Explanation;
use crate::precedence::{effect_on, superseded, ApplyingOverrides, NodeFacts, Superseded};
use crate::record::{Override, OverrideId};
use std::net::SocketAddr;
use tackmast::interface::{Instant, NodeState};

impl Overrides {
    /// Explains why a node has its state and weight at `now`. The node does not have to be listed.
    pub fn explain(&self, now: Instant, address: SocketAddr) -> Explanation {
        // Only overrides of its address or a prefix can name a node that is not listed: its zone and shard are unknown.
        let unlisted = NodeFacts { address, zone: u32::MAX, shard: u32::MAX, listed: NodeState::Gone };
        let listed_node = self.nodes.get(&address);
        let node = listed_node.copied().unwrap_or(unlisted);
        let (effect, ApplyingOverrides { service, weight }) = effect_on(&self.index, &self.all, &node);
        let with_record = |loser: Superseded| Some((self.all.get(&loser.id)?.clone(), loser));
        let returning = self.recovery_ramps.get(&address).map(|ramp| {
            let wait_secs = (ramp.starts - now).secs().max(0.0);
            (wait_secs, ramp.share(now).unwrap_or(0.0))
        });
        Explanation {
            address,
            listed: listed_node.map_or("no", |node| listed_text(node.listed)).to_owned(),
            standing: effect,
            service_by: self.record(service),
            weight_by: self.record(weight),
            service_left_s: self.secs_left(now, service),
            weight_left_s: self.secs_left(now, weight),
            beaten: superseded(&self.index, &self.all, &node).into_iter().filter_map(with_record).collect(),
            returning,
            given: given_text(node.listed, self.effective(now, &address)),
            up_s: None,
        }
    }

    fn record(&self, id: Option<OverrideId>) -> Option<Override> {
        self.all.get(&id?).cloned()
    }

    fn secs_left(&self, now: Instant, id: Option<OverrideId>) -> Option<f64> {
        self.ends_at.get(&id?).map(|(ends, _)| (*ends - now).secs().max(0.0))
    }
}

/// Returns the name of a node's state in the endpoint list.
fn listed_text(state: NodeState) -> &'static str {
    match state {
        NodeState::Ready => "ready",
        NodeState::Draining => "draining",
        NodeState::Gone => "gone",
    }
}

/// Describes what the scheduler gives a node. `effective` is `None` for a node that is not listed.
fn given_text(listed: NodeState, effective: Option<Effective>) -> String {
    let Some(Effective { state, weight, pinned }) = effective else {
        return "nothing: the node is not listed".to_owned();
    };
    match (listed, state) {
        (NodeState::Draining, _) => "nothing new: the list says that it drains".to_owned(),
        (NodeState::Gone, _) => "nothing: the list says that it is gone".to_owned(),
        (_, NodeState::Ready) if pinned => format!("weight {weight:.2}, whatever its health"),
        (_, NodeState::Ready) => format!("weight {weight:.2}, as its health allows"),
        _ => "nothing new: out of service".to_owned(),
    }
}
