//! An entry of the change log, its digest and its stored line. The digest is over the bytes of the JSON text; so the order of the
//! fields and their JSON names must never change.

use crate::change::{Change, Step};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// An accepted change. It is chained to the entry before by that entry's digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The number of the entry, which is one more than that of the entry before.
    pub number: u64,
    /// The Unix time of the change in microseconds.
    pub at_us: u64,
    /// The change, with its author and reason.
    pub change: Change,
    /// The steps that undo the change.
    pub undo: Vec<Step>,
    /// The version of the catalogue after the change.
    pub version: u64,
    /// The digest of the entry before, in hexadecimal.
    #[serde(rename = "before")]
    pub previous_digest: String,
    /// The digest of this entry with this field empty, in hexadecimal.
    #[serde(default)]
    pub digest: String,
}

impl Entry {
    /// Computes the digest from the other fields.
    pub(crate) fn compute_digest(&self) -> String {
        let without_digest = Entry { digest: String::new(), ..self.clone() };
        hex_digest(&serde_json::to_vec(&without_digest).unwrap_or_default())
    }

    /// Returns the entry's line in the change log, including the newline.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// Returns the SHA-256 digest of the bytes in hexadecimal.
pub(crate) fn hex_digest(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
}
