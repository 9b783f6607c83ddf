//! The fetch of one catalog update, chunk by chunk.

use super::MAX_UPDATE_LEN;
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::CatalogMessage;

/// Timeout of a requested chunk, after which it is requested again: from the next peer that announces the update, or else
/// from the same peer.
const CHUNK_TIMEOUT: TimeDelta = TimeDelta::from_millis(100);
/// Maximum number of retries of one chunk, after which the fetch is given up.
const MAX_CHUNK_RETRIES: u32 = 20;

/// Progress of a fetch after a chunk was received.
pub(super) enum FetchProgress {
    /// The chunk is not the requested one, or not from the peer that was asked.
    Ignored,
    /// The update exceeds the maximum length.
    TooLong,
    /// More chunks are needed.
    Incomplete,
    /// The update is complete; this is its text.
    Complete(Bytes),
}

/// The fetch of one update.
pub(super) struct Fetch {
    /// Peer that was asked last.
    pub from: SocketAddr,
    pub number: u64,
    /// Number of chunks of the update, by the last chunk that was received.
    pieces: u16,
    /// Index of the chunk that is requested.
    next_piece: u16,
    received: BytesMut,
    requested_at: Instant,
    retries: u32,
}

impl Fetch {
    /// Creates the fetch of an update, which begins with its first chunk.
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

    /// Continues the fetch from another peer.
    pub(super) fn resume(self, now: Instant, from: SocketAddr) -> Self {
        Fetch { from, requested_at: now, retries: 0, ..self }
    }

    /// Returns the message that requests the next chunk.
    pub(super) fn request(&self) -> CatalogMessage {
        CatalogMessage::ChunkRequest { number: self.number, piece: self.next_piece }
    }

    /// Returns whether the requested chunk can still arrive in time.
    pub(super) fn is_waiting(&self, now: Instant) -> bool {
        now - self.requested_at < CHUNK_TIMEOUT
    }

    /// Returns whether the maximum number of retries of a chunk is reached.
    pub(super) fn is_exhausted(&self) -> bool {
        self.retries >= MAX_CHUNK_RETRIES
    }

    /// Returns when the chunk is to be requested again, or `None` if the fetch is given up.
    pub(super) fn retry_at(&self) -> Option<Instant> {
        let retry_at = self.requested_at + CHUNK_TIMEOUT;
        (!self.is_exhausted()).then_some(retry_at)
    }

    /// Records that the chunk is requested again.
    pub(super) fn retry(&mut self, now: Instant) {
        self.requested_at = now;
        self.retries += 1;
    }

    /// Accepts a chunk if it is the requested one, from the peer that was asked. Other chunks could fill this host's
    /// memory.
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
