//! Other hosts: datagrams, what follows from them, and plans that change.

use super::*;

impl Core {
    /// Against a host that comes back with plans that have moved meanwhile: a lower limit may be in force by now.
    pub(super) fn clients_wait(&mut self, now: Instant) -> bool {
        if self.agreed.is_some() {
            // What may have changed is held back by the posture of a host without a lease.
            return false;
        }
        let Some(plans) = &mut self.plans else { return false };
        let up_to_date = self.fellows.as_ref().is_none_or(|f| f.member.catalog.is_up_to_date());
        plans.clients_wait(now, up_to_date)
    }

    /// Takes plans in that change while the host runs; `first`: nothing of them is kept yet.
    pub fn with_plans(&mut self, now: Instant, mut plans: Plans, first: bool) {
        let resumed = plans.resumed();
        if first {
            let keep = Keep { changes: vec![(0, plans.anchor_line())], ..Keep::default() };
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
        if let Some(f) = self.fellows.as_mut().filter(|_| self.agreed.is_none()) {
            f.begin_papers(&plans);
        }
        self.plans = Some(plans);
        self.go_by(now, &resumed);
        if self.agreed.is_some() {
            // Until it has a lease this host goes by the floors.
            let moves = self.plans.as_mut().map(|p| p.all_moves()).unwrap_or_default();
            self.go_by(now, &moves);
            self.follow_agreed(now);
        }
    }

    pub fn plans(&self) -> Option<&Plans> {
        self.plans.as_ref()
    }

    /// Tells the module what moves, and those who lend parts of limits.
    pub(super) fn go_by(&mut self, now: Instant, moves: &[Move]) {
        for m in moves {
            match m {
                Move::Plan { plan, figures } => self.scheduler.plan_changed(now, *plan, *figures),
                Move::Volume { name, plan } => {
                    let Some(volume) = self.layout.volume_named(name) else { continue };
                    self.layout.put_under(volume, plan.0);
                    self.scheduler.volume_plan_changed(now, VolumeId(volume as u32), *plan);
                }
            }
        }
        let Some((f, plans)) = self.fellows.as_mut().zip(self.plans.as_ref()) else { return };
        for v in self.layout.volumes() {
            if let Some((limit, _, _)) = plans.limit_of(&v.name) {
                f.member.leases.set_limit(v.lun, limit);
            }
        }
    }

    /// A change holds here: others are told, and it is kept where that has not been done.
    pub(super) fn holds(&mut self, now: Instant, h: Holds, kept: bool) {
        self.mode(h.line);
        self.go_by(now, &h.moves);
        if !kept {
            let keep = Keep { changes: vec![(h.number, h.text.clone())], ..Keep::default() };
            self.outputs.push_back(Output::Keep { request: 0, keep });
        }
        if let Some(f) = &mut self.fellows {
            let version = tackmast_membership::CatalogVersion { number: h.number, mark: h.mark };
            f.member.handle_catalog_applied(now, version, Bytes::from(h.text), h.ends);
        }
    }

    pub(super) fn ask_plans(&mut self, now: Instant, request: u64, ask: PlanAsk) {
        let wall_us = self.wall_us(now);
        if self.agreed.is_some() {
            return self.ask_agreed(now, wall_us, request, ask);
        }
        // Against two changes of one number: a home that has lost what others go by takes that back first.
        let writes = matches!(ask, PlanAsk::Apply { .. } | PlanAsk::Undo { .. });
        if let Some(n) = self.fellows.as_ref().and_then(|f| f.member.catalog.missing()).filter(|_| writes) {
            let newest = self.plans.as_ref().map_or(0, Plans::newest);
            let why =
                format!("others go by change {n}, this host by {newest}; ask again when it has caught up");
            let reply = Reply::Plan(PlanReply::Refused { why });
            return self.outputs.push_back(Output::Reply { request, reply });
        }
        let next = self.plans.as_mut().and_then(|p| p.ask(now, wall_us, request, ask));
        match next {
            None => {}
            Some(PlanNext::Keep(request, entry)) => {
                let keep = Keep { changes: vec![(entry.number, entry.to_line())], ..Keep::default() };
                self.outputs.push_back(Output::Keep { request, keep });
            }
            Some(PlanNext::Reply(request, mut reply)) => {
                if let (PlanReply::Shown(s), Some(f)) = (&mut reply, &self.fellows) {
                    s.at = f.member.catalog.peer_versions().clone();
                }
                self.outputs.push_back(Output::Reply { request, reply: Reply::Plan(reply) });
            }
        }
    }

    /// Takes this host in among others.
    pub fn with_fellows(&mut self, now: Instant, fellows: Fellows) {
        if let Some(orders) = &mut self.orders {
            orders.me = Some(fellows.me());
        }
        self.fellows = Some(fellows);
        let alone = self.agreed.is_none();
        if let Some((f, plans)) = self.fellows.as_mut().zip(self.plans.as_ref()).filter(|_| alone) {
            f.begin_papers(plans);
        }
        self.go_by(now, &[]);
        let standing = self.orders.as_ref().map(|o| o.overrides.list(now)).unwrap_or_default();
        if let Some(f) = &mut self.fellows {
            standing.iter().for_each(|(o, left)| f.stands(now, o, *left));
        }
        self.follow_fellows(now);
    }

    /// Bytes from another host.
    pub fn datagram(&mut self, now: Instant, from: std::net::SocketAddr, bytes: Bytes) {
        if let Some(f) = &mut self.fellows {
            f.member.handle_datagram(now, from, bytes);
            self.follow_fellows(now);
        }
    }

    /// The host leaves in order and lends what it has; the mark that it does so lasts already.
    pub fn leave(&mut self, now: Instant) {
        if let Some(f) = &mut self.fellows {
            f.member.begin_leave(now);
            self.follow_fellows(now);
        }
    }

    /// Its last word to the others.
    pub fn left(&mut self, now: Instant) {
        if let Some(f) = &mut self.fellows {
            f.member.announce_leave(now);
            self.follow_fellows(now);
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.fellows.as_ref().is_some_and(|f| f.member.leases.is_leaving())
    }

    /// Whether the mark of an earlier leave may go: nothing that was lent can be out any more.
    pub fn is_free(&self, now: Instant) -> bool {
        self.fellows.as_ref().is_none_or(|f| f.member.leases.have_earlier_leases_ended(now))
    }

    /// What follows from what other hosts said, and from the time.
    pub(super) fn follow_fellows(&mut self, now: Instant) {
        loop {
            let Some(f) = &mut self.fellows else { return };
            let Some(next) = f.next(now, &self.layout) else { return };
            match next {
                Followed::There(hosts) => self.scheduler.alive_hosts_changed(hosts),
                Followed::Moved { volume, m } => {
                    let v = self.layout.volume(volume);
                    let (id, plan) = (VolumeId(volume as u32), PlanId(v.plan));
                    let leases = QuotaLeases { lent: m.lent, borrowed: m.borrowed, until: m.until };
                    let change = LeaseChange { volume: id, plan, hosts: v.hosts, leases };
                    self.scheduler.quota_leases_changed(now, change);
                }
                Followed::Send { to, bytes } => self.outputs.push_back(Output::Datagram { to, bytes }),
                Followed::Mode(line) => self.mode(line),
                Followed::Ask(request, ask) => self.ask(now, request, ask),
                Followed::Remember(r) => {
                    let keep = Keep { members: Some(r), ..Keep::default() };
                    self.outputs.push_back(Output::Keep { request: 0, keep });
                }
                Followed::NodeList(c) => self.list_of_others(now, c),
                Followed::Word { from, slot, body } => self.agreed_word(now, from, slot, body),
                Followed::CatalogUpdate(p) => {
                    let Some(plans) = &mut self.plans else { continue };
                    let ends = f.member.catalog.deadline(p.number, now);
                    match plans.came(&p.text, ends) {
                        Ok(h) => self.holds(now, h, false),
                        Err(why) => {
                            f.member.catalog.handle_rejected();
                            self.mode(format!("plans: change {} is not taken: {why}", p.number));
                        }
                    }
                }
            }
        }
    }
}
