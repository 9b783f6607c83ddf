//! Golden bytes of every wire format: one fixed value of each kind is encoded, compared with a literal hex string and
//! decoded back. It guards against a change of the bytes on the wire, which a round trip alone can't see: an encoder and
//! its decoder may both change.

mod consensus_messages;
mod iscsi_units;
mod list_frames;
mod nbd_units;
mod node_frames;
mod peer_datagrams;
mod scsi_blocks;

use bytes::Bytes;
use std::fmt::Debug;
use tackmast_wire::WireError;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Collects the kinds whose bytes differ, so that one run names all of them.
#[derive(Default)]
struct Differences(Vec<String>);

impl Differences {
    fn compare(&mut self, kind: &str, encoded: &[u8], expected: &str) {
        let found = to_hex(encoded);
        if found != expected {
            self.0.push(format!("{kind}={found}"));
        }
    }

    /// Compares a value's bytes, and the value that they decode to.
    fn round_trip<T: Debug + PartialEq>(
        &mut self,
        kind: &str,
        value: T,
        encoded: Bytes,
        decoded: Result<T, WireError>,
        expected: &str,
    ) {
        self.compare(kind, &encoded, expected);
        assert_eq!(decoded, Ok(value), "{kind} decoded");
    }

    fn assert_none(self) {
        assert!(self.0.is_empty(), "bytes changed:\n{}", self.0.join("\n"));
    }
}
