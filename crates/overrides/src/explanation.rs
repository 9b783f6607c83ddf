//! The explanation of a node's state and weight.

use crate::precedence::{OverrideEffect, Superseded};
use crate::record::{Override, OverrideId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Why a node has its state and weight: the overrides that name it, and what the scheduler gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The address of the node.
    pub address: SocketAddr,
    /// The node's state in the endpoint list; `no` if it is not listed.
    pub listed: String,
    /// The effect of the overrides on the node.
    pub standing: OverrideEffect,
    /// The override that determines whether the node is in service; none if no override does.
    pub service_by: Option<Override>,
    /// The override that determines the node's weight; none if no override does.
    pub weight_by: Option<Override>,
    /// The seconds until the override in `service_by` ends.
    pub service_left_s: Option<f64>,
    /// The seconds until the override in `weight_by` ends.
    pub weight_left_s: Option<f64>,
    /// The overrides that name the node and do not apply, each with the reason.
    pub beaten: Vec<(Override, Superseded)>,
    /// The seconds until the node's recovery ramp begins and its share of the load now, from 0 to 1; none if it is on no ramp.
    pub returning: Option<(f64, f64)>,
    /// What the scheduler gives the node, as a text for people.
    pub given: String,
    /// The seconds since the node's latest start; none if the host knows of no start.
    #[serde(default)]
    pub up_s: Option<f64>,
}

impl Explanation {
    /// Returns the applying overrides that were set before the node's latest start: the node has restarted since, or another node
    /// has its address now.
    pub fn restarted_under(&self) -> Vec<OverrideId> {
        let Some(up_s) = self.up_s else { return Vec::new() };
        let both = [(&self.service_by, self.service_left_s), (&self.weight_by, self.weight_left_s)];
        let older = both.into_iter().filter_map(|(record, left_s)| {
            let (record, left_s) = (record.as_ref()?, left_s?);
            let duration_s = record.ends_us.saturating_sub(record.set_us) as f64 / 1e6;
            let active_for_s = duration_s - left_s;
            (up_s < active_for_s).then_some(record.id)
        });
        older.collect()
    }
}
