//! The change log: who changed what, when and why. It is a hash chain of entries, one per line; so an entry that is altered, removed
//! or inserted breaks the chain of all later ones. The oldest entries can be compacted into a checkpoint, which holds the digest
//! that the rest of the chain continues.

use crate::catalogue::Catalogue;
use crate::change::{Change, Refusal};
use crate::entry::{hex_digest, Entry};
use crate::model::Fleet;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The maximum length of a line, in bytes.
const MAX_LINE_LEN: usize = 16 << 20;

/// The state that the oldest entries were compacted into.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The number of the last compacted entry.
    pub number: u64,
    /// The digest of the last compacted entry, in hexadecimal.
    pub digest: String,
    /// The catalogue after the last compacted entry.
    pub catalogue: Catalogue,
}

/// The reason why a change log can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeLogError {
    /// A line that differs from what was written.
    #[error("line {line}: {problem}; expected an entry as it was written")]
    Line {
        /// The number of the line, from 1.
        line: usize,
        /// The problem with the line.
        problem: String,
    },
    /// An entry that does not follow from the entries before it.
    #[error("entry {number}: {found}; expected {expected}")]
    Broken {
        /// The number of the entry.
        number: u64,
        /// What the entry contains.
        found: String,
        /// What it would contain if it followed.
        expected: String,
    },
}

/// A checkpoint, the entries after it, and the catalogue that they result in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeLog {
    /// The state that the log begins with.
    pub checkpoint: Checkpoint,
    /// The entries after the checkpoint, oldest first.
    pub entries: Vec<Entry>,
    /// The catalogue after the newest entry.
    pub catalogue: Catalogue,
}

/// The number and digest of the newest entry, or of the checkpoint if there is no entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogHead<'a> {
    /// The number of the entry.
    pub number: u64,
    /// The digest of the entry, in hexadecimal.
    pub digest: &'a str,
}

/// The entry that a change would append.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The entry to append.
    pub entry: Entry,
    /// The catalogue after the entry.
    pub catalogue: Catalogue,
}

impl ChangeLog {
    /// Creates a log that begins with the catalogue of a host's settings. The digest of its checkpoint is that of the catalogue, so
    /// that hosts whose settings differ do not accept each other's entries.
    pub fn starting_with(catalogue: Catalogue) -> Self {
        let digest = hex_digest(&serde_json::to_vec(&catalogue).unwrap_or_default());
        ChangeLog::at_checkpoint(Checkpoint { number: 0, digest, catalogue })
    }

    /// Creates a log without entries after this checkpoint.
    fn at_checkpoint(checkpoint: Checkpoint) -> Self {
        ChangeLog { catalogue: checkpoint.catalogue.clone(), checkpoint, entries: Vec::new() }
    }

    /// Returns the number and digest of the newest entry.
    pub fn head(&self) -> LogHead<'_> {
        match self.entries.last() {
            Some(entry) => LogHead { number: entry.number, digest: &entry.digest },
            None => LogHead { number: self.checkpoint.number, digest: &self.checkpoint.digest },
        }
    }

    /// Returns the entry that the change would append. The log does not change until `append`, which the caller calls once the entry
    /// is on disk. `at_us` is the Unix time in microseconds.
    pub fn propose(&self, at_us: u64, change: Change, fleet: &Fleet) -> Result<Proposal, Refusal> {
        let applied = self.catalogue.apply(&change, fleet)?;
        let head = self.head();
        let mut entry = Entry {
            number: head.number + 1,
            at_us,
            change,
            undo: applied.undo,
            version: applied.catalogue.version,
            previous_digest: head.digest.to_owned(),
            digest: String::new(),
        };
        entry.digest = entry.compute_digest();
        Ok(Proposal { entry, catalogue: applied.catalogue })
    }

    /// Appends an entry that `propose` returned, with the catalogue after it.
    pub fn append(&mut self, entry: Entry, catalogue: Catalogue) {
        self.entries.push(entry);
        self.catalogue = catalogue;
    }

    /// Appends the line of an entry that another host has stored, if it continues this log.
    pub fn append_line(&mut self, line: &[u8], fleet: &Fleet) -> Result<(), ChangeLogError> {
        let next_number = self.head().number + 1;
        let entry = parse_entry(next_number as usize, line)?;
        self.verify_and_append(entry, fleet)
    }

    /// Returns a change that undoes an entry, or `None` if the log has no such entry. The change is based on the entry's version; so
    /// later changes of the same things are a conflict.
    pub fn undo_change(&self, number: u64, who: &str, why: &str) -> Option<Change> {
        let entry = self.entries.iter().find(|entry| entry.number == number)?;
        let steps = entry.undo.clone();
        Some(Change { base: entry.version, steps, who: who.to_owned(), why: why.to_owned() })
    }

    /// Returns the stored form: a line for the checkpoint and one for each entry.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = serde_json::to_vec(&self.checkpoint).unwrap_or_default();
        bytes.push(b'\n');
        self.entries.iter().for_each(|entry| bytes.extend(entry.to_line()));
        bytes
    }

    /// Reads the stored form. An incomplete last line was never acknowledged and is ignored; any other line that differs from what was
    /// written is an error that names the line or the entry.
    pub fn from_bytes(bytes: &[u8], fleet: &Fleet) -> Result<ChangeLog, ChangeLogError> {
        let complete = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        let mut lines = (1..).zip(bytes[..complete].split_inclusive(|byte| *byte == b'\n'));
        let Some((number, first)) = lines.next() else { return Ok(ChangeLog::default()) };
        let mut log = ChangeLog::at_checkpoint(parse_json(number, first)?);
        for (number, line) in lines {
            log.verify_and_append(parse_entry(number, line)?, fleet)?;
        }
        Ok(log)
    }

    /// Appends a stored entry, if it continues the chain and its change results in the version that it states.
    fn verify_and_append(&mut self, entry: Entry, fleet: &Fleet) -> Result<(), ChangeLogError> {
        self.verify_chain(&entry)?;
        let catalogue = self.verify_change(&entry, fleet)?;
        self.append(entry, catalogue);
        Ok(())
    }

    /// Checks that the number and the digests of the entry continue the chain.
    fn verify_chain(&self, entry: &Entry) -> Result<(), ChangeLogError> {
        let head = self.head();
        if entry.number != head.number + 1 {
            let expected = format!("{}", head.number + 1);
            return Err(broken(entry, format!("number {}", entry.number), expected));
        }
        if entry.previous_digest != head.digest {
            let expected = format!("{}, the one before", head.digest);
            return Err(broken(entry, format!("it follows {}", entry.previous_digest), expected));
        }
        let digest = entry.compute_digest();
        if entry.digest != digest {
            let expected = format!("{digest}, by what it holds");
            return Err(broken(entry, format!("digest {}", entry.digest), expected));
        }
        Ok(())
    }

    /// Applies the change of the entry again and returns the catalogue after it. The base of the change may be older than the version
    /// on which it was accepted; the result is the same as then.
    fn verify_change(&self, entry: &Entry, fleet: &Fleet) -> Result<Catalogue, ChangeLogError> {
        match self.catalogue.apply(&entry.change, fleet) {
            Ok(applied) if applied.catalogue.version == entry.version && applied.undo == entry.undo => {
                Ok(applied.catalogue)
            }
            Ok(applied) => {
                let expected = format!("version {}, by the entries before", applied.catalogue.version);
                Err(broken(entry, format!("version {}", entry.version), expected))
            }
            Err(Refusal::Conflict { moved, .. }) => {
                let found = format!("a conflict over {}", moved.join(", "));
                Err(broken(entry, found, "a change that passed".into()))
            }
            Err(Refusal::Invalid { place, found, .. }) => {
                Err(broken(entry, format!("{place}: {found}"), "a change that the fleet bears".into()))
            }
        }
    }

    /// Compacts all but the last `kept` entries into the checkpoint. The rest of the chain continues from the checkpoint's digest.
    pub fn compact(&mut self, kept: usize) {
        let count = self.entries.len().saturating_sub(kept);
        let Some(last) = count.checked_sub(1).and_then(|index| self.entries.get(index)) else { return };
        let (number, digest) = (last.number, last.digest.clone());
        let mut moved = self.checkpoint.catalogue.moved().clone();
        for entry in &self.entries[..count] {
            moved.extend(entry.change.steps.iter().map(|step| (step.title(), entry.version)));
        }
        // Reverting the kept entries, newest first, results in the catalogue at the checkpoint.
        let mut catalogue = self.catalogue.clone();
        for entry in self.entries[count..].iter().rev() {
            catalogue.revert(entry, &moved);
        }
        self.entries.drain(..count);
        self.checkpoint = Checkpoint { number, digest, catalogue };
    }
}

fn broken(entry: &Entry, found: String, expected: String) -> ChangeLogError {
    ChangeLogError::Broken { number: entry.number, found, expected }
}

fn parse_json<T: DeserializeOwned>(line: usize, text: &[u8]) -> Result<T, ChangeLogError> {
    if text.len() > MAX_LINE_LEN {
        return Err(ChangeLogError::Line { line, problem: format!("{} bytes", text.len()) });
    }
    serde_json::from_slice(text).map_err(|error| ChangeLogError::Line { line, problem: error.to_string() })
}

/// Parses the entry of a line. A line that parses but differs in its bytes from what `to_line` writes is refused: the digest is over
/// the bytes.
fn parse_entry(line: usize, text: &[u8]) -> Result<Entry, ChangeLogError> {
    let entry: Entry = parse_json(line, text)?;
    if entry.to_line() != text {
        return Err(ChangeLogError::Line {
            line,
            problem: "bytes that differ from the written form of the entry".into(),
        });
    }
    Ok(entry)
}
