//! Commands of the emulated endpoint list.

use super::list_command::ListCommand;

/// A developer types commands for the endpoint list, some of them wrong. Each valid one is understood; a wrong one is refused with the
/// line and the commands that exist.
#[test]
fn list_commands_are_parsed_and_wrong_ones_are_refused_with_their_line() {
    let valid = [
        "put 127.0.0.1:9000 0 1",
        "drain 127.0.0.1:9000",
        "gone 127.0.0.1:9000",
        "late 0.5",
        "fails on",
        "silent off",
        "reset",
    ];
    for line in valid {
        assert!(line.parse::<ListCommand>().is_ok(), "{line}");
    }
    for line in
        ["put 127.0.0.1:9000", "put 127.0.0.1:9000 x 1", "late -1", "late nan", "fails maybe", "reset now"]
    {
        let error = line.parse::<ListCommand>().expect_err(line).to_string();
        assert!(error.starts_with(&format!("{line:?}; expected put ADDRESS SHARD ZONE, ")), "{error}");
    }
}
