//! Chunked transfer of messages that do not fit a datagram, as Raft's InstallSnapshot (section 7) sends a snapshot in
//! chunks. The sender transmits only the first chunk. The receiver requests the others, a few ahead of what it has, and
//! requests lost ones again, so that no sender floods a slow receiver.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::consensus::MAX_MESSAGE;
use tackmast_wire::peer::{Body, MAX_PIECE as MAX_CHUNK_LEN};

/// Greatest number of messages that are kept for receivers that request chunks. The oldest is dropped first.
const MAX_OUTGOING: usize = 64;
/// Greatest length in bytes of these messages together, unless there is only one.
const MAX_OUTGOING_BYTES: usize = 64 << 20;
/// Greatest number of messages that are received at a time, one of each sender. The one idle for longest is dropped first.
const MAX_INCOMING: usize = 64;
/// Chunks that are requested beyond those received.
const CHUNKS_AHEAD: u16 = 8;
/// Retries without a chunk after which a message is given up.
const MAX_MESSAGE_RETRIES: u32 = 30;
/// Retries after which a sender's newer message replaces one that is more than half received.
const RETRIES_BEFORE_REPLACED: u32 = 2;

/// How chunks are requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChunkSettings {
    /// A chunk that has not arrived within this time is requested again.
    pub retry_interval: TimeDelta,
}

/// A part of a message, as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The sender's number for the message.
    pub message_id: u32,
    /// Chunks of the whole message.
    pub count: u16,
    /// Which of them this is, from 0.
    pub index: u16,
    /// Its part of the message.
    pub bytes: Bytes,
}

/// A datagram's body and its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Transmit {
    /// The receiver.
    pub to: SocketAddr,
    /// A whole message, a chunk or a request for one.
    pub body: Body,
}

/// A message that receivers may still request chunks of.
struct OutgoingMessage {
    message_id: u32,
    bytes: Bytes,
}

/// A message of which some chunks are missing.
struct IncomingMessage {
    from: SocketAddr,
    message_id: u32,
    chunks: Vec<Option<Bytes>>,
    received: u16,
    /// Chunks before this index have been requested.
    requested: u16,
    last_progress: Instant,
    retries: u32,
}

impl IncomingMessage {
    fn chunk_count(&self) -> u16 {
        self.chunks.len() as u16
    }

    /// Whether the rest of this message is still requested although its sender has begun a newer one. A sender that repeats
    /// itself faster than a large message arrives would else prevent that any is complete.
    fn outlasts_newer(&self) -> bool {
        self.retries < RETRIES_BEFORE_REPLACED && self.received * 2 > self.chunk_count()
    }

    fn store(&mut self, now: Instant, chunk: Chunk) {
        let Some(place) = self.chunks.get_mut(usize::from(chunk.index)) else { return };
        if place.is_none() {
            *place = Some(chunk.bytes);
            self.received += 1;
            self.last_progress = now;
            self.retries = 0;
        }
    }

    fn is_complete(&self) -> bool {
        self.received >= self.chunk_count()
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

/// Sends and receives messages of any length, in datagrams.
pub struct ChunkedTransfer {
    settings: ChunkSettings,
    last_message_id: u32,
    outgoing: VecDeque<OutgoingMessage>,
    incoming: Vec<IncomingMessage>,
    transmits: VecDeque<Transmit>,
    /// Messages that were given up, or were too long to be sent.
    pub lost_messages: u64,
}

impl ChunkedTransfer {
    /// `first_message_id`: messages are numbered from there, so that a restarted process does not reuse numbers.
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

    /// Sends a message: in one datagram where it fits, else its first chunk.
    pub fn send(&mut self, to: SocketAddr, message: Bytes) {
        if message.len() <= MAX_CHUNK_LEN {
            let body = Body::Consensus { bytes: message };
            return self.transmits.push_back(Transmit { to, body });
        }
        if message.len() > MAX_MESSAGE {
            self.lost_messages += 1;
            return;
        }
        let message_id = self.keep_outgoing(message);
        self.transmit_chunk(to, message_id, 0);
    }

    /// The number of that message. One that is sent to several, or sent again, keeps its number.
    fn keep_outgoing(&mut self, message: Bytes) -> u32 {
        let known = self.outgoing.iter().find(|kept| kept.bytes == message).map(|kept| kept.message_id);
        let message_id = match known {
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
        self.outgoing.iter().map(|kept| kept.bytes.len()).sum()
    }

    fn transmit_chunk(&mut self, to: SocketAddr, message_id: u32, index: u16) {
        let Some(message) = self.outgoing.iter().find(|kept| kept.message_id == message_id) else { return };
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

    /// A receiver requests a chunk.
    pub fn on_chunk_request(&mut self, from: SocketAddr, message_id: u32, index: u16) {
        self.transmit_chunk(from, message_id, index);
    }

    /// A chunk has arrived; the message, once it is complete.
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

    /// Position of the chunk's message among the incoming ones. Each sender has one at a time, which its first chunk begins.
    fn incoming_position(&mut self, now: Instant, from: SocketAddr, chunk: &Chunk) -> Option<usize> {
        let Some(position) = self.incoming.iter().position(|message| message.from == from) else {
            return (chunk.index == 0).then(|| self.start_incoming(now, from, chunk));
        };
        let message = &self.incoming[position];
        if message.message_id == chunk.message_id {
            return (message.chunk_count() == chunk.count).then_some(position);
        }
        if chunk.index != 0 || message.outlasts_newer() {
            return None;
        }
        self.incoming.remove(position);
        Some(self.start_incoming(now, from, chunk))
    }

    fn start_incoming(&mut self, now: Instant, from: SocketAddr, chunk: &Chunk) -> usize {
        if self.incoming.len() >= MAX_INCOMING {
            let idle_longest =
                (0..self.incoming.len()).min_by_key(|index| self.incoming[*index].last_progress);
            if let Some(position) = idle_longest {
                self.incoming.remove(position);
            }
            self.lost_messages += 1;
        }
        self.incoming.push(IncomingMessage {
            from,
            message_id: chunk.message_id,
            chunks: vec![None; usize::from(chunk.count)],
            received: 0,
            requested: 0,
            last_progress: now,
            retries: 0,
        });
        self.incoming.len() - 1
    }

    /// Requests chunks that were not requested yet, up to a few beyond those received.
    fn request_ahead(&mut self, position: usize) {
        let message = &mut self.incoming[position];
        let first = message.requested.max(1);
        let end = (message.received + CHUNKS_AHEAD).min(message.chunk_count());
        message.requested = end;
        let (to, number) = (message.from, message.message_id);
        for piece in first..end {
            let body = Body::ConsensusChunkRequest { number, piece };
            self.transmits.push_back(Transmit { to, body });
        }
    }

    /// When `handle_timeout` is due; none while nothing is received.
    pub fn poll_timeout(&self) -> Option<Instant> {
        self.incoming.iter().map(|message| message.last_progress + self.settings.retry_interval).min()
    }

    /// Requests missing chunks again, and gives up messages that make no progress.
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

    /// The next datagram to send.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }
}

#[cfg(test)]
mod tests;
