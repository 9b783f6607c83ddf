//! Tests of the log lines of a member's events.

use tackmast::interface::TimeDelta;
use tackmast_membership::{Health, MembershipEvent};

/// Operators search the log for a fixed message and aggregate by its fields. A value inside the message would break such
/// searches.
#[test]
fn a_log_line_is_the_fixed_message_and_then_the_fields() {
    let cases = [
        (
            MembershipEvent::HealthChanged { peer: 4, health: Health::Suspect, alive_hosts: 12 },
            "host suspect peer=4 alive_hosts=12",
        ),
        (
            MembershipEvent::SiteFailedTogether { site: 2, hosts: 3 },
            "site is down: its hosts failed together site=2 hosts=3",
        ),
        (
            MembershipEvent::Paused { duration: TimeDelta::from_millis(4_400) },
            "this host was paused: it suspects nobody for what it missed paused_secs=4.40",
        ),
        (
            MembershipEvent::Displaced { generation: 0xab },
            "a later generation of this host's number is known: this one uses no shared quota generation=ab",
        ),
    ];
    for (event, line) in cases {
        assert_eq!(event.to_string(), line);
        assert!(line.starts_with(event.message()));
        assert!(!event.message().contains(|character: char| character.is_ascii_digit()), "{event:?}");
    }
}
