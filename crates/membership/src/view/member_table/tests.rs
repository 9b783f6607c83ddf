//! Tests of the indexes of the member table.

use super::*;
use crate::view::flapping::FlapScore;
use std::net::SocketAddr;
use tackmast::interface::Instant;

fn random_state(random: &mut oorandom::Rand32, now: Instant, slot: u32) -> MemberState {
    let health =
        [Health::Alive, Health::Suspect, Health::Dead, Health::Left][random.rand_range(0..4) as usize];
    MemberState {
        generation: u64::from(random.rand_range(0..3)),
        incarnation: random.rand_range(0..3),
        health,
        address: SocketAddr::from(([10, 0, 0, slot as u8], 7)),
        site: None,
        since: now,
        suspected_by: Vec::new(),
        last_received: None,
        failed_at: None,
        flap_score: FlapScore::new(now),
        last_notified: None,
        declared_in_isolation: random.rand_range(0..2) == 0,
    }
}

/// Members are inserted, replaced and removed at random. If an index missed a change, a timeout would skip a member, or two
/// equal views would have different digests.
#[test]
fn indexes_match_the_states_after_each_change() {
    let mut random = oorandom::Rand32::new(7);
    let mut table = MemberTable::default();
    let now = Instant::from_secs(1.0);
    for _ in 0..3_000 {
        let slot = random.rand_range(0..40);
        if random.rand_range(0..8) == 0 {
            table.remove(slot);
            continue;
        }
        let state = random_state(&mut random, now, slot);
        table.insert(slot, state);
        let slots_where = |predicate: fn(&MemberState) -> bool| -> Vec<u32> {
            table.iter().filter(|(_, state)| predicate(state)).map(|(slot, _)| slot).collect()
        };
        assert_eq!(table.live(), slots_where(MemberState::is_live));
        assert_eq!(
            table.suspects().iter().copied().collect::<Vec<_>>(),
            slots_where(|state| state.health == Health::Suspect)
        );
        assert_eq!(
            table.declared_in_isolation().iter().copied().collect::<Vec<_>>(),
            slots_where(|state| state.declared_in_isolation)
        );
        let checksums = table.iter().map(|(slot, state)| checksum(&state.to_update(slot)));
        assert_eq!(table.digest(), checksums.reduce(u32::wrapping_add).unwrap_or(0));
    }
}
