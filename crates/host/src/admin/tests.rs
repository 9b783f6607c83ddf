//! What an operator reads where a call has no answer.

use super::*;
use crossbeam_channel::Receiver;

/// A call of an operator that clears an override.
const CLEAR: &str = r#"{"v":1,"body":{"ask":{"clear":{"id":3,"who":"ann"}}}}"#;
/// A call that changes nothing.
const LIST: &str = r#"{"v":1,"body":{"ask":"list"}}"#;
/// A call that the store answers.
const AUDIT: &str = r#"{"v":1,"body":{"audit":{"most":20}}}"#;

/// The handlers of calls, and the queues of the threads that answer them.
fn handlers(timeout: Duration) -> (CallHandlers, Receiver<Event>, Receiver<StoreRequest>) {
    let (core, core_events) = crossbeam_channel::unbounded();
    let (store, store_messages) = crossbeam_channel::unbounded();
    (CallHandlers { core, store, timeout }, core_events, store_messages)
}

fn error(text: &str) -> Answer {
    Answer::Error(text.into())
}

/// The core's thread is busy for longer than a call may wait. The operator who wanted a change has to learn that it may apply all the
/// same, and by which command that is seen; one who only asked has nothing to look after.
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

/// The core and the store have ended when a call comes. Nothing was late, and the change can't have applied.
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

/// The core's thread takes a change and ends before it answers. The change may have been written.
#[test]
fn change_that_the_core_took_before_its_end_may_have_applied() {
    let (handlers, core, _store) = handlers(CALL_TIMEOUT);
    let core_thread = std::thread::spawn(move || drop(core.recv().unwrap()));
    let expected = "the host is stopping; `tackmast override list` shows whether it applied";
    assert_eq!(handlers.call(CLEAR), error(expected));
    core_thread.join().unwrap();
}
