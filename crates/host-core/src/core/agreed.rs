//! The agreement: words, writes, changes that hold, and the lease without which this host keeps to the floors.

use super::*;
use crate::agreed::{AgreementAsk, AgreementReply, READS, READ_S, TOLD_S, WRITES};
use crate::plans::AgreedHolds;
use std::net::SocketAddr;
use tackmast_consensus::{ReplicaOutput, Transmit};
use tackmast_plans::Command as PlanCommand;
use tackmast_wire::peer::Body;

impl Core {
    /// Hosts agree on changes of plans from here on. To be told before the plans are: what the disk has of them follows then.
    pub fn with_agreed(&mut self, agreed: Agreed) {
        self.agreed = Some(agreed);
    }

    pub(super) fn agreed_word(&mut self, now: Instant, from: SocketAddr, slot: u32, body: Body) {
        let Some(a) = &mut self.agreed else { return };
        if let Some(word) = a.came(now, from, body) {
            a.replica.handle_message(now, slot, word);
        }
        self.follow_agreed(now);
    }

    pub(super) fn tick_agreed(&mut self, now: Instant) {
        let Some(a) = &mut self.agreed else { return };
        if a.next_wake(now) > now && now < a.told_at {
            return;
        }
        a.replica.handle_timeout(now);
        a.chunks.handle_timeout(now);
        self.tell_all_have(now);
        self.go_on_agreed(now);
    }

    /// Where some floor waits for it: all hosts have the newest version on their disks, which the log has to say.
    fn tell_all_have(&mut self, now: Instant) {
        let (Some(a), Some(plans)) = (&mut self.agreed, &self.plans) else { return };
        if now < a.told_at {
            return;
        }
        a.told_at = now + TimeDelta::from_secs(TOLD_S);
        let (told, waits) = plans.told();
        let version = plans.version();
        if waits && told < version && a.replica.raft.is_stored_on_all(0..a.settings.host_count, a.changed_at)
        {
            let data = serde_json::to_vec(&PlanCommand::Notified { version }).unwrap_or_default();
            _ = a.replica.propose(now, data.into());
        }
    }

    /// The store's word on a write of the log; false: it was none.
    pub(super) fn agreed_kept(&mut self, now: Instant, request: u64, result: &Result<(), String>) -> bool {
        if request & (3 << 62) != WRITES {
            return false;
        }
        if let Some(a) = &mut self.agreed {
            match result {
                Ok(()) => a.replica.on_persisted(now, request - WRITES),
                Err(_) => a.replica.on_persist_failed(now),
            }
        }
        if let Err(why) = result {
            self.mode(format!("agreement: not kept: {why}"));
        }
        self.go_on_agreed(now);
        true
    }

    /// Against acting by what may count no more: looked at before each decision.
    pub(super) fn look_at_lease(&mut self, now: Instant) {
        let (Some(a), Some(plans)) = (&self.agreed, &mut self.plans) else { return };
        let posture = !a.replica.lease_state(now).is_valid();
        if plans.is_in_posture() != posture {
            let moves = plans.stands(posture);
            self.go_by(now, &moves);
        }
    }

    pub(super) fn follow_agreed(&mut self, now: Instant) {
        loop {
            let Some(a) = &mut self.agreed else { return };
            let Some(o) = a.replica.poll_output() else { break };
            match o {
                ReplicaOutput::Send { to, message } => {
                    let to = self.fellows.as_ref().and_then(|f| f.member.view.address(to));
                    if let Some(to) = to {
                        a.chunks.send(to, message.to_bytes());
                    }
                }
                ReplicaOutput::Write(w) => {
                    let request = WRITES + w.write_id;
                    let keep = Keep { agreed: Some(Box::new(w)), ..Keep::default() };
                    self.outputs.push_back(Output::Keep { request, keep });
                }
                ReplicaOutput::Committed { index, data, own_proposal } => {
                    self.agreed_holds(now, index, &data, own_proposal)
                }
                ReplicaOutput::RestoreSnapshot { index, state } => self.agreed_restore(now, index, &state),
                ReplicaOutput::TakeSnapshot { index } => {
                    let state = self.plans.as_ref().map(Plans::agreed_bytes).unwrap_or_default();
                    a.replica.on_snapshot_taken(now, index, &state);
                }
                ReplicaOutput::ProposalTimedOut { number } => {
                    let why = "no word from those who agree on it: it may hold all the same, later; look at the log";
                    self.agreed_reply(number, PlanReply::Refused { why: why.into() });
                }
                ReplicaOutput::Event(event) => self.mode(event.to_string()),
            }
        }
        self.answer_reads(now);
        let (Some(a), Some(f)) = (&mut self.agreed, &mut self.fellows) else { return };
        while let Some(Transmit { to, body }) = a.chunks.poll_transmit() {
            f.member.send(to, body);
        }
    }

    /// The same, and what is said of it goes out. Not from within what follows other hosts' words: that goes on by itself.
    fn go_on_agreed(&mut self, now: Instant) {
        self.follow_agreed(now);
        self.follow_fellows(now);
    }

    fn agreed_reply(&mut self, number: u32, reply: PlanReply) {
        let request = self.agreed.as_mut().and_then(|a| a.changes.remove(&number));
        if let Some(request) = request {
            self.outputs.push_back(Output::Reply { request, reply: Reply::Plan(reply) });
        }
    }

    fn agreed_holds(&mut self, now: Instant, index: u64, data: &Bytes, mine: Option<u32>) {
        let Some(plans) = &mut self.plans else { return };
        let command = serde_json::from_slice::<PlanCommand>(data).map_err(|e| e.to_string());
        let is_change = matches!(command, Ok(PlanCommand::Change { .. }));
        let held = command.and_then(|c| plans.agreed_holds(c));
        let settle = self.agreed.as_ref().map_or(TimeDelta::ZERO, Agreed::settle);
        match held {
            Ok(AgreedHolds { moves, entry, lines }) => {
                self.go_by(now, &moves);
                let Some(e) = entry else {
                    let (told, _) = self.plans.as_ref().map_or((0, false), Plans::told);
                    return self.mode(format!("plans: all hosts have version {told}: lower floors hold"));
                };
                if let Some(a) = &mut self.agreed {
                    a.changed_at = index;
                }
                self.mode(format!(
                    "plans: change {} holds, by {}: {}; {} things move",
                    e.number,
                    e.change.who,
                    e.change.why,
                    moves.len()
                ));
                if let Some(number) = mine {
                    let (number_, version, in_force_s) = (e.number, e.version, settle.secs());
                    let reply =
                        PlanReply::Applied { number: number_, version, lines, in_force_s, dry_run: false };
                    self.agreed_reply(number, reply);
                }
            }
            Err(why) => {
                if is_change {
                    self.mode(format!("plans: a change is refused: {why}"));
                }
                if let Some(number) = mine {
                    self.agreed_reply(number, PlanReply::Refused { why });
                }
            }
        }
    }

    fn agreed_restore(&mut self, now: Instant, index: u64, state: &[u8]) {
        let Some(plans) = self.plans.as_mut() else { return };
        if let Some(a) = &mut self.agreed {
            a.changed_at = index;
        }
        let restored = match state {
            // A log's beginning: what the settings say.
            [] => Ok(plans.agreed_anew()),
            state => plans.agreed_restore(state),
        };
        match restored {
            Ok(moves) => self.go_by(now, &moves),
            Err(e) => self.mode(format!("plans: what the fleet agreed on can't be read here: {e}")),
        }
    }

    pub(super) fn ask_agreed(&mut self, now: Instant, wall_us: u64, request: u64, ask: PlanAsk) {
        let reply = |why: String| Reply::Plan(PlanReply::Refused { why });
        let (Some(a), Some(plans)) = (&mut self.agreed, &self.plans) else { return };
        let (change, dry_run) = match ask {
            PlanAsk::Show | PlanAsk::Log => {
                if a.reads.len() >= READS {
                    let reply = reply(format!("{READS} asks wait already"));
                    return self.outputs.push_back(Output::Reply { request, reply });
                }
                // Never stale: answered once all that was agreed on before the ask is here.
                let seq = a.replica.request_read(now);
                a.reads.push((seq, now + TimeDelta::from_secs(READ_S), request, ask));
                return self.go_on_agreed(now);
            }
            PlanAsk::Apply { change, dry_run } => (Ok(change), dry_run),
            PlanAsk::Undo { number, who, why, dry_run } => (plans.undoing(number, &who, &why), dry_run),
        };
        let reply = match change {
            Err(why) => Some(reply(why)),
            Ok(change) if dry_run => Some(match plans.agreed_try(wall_us, change) {
                Ok((number, version, lines)) => {
                    let in_force_s = a.settle().secs();
                    Reply::Plan(PlanReply::Applied { number, version, lines, in_force_s, dry_run })
                }
                Err(why) => reply(why),
            }),
            Ok(change) => {
                let command = PlanCommand::Change { at_us: wall_us, change };
                let data = serde_json::to_vec(&command).unwrap_or_default();
                match a.replica.propose(now, data.into()) {
                    Ok(number) => {
                        a.changes.insert(number, request);
                        None
                    }
                    Err(r) => Some(reply(r.to_string())),
                }
            }
        };
        if let Some(reply) = reply {
            self.outputs.push_back(Output::Reply { request, reply });
        }
        self.go_on_agreed(now);
    }

    fn answer_reads(&mut self, now: Instant) {
        let (Some(a), Some(plans)) = (&mut self.agreed, &mut self.plans) else { return };
        let mut i = 0;
        while i < a.reads.len() {
            let (seq, until, request, _) = a.reads[i];
            let known = a.replica.is_read_ready(seq);
            if !known && now < until {
                i += 1;
                continue;
            }
            let (_, _, _, ask) = a.reads.swap_remove(i);
            let reply = match plans.ask(now, 0, request, ask) {
                Some(PlanNext::Reply(_, PlanReply::Shown(mut s))) => {
                    s.stale = !known;
                    s.in_force_s = (a.replica.effective_at(now) - now).secs();
                    s.settle_s = a.settle().secs();
                    let followers = a.replica.status(now).followers.into_iter();
                    s.at = followers.map(|(host, f)| (host, f.stored_index)).collect();
                    PlanReply::Shown(s)
                }
                Some(PlanNext::Reply(_, PlanReply::Log { .. })) if !known => {
                    let why = "no word from those who agree on it: what this host has may be old".to_owned();
                    PlanReply::Refused { why }
                }
                Some(PlanNext::Reply(_, reply)) => reply,
                _ => continue,
            };
            self.outputs.push_back(Output::Reply { request, reply: Reply::Plan(reply) });
        }
    }

    pub(super) fn ask_agreement(&mut self, now: Instant, request: u64, ask: AgreementAsk) {
        let reply = match (&mut self.agreed, ask) {
            (None, _) => {
                AgreementReply::Refused { why: "this host has no agreement block in its settings".into() }
            }
            (Some(a), AgreementAsk::Status) => {
                let mut s = a.status(now);
                if let Some(p) = &self.plans {
                    (s.version, s.told, s.posture) = (p.version(), p.told().0, p.is_in_posture());
                }
                AgreementReply::Status(Box::new(s))
            }
            (Some(_), AgreementAsk::Force { who, why }) => self.by_force(now, &who, &why, false),
            (Some(_), AgreementAsk::Forget { who, why }) => self.by_force(now, &who, &why, true),
            (Some(a), AgreementAsk::Voter { host, votes }) => {
                let changed = match votes {
                    true => a.replica.raft.add_voter(now, host),
                    false => a.replica.raft.remove_voter(now, host),
                };
                match changed {
                    Ok(index) => AgreementReply::Taken { index },
                    Err(r) => AgreementReply::Refused { why: r.to_string() },
                }
            }
        };
        self.outputs.push_back(Output::Reply { request, reply: Reply::Agreement(reply) });
        self.go_on_agreed(now);
    }

    /// What an operator does by force, with who and why in the audit trail before it is said to be done.
    fn by_force(&mut self, now: Instant, who: &str, why: &str, forget: bool) -> AgreementReply {
        let at_us = self.wall_us(now);
        let text = |t: &str| !t.trim().is_empty() && t.len() <= 200 && !t.contains(char::is_control);
        if !text(who) || !text(why) {
            let why = format!("who {who:?}, why {why:?}; expected 1 to 200 printable bytes each");
            return AgreementReply::Refused { why };
        }
        let Some(a) = &mut self.agreed else {
            return AgreementReply::Refused {
                why: "this host has no agreement block in its settings".into(),
            };
        };
        let state = self.plans.as_ref().map(Plans::agreed_bytes).unwrap_or_default();
        let done = match forget {
            true => a.replica.discard_log(now).map(|()| 0),
            false => a.replica.force_new_log(now, &state),
        };
        let log = match done {
            Ok(log) => log,
            Err(r) => return AgreementReply::Refused { why: r.to_string() },
        };
        a.changed_at = a.replica.commit_index();
        let what = match forget {
            true => format!("agreement: forgot its log: {why}"),
            false => format!("agreement: forced, log {log:x}, from entry {}: {why}", a.changed_at),
        };
        let audit = tackmast_overrides::Audit {
            at_us,
            kind: tackmast_overrides::AuditKind::Forced,
            id: None,
            who: who.to_owned(),
            what,
        };
        let keep = Keep { audits: vec![audit], ..Keep::default() };
        self.outputs.push_back(Output::Keep { request: 0, keep });
        AgreementReply::Done { log }
    }
}
