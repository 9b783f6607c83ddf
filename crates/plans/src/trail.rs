//! Who changed what, when and why: a line an entry, each with the digest of the one before, so that no entry can be altered,
//! taken out or put in without all that follow showing it. The oldest can be folded into an anchor, which names the digest
//! that the rest begins from.

use crate::catalogue::{Catalogue, Change, Fleet, Refusal, Step};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of one line, at most.
const LINE: usize = 16 << 20;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub number: u64,
    /// Unix time in microseconds.
    pub at_us: u64,
    pub change: Change,
    /// The steps that undo it.
    pub undo: Vec<Step>,
    /// The version that it made.
    pub version: u64,
    /// Digest of the entry before, and of this one without this field, in hex.
    pub before: String,
    #[serde(default)]
    pub digest: String,
}

/// What entries were folded into: the catalogue after them, and the last one's digest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Anchor {
    pub number: u64,
    pub digest: String,
    pub catalogue: Catalogue,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TrailError {
    #[error("line {line}: {problem}; expected an entry as it was written")]
    Line { line: usize, problem: String },
    #[error("entry {number}: {found}; expected {expected}")]
    Broken { number: u64, found: String, expected: String },
}

/// Entries behind an anchor, and the catalogue that they lead to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trail {
    pub anchor: Anchor,
    pub entries: Vec<Entry>,
    pub catalogue: Catalogue,
}

impl Entry {
    fn digest_of(&self) -> String {
        let bare = Entry { digest: String::new(), ..self.clone() };
        let text = serde_json::to_vec(&bare).unwrap_or_default();
        hex(&Sha256::digest(&text))
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

impl Trail {
    /// One that begins with what the settings say. Its anchor's digest is of that, so that hosts whose settings differ do not
    /// take each other's entries.
    pub fn starting(catalogue: Catalogue) -> Self {
        let digest = hex(&Sha256::digest(serde_json::to_vec(&catalogue).unwrap_or_default()));
        let anchor = Anchor { number: 0, digest, catalogue: catalogue.clone() };
        Trail { anchor, entries: Vec::new(), catalogue }
    }

    /// Number and digest of the newest entry.
    pub fn newest(&self) -> (u64, &str) {
        self.last()
    }

    /// Takes the line of an entry that another host has kept, if it is the next one here.
    pub fn take(&mut self, line: &[u8], fleet: &Fleet) -> Result<(), TrailError> {
        let number = self.last().0 + 1;
        let wrong = |problem: String| TrailError::Line { line: number as usize, problem };
        if line.len() > LINE {
            return Err(wrong(format!("{} bytes", line.len())));
        }
        let entry: Entry = serde_json::from_slice(line).map_err(|e| wrong(e.to_string()))?;
        if Trail::line(&entry) != line {
            return Err(wrong("bytes that were not written so".into()));
        }
        self.follow(entry, fleet)
    }

    fn last(&self) -> (u64, &str) {
        self.entries.last().map_or((self.anchor.number, &self.anchor.digest), |e| (e.number, &e.digest))
    }

    /// The entry that the change would make. Nothing moves until it is told that this was kept.
    pub fn propose(&self, at_us: u64, change: Change, fleet: &Fleet) -> Result<(Entry, Catalogue), Refusal> {
        let applied = self.catalogue.apply(&change, fleet)?;
        let (number, before) = self.last();
        let version = applied.catalogue.version;
        let before = before.to_owned();
        let mut entry = Entry {
            number: number + 1,
            at_us,
            change,
            undo: applied.undo,
            version,
            before,
            digest: String::new(),
        };
        entry.digest = entry.digest_of();
        Ok((entry, applied.catalogue))
    }

    /// The entry is kept: from now on it holds.
    pub fn kept(&mut self, entry: Entry, catalogue: Catalogue) {
        self.entries.push(entry);
        self.catalogue = catalogue;
    }

    /// A change that takes an entry back, on the version that holds now.
    pub fn undoing(&self, number: u64, who: &str, why: &str) -> Option<Change> {
        let e = self.entries.iter().find(|e| e.number == number)?;
        let (who, why) = (who.to_owned(), why.to_owned());
        // Made on the version that the entry made: what has moved since then is a conflict that names it.
        Some(Change { base: e.version, steps: e.undo.clone(), who, why })
    }

    /// A line an entry, after one for the anchor.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = serde_json::to_vec(&self.anchor).unwrap_or_default();
        out.push(b'\n');
        self.entries.iter().for_each(|e| out.extend(Trail::line(e)));
        out
    }

    pub fn line(entry: &Entry) -> Vec<u8> {
        let mut line = serde_json::to_vec(entry).unwrap_or_default();
        line.push(b'\n');
        line
    }

    /// Reads what was kept. A last line that was cut was never acknowledged, and is left out; anything else that is not as
    /// it was written is an error that names it.
    pub fn from_bytes(bytes: &[u8], fleet: &Fleet) -> Result<Trail, TrailError> {
        let whole = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |i| i + 1);
        let mut lines = bytes[..whole].split_inclusive(|b| *b == b'\n').enumerate();
        let read = |line: usize, text: &[u8]| -> Result<(), TrailError> {
            match text.len() <= LINE {
                true => Ok(()),
                false => Err(TrailError::Line { line, problem: format!("{} bytes", text.len()) }),
            }
        };
        let wrong = |line: usize, e: serde_json::Error| TrailError::Line { line, problem: e.to_string() };
        let Some((_, first)) = lines.next() else { return Ok(Trail::default()) };
        read(1, first)?;
        let anchor: Anchor = serde_json::from_slice(first).map_err(|e| wrong(1, e))?;
        let mut trail = Trail { catalogue: anchor.catalogue.clone(), anchor, entries: Vec::new() };
        for (i, text) in lines {
            read(i + 1, text)?;
            let entry: Entry = serde_json::from_slice(text).map_err(|e| wrong(i + 1, e))?;
            // Other bytes of the same meaning are not what was written either.
            if Trail::line(&entry) != text {
                return Err(TrailError::Line {
                    line: i + 1,
                    problem: "bytes that were not written so".into(),
                });
            }
            trail.follow(entry, fleet)?;
        }
        Ok(trail)
    }

    /// Takes an entry that was kept, if it is the next one and leads where it says.
    fn follow(&mut self, entry: Entry, fleet: &Fleet) -> Result<(), TrailError> {
        let (number, before) = self.last();
        let broken =
            |found: String, expected: String| TrailError::Broken { number: entry.number, found, expected };
        if entry.number != number + 1 {
            return Err(broken(format!("number {}", entry.number), format!("{}", number + 1)));
        }
        if entry.before != before {
            return Err(broken(format!("it follows {}", entry.before), format!("{before}, the one before")));
        }
        let digest = entry.digest_of();
        if entry.digest != digest {
            return Err(broken(format!("digest {}", entry.digest), format!("{digest}, by what it holds")));
        }
        // Its own base may be older than the version it was taken on; what it led to then it leads to now.
        match self.catalogue.apply(&entry.change, fleet) {
            Ok(a) if a.catalogue.version == entry.version && a.undo == entry.undo => {
                self.kept(entry, a.catalogue)
            }
            Ok(a) => {
                let expected = format!("version {}, by the entries before", a.catalogue.version);
                return Err(broken(format!("version {}", entry.version), expected));
            }
            Err(Refusal::Conflict { moved, .. }) => {
                return Err(broken(
                    format!("a conflict over {}", moved.join(", ")),
                    "a change that passed".into(),
                ))
            }
            // What the fleet bears may be less by now; what holds still holds, and the next change is judged by it.
            Err(Refusal::Wrong { place, found, .. }) => {
                return Err(broken(format!("{place}: {found}"), "a change that the fleet bears".into()))
            }
        }
        Ok(())
    }

    /// Folds all but the last entries into the anchor; whoever has its digest can prove the rest.
    pub fn fold(&mut self, keep: usize) {
        let n = self.entries.len().saturating_sub(keep);
        let Some(last) = n.checked_sub(1).and_then(|i| self.entries.get(i)) else { return };
        let (number, digest) = (last.number, last.digest.clone());
        // Going back from now over what is kept gives the catalogue at the fold.
        let mut at = self.catalogue.clone();
        let mut moved = self.anchor.catalogue.moves().clone();
        self.entries[..n].iter().for_each(|e| Catalogue::note_moves(&mut moved, e));
        for e in self.entries[n..].iter().rev() {
            at.take_back(e, &moved);
        }
        self.entries.drain(..n);
        self.anchor = Anchor { number, digest, catalogue: at };
    }
}
