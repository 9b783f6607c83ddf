//! Quota leases: shares of a volume's limit that its owners lend each other for a term (leases as in Gray and Cheriton,
//! 1989). Each owner owns an even share, fixed by the settings; no message of a peer can take it away or add to it. A
//! lender leaves a part of its own share unused for a term, and the borrower that requested it may use it meanwhile.
//! docs/membership.md argues why the shares in use never sum to more than the whole, whatever is lost, late, duplicated
//! or restarted, and whatever clocks show as long as they run at nearly one rate.
//!
//! `pool` has the state of one volume, `lender` grants and recalls, `borrower` requests and returns.

mod borrower;
mod lender;
mod pool;

use crate::MemberId;
use pool::SharedPool;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::LeaseMessage;

/// Rounds in a term. In each round a host compares demand with what it has and requests leases anew, so that a lease is
/// renewed before it ends even if some requests get lost.
const ROUNDS_PER_TERM: f64 = 4.0;
/// Smallest share of a volume's limit that is requested or lent: a smaller one is not worth a message.
const MIN_SHARE: f64 = 1e-4;
/// How long a lender leaves a share unused beyond the end of the term, on top of what clocks may run apart.
const TERM_MARGIN: TimeDelta = TimeDelta::from_millis(5);

/// Terms of the leases, the same at all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    /// Length of a lease.
    pub term: TimeDelta,
    /// Length of a lease that a host grants while it leaves. The next generation of its slot starts with nothing for so
    /// long.
    pub leave_term: TimeDelta,
    /// Greatest relative difference between the rates of any two hosts' monotonic clocks.
    pub drift: f64,
    /// Fraction of a host's even share that it always owns, whatever its measured share.
    pub owned: f64,
}

/// A volume whose limit several hosts share.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedLimit {
    /// LUN of the volume.
    pub volume: u32,
    /// The whole limit in units a second.
    pub limit: f64,
    /// Slots of the hosts that share it, by the settings; each owns the same share.
    pub owners: Vec<u32>,
}

/// What a host lends and borrows of a volume's limit, as shares of the whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBalance {
    /// Of its own share, what it must leave unused.
    pub lent: f64,
    /// What it may use beyond its own share.
    pub borrowed: f64,
    /// The balance holds until then at most.
    pub until: Instant,
}

/// The quota of one volume for status output, as shares of the whole limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseStatus {
    /// LUN of the volume.
    pub volume: u32,
    /// The host's own share.
    pub owned: f64,
    /// Of it, what is lent.
    pub lent: f64,
    /// What is borrowed.
    pub borrowed: f64,
    /// What its clients need by their recent demand.
    pub needed: f64,
}

/// A lease message to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTransmit {
    /// Slot of the receiver.
    pub to: u32,
    /// The message.
    pub message: LeaseMessage,
}

/// How the earlier generation of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousExit {
    /// It crashed, or nothing is known of it: what it lent ends within a term.
    Unclean,
    /// It left gracefully, and may have lent its share for the longer leave term.
    Graceful,
}

/// Deliberate faults of the lease protocol, for the exploration to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseFault {
    /// The borrower counts the term from when the grant arrived.
    TermFromReceipt,
    /// Neither side allows for clock drift.
    IgnoresDrift,
    /// A new generation uses all of its share at once.
    StartsWithFullShare,
    /// A new lease frees the one before although the borrower has not confirmed that it no longer uses it.
    FreesUnconfirmedLease,
    /// A host lends what it has borrowed.
    LendsBorrowed,
    /// Numbers of an earlier generation pass for those of the present one.
    IgnoresGenerations,
}

/// The quota leases of one host: as a lender of its own shares, and as a borrower of others'.
#[derive(Clone, Debug)]
pub struct QuotaLeases {
    me: MemberId,
    settings: LeaseSettings,
    pools: BTreeMap<u32, SharedPool>,
    /// Number of the last request or lease.
    seq: u32,
    next_round: Instant,
    leaving: bool,
    displaced: bool,
    transmits: VecDeque<LeaseTransmit>,
    fault: Option<LeaseFault>,
}

impl QuotaLeases {
    /// Leases of a host that has just started. What an earlier generation lent is not known, so it uses nothing of its
    /// shares until that has surely ended.
    pub fn new(
        now: Instant,
        me: MemberId,
        settings: LeaseSettings,
        limits: Vec<SharedLimit>,
        previous_exit: PreviousExit,
    ) -> Self {
        let mut leases = QuotaLeases {
            me,
            settings,
            pools: BTreeMap::new(),
            seq: 0,
            next_round: now,
            leaving: false,
            displaced: false,
            transmits: VecDeque::new(),
            fault: None,
        };
        let term = match previous_exit {
            PreviousExit::Unclean => settings.term,
            PreviousExit::Graceful => settings.leave_term,
        };
        let available_from = now + lender::lender_term(term, leases.drift());
        for limit in limits {
            if limit.owners.contains(&me.slot) && limit.owners.len() > 1 && limit.limit > 0.0 {
                let pool = SharedPool::new(now, limit, settings.owned, available_from);
                leases.pools.insert(pool.volume(), pool);
            }
        }
        leases
    }

    /// The same with a deliberate fault, for tests.
    pub fn with_fault(mut self, now: Instant, fault: LeaseFault) -> Self {
        self.fault = Some(fault);
        if fault == LeaseFault::StartsWithFullShare {
            self.pools.values_mut().for_each(|pool| pool.available_from = now);
        }
        self
    }

    fn has(&self, fault: LeaseFault) -> bool {
        self.fault == Some(fault)
    }

    /// The clock drift that terms allow for, as a fraction.
    fn drift(&self) -> f64 {
        if self.has(LeaseFault::IgnoresDrift) {
            0.0
        } else {
            self.settings.drift
        }
    }

    /// Whether this host leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether all leases that an earlier generation of this slot granted have ended. The marker of a graceful leave must
    /// stay until then: without it, a generation that starts next would take the leave for a crash and use the share after
    /// the shorter term, while a borrower may still hold it.
    pub fn have_earlier_leases_ended(&self, now: Instant) -> bool {
        self.pools.values().all(|pool| now >= pool.available_from)
    }

    /// LUNs of the volumes whose limits are shared.
    pub fn volumes(&self) -> impl Iterator<Item = u32> + '_ {
        self.pools.keys().copied()
    }

    /// Another generation of this slot runs, and owns the slot's share: this one uses none of it.
    pub(crate) fn set_displaced(&mut self) {
        self.displaced = true;
    }

    /// The volume has another limit, 0 for none. Leases are shares of whatever limit holds.
    pub fn set_limit(&mut self, volume: u32, limit: f64) {
        if let Some(pool) = self.pools.get_mut(&volume) {
            pool.set_limit(limit);
        }
    }

    /// Clients have demanded so many units of a volume.
    pub fn record_demand(&mut self, now: Instant, volume: u32, units: f64) {
        if let Some(pool) = self.pools.get_mut(&volume) {
            pool.record_demand(now, units);
        }
    }

    /// What is lent and borrowed of a volume's limit; none: it is not shared.
    pub fn balance(&self, now: Instant, volume: u32) -> Option<QuotaBalance> {
        let pool = self.pools.get(&volume)?;
        let until =
            pool.next_expiration(now).map_or(self.next_round, |end| end.min(self.next_round)).max(now);
        if self.displaced || self.leaving {
            return Some(QuotaBalance { lent: pool.owned, borrowed: 0.0, until });
        }
        let lent = pool.unavailable(now).min(pool.owned);
        Some(QuotaBalance { lent, borrowed: pool.borrowed(now), until })
    }

    /// The quota of each shared volume.
    pub fn status(&self, now: Instant) -> Vec<LeaseStatus> {
        let status = |pool: &SharedPool| {
            let balance = self.balance(now, pool.volume());
            LeaseStatus {
                volume: pool.volume(),
                owned: pool.owned,
                lent: balance.map_or(0.0, |balance| balance.lent),
                borrowed: balance.map_or(0.0, |balance| balance.borrowed),
                needed: pool.needed(now),
            }
        };
        self.pools.values().map(status).collect()
    }

    /// The host leaves: it uses nothing any more, and lends all that it owns to peers that request it.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.next_round = now;
    }

    /// A peer has sent a message. Messages on volumes that not both of them own are ignored.
    pub fn handle_message(&mut self, now: Instant, from: MemberId, message: LeaseMessage) {
        match message {
            LeaseMessage::Request { seq, active_seq, lender_generation, volume, share } => {
                // Numbers begin anew with each generation. A lease that an earlier generation granted would else free
                // leases of this generation that the borrower may still use.
                let active_seq = if self.is_own_generation(lender_generation) { active_seq } else { 0 };
                let share = f64::from(share);
                let request = lender::Request { from, seq, active_seq, volume, share };
                self.handle_request(now, request);
            }
            // A grant to an earlier generation may carry the number of a request of this one. Its term would then count
            // from the wrong request, and the borrower would use the share longer than the lender leaves it unused.
            LeaseMessage::Grant { recipient_generation, .. }
                if !self.is_own_generation(recipient_generation) => {}
            LeaseMessage::Grant { request_seq, seq, volume, share, term_ms, .. } => {
                let share = f64::from(share);
                let term = TimeDelta::from_millis(i64::from(term_ms));
                let grant = borrower::Grant { from, request_seq, seq, volume, share, term };
                self.handle_grant(now, grant);
            }
            LeaseMessage::Offer { volume } => self.handle_offer(now, from.slot, volume),
            LeaseMessage::Recall { volume } => self.handle_recall(now, from, volume),
            // A peer may have borrowed again since it confirmed to an earlier generation that it holds nothing: its
            // confirmation does not cover that lease.
            LeaseMessage::Returned { recipient_generation, .. }
                if !self.is_own_generation(recipient_generation) => {}
            LeaseMessage::Returned { volume, .. } => self.handle_returned(now, from.slot, volume),
        }
    }

    fn is_own_generation(&self, generation: u64) -> bool {
        generation == self.me.generation || self.has(LeaseFault::IgnoresGenerations)
    }

    /// Begins a round if it is due; `live` are the slots of the peers that are worth asking.
    pub fn handle_timeout(&mut self, now: Instant, live: &BTreeSet<u32>) {
        if now < self.next_round {
            return;
        }
        self.next_round = now + TimeDelta::from_secs(self.settings.term.secs() / ROUNDS_PER_TERM);
        let volumes: Vec<u32> = self.pools.keys().copied().collect();
        for volume in volumes {
            self.run_round(now, volume, live);
        }
    }

    fn run_round(&mut self, now: Instant, volume: u32, live: &BTreeSet<u32>) {
        let term = self.settings.term;
        let Some(pool) = self.pools.get_mut(&volume) else { return };
        pool.remove_ended(now, term);
        let me = self.me.slot;
        let is_peer = |slot: &u32| *slot != me && live.contains(slot);
        let peers: Vec<u32> = pool.limit.owners.iter().copied().filter(is_peer).collect();
        self.recall_earlier_leases(now, volume, &peers);
        if self.leaving {
            peers.into_iter().for_each(|to| self.send(to, LeaseMessage::Offer { volume }));
        } else {
            self.request_shortfall(now, volume, &peers);
        }
    }

    /// The next message to be sent.
    pub fn poll_transmit(&mut self) -> Option<LeaseTransmit> {
        self.transmits.pop_front()
    }

    /// When [`handle_timeout`](Self::handle_timeout) is due.
    pub fn poll_timeout(&self) -> Instant {
        self.next_round
    }

    fn send(&mut self, to: u32, message: LeaseMessage) {
        self.transmits.push_back(LeaseTransmit { to, message });
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1).max(1);
        self.seq
    }
}
