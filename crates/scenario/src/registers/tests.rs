//! Tests of the reference model itself: it must accept what some order of the writes explains, and nothing else.

use super::*;

const OWNER: u64 = 7;
const BLOCK: u64 = 5;
const BLOCK_BYTES: usize = 512;

/// A client writes a block several times, and reads it. Writes overlap, are rejected, or end without an answer. A read that
/// returns a version which no order of these writes explains is lost or corrupt data, and must be found.
#[test]
fn read_may_return_exactly_the_versions_that_some_order_of_writes_allows() {
    // Writes as (start, end, whether it ran) of versions 1, 2, ...; a read from 100 to 200; allowed versions.
    type Ran = Option<bool>;
    type Case<'a> = (&'a str, &'a [(u64, u64, Ran)], &'a [u64]);
    let cases: &[Case] = &[
        ("nothing written", &[], &[0]),
        ("done before", &[(10, 20, Some(true))], &[1]),
        ("done one after the other", &[(10, 20, Some(true)), (30, 40, Some(true))], &[2]),
        ("done concurrently", &[(10, 40, Some(true)), (20, 30, Some(true))], &[1, 2]),
        ("concurrent with the read", &[(10, 20, Some(true)), (90, 150, Some(true))], &[1, 2]),
        ("unknown", &[(10, 20, Some(true)), (30, 40, None)], &[1, 2]),
        ("unknown, may run later", &[(10, 20, None), (30, 40, Some(true))], &[1, 2]),
        ("certainly not run", &[(10, 20, Some(true)), (30, 40, Some(false))], &[1]),
    ];
    for (name, writes, allowed) in cases {
        for version in 0..=3u64 {
            let mut registers = Registers::new(OWNER, BLOCK_BYTES);
            let mut bytes = vec![vec![0; BLOCK_BYTES]];
            for (written, (start, _, _)) in (1..).zip(*writes) {
                bytes.push(registers.write(*start, BLOCK, 1, written));
            }
            for (written, (_, end, ran)) in (1..).zip(*writes) {
                registers.wrote(*end, BLOCK, 1, written, *ran);
            }
            registers.prune(100);
            let Some(data) = bytes.get(version as usize) else { continue };
            let found = registers.read(100, 200, BLOCK, data);
            assert_eq!(found.is_ok(), allowed.contains(&version), "{name}: version {version}: {found:?}");
        }
    }
}

/// Two writes of one block overlap, and a node mixes their halves. Each half is valid by itself, but the block is torn.
#[test]
fn block_that_mixes_two_versions_is_rejected() {
    let mut registers = Registers::new(OWNER, BLOCK_BYTES);
    let mut mixed = registers.write(1, BLOCK, 1, 1);
    let half = BLOCK_BYTES / 2;
    mixed[half..].copy_from_slice(&registers.write(2, BLOCK, 1, 2)[half..]);
    assert!(registers.read(3, 4, BLOCK, &mixed).is_err(), "a mix of two versions");
}
