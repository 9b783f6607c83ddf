//! The texts of errors of calls and of lines that are no calls.

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

fn error_of_call(socket: &Path) -> String {
    call(socket, &Call::Audit { max_lines: 1 }, TIMEOUT).unwrap_err().to_string()
}

/// The error of a call that a host answers with these bytes before it closes.
fn error_after(name: &str, answer: &'static str) -> (PathBuf, String) {
    let path = socket_path(name);
    let listener = UnixListener::bind(&path).unwrap();
    let host = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(stream.try_clone().unwrap()).read_line(&mut line).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let error = error_of_call(&path);
    host.join().unwrap();
    std::fs::remove_file(&path).unwrap();
    (path, error)
}

/// The host does not run, closes the socket, or answers half a line. The operator must learn which host it was and what came.
#[test]
fn a_call_without_an_answer_names_the_host() {
    let path = socket_path("none");
    let expected = format!("host {}: No such file or directory (os error 2)", path.display());
    assert_eq!(error_of_call(&path), expected);
    let (path, error) = error_after("closed", "");
    assert_eq!(error, format!("host {}: closed without an answer", path.display()));
    let (path, error) = error_after("half", "{\"v\":1");
    let expected = "a line without an end in 6 bytes; expected at most 4194304";
    assert_eq!(error, format!("host {}: {expected}", path.display()));
    let (path, error) = error_after("other", "{\"v\":1}\n");
    let expected = "missing field `body` at line 1 column 7; expected an answer of version 1";
    assert_eq!(error, format!("host {}: {expected}", path.display()));
}

/// A script sends a line that is no call. The error says what was expected in its place.
#[test]
fn a_line_that_is_no_call_is_named_by_what_was_expected() {
    let error = |text| parse_call(text).unwrap_err().to_string();
    assert_eq!(error("{\"v\":2}"), "version 2; expected 1");
    let expected = "missing field `v` at line 1 column 2; expected a line of JSON with v and body";
    assert_eq!(error("{}"), expected);
    let expected = "missing field `body` at line 1 column 7; expected a call of version 1";
    assert_eq!(error("{\"v\":1}"), expected);
}
