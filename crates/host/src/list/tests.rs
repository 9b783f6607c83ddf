//! Tests of the version from which the list client follows changes.

use super::*;

fn update(kind: ListKind, from: u64, to: u64) -> ListUpdate {
    ListUpdate { kind, from, to, sent_us: 0, entries: Vec::new() }
}

/// Changes are missing, and the answer to the fetch of the complete list is lost. After a silence the client follows the list anew, and
/// must ask for the complete list then: otherwise the host would miss a drain among the missing changes.
#[test]
fn list_is_followed_from_version_0_after_a_gap_until_a_complete_list_arrives() {
    let updates = [
        (update(ListKind::Complete, 0, 5), 5),
        (update(ListKind::Changes, 5, 6), 6),
        (update(ListKind::Changes, 8, 9), 0),
        (update(ListKind::Changes, 9, 10), 0),
        (update(ListKind::Complete, 0, 10), 10),
        (update(ListKind::Changes, 10, 11), 11),
    ];
    let mut since = 0;
    for (update, expected) in updates {
        since = update.version_to_follow_from(since);
        assert_eq!(since, expected, "after changes from {} to {}", update.from, update.to);
    }
}
