//! Overrides that the script sets at hosts, as an operator would.

#[cfg(test)]
mod tests;

use super::{Runner, CHECK_INTERVAL};
use crate::script::{admin_socket, Action};
use std::time::Duration;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse};
use tackmast_overrides::{Kind, OverrideRequest, Target};
use tackmast_trace::{now_us, Event};

/// How long a host may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after its end an override may still be visible, in microseconds.
const VISIBILITY_GRACE_US: u64 = 100_000;

/// An override at a host.
struct HostOverride {
    id: u64,
    host: u32,
    ends_us: u64,
    nodes: Vec<String>,
    /// Whether it takes the nodes out of service.
    is_out_of_service: bool,
}

/// The overrides that the script has set, each until it was checked after its end.
#[derive(Default)]
pub(super) struct HostOverrides {
    in_force: Vec<HostOverride>,
    /// Overrides that have ended, and may still be visible.
    ended: Vec<HostOverride>,
}

impl HostOverrides {
    /// Ends the overrides whose end has come by now, and returns these.
    fn end_due(&mut self, now_us: u64) -> &[HostOverride] {
        let first_new = self.ended.len();
        self.ended.extend(self.in_force.extract_if(.., |entry| entry.ends_us <= now_us));
        &self.ended[first_new..]
    }

    /// Removes and returns the overrides that must not be visible any more.
    fn take_invisible(&mut self, now_us: u64) -> Vec<HostOverride> {
        self.ended.extract_if(.., |entry| entry.ends_us + VISIBILITY_GRACE_US <= now_us).collect()
    }
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
                self.overrides.in_force.push(HostOverride { id, host, ends_us, nodes, is_out_of_service });
            }
            AdminResponse::Refused(_) if options.must_be_refused => {}
            other => self.fail(format!("order at host {host}: {other:?}")),
        }
    }

    /// Records that the nodes of overrides whose end has come may be used again.
    pub(super) fn record_ended_overrides(&mut self) {
        for entry in self.overrides.end_due(now_us()) {
            for node in entry.nodes.iter().filter(|_| entry.is_out_of_service) {
                // The nodes may be used from the override's end on, not only from this check on.
                let event = Event::Ordered { host: entry.host, node: node.clone(), out: false };
                self.recorder.note_at(entry.ends_us, event);
            }
        }
    }

    /// Checks that overrides which ended some time ago are not visible any more.
    pub(super) fn check_ended_overrides(&mut self) {
        for entry in self.overrides.take_invisible(now_us()) {
            if self.running_host(entry.host).is_some() {
                self.check_not_visible(&entry);
            }
        }
    }

    /// Waits until all overrides that have ended were checked.
    pub(super) fn check_last_overrides(&mut self) {
        while !self.overrides.ended.is_empty() {
            std::thread::sleep(CHECK_INTERVAL);
            self.check_ended_overrides();
        }
    }

    fn check_not_visible(&mut self, entry: &HostOverride) {
        let call = Call::AdminRequest(AdminRequest::List);
        match tackmast_admin::call(&admin_socket(&self.directory, entry.host), &call, CALL_TIMEOUT) {
            Ok(Answer::AdminResponse(response)) => {
                let AdminResponse::List { overrides, .. } = *response else { return };
                if overrides.iter().any(|(record, _)| record.id.0 == entry.id) {
                    let (id, host) = (entry.id, entry.host);
                    self.fail(format!("override {id} of host {host} is visible past its end"));
                }
            }
            other => self.fail(format!("list of host {}: {other:?}", entry.host)),
        }
    }
}
