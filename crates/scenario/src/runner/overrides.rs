//! Overrides that the script sets at hosts, as an operator would.

use super::Runner;
use crate::script::{admin_socket, Action};
use std::time::Duration;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse};
use tackmast_overrides::{Kind, OverrideRequest, Target};
use tackmast_trace::{now_us, Event};

/// How long a host may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after its end an override may still be visible.
const VISIBILITY_GRACE: Duration = Duration::from_millis(100);

/// An override in force at a host.
pub(super) struct OverrideInForce {
    id: u64,
    host: u32,
    ends_us: u64,
    nodes: Vec<String>,
    /// Whether it takes the nodes out of service.
    is_out_of_service: bool,
}

/// How an override is set.
#[derive(Clone, Copy)]
struct SetOptions {
    must_be_refused: bool,
    force: bool,
}

impl Runner<'_> {
    /// Sets the overrides of an action for so many seconds.
    pub(super) fn set_overrides(&mut self, action: &Action, seconds: f64) {
        let Action::Override { hosts, kind, target, nodes, refused, force } = action else { return };
        let nodes = self.nodes.named(nodes).into_iter().map(|node| Target::Node(node.address()));
        let targets: Vec<Target> = nodes.chain(*target).collect();
        let hosts: Vec<u32> = match hosts.is_empty() {
            true => (0..self.script.scenario.hosts).collect(),
            false => hosts.clone(),
        };
        let options = SetOptions { must_be_refused: *refused, force: *force };
        for target in targets {
            let (reason, who) = ("the script says so".to_owned(), "day".to_owned());
            let override_request =
                OverrideRequest { target, kind: *kind, reason, who, seconds, origin: None };
            hosts.iter().for_each(|host| self.set_override(*host, &override_request, options));
        }
    }

    /// Sets an override at one host, and records which nodes it takes out of service.
    fn set_override(&mut self, host: u32, override_request: &OverrideRequest, options: SetOptions) {
        let (override_request, force) = (override_request.clone(), options.force);
        let request = AdminRequest::Set { override_request, force, dry_run: false, if_version: None };
        let socket = admin_socket(&self.directory, host);
        let response = match tackmast_admin::call(&socket, &Call::AdminRequest(request), CALL_TIMEOUT) {
            Ok(Answer::AdminResponse(response)) => *response,
            other => return self.fail(format!("order at host {host}: {other:?}")),
        };
        match response {
            AdminResponse::Set { record, preview, .. } if !options.must_be_refused => {
                let is_out_of_service = record.kind == Kind::OutOfService;
                let nodes: Vec<String> =
                    preview.changes.iter().map(|(address, _, _)| address.to_string()).collect();
                for node in nodes.iter().filter(|_| is_out_of_service) {
                    self.recorder.note(Event::Ordered { host, node: node.clone(), out: true });
                }
                let (id, ends_us) = (record.id.0, record.ends_us);
                self.overrides.push(OverrideInForce { id, host, ends_us, nodes, is_out_of_service });
            }
            AdminResponse::Refused(_) if options.must_be_refused => {}
            other => self.fail(format!("order at host {host}: {other:?}")),
        }
    }

    /// Checks that overrides whose end has come are not visible any more, and records that their nodes may be used again.
    pub(super) fn check_ended_overrides(&mut self) {
        let now = now_us();
        let (ended, in_force) =
            std::mem::take(&mut self.overrides).into_iter().partition(|entry| entry.ends_us <= now);
        self.overrides = in_force;
        let ended: Vec<OverrideInForce> = ended;
        for entry in ended {
            for node in entry.nodes.iter().filter(|_| entry.is_out_of_service) {
                // The nodes may be used from the override's end on, not only from this check on.
                let event = Event::Ordered { host: entry.host, node: node.clone(), out: false };
                self.recorder.note_at(entry.ends_us, event);
            }
            if self.running_host(entry.host).is_some() {
                let since_end = Duration::from_micros(now - entry.ends_us);
                std::thread::sleep(VISIBILITY_GRACE.saturating_sub(since_end));
                self.check_not_visible(&entry);
            }
        }
    }

    fn check_not_visible(&mut self, entry: &OverrideInForce) {
        let call = Call::AdminRequest(AdminRequest::List);
        match tackmast_admin::call(&admin_socket(&self.directory, entry.host), &call, CALL_TIMEOUT) {
            Ok(Answer::AdminResponse(response)) => {
                let AdminResponse::List { standing, .. } = *response else { return };
                if standing.iter().any(|(record, _)| record.id.0 == entry.id) {
                    let (id, host) = (entry.id, entry.host);
                    self.fail(format!("override {id} of host {host} is visible past its end"));
                }
            }
            other => self.fail(format!("list of host {}: {other:?}", entry.host)),
        }
    }
}
