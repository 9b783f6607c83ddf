//! Merges updates that peers send: decides which of two states of a member takes precedence, and refutes false updates on
//! this host (SWIM, section 4.2).

use super::flapping::FlapScore;
use super::{Death, MemberState, View, ViewEvent, ViewFault, RECENT_PERIODS};
use tackmast::interface::Instant;
use tackmast_wire::peer::{Health, MemberUpdate};

/// Greatest incarnation that is accepted. It leaves room for the later incarnations by which a member refutes updates.
const MAX_INCARNATION: u32 = 1 << 30;
/// Greatest generation that is accepted. It leaves room for the generations of later starts.
const MAX_GENERATION: u64 = u64::MAX - (1 << 20);
/// Maximum number of deaths that are kept for status output.
const MAX_DEATHS: usize = 64;

impl View {
    /// Merges an update on a member. A later generation takes precedence, then a later incarnation, then worse health. An
    /// update with the same precedence as the known state can only confirm a suspicion or resolve a conflict of addresses.
    /// An exception is a death that this host declared in isolation (see `replaces_isolated_death`).
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
            if !self.has_fault(ViewFault::DropsUnknownMembers) || first_alive {
                self.accept(now, update, None);
            }
            return;
        };
        if !self.supersedes(&update, state) {
            if state.precedence() == precedence(&update) {
                self.merge_same_precedence(now, update);
            }
            return;
        }
        let state = state.clone();
        if let Some(update) = self.downgrade_doubtful_death(now, update, &state) {
            self.accept(now, update, Some(&state));
        }
    }

    /// Returns whether a member of this fleet can have this slot, generation and incarnation.
    ///
    /// A running member could not refute a false death with the greatest generation or incarnation, as it has no
    /// greater one to take, and would be considered dead forever. Without the check of the slot,
    /// invalid updates could grow the table, and with it memory use and the answers to digests.
    fn is_in_range(&self, update: &MemberUpdate) -> bool {
        update.incarnation <= MAX_INCARNATION
            && update.generation <= MAX_GENERATION
            && (update.slot as usize) < self.settings.max_hosts
    }

    fn supersedes(&self, update: &MemberUpdate, state: &MemberState) -> bool {
        precedence(update) > state.precedence()
            || replaces_isolated_death(update, state)
            || self.supersedes_by_fault(update, state)
    }

    /// Returns whether a fault that a test injected lets the update supersede the state without a higher precedence.
    fn supersedes_by_fault(&self, update: &MemberUpdate, state: &MemberState) -> bool {
        let ignores_incarnation = self.has_fault(ViewFault::IgnoresIncarnation)
            && precedence(update) != state.precedence()
            && update.generation == state.generation;
        let old_generation_wins = self.has_fault(ViewFault::OldGenerationWins)
            && update.generation < state.generation
            && update.health == Health::Alive;
        ignores_incarnation || old_generation_wins
    }

    /// Merges an update with the same generation, incarnation and health as the known state.
    fn merge_same_precedence(&mut self, now: Instant, update: MemberUpdate) {
        let Some(state) = self.members.get(update.slot) else { return };
        // Two processes may claim one generation from two addresses. All hosts choose the greater address, as their views
        // would otherwise never converge.
        if (update.address, update.site) > (state.address, state.site) {
            let state = MemberState { address: update.address, site: update.site, ..state.clone() };
            self.members.insert(update.slot, state);
            self.changed_at = now;
            self.broadcast(update.slot);
        } else if update.health == Health::Suspect {
            self.confirm_suspicion(update.slot, update.suspected_by);
        }
    }

    /// Turns a death into a suspicion if this generation of the member was received recently (extension `buddy_system`),
    /// and returns other updates unchanged. Returns `None` if the member is already suspected at this incarnation.
    ///
    /// A host that is cut off declares others dead. If these deaths were accepted, running members would be dead in
    /// every view until they refute them. A suspicion gives a member time to refute it, and a member that is really dead
    /// stops sending, so that its death is accepted soon after.
    fn downgrade_doubtful_death(
        &self,
        now: Instant,
        update: MemberUpdate,
        state: &MemberState,
    ) -> Option<MemberUpdate> {
        let is_received = state.was_received_within(now, self.periods(RECENT_PERIODS))
            && update.generation == state.generation;
        if update.health != Health::Dead || !is_received || !self.settings.extensions.buddy_system {
            return Some(update);
        }
        if update.incarnation == state.incarnation && state.health == Health::Suspect {
            return None;
        }
        Some(MemberUpdate { health: Health::Suspect, ..update })
    }

    /// Replaces the known state of a member.
    fn accept(&mut self, now: Instant, update: MemberUpdate, before: Option<&MemberState>) {
        let slot = update.slot;
        let health_before = before.map(|state| state.health);
        if health_before == Some(Health::Suspect) && update.health == Health::Alive {
            self.counters.refuted += 1;
        }
        if update.health == Health::Dead && health_before != Some(Health::Dead) {
            self.record_death(now, &update, false);
            if self.has_fault(ViewFault::ForgetsDead) {
                return self.remove_member(slot);
            }
        }
        let state = self.next_state(now, &update, before);
        let was_flapping = before.is_some_and(|before| self.flaps(now, before));
        let is_flapping = self.flaps(now, &state);
        if state.is_live() && before.is_none_or(|before| !before.is_live()) {
            self.add_to_probe_order(slot);
        }
        self.members.insert(slot, state);
        self.changed_at = now;
        let has_restarted = before.is_some_and(|before| before.generation != update.generation);
        if health_before != Some(update.health) || has_restarted {
            self.report_health(slot, update.health, was_flapping, is_flapping);
        }
        self.broadcast(slot);
    }

    /// Returns the state of a member after an update. `before` is the state that it replaces, if there is one.
    fn next_state(&self, now: Instant, update: &MemberUpdate, before: Option<&MemberState>) -> MemberState {
        let same_generation = before.filter(|before| before.generation == update.generation);
        let failed_at = match update.health {
            Health::Alive => None,
            _ => before.and_then(|before| before.failed_at).or(Some(now)),
        };
        let flap_score = self.next_flap_score(now, update, before);
        let old_address = before.filter(|_| self.has_fault(ViewFault::OldAddressWins));
        let old_site = before.filter(|_| self.has_fault(ViewFault::OldSiteWins));
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
            last_notified: None,
            declared_in_isolation: false,
        }
    }

    /// Returns the flap score after an update. A return from death or leave, and a restart without a graceful leave,
    /// increment it.
    fn next_flap_score(
        &self,
        now: Instant,
        update: &MemberUpdate,
        before: Option<&MemberState>,
    ) -> FlapScore {
        let Some(before) = before else { return FlapScore::new(now) };
        let returns = update.health == Health::Alive && matches!(before.health, Health::Dead | Health::Left);
        let restarts = update.generation != before.generation && before.health != Health::Left;
        if returns || restarts {
            before.flap_score.incremented(now, self.flap_halving_time())
        } else {
            before.flap_score
        }
    }

    /// Reports a change of health. While a member flaps, only the first change is reported, as an event that it flaps.
    pub(super) fn report_health(&mut self, slot: u32, health: Health, was_flapping: bool, is_flapping: bool) {
        match (was_flapping, is_flapping) {
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

    pub(super) fn remove_member(&mut self, slot: u32) {
        self.members.remove(slot);
        self.broadcasts.remove(slot);
    }

    fn merge_about_self(&mut self, now: Instant, update: MemberUpdate) {
        if update.generation > self.me.generation {
            return self.set_displaced(now, update.generation, update.address);
        }
        if update.generation < self.me.generation || self.has_fault(ViewFault::NoRefutation) {
            return;
        }
        let is_worse = update.health > self.me.health && update.incarnation >= self.me.incarnation;
        // An incarnation that this host never had is refuted too, as its own updates would otherwise be ignored as older.
        if is_worse || update.incarnation > self.me.incarnation {
            self.refute(now, update.incarnation);
            if self.settings.extensions.local_health && is_worse {
                self.degrade_local_health(1);
            }
            self.broadcast(self.me.slot);
            // Peers may already be counting down to this host's death, so the refutation is sent now and not with the next
            // probe.
            if self.settings.extensions.buddy_system {
                self.gossip_now();
            }
        }
    }

    /// Takes a later incarnation than the one in a false update.
    fn refute(&mut self, now: Instant, incarnation: u32) {
        self.me.incarnation = incarnation + 1;
        self.counters.accused += 1;
        self.changed_at = now;
    }
}

/// Returns whether the update replaces a death that this host declared in isolation. The host received no datagrams then
/// and did not gossip the death, so its peers may still have the member alive at the same incarnation. Without this rule
/// the death would take precedence over their updates, as worse health does.
fn replaces_isolated_death(update: &MemberUpdate, state: &MemberState) -> bool {
    state.declared_in_isolation
        && update.generation == state.generation
        && update.incarnation >= state.incarnation
        && update.health != Health::Dead
}

/// Returns the key by which updates are compared: a later generation takes precedence, then a later incarnation, then worse
/// health.
fn precedence(update: &MemberUpdate) -> (u64, u32, Health) {
    (update.generation, update.incarnation, update.health)
}
