//! Who changed what, when and why: a hash chain of entries, one a line, so that none can be altered, removed or inserted without
//! all that follow showing it. The oldest can be compacted into a checkpoint, which names the digest that the rest continues
//! from.

use crate::catalogue::Catalogue;
use crate::change::{Change, Refusal};
use crate::entry::{hex_digest, Entry};
use crate::model::Fleet;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The longest line, in bytes.
const MAX_LINE_LEN: usize = 16 << 20;

/// What entries were compacted into.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Number of the last of these entries.
    pub number: u64,
    /// Digest of the last of these entries.
    pub digest: String,
    /// The catalogue after them.
    pub catalogue: Catalogue,
}

/// Why a change log can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeLogError {
    /// A line that is not as it was written.
    #[error("line {line}: {problem}; expected an entry as it was written")]
    Line {
        /// Number of the line.
        line: usize,
        /// What is wrong with it.
        problem: String,
    },
    /// An entry that does not follow from the ones before.
    #[error("entry {number}: {found}; expected {expected}")]
    Broken {
        /// Number of the entry.
        number: u64,
        /// What it says.
        found: String,
        /// What it would say if it followed.
        expected: String,
    },
}

/// Entries behind a checkpoint, and the catalogue that they lead to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeLog {
    /// What the log begins with.
    pub checkpoint: Checkpoint,
    /// Oldest first.
    pub entries: Vec<Entry>,
    /// The catalogue after the newest entry.
    pub catalogue: Catalogue,
}

/// The newest entry; where there is none, the last one of the checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogHead<'a> {
    /// Its number.
    pub number: u64,
    /// Its digest, in hex.
    pub digest: &'a str,
}

/// The entry that a change would append.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The entry.
    pub entry: Entry,
    /// The catalogue after it.
    pub catalogue: Catalogue,
}

impl ChangeLog {
    /// A log that begins with the catalogue of a host's settings. Its checkpoint's digest is of that, so that hosts whose
    /// settings differ do not accept each other's entries.
    pub fn starting_with(catalogue: Catalogue) -> Self {
        let digest = hex_digest(&serde_json::to_vec(&catalogue).unwrap_or_default());
        ChangeLog::at_checkpoint(Checkpoint { number: 0, digest, catalogue })
    }

    fn at_checkpoint(checkpoint: Checkpoint) -> Self {
        ChangeLog { catalogue: checkpoint.catalogue.clone(), checkpoint, entries: Vec::new() }
    }

    /// Number and digest of the newest entry.
    pub fn head(&self) -> LogHead<'_> {
        match self.entries.last() {
            Some(entry) => LogHead { number: entry.number, digest: &entry.digest },
            None => LogHead { number: self.checkpoint.number, digest: &self.checkpoint.digest },
        }
    }

    /// The entry that the change would append. The log stays as it is until `append`, once the entry is on disk.
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

    /// Appends an entry that was proposed.
    pub fn append(&mut self, entry: Entry, catalogue: Catalogue) {
        self.entries.push(entry);
        self.catalogue = catalogue;
    }

    /// Appends the line of an entry that another host has stored, if it is the next one here.
    pub fn append_line(&mut self, line: &[u8], fleet: &Fleet) -> Result<(), ChangeLogError> {
        let next_number = self.head().number + 1;
        let entry = parse_entry(next_number as usize, line)?;
        self.verify_and_append(entry, fleet)
    }

    /// A change that undoes an entry, or none if there is no such entry. It is made on the version that the entry made: what has
    /// changed since then is a conflict that names it.
    pub fn undo_change(&self, number: u64, who: &str, why: &str) -> Option<Change> {
        let entry = self.entries.iter().find(|entry| entry.number == number)?;
        let steps = entry.undo.clone();
        Some(Change { base: entry.version, steps, who: who.to_owned(), why: why.to_owned() })
    }

    /// One line an entry, after one for the checkpoint.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = serde_json::to_vec(&self.checkpoint).unwrap_or_default();
        bytes.push(b'\n');
        self.entries.iter().for_each(|entry| bytes.extend(entry.to_line()));
        bytes
    }

    /// Reads what was stored. A last line that was cut off was never acknowledged, and is left out; any other line that is not as it was
    /// written is an error that names the line.
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

    /// Appends an entry that was stored, if it is the next one and leads where it says.
    fn verify_and_append(&mut self, entry: Entry, fleet: &Fleet) -> Result<(), ChangeLogError> {
        self.verify_chain(&entry)?;
        let catalogue = self.verify_change(&entry, fleet)?;
        self.append(entry, catalogue);
        Ok(())
    }

    /// Whether number and digests continue the chain.
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

    /// The catalogue that the entry leads to. Its own base may be older than the version that it was accepted on; what it led to
    /// then it leads to now.
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

    /// Compacts all but the last `kept` entries into the checkpoint, whose digest the rest of the chain continues.
    pub fn compact(&mut self, kept: usize) {
        let count = self.entries.len().saturating_sub(kept);
        let Some(last) = count.checked_sub(1).and_then(|index| self.entries.get(index)) else { return };
        let (number, digest) = (last.number, last.digest.clone());
        let mut moved = self.checkpoint.catalogue.moved().clone();
        for entry in &self.entries[..count] {
            moved.extend(entry.change.steps.iter().map(|step| (step.title(), entry.version)));
        }
        // Reverting the entries that are kept, the newest first, gives the catalogue at the checkpoint.
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

/// The entry of a line. Bytes that parse to the same entry but were written otherwise are refused: the digest is over the bytes.
fn parse_entry(line: usize, text: &[u8]) -> Result<Entry, ChangeLogError> {
    let entry: Entry = parse_json(line, text)?;
    if entry.to_line() != text {
        return Err(ChangeLogError::Line { line, problem: "bytes that were not written so".into() });
    }
    Ok(entry)
}
