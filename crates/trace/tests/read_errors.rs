//! The texts of errors of reading a trace: each names the line.

use std::io::{BufReader, Cursor};

fn error(bytes: &[u8]) -> String {
    tackmast_trace::read(BufReader::new(Cursor::new(bytes))).unwrap_err().to_string()
}

/// A trace is damaged: a line misses a field, or is no text. The error names the line, counted from 1.
#[test]
fn error_names_the_line() {
    let expected = "line 3: missing field `t` at line 1 column 2; expected an event of a trace";
    assert_eq!(error(b"{\"t\":1,\"e\":\"truncated\"}\n\n{}\n"), expected);
    assert_eq!(error(b"\n\xff\n"), "line 2: stream did not contain valid UTF-8");
}

/// A trace was edited by hand and has empty lines, which mean nothing.
#[test]
fn empty_lines_are_skipped() {
    let text = "\n{\"t\":1,\"e\":\"truncated\"}\n \n";
    assert_eq!(tackmast_trace::read(Cursor::new(text)).unwrap().len(), 1);
}
