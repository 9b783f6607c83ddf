//! Plan requests while changes need consensus: reads, previews and proposals.

use super::Core;
use crate::admin_request::AdminResponse;
use crate::consensus::{WaitingRead, MAX_WAITING_READS, READ_TIMEOUT};
use crate::output::Output;
use crate::plans::{ChangePreview, PlanOutcome, PlanRequest, PlanResponse};
use tackmast::interface::Instant;
use tackmast_plans::{Change, Command as PlanCommand};

impl Core {
    pub(super) fn handle_replicated_plan_request(
        &mut self,
        now: Instant,
        wall_us: u64,
        request: u64,
        plan_request: PlanRequest,
    ) {
        if self.consensus.is_none() || self.plans.is_none() {
            return;
        }
        let response = match plan_request {
            PlanRequest::Show | PlanRequest::Log => {
                if let Some(refused) = self.begin_read(now, request, plan_request) {
                    let response = AdminResponse::Plan(refused);
                    return self.respond(request, response);
                }
                None
            }
            PlanRequest::Apply { change, dry_run: true } => self.preview(wall_us, change),
            PlanRequest::Apply { change, dry_run: false } => self.propose(now, wall_us, request, change),
            PlanRequest::Undo { number, who, why, dry_run } => {
                let Some(plans) = &self.plans else { return };
                match plans.undo_change(number, &who, &why) {
                    Err(error) => Some(PlanResponse::Refused { why: error.to_string() }),
                    Ok(change) if dry_run => self.preview(wall_us, change),
                    Ok(change) => self.propose(now, wall_us, request, change),
                }
            }
        };
        if let Some(response) = response {
            let response = AdminResponse::Plan(response);
            self.respond(request, response);
        }
        self.advance_consensus(now);
    }

    /// Begins a linearizable read, which is answered once this host has applied all entries committed before the request.
    ///
    /// Returns a refusal if too many reads are waiting.
    fn begin_read(&mut self, now: Instant, request: u64, plan_request: PlanRequest) -> Option<PlanResponse> {
        let consensus = self.consensus.as_mut()?;
        if consensus.reads.len() >= MAX_WAITING_READS {
            return Some(PlanResponse::Refused { why: format!("{MAX_WAITING_READS} reads wait already") });
        }
        let read = consensus.replica.request_read(now);
        let deadline = now + READ_TIMEOUT;
        consensus.reads.push(WaitingRead { read, deadline, request, plan_request });
        None
    }

    /// Returns what a change would do, based on the plans that this host has.
    fn preview(&self, wall_us: u64, change: Change) -> Option<PlanResponse> {
        let (consensus, plans) = (self.consensus.as_ref()?, self.plans.as_ref()?);
        Some(match plans.preview_change(wall_us, change) {
            Ok(ChangePreview { number, version, lines }) => {
                let in_force_s = consensus.settle_time().secs();
                PlanResponse::Applied { number, version, lines, in_force_s, dry_run: true }
            }
            Err(error) => PlanResponse::Refused { why: error.to_string() },
        })
    }

    /// Proposes a change. The request is answered when the change is committed or the proposal times out.
    ///
    /// Returns a refusal if the change can't be proposed.
    fn propose(&mut self, now: Instant, wall_us: u64, request: u64, change: Change) -> Option<PlanResponse> {
        let consensus = self.consensus.as_mut()?;
        let command = PlanCommand::Change { at_us: wall_us, change };
        let data = serde_json::to_vec(&command).unwrap_or_default();
        match consensus.replica.propose(now, data.into()) {
            Ok(number) => {
                consensus.changes.insert(number, request);
                None
            }
            Err(error) => Some(PlanResponse::Refused { why: error.to_string() }),
        }
    }

    /// Answers the reads that are ready, and those that have reached their deadline.
    pub(super) fn complete_reads(&mut self, now: Instant) {
        let (Some(consensus), Some(plans)) = (&mut self.consensus, &mut self.plans) else { return };
        let mut index = 0;
        while index < consensus.reads.len() {
            let waiting = &consensus.reads[index];
            let is_ready = consensus.replica.is_read_ready(waiting.read);
            if !is_ready && now < waiting.deadline {
                index += 1;
                continue;
            }
            let WaitingRead { request, plan_request, .. } = consensus.reads.swap_remove(index);
            let response = match plans.handle_request(now, 0, request, plan_request) {
                Some(PlanOutcome::Respond { response: PlanResponse::Shown(mut status), .. }) => {
                    status.stale = !is_ready;
                    status.in_force_s = (consensus.replica.effective_at(now) - now).secs();
                    status.settle_s = consensus.settle_time().secs();
                    let followers = consensus.replica.status(now).followers.into_iter();
                    status.reported_changes =
                        followers.map(|(host, follower)| (host, follower.stored_index)).collect();
                    PlanResponse::Shown(status)
                }
                Some(PlanOutcome::Respond { response: PlanResponse::Log { .. }, .. }) if !is_ready => {
                    let why = "no majority confirmed this host's log in time: it may be outdated".to_owned();
                    PlanResponse::Refused { why }
                }
                Some(PlanOutcome::Respond { response, .. }) => response,
                _ => continue,
            };
            let response = AdminResponse::Plan(response);
            self.outputs.push_back(Output::AdminResponse { request, response });
        }
    }
}
