//! Completed writes of the store, and the requests that wait for them.

use super::Core;
use crate::admin_request::AdminResponse;
use crate::error::PersistError;
use crate::override_requests::{OverrideRequests, PersistedOverride};
use crate::plans::{PersistedChange, Plans};
use tackmast::interface::Instant;

impl Core {
    /// Handles the completion of a `PersistBatch` by the store, under the request number of its `Output::Persist`.
    pub fn handle_persisted(&mut self, now: Instant, request: u64, result: Result<(), PersistError>) {
        if self.handle_consensus_persisted(now, request, &result) {
            return;
        }
        self.handle_plan_persisted(now, request, result.clone());
        self.handle_override_persisted(now, request, result);
    }

    /// Applies a change of plans that was persisted, and starts the next queued plan request.
    fn handle_plan_persisted(&mut self, now: Instant, request: u64, result: Result<(), PersistError>) {
        let Some(plans) = &mut self.plans else { return };
        if let Some(PersistedChange { response, applied }) = plans.handle_persisted(now, request, result) {
            if let Some(change) = applied {
                self.apply_change(now, change);
                self.process_peer_events(now);
            }
            self.respond(request, AdminResponse::Plan(response));
        }
        if let Some((request, plan_request)) = self.plans.as_mut().and_then(Plans::next_queued) {
            self.handle_plan_request(now, request, plan_request);
        }
    }

    /// Applies a change of overrides that was persisted, and starts the next queued override request.
    fn handle_override_persisted(&mut self, now: Instant, request: u64, result: Result<(), PersistError>) {
        let Some(requests) = &mut self.override_requests else { return };
        if let Some(PersistedOverride { response, event }) = requests.handle_persisted(now, request, result) {
            if let Some(peers) = &mut self.peers {
                peers.handle_override_response(now, &response);
            }
            self.emit(event);
            self.apply_changed_overrides(now);
            self.respond(request, response);
        }
        let queued = self.override_requests.as_mut().and_then(OverrideRequests::next_queued);
        if let Some((request, admin_request)) = queued {
            self.handle_admin_request(now, request, admin_request);
        }
    }
}
