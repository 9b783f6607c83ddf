//! Requests to the admin sockets of hosts.

use crate::script::admin_socket;
use std::path::Path;
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{
    AdminRequest, AdminResponse, ConsensusRequest, ConsensusResponse, PlanRequest, PlanResponse,
};
use tackmast_invariants::linearizability::{Operation, Outcome};
use tackmast_plans::{Change, Plan, Step};

/// How long a host may take to answer a request about plans.
const PLAN_CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a host may take to answer a request about voters.
const VOTER_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the leader is looked for again.
const VOTER_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts of a change that other changes precede.
const MAX_ATTEMPTS: u32 = 50;

/// Why a host has refused a change, as far as it tells what the change may have done.
pub(super) enum Refusal {
    /// Another change came first.
    Conflict,
    /// The change was not proposed to any host: its base is unknown, or too many changes are waiting.
    NotProposed,
    /// Anything else: the change may yet be applied.
    Other,
}

/// Reads the refusal out of its text.
pub(super) fn refusal_of(why: &str) -> Refusal {
    if why.contains("moved since then") {
        Refusal::Conflict
    } else if why.starts_with("base") || why.contains("wait already") {
        Refusal::NotProposed
    } else {
        Refusal::Other
    }
}

/// Sends a request about plans; `None` without an answer to it.
pub(super) fn call_plans(socket: &Path, request: PlanRequest) -> Option<PlanResponse> {
    let call = Call::AdminRequest(AdminRequest::Plan(request));
    match tackmast_admin::call(socket, &call, PLAN_CALL_TIMEOUT) {
        Ok(Answer::AdminResponse(response)) => match *response {
            AdminResponse::Plan(response) => Some(response),
            _ => None,
        },
        _ => None,
    }
}

/// A change of plans that was acknowledged.
pub(crate) struct AcknowledgedPlan {
    pub(crate) version: u64,
    /// Seconds until all hosts apply it.
    pub(crate) in_force_s: f64,
}

/// Why a request of the scenario has failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    #[error("its plans are not shown")]
    PlansNotShown,
    #[error("{0:?}")]
    UnexpectedResponse(Option<PlanResponse>),
    /// The last answer to many attempts.
    #[error("{0}")]
    AttemptsExhausted(String),
}

/// Changes a plan on behalf of the scenario, and retries where an operator was faster. Each attempt is passed to `record`.
pub(crate) fn change_plan(
    socket: &Path,
    name: &str,
    target: &Plan,
    started: Instant,
    mut record: impl FnMut(Operation),
) -> Result<AcknowledgedPlan, RequestError> {
    let mut last = "nothing was asked".to_owned();
    for _ in 0..MAX_ATTEMPTS {
        let Some(PlanResponse::Shown(shown)) = call_plans(socket, PlanRequest::Show) else {
            return Err(RequestError::PlansNotShown);
        };
        let base = shown.catalogue.version;
        // Operators change the weight; the scenario keeps theirs.
        let weight = shown.catalogue.plans.get(name).map_or(target.weight, |plan| plan.weight);
        let plan = Plan { weight, ..target.clone() };
        let steps = vec![Step::Plan { name: name.to_owned(), to: Some(plan) }];
        let change = Change { base, steps, who: "the day".into(), why: "its script".into() };
        let called_at = started.elapsed().as_secs_f64();
        let response = call_plans(socket, PlanRequest::Apply { change, dry_run: false });
        let returned_at = started.elapsed().as_secs_f64();
        let mut record_outcome =
            |outcome| record(Operation { called_at, returned_at, caller: "the day".into(), outcome });
        match response {
            Some(PlanResponse::Applied { version, in_force_s, .. }) => {
                record_outcome(Outcome::Applied { base, version });
                return Ok(AcknowledgedPlan { version, in_force_s });
            }
            Some(PlanResponse::Refused { why }) if matches!(refusal_of(&why), Refusal::Conflict) => {
                record_outcome(Outcome::Conflict { base });
                last = why;
            }
            other => {
                record_outcome(Outcome::Unknown { base });
                return Err(RequestError::UnexpectedResponse(other));
            }
        }
    }
    Err(RequestError::AttemptsExhausted(last))
}

/// Makes a host a voter, or removes it from the voters. Asks all hosts until the leader accepts; a leader may not know yet that it
/// leads.
pub(crate) fn change_voter(
    directory: &Path,
    host_count: u32,
    host: u32,
    votes: bool,
) -> Result<(), RequestError> {
    let mut last = "no host answered".to_owned();
    for _ in 0..MAX_ATTEMPTS {
        for asked in 0..host_count {
            let call = Call::AdminRequest(AdminRequest::Consensus(ConsensusRequest::Voter { host, votes }));
            match tackmast_admin::call(&admin_socket(directory, asked), &call, VOTER_CALL_TIMEOUT) {
                Ok(Answer::AdminResponse(response)) => match *response {
                    AdminResponse::Consensus(ConsensusResponse::Taken { .. }) => return Ok(()),
                    AdminResponse::Consensus(ConsensusResponse::Refused { why }) => last = why,
                    other => last = format!("{other:?}"),
                },
                Ok(other) => last = format!("{other:?}"),
                Err(error) => last = error.to_string(),
            }
        }
        std::thread::sleep(VOTER_RETRY_INTERVAL);
    }
    Err(RequestError::AttemptsExhausted(last))
}
