//! The fetch of one catalog update, chunk by chunk.

use super::MAX_UPDATE_LEN;
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::CatalogMessage;

/// How long a requested chunk may take. It is then requested again: from the next peer that announces the update, else from
/// the same one.
const CHUNK_TIMEOUT: TimeDelta = TimeDelta::from_millis(100);
/// Retries of one chunk after which a fetch is given up.
const MAX_CHUNK_RETRIES: u32 = 20;

/// What a chunk did for a fetch.
pub(super) enum FetchProgress {
    /// It is not the requested chunk, or not from the peer that was asked.
    Ignored,
    /// The update is longer than any may be.
    TooLong,
    /// More chunks are to come.
    Incomplete,
    /// The whole text.
    Complete(Bytes),
}

/// An update that is being fetched.
pub(super) struct Fetch {
    /// The peer that was asked last.
    pub from: SocketAddr,
    pub number: u64,
    /// Number of chunks of the update, by the last one that arrived.
    pieces: u16,
    /// Position of the chunk that is asked for.
    next_piece: u16,
    received: BytesMut,
    requested_at: Instant,
    retries: u32,
}

impl Fetch {
    /// A fetch of an update from its first chunk.
    pub(super) fn new(now: Instant, from: SocketAddr, number: u64) -> Self {
        Fetch {
            from,
            number,
            pieces: 0,
            next_piece: 0,
            received: BytesMut::new(),
            requested_at: now,
            retries: 0,
        }
    }

    /// The same fetch, of another peer.
    pub(super) fn resume(self, now: Instant, from: SocketAddr) -> Self {
        Fetch { from, requested_at: now, retries: 0, ..self }
    }

    /// The message that asks for the next chunk.
    pub(super) fn request(&self) -> CatalogMessage {
        CatalogMessage::ChunkRequest { number: self.number, piece: self.next_piece }
    }

    /// Whether the chunk that was requested may still arrive in time.
    pub(super) fn is_waiting(&self, now: Instant) -> bool {
        now - self.requested_at < CHUNK_TIMEOUT
    }

    /// Whether a chunk was requested too often.
    pub(super) fn is_exhausted(&self) -> bool {
        self.retries >= MAX_CHUNK_RETRIES
    }

    /// When the chunk is to be requested again; none: the fetch is given up.
    pub(super) fn retry_at(&self) -> Option<Instant> {
        let at = self.requested_at + CHUNK_TIMEOUT;
        (!self.is_exhausted()).then_some(at)
    }

    /// Records that the chunk is requested again.
    pub(super) fn retry(&mut self, now: Instant) {
        self.requested_at = now;
        self.retries += 1;
    }

    /// Accepts a chunk if it is the requested one, from the peer that was asked. Others could else fill this host's memory.
    pub(super) fn handle_chunk(
        &mut self,
        now: Instant,
        from: SocketAddr,
        chunk: &CatalogMessage,
    ) -> FetchProgress {
        let CatalogMessage::Chunk { number, piece, pieces, bytes } = chunk else {
            return FetchProgress::Ignored;
        };
        let is_requested = self.from == from && self.number == *number && self.next_piece == *piece;
        if !is_requested || (self.next_piece > 0 && self.pieces != *pieces) {
            return FetchProgress::Ignored;
        }
        if self.received.len() + bytes.len() > MAX_UPDATE_LEN {
            return FetchProgress::TooLong;
        }
        self.received.extend_from_slice(bytes);
        self.pieces = *pieces;
        self.next_piece = piece + 1;
        self.requested_at = now;
        self.retries = 0;
        if self.next_piece < *pieces {
            return FetchProgress::Incomplete;
        }
        FetchProgress::Complete(std::mem::take(&mut self.received).freeze())
    }
}
