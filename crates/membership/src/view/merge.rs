//! Merging of updates that peers send: which of two states of a member holds, and refutation of updates on this host
//! (SWIM, section 4.2).

use super::{Death, MemberState, View, ViewEvent, ViewFault, RECENT};
use tackmast::interface::Instant;
use tackmast_wire::peer::{Health, MemberUpdate};

/// Incarnations and generations above these are no member's own: nobody could refute them by a later one.
const MAX_INCARNATION: u32 = 1 << 30;
const MAX_GENERATION: u64 = u64::MAX - (1 << 20);
/// Deaths that are kept for status output.
const MAX_DEATHS: usize = 64;

impl View {
    /// Merges an update on a member: a later generation wins, then a later incarnation, then worse health. One that is
    /// equal to what is known changes nothing but who confirms a suspicion.
    pub fn merge(&mut self, now: Instant, update: MemberUpdate) {
        if !self.is_in_range(&update) {
            self.counters.out_of_range += 1;
            return;
        }
        if update.slot == self.me.slot {
            return self.merge_about_self(now, update);
        }
        let Some(state) = self.members.get(update.slot) else {
            let first_alive = update.health == Health::Alive && self.members.len() < 2;
            if !self.has(ViewFault::DropsUnknownMembers) || first_alive {
                self.accept(now, update, None);
            }
            return;
        };
        if !self.supersedes(&update, state) {
            if state.precedence() == precedence(&update) {
                self.merge_equal(now, update);
            }
            return;
        }
        let state = state.clone();
        if let Some(update) = self.checked_death(now, update, &state) {
            self.accept(now, update, Some(&state));
        }
    }

    /// Against updates that no member could refute, and slots that would fill the table.
    fn is_in_range(&self, update: &MemberUpdate) -> bool {
        update.incarnation <= MAX_INCARNATION
            && update.generation <= MAX_GENERATION
            && (update.slot as usize) < self.settings.max_hosts
    }

    fn supersedes(&self, update: &MemberUpdate, state: &MemberState) -> bool {
        let (known, received) = (state.precedence(), precedence(update));
        let is_same_generation = update.generation == state.generation;
        // A death that was declared in isolation is this host's guess: any other state goes before it.
        let replaces_guess = state.declared_in_isolation
            && is_same_generation
            && update.incarnation >= state.incarnation
            && update.health != Health::Dead;
        let ignores_incarnation =
            self.has(ViewFault::IgnoresIncarnation) && known != received && is_same_generation;
        let old_generation_wins = self.has(ViewFault::OldGenerationWins)
            && update.generation < state.generation
            && update.health == Health::Alive;
        received > known || replaces_guess || ignores_incarnation || old_generation_wins
    }

    /// Merges an update of the same generation, incarnation and health as what is known.
    fn merge_equal(&mut self, now: Instant, update: MemberUpdate) {
        let Some(state) = self.members.get(update.slot) else { return };
        // Two processes that claim one generation from two places: all hosts choose the same of them.
        if (update.address, update.site) > (state.address, state.site) {
            let state = MemberState { address: update.address, site: update.site, ..state.clone() };
            self.members.insert(update.slot, state);
            self.changed_at = now;
            self.broadcast(update.slot);
        } else if update.health == Health::Suspect {
            self.confirm_suspicion(update.slot, update.suspected_by);
        }
    }

    /// Against one host's false update: a member whose datagrams are received is not dead, it is one that has to refute.
    /// None: a suspicion runs already.
    fn checked_death(&self, now: Instant, update: MemberUpdate, state: &MemberState) -> Option<MemberUpdate> {
        let is_received =
            state.was_received_within(now, self.periods(RECENT)) && update.generation == state.generation;
        if update.health != Health::Dead || !is_received || !self.settings.extensions.buddy_system {
            return Some(update);
        }
        if update.incarnation == state.incarnation && state.health == Health::Suspect {
            return None;
        }
        Some(MemberUpdate { health: Health::Suspect, ..update })
    }

    /// Replaces what is known of a member.
    fn accept(&mut self, now: Instant, update: MemberUpdate, before: Option<&MemberState>) {
        let slot = update.slot;
        let health_before = before.map(|state| state.health);
        if health_before == Some(Health::Suspect) && update.health == Health::Alive {
            self.counters.refuted += 1;
        }
        if update.health == Health::Dead && health_before != Some(Health::Dead) {
            self.record_death(now, &update, false);
            if self.has(ViewFault::ForgetsDead) {
                return self.forget(slot);
            }
        }
        let state = self.next_state(now, &update, before);
        let flapped = before.is_some_and(|before| self.flaps(now, before));
        let flaps = self.flaps(now, &state);
        if state.is_live() && before.is_none_or(|before| !before.is_live()) {
            self.add_to_probe_order(slot);
        }
        self.members.insert(slot, state);
        self.changed_at = now;
        let has_restarted = before.is_some_and(|before| before.generation != update.generation);
        if health_before != Some(update.health) || has_restarted {
            self.report_health(slot, update.health, flapped, flaps);
        }
        self.broadcast(slot);
    }

    /// The state that an update makes of the one before.
    fn next_state(&self, now: Instant, update: &MemberUpdate, before: Option<&MemberState>) -> MemberState {
        let same_generation = before.filter(|before| before.generation == update.generation);
        let failed_at = match update.health {
            Health::Alive => None,
            _ => before.and_then(|before| before.failed_at).or(Some(now)),
        };
        let (flap_score, flap_scored_at) = self.next_flap_score(now, update, before);
        let old_address = before.filter(|_| self.has(ViewFault::OldAddressWins));
        let old_site = before.filter(|_| self.has(ViewFault::OldSiteWins));
        let suspected_by = update.suspected_by.filter(|_| update.health == Health::Suspect);
        MemberState {
            generation: update.generation,
            incarnation: update.incarnation,
            health: update.health,
            address: old_address.map_or(update.address, |before| before.address),
            site: old_site.map_or(update.site, |before| before.site),
            since: now,
            suspected_by: suspected_by.into_iter().collect(),
            last_received: same_generation.and_then(|before| before.last_received),
            failed_at,
            flap_score,
            flap_scored_at,
            last_notified: None,
            declared_in_isolation: false,
        }
    }

    /// A return from death or leave, and a restart without a leave, add to the score.
    fn next_flap_score(
        &self,
        now: Instant,
        update: &MemberUpdate,
        before: Option<&MemberState>,
    ) -> (f64, Instant) {
        let Some(before) = before else { return (0.0, now) };
        let returns = update.health == Health::Alive && matches!(before.health, Health::Dead | Health::Left);
        let restarts = update.generation != before.generation && before.health != Health::Left;
        if returns || restarts {
            (self.flap_score(now, before) + 1.0, now)
        } else {
            (before.flap_score, before.flap_scored_at)
        }
    }

    /// Reports a change; those of a member that flaps are one event, not one each.
    pub(super) fn report_health(&mut self, slot: u32, health: Health, flapped: bool, flaps: bool) {
        match (flapped, flaps) {
            (_, false) => self.events.push_back(ViewEvent::Health { slot, health }),
            (false, true) => self.events.push_back(ViewEvent::Flapping { slot }),
            (true, true) => self.counters.damped += 1,
        }
    }

    pub(super) fn record_death(&mut self, now: Instant, update: &MemberUpdate, declared_here: bool) {
        self.counters.dead += 1;
        if self.deaths.len() >= MAX_DEATHS {
            self.deaths.pop_front();
        }
        let MemberUpdate { slot, generation, incarnation, .. } = *update;
        self.deaths.push_back(Death { slot, generation, incarnation, at: now, declared_here });
    }

    pub(super) fn forget(&mut self, slot: u32) {
        self.members.remove(slot);
        self.broadcasts.remove(slot);
    }

    fn merge_about_self(&mut self, now: Instant, update: MemberUpdate) {
        if update.generation > self.me.generation {
            return self.set_displaced(now, update.generation, update.address);
        }
        if update.generation < self.me.generation || self.has(ViewFault::NoRefutation) {
            return;
        }
        let is_worse = update.health > self.me.health && update.incarnation >= self.me.incarnation;
        // An incarnation under this host's name that it never had is refuted too.
        if is_worse || update.incarnation > self.me.incarnation {
            self.refute(now, update.incarnation);
            if self.settings.extensions.local_health && is_worse {
                self.degrade_local_health(1);
            }
            self.broadcast(self.me.slot);
            // At once, to a few: the suspicion runs out at all who confirm it.
            if self.settings.extensions.buddy_system {
                self.gossip_now();
            }
        }
    }

    /// Goes on under a later incarnation than the one that was claimed.
    fn refute(&mut self, now: Instant, incarnation: u32) {
        self.me.incarnation = incarnation + 1;
        self.counters.accused += 1;
        self.changed_at = now;
    }
}

fn precedence(update: &MemberUpdate) -> (u64, u32, Health) {
    (update.generation, update.incarnation, update.health)
}
