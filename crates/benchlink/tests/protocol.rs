//! The line protocol of the bench: replies to valid and unknown events, and errors on malformed lines.

use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = r#"["Provision",3,7,{"balancers":1,"granularity":0.002,"new_key":1,"domain":{"unit_mean":2},
"grades":[{"proportion":1}],"request_classes":[{"effect":"repeatable","target":0.5}]}],
["Fleet",3,"SAVED",1,[[0,"ready","10.0.0.1:9",1,0,0,null]]]"#;

fn run(lines: &[String]) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tackmast-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may close its input early on a bad line.
    let _ = child.stdin.take().expect("piped").write_all((lines.join("\n") + "\n").as_bytes());
    let out = child.wait_with_output().expect("the adapter ends");
    let text = |b: Vec<u8>| String::from_utf8_lossy(&b).into_owned();
    (out.status.success(), text(out.stdout), text(out.stderr))
}

fn batch(events: &str) -> String {
    format!(r#"{{"wall":8.5,"events":[{}]}}"#, events.replace('\n', ""))
}

/// The bench sends every kind of event, one twice, one for what was never seen, and one that this build does not know. Each batch has its reply.
#[test]
fn valid_and_unknown_events_are_answered() {
    let req = r#"["Req",3,"aa",0,0,"obj:k",0.5,"p:v",2,0,1,0,"surplus"]"#;
    let table = [
        ("", r#"{"orders":[]}"#),
        (req, r#"["Transmit",3,"aa","10.0.0.1:9",0.0]"#),
        (r#"["Completed",3,"aa",0,"10.0.0.1:9","done",0.01,true,0,0,null]"#, r#"{"orders":[]}"#),
        (r#"["Completed",3,"aa",0,"10.0.0.1:9","done",0.01,true,0,0,null]"#, r#"{"orders":[]}"#),
        (r#"["Vanished",3,"never-seen"]"#, r#"{"orders":[]}"#),
        (r#"["Alarm",3,99999]"#, r#"{"orders":[]}"#),
        (r#"["Novelty",3,1],["Novelty",3,2]"#, r#"{"orders":[]}"#),
        (r#"["Detach",3]"#, r#"{"orders":[]}"#),
    ];
    let lines: Vec<_> = std::iter::once(batch(START)).chain(table.iter().map(|(e, _)| batch(e))).collect();
    let (ok, out, err) = run(&lines);
    assert!(ok, "{err}");
    let replies: Vec<&str> = out.lines().collect();
    assert_eq!(replies.len(), lines.len());
    for ((event, expected), reply) in table.iter().zip(&replies[1..]) {
        assert!(reply.contains(expected), "{event}: {reply}");
    }
    assert_eq!(err.matches("Novelty").count(), 1, "an unknown name is reported once: {err}");
}

/// The bench sends a line that can't be read. Guessing at it would decide on wrong figures, so the process ends and names the line.
#[test]
fn a_malformed_line_ends_the_process_with_one_error_line() {
    let table = [
        ("{".to_owned(), "expected a batch"),
        ("[1]".to_owned(), "expected a batch"),
        (r#"{"events":[]}"#.to_owned(), "wall: expected a number"),
        (batch("7"), "expected name and values"),
        (batch(r#"["Alarm",9,1]"#), "host 9 is unknown"),
        (batch(r#"["Req",3,5]"#), "expected"),
        (batch(r#"["Req",3,"aa",4,0,null,0.5,"p:v",2,0,1,0]"#), "not among the settings"),
        (batch(r#"["Completed",3,"aa",0,"b","melted",0.1,true]"#), "outcome melted"),
        (batch(r#"["Fleet",3,"PARTLY",1,[]]"#), "list kind PARTLY"),
    ];
    for (line, expected) in table {
        let (ok, out, err) = run(&[batch(START), line.clone(), batch("")]);
        assert!(!ok, "{line}");
        assert_eq!(out.lines().count(), 1, "only the first batch is answered: {line}");
        assert_eq!(err.lines().count(), 1, "{err}");
        assert!(err.contains("input line 2") && err.contains(expected), "{line}: {err}");
    }
}
