//! Tests of what the checks remember.

use super::{World, MAX_READS};

/// A host is cut off while its clients read and others commit. Its reads become ready together once the network is whole;
/// the newest ones must have the most, so that these must still be checked then.
#[test]
fn newest_reads_of_a_host_that_is_cut_off_are_checked() {
    let (reader, leader_candidates) = (3, 0..3);
    let mut world = World::new(3, 1, None, |_| 1.0);
    world.begin();
    for voter in leader_candidates.clone() {
        world.cut.extend([(voter, reader), (reader, voter)]);
    }
    let mut last_read = 0;
    for round in 0..MAX_READS + 10 {
        leader_candidates.clone().for_each(|voter| world.change(voter as usize));
        world.calm(0.05);
        world.read(reader as usize);
        last_read = world.all[reader as usize].reads.last().map_or(0, |(read, _)| *read);
        assert!(world.all[reader as usize].reads.len() <= MAX_READS, "round {round}");
    }
    let newest_committed = world.committed();
    let remembered = world.all[reader as usize].reads.last().copied();
    assert_eq!(remembered, Some((last_read, newest_committed)), "the newest read");
    world.cut.clear();
    world.calm(1.0);
    assert_eq!(world.reads_done, MAX_READS as u64);
    assert!(world.broken.is_none(), "{:?}", world.broken);
}
