//! Why a node is given what it is given.

use crate::precedence::{OverrideEffect, Superseded};
use crate::record::{Override, OverrideId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Why a node is given what it is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The node.
    pub address: SocketAddr,
    /// Its state in the endpoint list, or `no`.
    pub listed: String,
    /// The effect of the overrides on it.
    pub standing: OverrideEffect,
    /// The override that decides on its service.
    pub service_by: Option<Override>,
    /// The override that decides on its weight.
    pub weight_by: Option<Override>,
    /// Seconds until the one that decides on its service ends.
    pub service_left_s: Option<f64>,
    /// Seconds until the one that decides on its weight ends.
    pub weight_left_s: Option<f64>,
    /// Overrides that name it and do not apply.
    pub beaten: Vec<(Override, Superseded)>,
    /// On its recovery ramp: seconds until it begins, and its share now.
    pub returning: Option<(f64, f64)>,
    /// What the scheduler gives it, in words.
    pub given: String,
    /// Seconds since the node's latest start, where its host knows of one.
    #[serde(default)]
    pub up_s: Option<f64>,
}

impl Explanation {
    /// The applying overrides that were set before the node's latest start: it restarted under them, or another node has
    /// its address now.
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
