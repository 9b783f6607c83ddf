//! The table of all members except this host, with indexes of the live members, the suspects, those declared dead in
//! isolation, and the digest of all. With the indexes no timeout has to read the states of a fleet of hundreds.

use super::MemberState;
use imbl::OrdMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use tackmast_wire::peer::{Health, MemberUpdate};

#[cfg(test)]
mod tests;

/// States of the members by slot, with indexes that follow each change.
#[derive(Default)]
pub(super) struct MemberTable {
    states: OrdMap<u32, MemberState>,
    /// Slots of the members that are alive or suspected, in ascending order.
    live: Vec<u32>,
    suspects: BTreeSet<u32>,
    declared_in_isolation: BTreeSet<u32>,
    /// Wrapping sum of all checksums, which does not depend on their order.
    digest: u32,
}

impl MemberTable {
    /// Inserts a member, or replaces its state.
    pub(super) fn insert(&mut self, slot: u32, state: MemberState) {
        self.remove(slot);
        if state.is_live() {
            if let Err(index) = self.live.binary_search(&slot) {
                self.live.insert(index, slot);
            }
        }
        if state.health == Health::Suspect {
            self.suspects.insert(slot);
        }
        if state.declared_in_isolation {
            self.declared_in_isolation.insert(slot);
        }
        self.digest = self.digest.wrapping_add(checksum(&state.to_update(slot)));
        self.states.insert(slot, state);
    }

    /// Removes a member, if the table has it.
    pub(super) fn remove(&mut self, slot: u32) {
        let Some(state) = self.states.remove(&slot) else { return };
        self.digest = self.digest.wrapping_sub(checksum(&state.to_update(slot)));
        if let Ok(index) = self.live.binary_search(&slot) {
            self.live.remove(index);
        }
        self.suspects.remove(&slot);
        self.declared_in_isolation.remove(&slot);
    }

    /// Returns the state of a member.
    pub(super) fn get(&self, slot: u32) -> Option<&MemberState> {
        self.states.get(&slot)
    }

    /// Returns all members in ascending order of their slots.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &MemberState)> {
        self.states.iter().map(|(slot, state)| (*slot, state))
    }

    /// Returns the number of members.
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether the table has no members.
    pub(super) fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns a copy of all states that shares its structure with the table.
    pub(super) fn snapshot(&self) -> OrdMap<u32, MemberState> {
        self.states.clone()
    }

    /// Returns the slots of the members that are alive or suspected, in ascending order.
    pub(super) fn live(&self) -> &[u32] {
        &self.live
    }

    /// Returns the slots of the members that are suspected.
    pub(super) fn suspects(&self) -> &BTreeSet<u32> {
        &self.suspects
    }

    /// Returns the slots of the members that were declared dead in isolation.
    pub(super) fn declared_in_isolation(&self) -> &BTreeSet<u32> {
        &self.declared_in_isolation
    }

    /// Returns the digest of all members.
    pub(super) fn digest(&self) -> u32 {
        self.digest
    }
}

/// Length in bytes of the input of a member's checksum.
const MEMBER_CHECKSUM_INPUT_LEN: usize = 39;

/// Returns the checksum of one member's state. A digest is the wrapping sum of all checksums.
pub(super) fn checksum(update: &MemberUpdate) -> u32 {
    let mut bytes = [0u8; MEMBER_CHECKSUM_INPUT_LEN];
    bytes[..4].copy_from_slice(&update.slot.to_be_bytes());
    bytes[4..12].copy_from_slice(&update.generation.to_be_bytes());
    bytes[12..16].copy_from_slice(&update.incarnation.to_be_bytes());
    bytes[16] = update.health as u8;
    match update.address.ip() {
        IpAddr::V4(ip) => bytes[17..21].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[17..33].copy_from_slice(&ip.octets()),
    }
    bytes[33..35].copy_from_slice(&update.address.port().to_be_bytes());
    bytes[35..].copy_from_slice(&update.site.unwrap_or(u32::MAX).to_be_bytes());
    crc32c::crc32c(&bytes)
}
