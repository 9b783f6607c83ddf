//! Tests of the error texts that an operator gets for a call without an answer.

use super::*;
use crossbeam_channel::Receiver;

/// A call that clears an override.
const CLEAR: &str = r#"{"v":1,"body":{"ask":{"clear":{"id":3,"who":"ann"}}}}"#;
/// A call that changes nothing.
const LIST: &str = r#"{"v":1,"body":{"ask":"list"}}"#;
/// A call that the store answers.
const AUDIT: &str = r#"{"v":1,"body":{"audit":{"most":20}}}"#;

/// Returns the handlers, and the receiving ends of the core's and the store's queues.
fn handlers(timeout: Duration) -> (CallHandlers, Receiver<Event>, Receiver<StoreRequest>) {
    let (core, core_events) = crossbeam_channel::unbounded();
    let (store, store_messages) = crossbeam_channel::unbounded();
    (CallHandlers { core, store, timeout }, core_events, store_messages)
}

fn error(text: &str) -> Answer {
    Answer::Error(text.into())
}

/// The core thread is busy for longer than the timeout of a call. The error of a change must say that the change may still be applied,
/// and which command shows that; the error of a call that only reads needs no such note.
#[test]
fn late_answer_to_a_change_names_the_command_that_shows_it() {
    let (handlers, _core, _store) = handlers(Duration::from_millis(10));
    let expected = "no answer in 0.01 s; `tackmast override list` shows whether it applied";
    assert_eq!(handlers.call(CLEAR), error(expected));
    assert_eq!(handlers.call(LIST), error("no answer in 0.01 s"));
    assert_eq!(handlers.call(AUDIT), error("no answer in 0.01 s"));
    let late = NoAnswer { reason: NoAnswerReason::Late(CALL_TIMEOUT), change_shown_by: None };
    assert_eq!(late.to_string(), "no answer in 10 s");
}

/// A call arrives after the core and the store have ended. The error comes at once, and does not suggest that a change was applied.
#[test]
fn call_after_the_end_of_the_core_is_answered_at_once() {
    let (handlers, core, store) = handlers(CALL_TIMEOUT);
    drop((core, store));
    let start = std::time::Instant::now();
    for call in [CLEAR, LIST, AUDIT] {
        assert_eq!(handlers.call(call), error("the host is stopping"));
    }
    assert!(start.elapsed() < CALL_TIMEOUT / 2, "waited for an answer that can't come");
}

/// The core thread receives a change and ends before it answers. The error must say that the change may have been applied.
#[test]
fn error_of_a_change_that_the_core_received_before_its_end_names_the_command_that_shows_it() {
    let (handlers, core, _store) = handlers(CALL_TIMEOUT);
    let core_thread = std::thread::spawn(move || drop(core.recv().unwrap()));
    let expected = "the host is stopping; `tackmast override list` shows whether it applied";
    assert_eq!(handlers.call(CLEAR), error(expected));
    core_thread.join().unwrap();
}
