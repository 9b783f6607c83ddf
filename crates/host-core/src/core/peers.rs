//! Peers: datagrams, what follows from them, and plans that change.

use super::*;

impl Core {
    /// Whether clients are to wait until this host knows the newest change of plans. A host that restarts may have outdated plans: a lower
    /// limit may apply by now, which its volumes would exceed.
    pub(super) fn must_wait_for_catalog(&mut self, now: Instant) -> bool {
        if self.consensus.is_some() {
            // A host without a lease is in degraded mode, which covers this.
            return false;
        }
        let Some(plans) = &mut self.plans else { return false };
        let up_to_date = self.peers.as_ref().is_none_or(|peers| peers.member.catalog.is_up_to_date());
        plans.must_wait_for_catalog(now, up_to_date)
    }

    /// Lets plans change while the host runs.
    pub fn with_plans(&mut self, now: Instant, mut plans: Plans, stored: StoredPlans) {
        let updates = plans.resume();
        if stored == StoredPlans::Nothing {
            let batch =
                PersistBatch { changes: vec![(0, plans.checkpoint_line())], ..PersistBatch::default() };
            self.outputs.push_back(Output::Persist { request: 0, batch });
        }
        if let Some(peers) = self.peers.as_mut().filter(|_| self.consensus.is_none()) {
            peers.enable_catalog(&plans);
        }
        self.plans = Some(plans);
        self.apply_plan_updates(now, &updates);
        if self.consensus.is_some() {
            // Until it has a lease this host is in degraded mode.
            let updates = self.plans.as_mut().map(Plans::all_updates).unwrap_or_default();
            self.apply_plan_updates(now, &updates);
            self.process_consensus_outputs(now);
        }
    }

    /// The plans that change while the host runs, where there are any.
    pub fn plans(&self) -> Option<&Plans> {
        self.plans.as_ref()
    }

    /// Passes changed plans to the scheduler, and changed limits to the quota leases.
    pub(super) fn apply_plan_updates(&mut self, now: Instant, updates: &[PlanUpdate]) {
        for update in updates {
            match update {
                PlanUpdate::Plan { plan, figures } => self.scheduler.plan_changed(now, *plan, *figures),
                PlanUpdate::Volume { name, plan } => {
                    let Some(volume) = self.layout.volume_named(name) else { continue };
                    self.layout.set_plan(volume, plan.0);
                    self.scheduler.volume_plan_changed(now, VolumeId(volume as u32), *plan);
                }
            }
        }
        let Some((peers, plans)) = self.peers.as_mut().zip(self.plans.as_ref()) else { return };
        for volume in self.layout.volumes() {
            if let Some(limit) = plans.limit_of(&volume.name) {
                peers.member.leases.set_limit(volume.lun, limit.limit);
            }
        }
    }

    /// A change applies here: it is replicated to peers.
    pub(super) fn apply_change(&mut self, now: Instant, change: AppliedChange) {
        self.emit(change.event);
        self.apply_plan_updates(now, &change.updates);
        if let Some(peers) = &mut self.peers {
            let version = tackmast_membership::CatalogVersion { number: change.number, mark: change.mark };
            let text = Bytes::from(change.text);
            peers.member.handle_catalog_applied(now, version, text, change.effective_at);
        }
    }

    /// The same for a change of a peer, which this host's store does not have yet.
    fn apply_and_persist_change(&mut self, now: Instant, change: AppliedChange) {
        let batch =
            PersistBatch { changes: vec![(change.number, change.text.clone())], ..PersistBatch::default() };
        self.apply_change(now, change);
        self.outputs.push_back(Output::Persist { request: 0, batch });
    }

    pub(super) fn handle_plan_request(&mut self, now: Instant, request: u64, plan_request: PlanRequest) {
        let wall_us = self.wall_us(now);
        if self.consensus.is_some() {
            return self.handle_replicated_plan_request(now, wall_us, request, plan_request);
        }
        // A home that has lost its store would give a new change the number of one that other hosts have applied, and the hosts would
        // have different plans for good. So it takes back what the others have before it accepts a change.
        let writes = matches!(plan_request, PlanRequest::Apply { .. } | PlanRequest::Undo { .. });
        let missing = self.peers.as_ref().and_then(|peers| peers.member.catalog.missing());
        if let Some(missing) = missing.filter(|_| writes) {
            let newest = self.plans.as_ref().map_or(0, Plans::newest);
            let why = format!(
                "others go by change {missing}, this host by {newest}; ask again when it has caught up"
            );
            let response = AdminResponse::Plan(PlanResponse::Refused { why });
            return self.outputs.push_back(Output::AdminResponse { request, response });
        }
        let plans = self.plans.as_mut();
        let next = plans.and_then(|plans| plans.handle_request(now, wall_us, request, plan_request));
        match next {
            None => {}
            Some(PlanOutcome::Persist { request, entry }) => {
                let batch = PersistBatch {
                    changes: vec![(entry.number, entry.to_line())],
                    ..PersistBatch::default()
                };
                self.outputs.push_back(Output::Persist { request, batch });
            }
            Some(PlanOutcome::Respond { request, mut response }) => {
                if let (PlanResponse::Shown(status), Some(peers)) = (&mut response, &self.peers) {
                    status.at = peers.member.catalog.peer_versions().clone();
                }
                self.outputs
                    .push_back(Output::AdminResponse { request, response: AdminResponse::Plan(response) });
            }
        }
    }

    /// This host takes part in membership from now on.
    pub fn with_peers(&mut self, now: Instant, peers: Peers) {
        if let Some(override_requests) = &mut self.override_requests {
            override_requests.me = Some(peers.me());
        }
        self.peers = Some(peers);
        let is_replicated_by_peers = self.consensus.is_none();
        if let Some((peers, plans)) = self.peers.as_mut().zip(self.plans.as_ref()) {
            if is_replicated_by_peers {
                peers.enable_catalog(plans);
            }
        }
        self.apply_plan_updates(now, &[]);
        let requests = self.override_requests.as_ref();
        let active = requests.map(|requests| requests.overrides.list(now)).unwrap_or_default();
        if let Some(peers) = &mut self.peers {
            active.iter().for_each(|(record, left_s)| peers.add_override(now, record, *left_s));
        }
        self.process_peer_events(now);
    }

    /// Bytes from another host.
    pub fn handle_datagram(&mut self, now: Instant, from: std::net::SocketAddr, bytes: Bytes) {
        if let Some(peers) = &mut self.peers {
            peers.member.handle_datagram(now, from, bytes);
            self.process_peer_events(now);
        }
    }

    /// The host leaves gracefully and lends its quota to others. That it leaves has been persisted: else its next generation would use
    /// what is still lent.
    pub fn begin_leave(&mut self, now: Instant) {
        if let Some(peers) = &mut self.peers {
            peers.member.begin_leave(now);
            self.process_peer_events(now);
        }
    }

    /// Its last message to the peers.
    pub fn announce_leave(&mut self, now: Instant) {
        if let Some(peers) = &mut self.peers {
            peers.member.announce_leave(now);
            self.process_peer_events(now);
        }
    }

    /// Whether this host has begun to leave.
    pub fn is_leaving(&self) -> bool {
        self.peers.as_ref().is_some_and(|peers| peers.member.leases.is_leaving())
    }

    /// Whether the persisted mark of an earlier leave may be removed: all quota leases of then have ended.
    pub fn have_earlier_leases_ended(&self, now: Instant) -> bool {
        self.peers.as_ref().is_none_or(|peers| peers.member.leases.have_earlier_leases_ended(now))
    }

    /// Processes what follows from messages of peers, and from the time.
    pub(super) fn process_peer_events(&mut self, now: Instant) {
        loop {
            let Some(peers) = &mut self.peers else { return };
            let Some(next) = peers.next(now, &self.layout) else { return };
            match next {
                PeerEvent::AliveHosts(hosts) => self.scheduler.alive_hosts_changed(hosts),
                PeerEvent::QuotaChanged { volume, balance } => {
                    let settings = self.layout.volume(volume);
                    let leases =
                        QuotaLeases { lent: balance.lent, borrowed: balance.borrowed, until: balance.until };
                    let change = LeaseChange {
                        volume: VolumeId(volume as u32),
                        plan: PlanId(settings.plan),
                        hosts: settings.hosts,
                        leases,
                    };
                    self.scheduler.quota_leases_changed(now, change);
                }
                PeerEvent::Send { to, bytes } => self.outputs.push_back(Output::Datagram { to, bytes }),
                PeerEvent::Event(event) => self.emit(HostEvent::Membership(event)),
                PeerEvent::AdminRequest { request, admin_request } => {
                    self.handle_admin_request(now, request, admin_request)
                }
                PeerEvent::Persist(members) => {
                    let batch = PersistBatch { members: Some(members), ..PersistBatch::default() };
                    self.outputs.push_back(Output::Persist { request: 0, batch });
                }
                PeerEvent::NodeList(event) => self.handle_peer_node_list(now, event),
                PeerEvent::ConsensusMessage { from, slot, body } => {
                    self.handle_consensus_message(now, from, slot, body)
                }
                PeerEvent::CatalogUpdate(update) => {
                    let Some(plans) = &mut self.plans else { continue };
                    let ends = peers.member.catalog.deadline(update.number, now);
                    match plans.apply_peer_change(&update.text, ends) {
                        Ok(change) => self.apply_and_persist_change(now, change),
                        Err(why) => {
                            peers.member.catalog.handle_rejected();
                            let (change, error) = (Some(update.number), why.to_string());
                            self.emit(PlanEvent::ChangeRejected { change, error });
                        }
                    }
                }
            }
        }
    }
}
