//! Operators: orders, what is kept of them, and plans that move.

use super::*;

impl Sim<'_> {
    /// An order at one host or at all.
    pub(super) fn set_override(&mut self, host: Option<u32>, node_index: u32, kind: OrderKind, for_us: Us) {
        let Ok(address) = self.nodes[node_index as usize].address.parse() else { return };
        let (reason, who, seconds) = ("drawn".into(), "lab".into(), for_us as f64 / 1e6);
        let override_request =
            OverrideRequest { target: Target::Node(address), kind, reason, who, seconds, origin: None };
        for h in (0..self.world.hosts).filter(|h| host.is_none_or(|x| x == *h)) {
            if !self.hosts[h as usize].up || self.hosts[h as usize].paused_until > self.now {
                continue;
            }
            let (now, override_request) = (self.time(h), override_request.clone());
            // Each shard has one node here: taking it out of service needs force.
            let ask = AdminRequest::Set { override_request, force: true, dry_run: false, if_version: None };
            if let Some(core) = self.hosts[h as usize].core.core() {
                core.handle_admin_request(now, 1, ask);
            }
            self.poll_host(h);
        }
    }

    /// The host's store takes all it is given.
    pub(super) fn persist(&mut self, host_index: u32, request: u64, keep: PersistBatch) {
        let kept = &mut self.kept[host_index as usize];
        for o in keep.put {
            kept.next = kept.next.max(o.id.0 + 1);
            kept.overrides.insert(o.id, o);
        }
        keep.remove.iter().for_each(|id| _ = kept.overrides.remove(id));
        if let Some(m) = keep.members {
            kept.members = m.peers;
        }
        for (number, line) in keep.changes {
            kept.changes.insert(number, line);
            self.plan_adoption.entry(number).or_default().entry(host_index).or_insert(self.now);
        }
        let now = self.time(host_index);
        if let Some(core) = self.hosts[host_index as usize].core.core().filter(|_| request > 0) {
            core.handle_persisted(now, request, Ok(()));
        }
    }

    pub(super) fn on_admin_response(&mut self, host: u32, reply: AdminResponse) {
        match reply {
            AdminResponse::Set { record, preview, dry_run: false } => {
                self.run.orders.0 += 1;
                let left = record.ends_us.saturating_sub(record.set_us);
                for (node, _, _) in preview.changes.iter().filter(|_| record.kind == OrderKind::OutOfService)
                {
                    let node = node.to_string();
                    self.record(tackmast_trace::Event::Ordered { host, node: node.clone(), out: true });
                    // By the host's own steady clock, which may be a little early.
                    let early = (left as f64 * self.world.drift) as Us;
                    self.push(self.now + left - early, Event::OrderOver(host, node));
                }
            }
            AdminResponse::Refused(_) => self.run.orders.1 += 1,
            AdminResponse::Plan(PlanResponse::Applied { number, .. }) => {
                let core = self.hosts[host as usize].core.core();
                let Some(VolumeLimit { limit, burst, slack }) =
                    core.and_then(|c| c.plans()).and_then(|p| p.limit_of("school"))
                else {
                    return;
                };
                let limit = if self.mutant == Some(Mutant::PlanIgnored) { limit * 0.3 } else { limit };
                self.acknowledged.insert(number, self.run.trace.len());
                let in_force_us = self.now + (PLANS_SETTLE_S * 1e6) as Us;
                self.record(tackmast_trace::Event::PlanMoved { volume: 1, limit, burst, slack, in_force_us });
            }
            _ => {}
        }
    }

    /// The host that takes changes is asked to make the limited volume's plan so many times what the settings say.
    pub(super) fn change_plan(&mut self, limit_times: f64, burst_times: f64) {
        let home = 0;
        if !self.hosts[home].up || self.hosts[home].paused_until > self.now {
            return;
        }
        let now = self.time(home as u32);
        let plan_settings = &self.settings[home].plans[0];
        let (name, weight) = (plan_settings.name.clone(), plan_settings.weight);
        let to = tackmast_plans::Plan {
            limit: plan_settings.limit * limit_times,
            burst: plan_settings.burst * burst_times,
            slack: plan_settings.slack,
            reserve: plan_settings.reserve,
            weight,
            floor: plan_settings.floor,
        };
        let Some(core) = self.hosts[home].core.core() else { return };
        let Some(base) = core.plans().map(|plans| plans.status(now).catalogue.version) else {
            return;
        };
        let steps = vec![tackmast_plans::Step::Plan { name, to: Some(to) }];
        let change = tackmast_plans::Change { base, steps, who: "lab".into(), why: "drawn".into() };
        core.handle_admin_request(now, 1, AdminRequest::Plan(PlanRequest::Apply { change, dry_run: false }));
        self.poll_host(home as u32);
    }

    /// Records when each change of plans was in force: once all hosts that serve its volume have adopted it or a later
    /// one. A host that was partitioned off adopts it late, and applies the former plan until then.
    pub(super) fn record_plan_convergence(&mut self) {
        let few = self.world.limited_hosts.min(self.world.hosts);
        for (number, at) in &self.acknowledged {
            let when = |h: u32| {
                let later = self.plan_adoption.range(number..).filter_map(|(_, went)| went.get(&h));
                later.min().copied().unwrap_or(Us::MAX)
            };
            let last = (0..few).map(when).max().unwrap_or(0);
            let Some(line) = self.run.trace.get_mut(*at) else { continue };
            if let tackmast_trace::Event::PlanMoved { in_force_us, .. } = &mut line.event {
                self.run.plans.0 += 1;
                self.run.plans.1 += u64::from(last <= *in_force_us);
                *in_force_us = (*in_force_us).max(last).min(self.now);
            }
        }
    }
}
