//! Checks docs/on-call.md against the code: the page has a row for each event, and the code writes each log line that
//! the page quotes.

use std::path::{Path, PathBuf};

/// Replaces the braces of a format string's placeholder.
const PLACEHOLDER: char = '\u{1}';
/// Shorter fragments are too common to identify a log line.
const MIN_FRAGMENT_CHARS: usize = 4;

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() && !matches!(name.as_str(), "target" | "tests" | "fixtures" | "mutants") {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") && name != "tests.rs" {
            found.push(path);
        }
    }
}

/// Returns the messages of events: the texts in the function `message` of the files that declare events.
fn event_messages(files: &[PathBuf]) -> Vec<String> {
    let mut messages = Vec::new();
    for file in files {
        let source = std::fs::read_to_string(file).unwrap();
        let Some(body) = source.split("fn message(&self) -> &'static str {").nth(1) else { continue };
        let body = body.split("\n    }\n").next().unwrap_or_default();
        messages.extend(body.split('"').skip(1).step_by(2).map(str::to_owned));
    }
    messages
}

/// Returns a source file on one line, with `PLACEHOLDER` in place of each brace.
fn normalized(source: &str) -> String {
    let joined = source.replace("\\\n", " ").replace(['{', '}'], &PLACEHOLDER.to_string());
    joined.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Returns the lines quoted in the first column of the page's table of log lines, without fields of structured logging.
fn quoted_lines(page: &str) -> Vec<String> {
    let table = page.split("| log line |").nth(1).expect("the table of log lines");
    let table = table.split("\n\n").next().unwrap_or_default();
    let rows = table.lines().skip(2).filter_map(|row| row.strip_prefix("| ")?.split(" | ").next());
    rows.flat_map(|cell| cell.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<_>>()).collect()
}

/// Returns the parts of a quoted line that the code must contain: the runs of words between the names in capitals that
/// stand for values.
fn fragments(line: &str) -> Vec<String> {
    let is_value = |token: &str| {
        let name = token.trim_matches(|c: char| !c.is_alphanumeric());
        !name.is_empty() && name.chars().all(|c| c.is_uppercase() || c.is_numeric())
    };
    let mut runs = vec![Vec::new()];
    for token in line.split_whitespace() {
        if is_value(token) || token == "..." {
            runs.push(Vec::new());
        } else {
            runs.last_mut().unwrap().push(token.trim_end_matches("..."));
        }
    }
    let runs = runs.into_iter().map(|run| run.join(" ").trim_matches([':', ',', ' ']).to_owned());
    runs.filter(|run| run.len() >= MIN_FRAGMENT_CHARS).collect()
}

/// Returns whether the code contains the fragment as one text, or as two: its beginning before a placeholder or as a
/// text of its own, and its rest at the beginning of another text.
fn is_written(code: &[String], fragment: &str) -> bool {
    let contains = |part: &str| code.iter().any(|text| text.contains(part));
    let split_at = |(at, _): (usize, &str)| {
        let (beginning, rest) = (&fragment[..at], &fragment[at + 1..]);
        let has_beginning =
            contains(&format!("{beginning} {PLACEHOLDER}")) || contains(&format!("\"{beginning} \""));
        has_beginning && contains(&format!("\"{rest}"))
    };
    contains(fragment) || fragment.match_indices(' ').any(split_at)
}

/// An engineer on call searches the page for the message of an event, so each event needs a row.
#[test]
fn each_event_has_a_row_on_the_on_call_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    sources(&root.join("crates"), &mut files);
    let page = std::fs::read_to_string(root.join("docs/on-call.md")).unwrap();
    let quoted = quoted_lines(&page);
    let messages = event_messages(&files);
    assert!(messages.len() >= 7, "{messages:?}");
    let is_missing = |message: &&String| !quoted.iter().any(|line| line == *message);
    let missing: Vec<&String> = messages.iter().filter(is_missing).collect();
    assert!(missing.is_empty(), "events without a row in docs/on-call.md: {missing:?}");
}

/// A row must not quote a line that the code no longer writes.
#[test]
fn each_log_line_that_the_on_call_page_quotes_is_written_by_the_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);
    sources(&root.join("crates"), &mut files);
    let text = |file: &PathBuf| normalized(&std::fs::read_to_string(file).unwrap());
    let code: Vec<String> = files.iter().map(text).collect();
    let page = std::fs::read_to_string(root.join("docs/on-call.md")).unwrap();
    let lines = quoted_lines(&page);
    assert!(lines.len() >= 10, "{lines:?}");
    let mut missing = Vec::new();
    for line in &lines {
        for fragment in fragments(line) {
            if !is_written(&code, &fragment) {
                missing.push(format!("`{line}`: nothing writes \"{fragment}\""));
            }
        }
    }
    assert!(
        missing.is_empty(),
        "docs/on-call.md quotes lines that the code does not write:\n{}",
        missing.join("\n")
    );
}

/// Quoted lines have names in capitals where the code inserts a value.
#[test]
fn placeholders_of_a_quoted_line_are_skipped() {
    let found = fragments("node list unavailable: failure N, retry in T s");
    assert_eq!(found, ["node list unavailable: failure", "retry in"]);
    assert_eq!(
        fragments("plans: change N holds, by WHO: WHY; K things move"),
        ["plans: change", "holds, by", "things move"]
    );
}
