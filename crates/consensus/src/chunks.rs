//! Chunked transfer of messages that do not fit in a datagram, similar to the chunks of Raft's InstallSnapshot (section
//! 7). The sender transmits only the first chunk. The receiver requests the others, a few ahead of those received, and
//! requests lost ones again, so that a sender cannot flood a slow receiver.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::consensus::MAX_MESSAGE;
use tackmast_wire::peer::{Body, MAX_PIECE as MAX_CHUNK_LEN};

/// Greatest number of outgoing messages that are stored for chunk requests. The oldest is dropped first.
const MAX_OUTGOING: usize = 64;
/// Greatest total length of the outgoing messages in bytes. A single longer message is stored as well.
const MAX_OUTGOING_BYTES: usize = 64 << 20;
/// Greatest number of incoming messages, of which each sender has one. The one without progress for longest is dropped
/// first.
const MAX_INCOMING: usize = 64;
/// Greatest number of chunks that are requested but not received.
const CHUNKS_AHEAD: u16 = 8;
/// Number of consecutive retries without a new chunk after which an incoming message is dropped.
const MAX_MESSAGE_RETRIES: u32 = 30;
/// Number of consecutive retries after which a sender's newer message replaces one that is more than half received.
const RETRIES_BEFORE_REPLACED: u32 = 2;

/// Settings of a chunked transfer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChunkSettings {
    /// Time without a new chunk after which missing chunks are requested again.
    pub retry_interval: TimeDelta,
}

/// A received chunk of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Id of the message, unique among the recent messages of its sender.
    pub message_id: u32,
    /// Number of chunks in the whole message.
    pub count: u16,
    /// Position of this chunk in the message, from 0.
    pub index: u16,
    /// The bytes of the message that this chunk carries.
    pub bytes: Bytes,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Transmit {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// A whole message, a chunk or a request for a chunk.
    pub body: Body,
}

/// A message whose chunks receivers may still request.
struct OutgoingMessage {
    message_id: u32,
    bytes: Bytes,
}

/// A message that is not completely received.
struct IncomingMessage {
    from: SocketAddr,
    message_id: u32,
    chunks: Vec<Option<Bytes>>,
    received_count: u16,
    /// Index before which all chunks have been requested.
    requested_end: u16,
    last_progress: Instant,
    retries: u32,
}

impl IncomingMessage {
    fn chunk_count(&self) -> u16 {
        self.chunks.len() as u16
    }

    /// Returns whether this message is kept although its sender has started a newer one. Otherwise a sender that starts
    /// new messages faster than a large one arrives would prevent any from being completed.
    fn is_kept_over_newer(&self) -> bool {
        self.retries < RETRIES_BEFORE_REPLACED && self.received_count * 2 > self.chunk_count()
    }

    fn store(&mut self, now: Instant, chunk: Chunk) {
        let Some(stored) = self.chunks.get_mut(usize::from(chunk.index)) else { return };
        if stored.is_none() {
            *stored = Some(chunk.bytes);
            self.received_count += 1;
            self.last_progress = now;
            self.retries = 0;
        }
    }

    fn is_complete(&self) -> bool {
        self.received_count >= self.chunk_count()
    }

    fn into_bytes(self) -> Bytes {
        let length = self.chunks.iter().flatten().map(Bytes::len).sum();
        let mut message = BytesMut::with_capacity(length);
        for chunk in self.chunks.into_iter().flatten() {
            message.extend_from_slice(&chunk);
        }
        message.freeze()
    }
}

/// Transfers messages of up to `MAX_MESSAGE` bytes in datagrams, without I/O.
pub struct ChunkedTransfer {
    settings: ChunkSettings,
    last_message_id: u32,
    outgoing: VecDeque<OutgoingMessage>,
    incoming: Vec<IncomingMessage>,
    transmits: VecDeque<Transmit>,
    /// Number of incoming messages dropped for lack of progress or space, and of outgoing messages that were too long.
    pub lost_messages: u64,
}

impl ChunkedTransfer {
    /// Creates a transfer without messages. Message ids follow `first_message_id`, which must differ between restarts,
    /// so that a restarted process does not reuse ids of which receivers still have chunks.
    pub fn new(settings: ChunkSettings, first_message_id: u32) -> ChunkedTransfer {
        ChunkedTransfer {
            settings,
            last_message_id: first_message_id,
            outgoing: VecDeque::new(),
            incoming: Vec::new(),
            transmits: VecDeque::new(),
            lost_messages: 0,
        }
    }

    /// Sends a message in one datagram if it fits, or else its first chunk. A message longer than `MAX_MESSAGE` is
    /// counted as lost.
    pub fn send(&mut self, to: SocketAddr, message: Bytes) {
        if message.len() <= MAX_CHUNK_LEN {
            let body = Body::Consensus { bytes: message };
            return self.transmits.push_back(Transmit { to, body });
        }
        if message.len() > MAX_MESSAGE {
            self.lost_messages += 1;
            return;
        }
        let message_id = self.store_outgoing(message);
        self.transmit_chunk(to, message_id, 0);
    }

    /// Stores a message for requests and returns its id. A message that is sent again, or to several receivers, keeps
    /// its id.
    fn store_outgoing(&mut self, message: Bytes) -> u32 {
        let existing =
            self.outgoing.iter().find(|stored| stored.bytes == message).map(|stored| stored.message_id);
        let message_id = match existing {
            Some(message_id) => message_id,
            None => {
                self.last_message_id = self.last_message_id.wrapping_add(1);
                self.outgoing.push_back(OutgoingMessage { message_id: self.last_message_id, bytes: message });
                self.last_message_id
            }
        };
        while self.outgoing.len() > MAX_OUTGOING
            || (self.outgoing_bytes() > MAX_OUTGOING_BYTES && self.outgoing.len() > 1)
        {
            self.outgoing.pop_front();
        }
        message_id
    }

    fn outgoing_bytes(&self) -> usize {
        self.outgoing.iter().map(|stored| stored.bytes.len()).sum()
    }

    fn transmit_chunk(&mut self, to: SocketAddr, message_id: u32, index: u16) {
        let Some(message) = self.outgoing.iter().find(|stored| stored.message_id == message_id) else {
            return;
        };
        let start = usize::from(index) * MAX_CHUNK_LEN;
        if start >= message.bytes.len() {
            return;
        }
        let end = message.bytes.len().min(start + MAX_CHUNK_LEN);
        let count = message.bytes.len().div_ceil(MAX_CHUNK_LEN) as u16;
        let bytes = message.bytes.slice(start..end);
        let body = Body::ConsensusChunk { number: message_id, pieces: count, piece: index, bytes };
        self.transmits.push_back(Transmit { to, body });
    }

    /// Handles a receiver's request for a chunk. A request for an unknown message or chunk is ignored.
    pub fn on_chunk_request(&mut self, from: SocketAddr, message_id: u32, index: u16) {
        self.transmit_chunk(from, message_id, index);
    }

    /// Handles a received chunk, and returns the message if the chunk completes it.
    pub fn on_chunk(&mut self, now: Instant, from: SocketAddr, chunk: Chunk) -> Option<Bytes> {
        let max_count = MAX_MESSAGE.div_ceil(MAX_CHUNK_LEN);
        if usize::from(chunk.count) > max_count || chunk.index >= chunk.count {
            return None;
        }
        let position = self.incoming_position(now, from, &chunk)?;
        let message = self.incoming.get_mut(position)?;
        message.store(now, chunk);
        if !message.is_complete() {
            self.request_ahead(position);
            return None;
        }
        Some(self.incoming.remove(position).into_bytes())
    }

    /// Returns the position of the chunk's message among the incoming ones, or `None` if the chunk is to be ignored.
    /// Each sender has one message at a time, which its first chunk starts.
    fn incoming_position(&mut self, now: Instant, from: SocketAddr, chunk: &Chunk) -> Option<usize> {
        let Some(position) = self.incoming.iter().position(|message| message.from == from) else {
            return (chunk.index == 0).then(|| self.start_incoming(now, from, chunk));
        };
        let message = &self.incoming[position];
        if message.message_id == chunk.message_id {
            return (message.chunk_count() == chunk.count).then_some(position);
        }
        if chunk.index != 0 || message.is_kept_over_newer() {
            return None;
        }
        self.incoming.remove(position);
        Some(self.start_incoming(now, from, chunk))
    }

    fn start_incoming(&mut self, now: Instant, from: SocketAddr, chunk: &Chunk) -> usize {
        if self.incoming.len() >= MAX_INCOMING {
            let longest_idle =
                (0..self.incoming.len()).min_by_key(|index| self.incoming[*index].last_progress);
            if let Some(position) = longest_idle {
                self.incoming.remove(position);
            }
            self.lost_messages += 1;
        }
        self.incoming.push(IncomingMessage {
            from,
            message_id: chunk.message_id,
            chunks: vec![None; usize::from(chunk.count)],
            received_count: 0,
            requested_end: 0,
            last_progress: now,
            retries: 0,
        });
        self.incoming.len() - 1
    }

    /// Requests further chunks, so that up to `CHUNKS_AHEAD` more than the received ones have been requested.
    fn request_ahead(&mut self, position: usize) {
        let message = &mut self.incoming[position];
        let first = message.requested_end.max(1);
        let end = (message.received_count + CHUNKS_AHEAD).min(message.chunk_count());
        message.requested_end = end;
        let (to, number) = (message.from, message.message_id);
        for piece in first..end {
            let body = Body::ConsensusChunkRequest { number, piece };
            self.transmits.push_back(Transmit { to, body });
        }
    }

    /// Returns when `handle_timeout` is due, or `None` if no message is being received.
    pub fn poll_timeout(&self) -> Option<Instant> {
        self.incoming.iter().map(|message| message.last_progress + self.settings.retry_interval).min()
    }

    /// Requests missing chunks again, and drops messages that make no progress.
    pub fn handle_timeout(&mut self, now: Instant) {
        let before = self.incoming.len();
        self.incoming.retain(|message| message.retries < MAX_MESSAGE_RETRIES);
        self.lost_messages += (before - self.incoming.len()) as u64;
        let retry_interval = self.settings.retry_interval;
        let is_due = |message: &&mut IncomingMessage| now - message.last_progress >= retry_interval;
        for message in self.incoming.iter_mut().filter(is_due) {
            message.last_progress = now;
            message.retries += 1;
            let missing = (0u16..).zip(&message.chunks).filter(|(_, chunk)| chunk.is_none());
            for (piece, _) in missing.take(usize::from(CHUNKS_AHEAD)) {
                let body = Body::ConsensusChunkRequest { number: message.message_id, piece };
                self.transmits.push_back(Transmit { to: message.from, body });
            }
        }
    }

    /// Returns the next datagram to send, if any.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }
}

#[cfg(test)]
mod tests;
