//! Quota leases: shares of a volume's limit that its owners lend each other for a term (leases as in Gray and Cheriton,
//! 1989). Each owner owns an even share, fixed by the settings; no message of a peer can take it away or add to it. A
//! lender leaves a part of its own share unused for a term, and the borrower that requested it may use it meanwhile.
//! docs/membership.md shows why the shares in use never sum to more than the whole limit, even if messages are lost,
//! delayed or duplicated and hosts restart. Clocks may show any time as long as the difference of their rates is bounded.
//!
//! `pool` holds the state of one volume, `lender` grants and recalls leases, and `borrower` requests and returns them.

mod borrower;
mod lender;
mod pool;

use crate::MemberId;
use pool::SharedPool;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::LeaseMessage;

/// Rounds per term. In each round a host compares demand with its quota and requests leases again, so that a lease is
/// renewed before it ends even if some requests are lost.
const ROUNDS_PER_TERM: f64 = 4.0;
/// Minimum share of a volume's limit that is requested or lent, as a smaller one is not worth a message.
const MIN_SHARE: f64 = 1e-4;
/// How long a lender leaves a share unused after the end of the term, in addition to the allowance for clock drift.
const TERM_MARGIN: TimeDelta = TimeDelta::from_millis(5);

/// Settings of quota leases, which must be the same on all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    /// Term of a lease.
    pub term: TimeDelta,
    /// Term of a lease that a host grants while it leaves. The next generation of its slot uses none of its share for this
    /// time, unless all peers return their leases earlier.
    pub leave_term: TimeDelta,
    /// Maximum relative difference between the rates of any two hosts' monotonic clocks.
    pub drift: f64,
    /// Fraction of its even share of a limit that a host owns by the settings, independent of its measured share.
    pub owned: f64,
}

/// A volume whose limit several hosts share.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedLimit {
    /// LUN of the volume.
    pub volume: u32,
    /// The whole limit, in units per second.
    pub limit: f64,
    /// Slots of the hosts that share the limit by the settings. Each owns the same share.
    pub owners: Vec<u32>,
}

/// What a host lends and borrows of a volume's limit, as fractions of the whole limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBalance {
    /// Part of its own share that the host must leave unused.
    pub lent: f64,
    /// What the host may use in addition to its own share.
    pub borrowed: f64,
    /// When the balance becomes invalid at the latest.
    pub until: Instant,
}

/// The quota of one volume for status output. All shares are fractions of the whole limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseStatus {
    /// LUN of the volume.
    pub volume: u32,
    /// Share that the host owns.
    pub owned: f64,
    /// Part of the own share that the host must leave unused.
    pub lent: f64,
    /// Share that is borrowed from peers.
    pub borrowed: f64,
    /// Share that the host's clients need by their recent demand.
    pub needed: f64,
}

/// A lease message to send to a peer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTransmit {
    /// Slot of the receiver.
    pub to: u32,
    /// Message to send.
    pub message: LeaseMessage,
}

/// How the previous generation of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousExit {
    /// It crashed, or nothing is known of it. What it lent ends within a term.
    Unclean,
    /// It left gracefully, and may have lent its share for the longer leave term.
    Graceful,
}

/// Deliberate faults of the lease protocol. Random runs of the tests must detect each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseFault {
    /// The borrower counts the term from the receipt of the grant.
    TermFromReceipt,
    /// Neither side allows for clock drift.
    IgnoresDrift,
    /// A new generation uses all of its share at once.
    StartsWithFullShare,
    /// A new lease frees the previous one although the borrower has not confirmed that it no longer uses it.
    FreesUnconfirmedLease,
    /// A host lends what it has borrowed.
    LendsBorrowed,
    /// Sequence numbers of an earlier generation are accepted as those of the current one.
    IgnoresGenerations,
}

/// The quota leases of one host: as a lender of its own shares, and as a borrower of others'.
#[derive(Clone, Debug)]
pub struct QuotaLeases {
    me: MemberId,
    settings: LeaseSettings,
    pools: BTreeMap<u32, SharedPool>,
    /// Sequence number of the last request or lease.
    seq: u32,
    next_round_at: Instant,
    leaving: bool,
    displaced: bool,
    transmits: VecDeque<LeaseTransmit>,
    fault: Option<LeaseFault>,
}

impl QuotaLeases {
    /// Creates the state of a host that starts. The host does not know what an earlier generation lent, so it uses none of
    /// its shares until all leases of that generation must have ended. Limits that are not positive, or of which the
    /// host is not one of several owners, are left out.
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
            next_round_at: now,
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
                leases.pools.insert(pool.lun(), pool);
            }
        }
        leases
    }

    /// Returns this state with a deliberate fault, for tests.
    pub fn with_fault(mut self, now: Instant, fault: LeaseFault) -> Self {
        self.fault = Some(fault);
        if fault == LeaseFault::StartsWithFullShare {
            self.pools.values_mut().for_each(|pool| pool.available_from = now);
        }
        self
    }

    fn has_fault(&self, fault: LeaseFault) -> bool {
        self.fault == Some(fault)
    }

    /// Returns the clock drift that terms allow for, as a fraction.
    fn drift(&self) -> f64 {
        if self.has_fault(LeaseFault::IgnoresDrift) {
            0.0
        } else {
            self.settings.drift
        }
    }

    /// Returns whether this host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether all leases that an earlier generation of this slot granted have ended. The persisted marker of a
    /// graceful leave must be kept until then. Without it, the next generation would assume a crash and use the share after
    /// the shorter term, while a borrower may still hold it.
    pub fn have_earlier_leases_ended(&self, now: Instant) -> bool {
        self.pools.values().all(|pool| now >= pool.available_from)
    }

    /// Returns the LUNs of the volumes whose limits are shared.
    pub fn volumes(&self) -> impl Iterator<Item = u32> + '_ {
        self.pools.keys().copied()
    }

    /// Records that another generation of this slot owns the slot's share. This generation uses no shared quota from
    /// now on.
    pub(crate) fn set_displaced(&mut self) {
        self.displaced = true;
    }

    /// Sets the limit of a volume in units per second; 0 means unlimited. Leases are fractions of the current limit.
    pub fn set_limit(&mut self, volume: u32, limit: f64) {
        if let Some(pool) = self.pools.get_mut(&volume) {
            pool.set_limit(limit);
        }
    }

    /// Records that clients demanded this many units of a volume, given by its LUN.
    pub fn record_demand(&mut self, now: Instant, volume: u32, units: f64) {
        if let Some(pool) = self.pools.get_mut(&volume) {
            pool.record_demand(now, units);
        }
    }

    /// Returns what is lent and borrowed of a volume's limit, or `None` if the limit is not shared.
    pub fn balance(&self, now: Instant, volume: u32) -> Option<QuotaBalance> {
        let pool = self.pools.get(&volume)?;
        let until =
            pool.next_change(now).map_or(self.next_round_at, |end| end.min(self.next_round_at)).max(now);
        if self.displaced || self.leaving {
            return Some(QuotaBalance { lent: pool.owned, borrowed: 0.0, until });
        }
        let lent = pool.unavailable(now).min(pool.owned);
        Some(QuotaBalance { lent, borrowed: pool.borrowed(now), until })
    }

    /// Returns the quota of each volume whose limit is shared.
    pub fn status(&self, now: Instant) -> Vec<LeaseStatus> {
        let status = |pool: &SharedPool| {
            let balance = self.balance(now, pool.lun());
            LeaseStatus {
                volume: pool.lun(),
                owned: pool.owned,
                lent: balance.map_or(0.0, |balance| balance.lent),
                borrowed: balance.map_or(0.0, |balance| balance.borrowed),
                needed: pool.needed(now),
            }
        };
        self.pools.values().map(status).collect()
    }

    /// Begins a leave: the host stops using shared quota, and lends all that it owns to peers that request it.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.next_round_at = now;
    }

    /// Handles a message of a peer. A message on a volume whose limit this host and the peer do not share is ignored.
    pub fn handle_message(&mut self, now: Instant, from: MemberId, message: LeaseMessage) {
        match message {
            LeaseMessage::Request { seq, active_seq, lender_generation, volume, share } => {
                // Sequence numbers start again in each generation. Without this check, the number of a lease that an
                // earlier generation granted would free leases of this generation that the borrower may still use.
                let active_seq = if self.is_own_generation(lender_generation) { active_seq } else { 0 };
                let share = f64::from(share);
                let request = lender::Request { from, seq, active_seq, volume, share };
                self.handle_request(now, request);
            }
            // A grant to an earlier generation may have the number of a request of this one. Its term would then count
            // from the wrong request, and this host would use the share for longer than the lender leaves it unused.
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
            // After a peer confirmed to an earlier generation that it holds no lease, it may have borrowed from that
            // generation again. Its confirmation does not cover that lease.
            LeaseMessage::Returned { recipient_generation, .. }
                if !self.is_own_generation(recipient_generation) => {}
            LeaseMessage::Returned { volume, .. } => self.handle_returned(now, from.slot, volume),
        }
    }

    fn is_own_generation(&self, generation: u64) -> bool {
        generation == self.me.generation || self.has_fault(LeaseFault::IgnoresGenerations)
    }

    /// Begins a round if it is due. `live` are the slots of the peers that can be asked.
    pub fn handle_timeout(&mut self, now: Instant, live: &BTreeSet<u32>) {
        if now < self.next_round_at {
            return;
        }
        self.next_round_at = now + TimeDelta::from_secs(self.settings.term.secs() / ROUNDS_PER_TERM);
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

    /// Returns the next message to send, or `None` when all have been polled.
    pub fn poll_transmit(&mut self) -> Option<LeaseTransmit> {
        self.transmits.pop_front()
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) is due next.
    pub fn poll_timeout(&self) -> Instant {
        self.next_round_at
    }

    fn send(&mut self, to: u32, message: LeaseMessage) {
        self.transmits.push_back(LeaseTransmit { to, message });
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1).max(1);
        self.seq
    }
}
