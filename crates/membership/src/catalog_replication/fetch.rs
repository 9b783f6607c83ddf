//! The fetch of one catalog update, chunk by chunk.

use super::MAX_UPDATE_LEN;
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::CatalogMessage;

/// A chunk that was requested and has not arrived within this is requested again: of the peer that announces the update
/// next, or else of the same one.
const RETRY_INTERVAL_S: f64 = 0.1;
/// Retries of one chunk after which a fetch is given up.
const MAX_RETRIES: u32 = 20;

/// What a chunk was for a fetch.
pub(super) enum FetchProgress {
    /// Not the chunk that was requested, or not of the peer that was asked.
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
    /// Chunks of the whole, by the last that arrived.
    pieces: u16,
    /// Position of the chunk that is asked for.
    next_piece: u16,
    received: BytesMut,
    requested_at: Instant,
    retries: u32,
}

impl Fetch {
    /// A fetch of an update from its first chunk.
    pub fn new(now: Instant, from: SocketAddr, number: u64) -> Self {
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
    pub fn resume(self, now: Instant, from: SocketAddr) -> Self {
        Fetch { from, requested_at: now, retries: 0, ..self }
    }

    /// The message that asks for the next chunk.
    pub fn request(&self) -> CatalogMessage {
        CatalogMessage::ChunkRequest { number: self.number, piece: self.next_piece }
    }

    /// Whether the chunk that was requested may still arrive in time.
    pub fn is_waiting(&self, now: Instant) -> bool {
        (now - self.requested_at).secs() < RETRY_INTERVAL_S
    }

    /// Whether a chunk was requested too often.
    pub fn is_exhausted(&self) -> bool {
        self.retries >= MAX_RETRIES
    }

    /// When the chunk is to be requested again; none: the fetch is given up.
    pub fn retry_at(&self) -> Option<Instant> {
        let at = self.requested_at + TimeDelta::from_secs(RETRY_INTERVAL_S);
        (!self.is_exhausted()).then_some(at)
    }

    /// Records that the chunk is requested again.
    pub fn retry(&mut self, now: Instant) {
        self.requested_at = now;
        self.retries += 1;
    }

    /// Takes a chunk if it is the one that was requested, of the peer that was asked: others can't fill this host with
    /// bytes.
    pub fn handle_chunk(&mut self, now: Instant, from: SocketAddr, chunk: &CatalogMessage) -> FetchProgress {
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
