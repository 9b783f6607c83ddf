//! Which answers mean that a host did as requested.

use super::*;
use tackmast_overrides::{OverrideId, Refusal};

/// A script reads the exit code of a command. It is 0 only if the host did as requested, not if it refused, could not write the change,
/// or can't process the call.
#[test]
fn only_results_count_as_done() {
    let why = || "why".to_owned();
    let list =
        AdminResponse::List { version: 1, overrides: Vec::new(), returning: 0, returning_within_s: 0.0 };
    for (response, expected) in [
        (list, true),
        (AdminResponse::Cleared { id: OverrideId(1) }, true),
        (AdminResponse::Refused(Refusal::Unknown { id: OverrideId(1) }), false),
        (AdminResponse::NotKept { why: why() }, false),
        (AdminResponse::Unavailable { why: why() }, false),
    ] {
        let answer = Answer::AdminResponse(Box::new(response));
        assert_eq!(is_done(&answer), expected, "{answer:?}");
        assert_eq!(print_failure(&answer), !expected, "{answer:?}");
    }
    assert!(!is_done(&Answer::Error(why())));
}
