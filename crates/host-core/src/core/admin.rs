//! Operator requests.

use super::Core;
use crate::admin_request::{AdminRequest, AdminResponse};
use crate::event::OverrideEvent;
use crate::output::Output;
use crate::override_requests::OverrideOutcome;
use crate::peers::Peers;
use tackmast::interface::Instant;

impl Core {
    /// Handles an operator request. `request` is chosen by the caller, must not be 0, and is repeated in the response.
    pub fn handle_admin_request(&mut self, now: Instant, request: u64, admin_request: AdminRequest) {
        let admin_request = match admin_request {
            AdminRequest::Plan(plan_request) if self.plans.is_some() => {
                return self.handle_plan_request(now, request, plan_request)
            }
            AdminRequest::Consensus(consensus_request) => {
                return self.handle_consensus_request(now, request, consensus_request)
            }
            other => other,
        };
        let wall_us = self.wall_us(now);
        let Some(override_requests) = &mut self.override_requests else {
            let why = "this host has no overrides block in its settings".to_owned();
            return self.respond(request, AdminResponse::Unavailable { why });
        };
        match override_requests.handle_request(now, wall_us, request, admin_request) {
            None => {}
            Some(OverrideOutcome::Persist { request, batch }) => {
                self.outputs.push_back(Output::Persist { request, batch })
            }
            Some(OverrideOutcome::Respond { request, response: AdminResponse::Status(_) }) => {
                let status = self.status(now);
                self.respond(request, AdminResponse::Status(Box::new(status)));
            }
            Some(OverrideOutcome::Respond { request, response: AdminResponse::Members(_) }) => {
                let status = self.peers.as_ref().map(|peers| peers.status(now)).unwrap_or_default();
                self.respond(request, AdminResponse::Members(Box::new(status)));
            }
            Some(OverrideOutcome::Respond { request, response: AdminResponse::Refused(refusal) })
                if Peers::is_from_peer(request) =>
            {
                self.emit(OverrideEvent::PeerOverrideRefused { refusal });
            }
            Some(OverrideOutcome::Respond { request, response: AdminResponse::Explain(mut explanation) }) => {
                let node = self.nodes.number(&explanation.address.to_string());
                let entry = node.and_then(|node| self.nodes.entry(node));
                let up_since = entry.and_then(|entry| entry.up_since);
                explanation.up_s = up_since.map(|up_since| (now - up_since).secs());
                self.respond(request, AdminResponse::Explain(explanation));
            }
            Some(OverrideOutcome::Respond { request, response }) => self.respond(request, response),
        }
    }
}
