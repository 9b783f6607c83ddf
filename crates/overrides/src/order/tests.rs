//! The written form of targets.

use super::*;

#[test]
fn targets_are_written_as_they_are_read() {
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
        let found = text.parse::<Target>().map(|t| t.to_string());
        assert_eq!(found.as_deref().ok(), again, "{text:?}: {found:?}");
    }
}
