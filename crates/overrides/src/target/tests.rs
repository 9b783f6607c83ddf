//! Tests the text form of targets.

use super::*;

/// An operator copies a target from a listing into a command. It must name the same nodes.
#[test]
fn a_target_is_parsed_and_written_in_its_canonical_form() {
    for (text, again) in [
        ("10.1.2.3:9003", Some("10.1.2.3:9003")),
        ("[::1]:9003", Some("[::1]:9003")),
        ("10.1.2.3", Some("10.1.2.3/32")),
        ("10.1.2.3/16", Some("10.1.0.0/16")),
        ("fd00::/8", Some("fd00::/8")),
        ("shard:4", Some("shard:4")),
        ("zone:0", Some("zone:0")),
        ("zone:-1", None),
        ("rack:1", None),
        ("10.1.2.3/40", None),
        ("", None),
    ] {
        let found = text.parse::<Target>().map(|target| target.to_string());
        assert_eq!(found.as_deref().ok(), again, "{text:?}: {found:?}");
    }
}
