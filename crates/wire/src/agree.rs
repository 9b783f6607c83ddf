//! What voters and the hosts that follow them say to each other about the agreed log: one word each, described byte by byte
//! in docs/protocols/agreement.md. A word may be longer than a datagram; `peer` carries it in pieces then.

use crate::reader::Fields;
use crate::WireError;
use bytes::{BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// Bytes of one entry's text, of one word, and of a state that entries were folded into, at most.
pub const MAX_ENTRY: usize = 1 << 20;
pub const MAX_STATE: usize = 16 << 20;
pub const MAX_WORD: usize = MAX_STATE + (64 << 10);
/// Voters of one fleet, and entries in one word, at most.
pub const MAX_VOTERS: usize = 7;
pub const MAX_ENTRIES: usize = 256;

/// A place in the log, and the term in which it was written there. Ordered as logs are compared: by term, then by place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mark {
    pub term: u64,
    pub index: u64,
}

/// Who votes: hosts by number, each with the mark of the disk that holds its votes.
pub type Voters = BTreeMap<u32, u64>;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A leader's first entry, which makes those before it count.
    Nothing,
    Data(Bytes),
    Voters(Voters),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub what: What,
}

/// Which disk a voter speaks from, the how manieth time it was opened, and the generation that did so. Against a disk that comes
/// back old, or twice: its votes were given away already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    pub disk: u64,
    pub boot: u32,
    pub generation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// Asks for a vote; `pre`: whether one would be given.
    Ask {
        pre: bool,
        term: u64,
        last: Mark,
        of: Origin,
    },
    Vote {
        pre: bool,
        term: u64,
        granted: bool,
        of: Origin,
    },
    /// The leader's entries after `before`, none as a beat.
    Append {
        /// Of the log: one that was begun by force has voters and terms that say nothing here.
        id: u64,
        term: u64,
        round: u64,
        before: Mark,
        commit: u64,
        entries: Vec<Entry>,
    },
    /// Up to `index` the sender has what the leader has; where not, `index` is where to try next.
    Appended {
        term: u64,
        round: u64,
        matches: bool,
        index: u64,
        of: Origin,
    },
    /// In place of entries that are folded: what they led to.
    Snapshot {
        term: u64,
        id: u64,
        last: Mark,
        voters: Voters,
        state: Bytes,
    },
    /// To be put into the log.
    Propose {
        id: u64,
        data: Bytes,
    },
    /// The sender has all up to `has`, on its disk, and asks until when that counts.
    Renew {
        seq: u32,
        has: u64,
        of: Origin,
    },
    /// Nothing beyond `index` was committed when that was asked; it counts for `term_ms` from when it was.
    Granted {
        /// Of the log, drawn when the fleet began.
        id: u64,
        /// Of the asker: an earlier generation's numbers were the same.
        to_generation: u64,
        seq: u32,
        term: u64,
        index: u64,
        term_ms: u32,
    },
    /// This host does not lead; it takes that one for the leader.
    Leads {
        term: u64,
        leader: Option<u32>,
    },
    /// Asks for what is committed after `has`.
    Want {
        has: u64,
    },
    Fill {
        id: u64,
        after: u64,
        entries: Vec<Entry>,
    },
    FillState {
        id: u64,
        last: Mark,
        voters: Voters,
        state: Bytes,
    },
    /// Of a voter of a fleet that has agreed on nothing yet: which disks it has heard of, and whether it stands by them.
    Found {
        of: Origin,
        sealed: bool,
        founded: bool,
        disks: Voters,
    },
    /// The receiver's disk was opened since by another generation: it is an old copy, or one of two.
    Stale {
        of: Origin,
    },
}

fn put_mark(out: &mut BytesMut, m: Mark) {
    out.put_u64(m.term);
    out.put_u64(m.index);
}

fn put_origin(out: &mut BytesMut, o: &Origin) {
    out.put_u64(o.disk);
    out.put_u32(o.boot);
    out.put_u64(o.generation);
}

fn put_voters(out: &mut BytesMut, v: &Voters) {
    out.put_u8(v.len().min(MAX_VOTERS) as u8);
    for (slot, disk) in v.iter().take(MAX_VOTERS) {
        out.put_u32(*slot);
        out.put_u64(*disk);
    }
}

fn put_entries(out: &mut BytesMut, all: &[Entry]) {
    out.put_u16(all.len().min(MAX_ENTRIES) as u16);
    all.iter().take(MAX_ENTRIES).for_each(|e| put_entry(out, e));
}

pub fn put_entry(out: &mut BytesMut, e: &Entry) {
    out.put_u64(e.term);
    match &e.what {
        What::Nothing => out.put_u8(0),
        What::Data(d) => {
            out.put_u8(1);
            out.put_u32(d.len() as u32);
            out.put_slice(d);
        }
        What::Voters(v) => {
            out.put_u8(2);
            put_voters(out, v);
        }
    }
}

fn mark(f: &mut Fields) -> Result<Mark, WireError> {
    Ok(Mark { term: f.u64("term")?, index: f.u64("index")? })
}

fn origin(f: &mut Fields) -> Result<Origin, WireError> {
    Ok(Origin { disk: f.u64("disk")?, boot: f.u32("boot")?, generation: f.u64("life")? })
}

fn flag(f: &mut Fields, field: &'static str) -> Result<bool, WireError> {
    match f.u8(field)? {
        0 => Ok(false),
        1 => Ok(true),
        other => Err(WireError::Value { field, found: u64::from(other), expected: "0 or 1" }),
    }
}

fn voters(f: &mut Fields) -> Result<Voters, WireError> {
    let n = f.u8("voters")?;
    if usize::from(n) > MAX_VOTERS {
        return Err(WireError::Value { field: "voters", found: u64::from(n), expected: "at most 7" });
    }
    let mut all = Voters::new();
    for _ in 0..n {
        let (slot, disk) = (f.u32("voter")?, f.u64("disk")?);
        if all.insert(slot, disk).is_some() {
            let expected = "a host named once";
            return Err(WireError::Value { field: "voter", found: u64::from(slot), expected });
        }
    }
    Ok(all)
}

fn long(f: &mut Fields, field: &'static str, most: usize) -> Result<Bytes, WireError> {
    let n = f.u32(field)? as usize;
    if n > most {
        return Err(WireError::TooLong { field, found: n as u64, most: most as u64 });
    }
    f.bytes(field, n)
}

pub fn entry(f: &mut Fields) -> Result<Entry, WireError> {
    let term = f.u64("term")?;
    let what = match f.u8("entry kind")? {
        0 => What::Nothing,
        1 => What::Data(long(f, "entry", MAX_ENTRY)?),
        2 => What::Voters(voters(f)?),
        other => {
            let expected = "0 nothing, 1 data or 2 voters";
            return Err(WireError::Value { field: "entry kind", found: u64::from(other), expected });
        }
    };
    Ok(Entry { term, what })
}

fn entries(f: &mut Fields) -> Result<Vec<Entry>, WireError> {
    let n = f.u16("entries")?;
    if usize::from(n) > MAX_ENTRIES {
        return Err(WireError::Value { field: "entries", found: u64::from(n), expected: "at most 256" });
    }
    (0..n).map(|_| entry(f)).collect()
}

impl Word {
    pub fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::new();
        match self {
            Word::Ask { pre, term, last, of } => {
                out.put_u8(1);
                out.put_u8(u8::from(*pre));
                out.put_u64(*term);
                put_mark(&mut out, *last);
                put_origin(&mut out, of);
            }
            Word::Vote { pre, term, granted, of } => {
                out.put_u8(2);
                out.put_u8(u8::from(*pre));
                out.put_u64(*term);
                out.put_u8(u8::from(*granted));
                put_origin(&mut out, of);
            }
            Word::Append { id, term, round, before, commit, entries } => {
                out.put_u8(3);
                out.put_u64(*id);
                out.put_u64(*term);
                out.put_u64(*round);
                put_mark(&mut out, *before);
                out.put_u64(*commit);
                put_entries(&mut out, entries);
            }
            Word::Appended { term, round, matches, index, of } => {
                out.put_u8(4);
                out.put_u64(*term);
                out.put_u64(*round);
                out.put_u8(u8::from(*matches));
                out.put_u64(*index);
                put_origin(&mut out, of);
            }
            Word::Snapshot { term, id, last, voters, state } => {
                out.put_u8(5);
                out.put_u64(*term);
                out.put_u64(*id);
                put_mark(&mut out, *last);
                put_voters(&mut out, voters);
                out.put_u32(state.len() as u32);
                out.put_slice(state);
            }
            Word::Propose { id, data } => {
                out.put_u8(6);
                out.put_u64(*id);
                out.put_u32(data.len() as u32);
                out.put_slice(data);
            }
            Word::Renew { seq, has, of } => {
                out.put_u8(7);
                out.put_u32(*seq);
                out.put_u64(*has);
                put_origin(&mut out, of);
            }
            Word::Granted { id, to_generation, seq, term, index, term_ms } => {
                out.put_u8(8);
                out.put_u64(*id);
                out.put_u64(*to_generation);
                out.put_u32(*seq);
                out.put_u64(*term);
                out.put_u64(*index);
                out.put_u32(*term_ms);
            }
            Word::Leads { term, leader } => {
                out.put_u8(9);
                out.put_u64(*term);
                out.put_u32(leader.unwrap_or(u32::MAX));
            }
            Word::Want { has } => {
                out.put_u8(10);
                out.put_u64(*has);
            }
            Word::Fill { id, after, entries } => {
                out.put_u8(11);
                out.put_u64(*id);
                out.put_u64(*after);
                put_entries(&mut out, entries);
            }
            Word::FillState { id, last, voters, state } => {
                out.put_u8(12);
                out.put_u64(*id);
                put_mark(&mut out, *last);
                put_voters(&mut out, voters);
                out.put_u32(state.len() as u32);
                out.put_slice(state);
            }
            Word::Found { of, sealed, founded, disks } => {
                out.put_u8(13);
                put_origin(&mut out, of);
                out.put_u8(u8::from(*sealed));
                out.put_u8(u8::from(*founded));
                put_voters(&mut out, disks);
            }
            Word::Stale { of } => {
                out.put_u8(14);
                put_origin(&mut out, of);
            }
        }
        out.freeze()
    }

    pub fn decode(bytes: Bytes) -> Result<Word, WireError> {
        let mut f = Fields(bytes);
        let f = &mut f;
        let word = match f.u8("word")? {
            1 => Word::Ask { pre: flag(f, "pre")?, term: f.u64("term")?, last: mark(f)?, of: origin(f)? },
            2 => Word::Vote {
                pre: flag(f, "pre")?,
                term: f.u64("term")?,
                granted: flag(f, "granted")?,
                of: origin(f)?,
            },
            3 => Word::Append {
                id: f.u64("log")?,
                term: f.u64("term")?,
                round: f.u64("round")?,
                before: mark(f)?,
                commit: f.u64("commit")?,
                entries: entries(f)?,
            },
            4 => Word::Appended {
                term: f.u64("term")?,
                round: f.u64("round")?,
                matches: flag(f, "matches")?,
                index: f.u64("index")?,
                of: origin(f)?,
            },
            5 => Word::Snapshot {
                term: f.u64("term")?,
                id: f.u64("log")?,
                last: mark(f)?,
                voters: voters(f)?,
                state: long(f, "state", MAX_STATE)?,
            },
            6 => Word::Propose { id: f.u64("log")?, data: long(f, "proposal", MAX_ENTRY)? },
            7 => Word::Renew { seq: f.u32("number")?, has: f.u64("index")?, of: origin(f)? },
            8 => Word::Granted {
                id: f.u64("log")?,
                to_generation: f.u64("life")?,
                seq: f.u32("number")?,
                term: f.u64("term")?,
                index: f.u64("index")?,
                term_ms: f.u32("time")?,
            },
            9 => Word::Leads {
                term: f.u64("term")?,
                leader: Some(f.u32("leader")?).filter(|s| *s != u32::MAX),
            },
            10 => Word::Want { has: f.u64("index")? },
            11 => Word::Fill { id: f.u64("log")?, after: f.u64("index")?, entries: entries(f)? },
            12 => Word::FillState {
                id: f.u64("log")?,
                last: mark(f)?,
                voters: voters(f)?,
                state: long(f, "state", MAX_STATE)?,
            },
            13 => Word::Found {
                of: origin(f)?,
                sealed: flag(f, "sealed")?,
                founded: flag(f, "founded")?,
                disks: voters(f)?,
            },
            14 => Word::Stale { of: origin(f)? },
            other => {
                let expected = "a word from 1 to 14";
                return Err(WireError::Value { field: "word", found: u64::from(other), expected });
            }
        };
        f.end("word")?;
        Ok(word)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn all() -> Vec<Word> {
        let of = Origin { disk: 1, boot: 2, generation: 3 };
        let voters: Voters = (0..MAX_VOTERS as u32).map(|s| (s, u64::from(s) + 7)).collect();
        let entries = vec![
            Entry { term: 1, what: What::Nothing },
            Entry { term: 2, what: What::Data(Bytes::from_static(b"change")) },
            Entry { term: 2, what: What::Voters(voters.clone()) },
        ];
        let last = Mark { term: 5, index: 6 };
        let state = Bytes::from_static(b"state");
        vec![
            Word::Ask { pre: true, term: 4, last, of },
            Word::Vote { pre: false, term: 4, granted: true, of },
            Word::Append { id: 8, term: 4, round: 9, before: last, commit: 3, entries: entries.clone() },
            Word::Append { id: 8, term: 4, round: 9, before: last, commit: 3, entries: vec![] },
            Word::Appended { term: 4, round: 9, matches: false, index: 2, of },
            Word::Snapshot { term: 4, id: 8, last, voters: voters.clone(), state: state.clone() },
            Word::Propose { id: 8, data: state.clone() },
            Word::Renew { seq: 1, has: 2, of },
            Word::Granted { id: 8, to_generation: 9, seq: 1, term: 2, index: 3, term_ms: 4 },
            Word::Leads { term: 1, leader: Some(2) },
            Word::Leads { term: 1, leader: None },
            Word::Want { has: 7 },
            Word::Fill { id: 8, after: 7, entries },
            Word::FillState { id: 8, last, voters: voters.clone(), state },
            Word::Found { of, sealed: true, founded: false, disks: voters },
            Word::Stale { of },
        ]
    }

    #[test]
    fn each_word_comes_back_as_it_was_and_no_cut_of_it_passes() {
        for w in all() {
            let bytes = w.to_bytes();
            assert_eq!(Word::decode(bytes.clone()), Ok(w.clone()));
            for n in 0..bytes.len() {
                assert!(Word::decode(bytes.slice(..n)).is_err(), "{w:?} cut at {n}");
            }
            let longer = Bytes::from([&bytes[..], &[0]].concat());
            assert!(Word::decode(longer).is_err(), "{w:?} with a byte more");
        }
    }

    proptest! {
        #[test]
        fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            _ = Word::decode(Bytes::from(bytes));
        }
    }
}
