//! One answer (rule 1): each command gets exactly one final answer, in time, and nothing is sent for it afterwards.

use super::findings::Findings;
use super::{milliseconds, Rule};
use crate::index::{Attempt, Command, Index};
use crate::report::RuleReport;

pub(super) fn check(index: &Index) -> RuleReport {
    let mut findings = Findings::new(Rule::OneAnswer, index);
    index.commands.iter().for_each(|command| check_answers(index, command, &mut findings));
    index.attempts.iter().for_each(|attempt| check_not_over(index, attempt, &mut findings));
    findings.into_report()
}

fn check_answers(index: &Index, command: &Command, findings: &mut Findings) {
    let due_us = index.due_us(command);
    let deadline_ms = milliseconds(command.deadline_us);
    let (time_us, what) = match command.answers.as_slice() {
        [] if is_excused(command, due_us) || due_us > index.end_us => return,
        [] => (due_us, format!("no answer within {deadline_ms} ms")),
        [answer] if answer.time_us <= due_us => {
            findings.checked += 1;
            return;
        }
        [answer] => {
            let latency_ms = milliseconds(answer.time_us - command.submitted_us);
            (answer.time_us, format!("answered after {latency_ms} ms of {deadline_ms}"))
        }
        [_, second, ..] => (second.time_us, format!("{} final answers", command.answers.len())),
    };
    findings.checked += 1;
    let id = command.id;
    findings.violated_by_host(time_us, format!("{}/{}/{}", id.host, id.session, id.command), what);
}

/// Whether nobody waited for the answer any more when it was due, or nobody could give it.
fn is_excused(command: &Command, due_us: u64) -> bool {
    let ends = [command.given_up_us, command.connection_lost_us, command.host_down_us];
    ends.into_iter().flatten().any(|end_us| end_us <= due_us)
}

/// No attempt is received after its command is over.
fn check_not_over(index: &Index, attempt: &Attempt, findings: &mut Findings) {
    let Some(command) = index.command_of(attempt) else {
        findings.violated_by(attempt, "an attempt for no command of any client".into());
        return;
    };
    let client_gone_us = command.given_up_us.or(command.connection_lost_us);
    let known_gone_us = client_gone_us.map(|gone_us| index.known_to_host_us(command.id.host, gone_us));
    let answered_us = command.answers.first().map(|answer| answer.time_us);
    let Some(over_us) = answered_us.or(known_gone_us) else { return };
    if attempt.received_us > over_us.saturating_add(index.facts.skew_us) {
        let late_ms = milliseconds(attempt.received_us - over_us);
        findings.violated_by(attempt, format!("an attempt arrived {late_ms} ms after its request was over"));
    }
}
