//! Tests the exact error text of every check of a host's settings, and which of two errors is reported. Each case in
//! `error_texts.jsonl` edits `complete.hcl`, which is valid and has every block.

use serde::Deserialize;
use tackmast_config::HostSettings;

const COMPLETE: &str = include_str!("complete.hcl");
const CASES: &str = include_str!("error_texts.jsonl");

#[derive(Deserialize)]
struct Case {
    edits: Vec<Edit>,
    /// The error of the edited text; empty if the text is valid.
    error: String,
}

/// Replaces the first occurrence of `from` at or after the first occurrence of `block`.
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
        assert!(rest.contains(&self.from), "{:?} is in the text", self.from);
        format!("{before}{}", rest.replacen(&self.from, &self.to, 1))
    }
}

fn error_text(case: &Case) -> String {
    let text = case.edits.iter().fold(COMPLETE.to_owned(), |text, edit| edit.apply(&text));
    HostSettings::parse("settings.hcl", &text).map_or_else(|error| error.to_string(), |_| String::new())
}

/// Covers one mistake, or two, in a settings file. The error must name the file, the line, the place and the value of the
/// first that is checked.
#[test]
fn each_error_names_file_line_place_value_and_what_was_expected() {
    for line in CASES.lines() {
        let case: Case = serde_json::from_str(line).expect("the line is a case in JSON");
        assert_eq!(error_text(&case), case.error, "{line}");
    }
}

/// Covers a settings file that does not exist.
#[test]
fn the_error_of_an_unreadable_file_names_it() {
    let error = HostSettings::read(std::path::Path::new("no-such-file.hcl")).unwrap_err();
    let expected =
        "no-such-file.hcl:0: file: No such file or directory (os error 2); expected a settings file";
    assert_eq!(error.to_string(), expected);
}
