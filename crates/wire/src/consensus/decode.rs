//! Bytes to messages and entries. Every length is checked against a bound before anything is allocated.

use super::{kind, DiskIdentity, Entry, EntryPayload, LogPosition, Message, Voters};
use super::{MAX_ENTRIES, MAX_ENTRY, MAX_STATE, MAX_VOTERS};
use crate::reader::{check_len, Fields};
use crate::WireError;
use bytes::Bytes;

fn position(fields: &mut Fields) -> Result<LogPosition, WireError> {
    Ok(LogPosition { term: fields.u64("term")?, index: fields.u64("index")? })
}

fn identity(fields: &mut Fields) -> Result<DiskIdentity, WireError> {
    let (disk, boot) = (fields.u64("disk")?, fields.u32("boot")?);
    Ok(DiskIdentity { disk, boot, generation: fields.u64("life")? })
}

fn voters(fields: &mut Fields) -> Result<Voters, WireError> {
    let count = fields.u8("voters")?;
    if usize::from(count) > MAX_VOTERS {
        return Err(WireError::unexpected("voters", count, "at most 7"));
    }
    let mut voters = Voters::new();
    for _ in 0..count {
        let (host, disk) = (fields.u32("voter")?, fields.u64("disk")?);
        if voters.insert(host, disk).is_some() {
            return Err(WireError::unexpected("voter", host, "a host named once"));
        }
    }
    Ok(voters)
}

fn bytes_up_to(fields: &mut Fields, field: &'static str, max: usize) -> Result<Bytes, WireError> {
    let length = fields.u32(field)? as usize;
    check_len(field, length, max)?;
    fields.bytes(field, length)
}

/// Takes one entry, as messages and the store have it.
pub fn decode_entry(fields: &mut Fields) -> Result<Entry, WireError> {
    let term = fields.u64("term")?;
    let payload = match fields.u8("entry kind")? {
        kind::ENTRY_NOOP => EntryPayload::Noop,
        kind::ENTRY_COMMAND => EntryPayload::Command(bytes_up_to(fields, "entry", MAX_ENTRY)?),
        kind::ENTRY_VOTERS => EntryPayload::Voters(voters(fields)?),
        other => {
            return Err(WireError::unexpected("entry kind", other, "0 nothing, 1 data or 2 voters"));
        }
    };
    Ok(Entry { term, payload })
}

fn entries(fields: &mut Fields) -> Result<Vec<Entry>, WireError> {
    let count = fields.u16("entries")?;
    if usize::from(count) > MAX_ENTRIES {
        return Err(WireError::unexpected("entries", count, "at most 256"));
    }
    (0..count).map(|_| decode_entry(fields)).collect()
}

fn request_vote(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::RequestVote {
        pre_vote: fields.flag("pre")?,
        term: fields.u64("term")?,
        last_log: position(fields)?,
        identity: identity(fields)?,
    })
}

fn request_vote_response(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::RequestVoteResponse {
        pre_vote: fields.flag("pre")?,
        term: fields.u64("term")?,
        granted: fields.flag("granted")?,
        identity: identity(fields)?,
    })
}

fn append_entries(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::AppendEntries {
        log_id: fields.u64("log")?,
        term: fields.u64("term")?,
        round: fields.u64("round")?,
        previous: position(fields)?,
        commit_index: fields.u64("commit")?,
        entries: entries(fields)?,
    })
}

fn append_entries_response(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::AppendEntriesResponse {
        term: fields.u64("term")?,
        round: fields.u64("round")?,
        success: fields.flag("matches")?,
        index: fields.u64("index")?,
        identity: identity(fields)?,
    })
}

fn install_snapshot(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::InstallSnapshot {
        term: fields.u64("term")?,
        log_id: fields.u64("log")?,
        last: position(fields)?,
        voters: voters(fields)?,
        state: bytes_up_to(fields, "state", MAX_STATE)?,
    })
}

fn propose(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::Propose { log_id: fields.u64("log")?, data: bytes_up_to(fields, "proposal", MAX_ENTRY)? })
}

fn request_lease(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::RequestLease {
        sequence: fields.u32("number")?,
        stored_index: fields.u64("index")?,
        identity: identity(fields)?,
    })
}

fn lease_granted(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::LeaseGranted {
        log_id: fields.u64("log")?,
        to_generation: fields.u64("life")?,
        sequence: fields.u32("number")?,
        term: fields.u64("term")?,
        index: fields.u64("index")?,
        duration_ms: fields.u32("time")?,
    })
}

fn leader_hint(fields: &mut Fields) -> Result<Message, WireError> {
    let (term, leader) = (fields.u64("term")?, fields.u32("leader")?);
    Ok(Message::LeaderHint { term, leader: Some(leader).filter(|host| *host != kind::NO_LEADER) })
}

fn committed_entries(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::CommittedEntries {
        log_id: fields.u64("log")?,
        after: fields.u64("index")?,
        entries: entries(fields)?,
    })
}

fn committed_snapshot(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::CommittedSnapshot {
        log_id: fields.u64("log")?,
        last: position(fields)?,
        voters: voters(fields)?,
        state: bytes_up_to(fields, "state", MAX_STATE)?,
    })
}

fn bootstrap(fields: &mut Fields) -> Result<Message, WireError> {
    Ok(Message::Bootstrap {
        identity: identity(fields)?,
        confirmed: fields.flag("sealed")?,
        bootstrapped: fields.flag("founded")?,
        disks: voters(fields)?,
    })
}

impl Message {
    /// The message that these bytes are, and nothing else.
    pub fn decode(bytes: Bytes) -> Result<Message, WireError> {
        let mut fields = Fields(bytes);
        let fields = &mut fields;
        let message = match fields.u8("word")? {
            kind::REQUEST_VOTE => request_vote(fields)?,
            kind::REQUEST_VOTE_RESPONSE => request_vote_response(fields)?,
            kind::APPEND_ENTRIES => append_entries(fields)?,
            kind::APPEND_ENTRIES_RESPONSE => append_entries_response(fields)?,
            kind::INSTALL_SNAPSHOT => install_snapshot(fields)?,
            kind::PROPOSE => propose(fields)?,
            kind::REQUEST_LEASE => request_lease(fields)?,
            kind::LEASE_GRANTED => lease_granted(fields)?,
            kind::LEADER_HINT => leader_hint(fields)?,
            kind::FETCH_COMMITTED => Message::FetchCommitted { stored_index: fields.u64("index")? },
            kind::COMMITTED_ENTRIES => committed_entries(fields)?,
            kind::COMMITTED_SNAPSHOT => committed_snapshot(fields)?,
            kind::BOOTSTRAP => bootstrap(fields)?,
            kind::STALE_DISK => Message::StaleDisk { identity: identity(fields)? },
            other => return Err(WireError::unexpected("word", other, "a word from 1 to 14")),
        };
        fields.end("word")?;
        Ok(message)
    }
}
