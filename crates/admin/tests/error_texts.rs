//! Tests the error texts of calls without an answer and of lines that are not calls.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tackmast_admin::{call, parse_call, Call};

const TIMEOUT: Duration = Duration::from_secs(5);

fn socket_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tackmast-admin-{}-{name}", std::process::id()));
    _ = std::fs::remove_file(&path);
    path
}

fn call_error(socket: &Path) -> String {
    call(socket, &Call::Audit { max_lines: 1 }, TIMEOUT).unwrap_err().to_string()
}

/// Returns the socket and the error of a call to a host that writes `answer` and closes the connection.
fn error_for_answer(name: &str, answer: &'static str) -> (PathBuf, String) {
    let path = socket_path(name);
    let listener = UnixListener::bind(&path).unwrap();
    let host = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let error = call_error(&path);
    host.join().unwrap();
    std::fs::remove_file(&path).unwrap();
    (path, error)
}

/// Covers a host that is not running, closes the connection, sends a partial line, or sends a line without a body. The error
/// must name the host and the cause.
#[test]
fn the_error_of_a_call_without_an_answer_names_the_host() {
    let path = socket_path("none");
    let expected = format!("host {}: No such file or directory (os error 2)", path.display());
    assert_eq!(call_error(&path), expected);
    let (path, error) = error_for_answer("closed", "");
    assert_eq!(error, format!("host {}: closed without an answer", path.display()));
    let (path, error) = error_for_answer("half", "{\"v\":1");
    let expected = "no line break in 6 bytes; expected a line of at most 4194304 bytes";
    assert_eq!(error, format!("host {}: {expected}", path.display()));
    let (path, error) = error_for_answer("other", "{\"v\":1}\n");
    let expected = "missing field `body` at line 1 column 7; expected an answer of version 1";
    assert_eq!(error, format!("host {}: {expected}", path.display()));
}

/// Covers a script that sends a line which is not a call. The error must state what was expected.
#[test]
fn the_error_of_a_line_that_is_not_a_call_states_what_was_expected() {
    let error = |text| parse_call(text).unwrap_err().to_string();
    assert_eq!(error("{\"v\":2}"), "version 2; expected 1");
    let expected = "missing field `v` at line 1 column 2; expected a line of JSON with v and body";
    assert_eq!(error("{}"), expected);
    let expected = "missing field `body` at line 1 column 7; expected a call of version 1";
    assert_eq!(error("{\"v\":1}"), expected);
}
