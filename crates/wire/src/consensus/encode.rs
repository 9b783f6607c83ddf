//! Messages and entries to bytes. All numbers are big-endian.

use super::{kind, DiskIdentity, Entry, EntryPayload, LogPosition, Message, Voters};
use super::{MAX_ENTRIES, MAX_VOTERS};
use bytes::{BufMut, Bytes, BytesMut};

/// Appends fields to a message, one after the other.
struct Encoder(BytesMut);

impl Encoder {
    fn new(kind: u8) -> Encoder {
        let mut bytes = BytesMut::new();
        bytes.put_u8(kind);
        Encoder(bytes)
    }

    fn u32(mut self, number: u32) -> Encoder {
        self.0.put_u32(number);
        self
    }

    fn u64(mut self, number: u64) -> Encoder {
        self.0.put_u64(number);
        self
    }

    fn flag(mut self, flag: bool) -> Encoder {
        self.0.put_u8(u8::from(flag));
        self
    }

    fn bytes(mut self, bytes: &Bytes) -> Encoder {
        put_bytes(&mut self.0, bytes);
        self
    }

    fn position(self, position: &LogPosition) -> Encoder {
        self.u64(position.term).u64(position.index)
    }

    fn identity(self, identity: &DiskIdentity) -> Encoder {
        self.u64(identity.disk).u32(identity.boot).u64(identity.generation)
    }

    fn voters(mut self, voters: &Voters) -> Encoder {
        put_voters(&mut self.0, voters);
        self
    }

    fn entries(mut self, entries: &[Entry]) -> Encoder {
        self.0.put_u16(entries.len().min(MAX_ENTRIES) as u16);
        for entry in entries.iter().take(MAX_ENTRIES) {
            encode_entry(&mut self.0, entry);
        }
        self
    }

    fn finish(self) -> Bytes {
        self.0.freeze()
    }
}

fn put_bytes(out: &mut BytesMut, bytes: &Bytes) {
    out.put_u32(bytes.len() as u32);
    out.put_slice(bytes);
}

fn put_voters(out: &mut BytesMut, voters: &Voters) {
    out.put_u8(voters.len().min(MAX_VOTERS) as u8);
    for (host, disk) in voters.iter().take(MAX_VOTERS) {
        out.put_u32(*host);
        out.put_u64(*disk);
    }
}

/// Appends an entry, as messages and the store have it.
pub fn encode_entry(out: &mut BytesMut, entry: &Entry) {
    out.put_u64(entry.term);
    match &entry.payload {
        EntryPayload::Noop => out.put_u8(kind::ENTRY_NOOP),
        EntryPayload::Command(command) => {
            out.put_u8(kind::ENTRY_COMMAND);
            put_bytes(out, command);
        }
        EntryPayload::Voters(voters) => {
            out.put_u8(kind::ENTRY_VOTERS);
            put_voters(out, voters);
        }
    }
}

impl Message {
    /// The message as it goes out.
    pub fn to_bytes(&self) -> Bytes {
        let new = Encoder::new;
        let encoder = match self {
            Message::RequestVote { pre_vote, term, last_log, identity } => {
                new(kind::REQUEST_VOTE).flag(*pre_vote).u64(*term).position(last_log).identity(identity)
            }
            Message::RequestVoteResponse { pre_vote, term, granted, identity } => {
                let encoder = new(kind::REQUEST_VOTE_RESPONSE).flag(*pre_vote).u64(*term);
                encoder.flag(*granted).identity(identity)
            }
            Message::AppendEntries { log_id, term, round, previous, commit_index, entries } => {
                let encoder = new(kind::APPEND_ENTRIES).u64(*log_id).u64(*term).u64(*round);
                encoder.position(previous).u64(*commit_index).entries(entries)
            }
            Message::AppendEntriesResponse { term, round, success, index, identity } => {
                let encoder = new(kind::APPEND_ENTRIES_RESPONSE).u64(*term).u64(*round);
                encoder.flag(*success).u64(*index).identity(identity)
            }
            Message::InstallSnapshot { term, log_id, last, voters, state } => {
                let encoder = new(kind::INSTALL_SNAPSHOT).u64(*term).u64(*log_id);
                encoder.position(last).voters(voters).bytes(state)
            }
            Message::Propose { log_id, data } => new(kind::PROPOSE).u64(*log_id).bytes(data),
            Message::RequestLease { sequence, stored_index, identity } => {
                new(kind::REQUEST_LEASE).u32(*sequence).u64(*stored_index).identity(identity)
            }
            Message::LeaseGranted { log_id, to_generation, sequence, term, index, duration_ms } => {
                let encoder = new(kind::LEASE_GRANTED).u64(*log_id).u64(*to_generation).u32(*sequence);
                encoder.u64(*term).u64(*index).u32(*duration_ms)
            }
            Message::LeaderHint { term, leader } => {
                new(kind::LEADER_HINT).u64(*term).u32(leader.unwrap_or(kind::NO_LEADER))
            }
            Message::FetchCommitted { stored_index } => new(kind::FETCH_COMMITTED).u64(*stored_index),
            Message::CommittedEntries { log_id, after, entries } => {
                new(kind::COMMITTED_ENTRIES).u64(*log_id).u64(*after).entries(entries)
            }
            Message::CommittedSnapshot { log_id, last, voters, state } => {
                new(kind::COMMITTED_SNAPSHOT).u64(*log_id).position(last).voters(voters).bytes(state)
            }
            Message::Bootstrap { identity, confirmed, bootstrapped, disks } => {
                let encoder = new(kind::BOOTSTRAP).identity(identity).flag(*confirmed);
                encoder.flag(*bootstrapped).voters(disks)
            }
            Message::StaleDisk { identity } => new(kind::STALE_DISK).identity(identity),
        };
        encoder.finish()
    }
}
