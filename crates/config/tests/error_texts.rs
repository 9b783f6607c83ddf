//! The exact error text of every check of a host's settings, and which of two errors is reported first. Each case of
//! `error_texts.jsonl` edits `complete.hcl`, which has every block and is valid.

use serde::Deserialize;
use tackmast_config::HostSettings;

const COMPLETE: &str = include_str!("complete.hcl");
const CASES: &str = include_str!("error_texts.jsonl");

#[derive(Deserialize)]
struct Case {
    edits: Vec<Edit>,
    /// What parsing the edited text yields; empty: it is valid.
    error: String,
}

/// Replaces the first occurrence of a text at or after a block's first line.
#[derive(Deserialize)]
struct Edit {
    block: String,
    from: String,
    to: String,
}

impl Edit {
    fn apply(&self, text: &str) -> String {
        let block_start = text.find(&self.block).expect("the block exists");
        let (before, rest) = text.split_at(block_start);
        assert!(rest.contains(&self.from), "{:?} is there", self.from);
        format!("{before}{}", rest.replacen(&self.from, &self.to, 1))
    }
}

fn outcome(case: &Case) -> String {
    let text = case.edits.iter().fold(COMPLETE.to_owned(), |text, edit| edit.apply(&text));
    HostSettings::parse("settings.hcl", &text).map_or_else(|error| error.to_string(), |_| String::new())
}

/// An operator makes one mistake, or two, in a settings file. The error must name the first by file, line, place and value.
#[test]
fn each_error_names_file_line_place_value_and_what_was_expected() {
    for line in CASES.lines() {
        let case: Case = serde_json::from_str(line).expect("a case in JSON");
        assert_eq!(outcome(&case), case.error, "{line}");
    }
}

/// The settings file does not exist.
#[test]
fn a_file_that_cannot_be_read_is_named() {
    let error = HostSettings::read(std::path::Path::new("no-such-file.hcl")).unwrap_err();
    let expected =
        "no-such-file.hcl:0: file: No such file or directory (os error 2); expected a file of settings";
    assert_eq!(error.to_string(), expected);
}
