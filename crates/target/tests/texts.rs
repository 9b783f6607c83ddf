//! The texts of errors and notes, which the host writes to its log.

use tackmast_target::{Note, SessionError};
use tackmast_wire::WireError;

/// Errors and notes must keep the texts that earlier builds wrote to the log, which operators may search for.
#[test]
fn errors_and_notes_have_the_texts_of_earlier_builds() {
    let wire = SessionError::from(WireError::Short { field: "key", missing: 3 });
    assert_eq!(wire.to_string(), "key: the frame ends 3 bytes early");
    let protocol = SessionError::Protocol { what: "task tag", found: 7, expected: "another".into() };
    assert_eq!(protocol.to_string(), "task tag: 7; expected another");
    let outside = Note::OutsideWindow { command: 9, first: 2, last: 5 };
    assert_eq!(outside.to_string(), "command 9 is outside the window; expected 2 to 5");
    let unknown = Note::UnknownOperation { opcode: 0x10 };
    assert_eq!(unknown.to_string(), "operation 0x10 is not served; rejected");
}
