//! The entries of a message.

use super::entries::last_of_each;
use super::*;

/// A host was away while nodes changed their state several times. It gets all changes in one message, of which the last of each node
/// counts.
#[test]
fn last_change_of_each_node_counts() {
    let entry =
        |address: &str, state| Entry { address: address.into(), state, zone: 0, shard: 0, started_us: 0 };
    let (ready, draining) = (State::Ready, State::Draining);
    let all =
        [entry("a", draining), entry("b", ready), entry("a", ready), entry("b", draining), entry("c", ready)];
    let expected = [entry("a", ready), entry("b", draining), entry("c", ready)];
    assert_eq!(last_of_each(&all), expected);
}
