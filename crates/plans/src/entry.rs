//! An entry of the change log, its digest and its line. The digest is over the bytes of the JSON text, so that the order of the
//! fields and their JSON names never change.

use crate::change::{Change, Step};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// One accepted change, chained to the entry before by that one's digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// One more than the number of the entry before.
    pub number: u64,
    /// Unix time in microseconds.
    pub at_us: u64,
    /// What was changed, by whom and why.
    pub change: Change,
    /// The steps that undo it.
    pub undo: Vec<Step>,
    /// The version that it made.
    pub version: u64,
    /// Digest of the entry before, in hex.
    #[serde(rename = "before")]
    pub previous_digest: String,
    /// Digest of this entry without this field, in hex.
    #[serde(default)]
    pub digest: String,
}

impl Entry {
    /// The digest that the entry ought to have.
    pub(crate) fn compute_digest(&self) -> String {
        let without_digest = Entry { digest: String::new(), ..self.clone() };
        hex_digest(&serde_json::to_vec(&without_digest).unwrap_or_default())
    }

    /// Its line in the change log, with the line's end.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// SHA-256 in hex.
pub(crate) fn hex_digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
