//! The network between the processes of a trial, and its faults.

use super::Us;

/// A datagram takes up to this much longer than the shortest delay in a network without faults, in microseconds.
const USUAL_JITTER: Us = 1_000;

/// The state of the network.
pub(in crate::views) struct Network {
    /// Fraction of datagrams that is lost.
    pub loss: f64,
    /// A datagram takes up to this much longer, in microseconds.
    pub jitter: Us,
    /// Fraction of datagrams that is duplicated.
    pub duplicated: f64,
    /// The group of each host, by its number. Datagrams between groups are lost.
    pub groups: Vec<u32>,
    /// Hosts of which no datagram arrives, by their number.
    pub mute: Vec<bool>,
    /// Hosts at which no datagram arrives, by their number.
    pub deaf: Vec<bool>,
    /// When the network was last partitioned or healed.
    pub partition_changed: Us,
}

impl Network {
    /// A network without faults.
    pub(super) fn new(hosts: u32) -> Network {
        Network {
            loss: 0.0,
            jitter: USUAL_JITTER,
            duplicated: 0.0,
            groups: vec![0; hosts as usize],
            mute: vec![false; hosts as usize],
            deaf: vec![false; hosts as usize],
            partition_changed: 0,
        }
    }

    /// Begins the faults of a bad network, without partitions.
    pub(in crate::views) fn degrade(&mut self) {
        (self.loss, self.jitter, self.duplicated) = (0.2, 200_000, 0.05);
    }

    /// Ends the faults of a bad network.
    pub(in crate::views) fn recover(&mut self) {
        (self.loss, self.jitter, self.duplicated) = (0.0, USUAL_JITTER, 0.0);
    }

    /// Whether datagrams from one number arrive at another one.
    pub(super) fn passes(&self, sender: usize, receiver: usize) -> bool {
        self.groups[sender] == self.groups[receiver] && !self.mute[sender] && !self.deaf[receiver]
    }
}
