//! Datagrams to bytes.

use super::*;
use bytes::{BufMut, BytesMut};
use std::net::{IpAddr, SocketAddr};

impl Datagram {
    /// The datagram's bytes. Texts and lists beyond their limits are truncated.
    pub fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u16(MAGIC);
        out.put_u8(VERSION);
        put_text(&mut out, &self.fleet, MAX_FLEET_LEN);
        put_update(&mut out, &self.sender);
        put_body(&mut out, &self.body);
        out.put_u8(self.updates.len().min(MAX_UPDATES) as u8);
        for update in self.updates.iter().take(MAX_UPDATES) {
            put_update(&mut out, update);
        }
        out.freeze()
    }
}

fn put_body(out: &mut BytesMut, body: &Body) {
    match body {
        Body::Probe(message) => put_probe(out, message),
        Body::Digest { members, overrides } => {
            out.put_u8(kind::DIGEST);
            out.put_u32(*members);
            out.put_u32(*overrides);
        }
        Body::Gossip => out.put_u8(kind::GOSSIP),
        Body::Lease(message) => put_lease(out, message),
        Body::Overrides(records) => {
            out.put_u8(kind::OVERRIDES);
            out.put_u8(records.len().min(MAX_OVERRIDES) as u8);
            for record in records.iter().take(MAX_OVERRIDES) {
                put_override(out, record);
            }
        }
        Body::Catalog(message) => put_catalog(out, message),
        Body::Consensus { bytes } => {
            out.put_u8(kind::CONSENSUS);
            put_piece(out, bytes);
        }
        Body::ConsensusChunk { number, pieces, piece, bytes } => {
            out.put_u8(kind::CONSENSUS_CHUNK);
            out.put_u32(*number);
            out.put_u16(*pieces);
            out.put_u16(*piece);
            put_piece(out, bytes);
        }
        Body::ConsensusChunkRequest { number, piece } => {
            out.put_u8(kind::CONSENSUS_CHUNK_REQUEST);
            out.put_u32(*number);
            out.put_u16(*piece);
        }
        Body::EndpointList(message) => put_endpoint_list(out, message),
    }
}

fn put_probe(out: &mut BytesMut, message: &ProbeMessage) {
    let (kind, seq, slot) = match *message {
        ProbeMessage::Ping { seq } => (kind::PING, seq, None),
        ProbeMessage::Ack { seq } => (kind::ACK, seq, None),
        ProbeMessage::PingRequest { seq, slot } => (kind::PING_REQUEST, seq, Some(slot)),
        ProbeMessage::IndirectAck { seq, slot } => (kind::INDIRECT_ACK, seq, Some(slot)),
        ProbeMessage::Nack { seq, slot } => (kind::NACK, seq, Some(slot)),
    };
    out.put_u8(kind);
    out.put_u32(seq);
    if let Some(slot) = slot {
        out.put_u32(slot);
    }
}

fn put_lease(out: &mut BytesMut, message: &LeaseMessage) {
    match *message {
        LeaseMessage::Request { seq, active_seq, lender_generation, volume, share } => {
            out.put_u8(kind::LEASE_REQUEST);
            out.put_u32(seq);
            out.put_u32(active_seq);
            out.put_u64(lender_generation);
            out.put_u32(volume);
            out.put_f32(share);
        }
        LeaseMessage::Grant { request_seq, recipient_generation, seq, volume, share, term_ms } => {
            out.put_u8(kind::LEASE_GRANT);
            out.put_u32(request_seq);
            out.put_u64(recipient_generation);
            out.put_u32(seq);
            out.put_u32(volume);
            out.put_f32(share);
            out.put_u32(term_ms);
        }
        LeaseMessage::Offer { volume } => {
            out.put_u8(kind::LEASE_OFFER);
            out.put_u32(volume);
        }
        LeaseMessage::Recall { volume } => {
            out.put_u8(kind::LEASE_RECALL);
            out.put_u32(volume);
        }
        LeaseMessage::Returned { recipient_generation, volume } => {
            out.put_u8(kind::LEASE_RETURNED);
            out.put_u64(recipient_generation);
            out.put_u32(volume);
        }
    }
}

fn put_catalog(out: &mut BytesMut, message: &CatalogMessage) {
    match message {
        CatalogMessage::Version { number, digest_prefix, remaining_ms } => {
            out.put_u8(kind::CATALOG_VERSION);
            out.put_u64(*number);
            out.put_u64(*digest_prefix);
            out.put_u32(*remaining_ms);
        }
        CatalogMessage::ChunkRequest { number, piece } => {
            out.put_u8(kind::CATALOG_CHUNK_REQUEST);
            out.put_u64(*number);
            out.put_u16(*piece);
        }
        CatalogMessage::Chunk { number, piece, pieces, bytes } => {
            out.put_u8(kind::CATALOG_CHUNK);
            out.put_u64(*number);
            out.put_u16(*piece);
            out.put_u16(*pieces);
            put_piece(out, bytes);
        }
    }
}

fn put_endpoint_list(out: &mut BytesMut, message: &EndpointListMessage) {
    match message {
        EndpointListMessage::Version { version } => {
            out.put_u8(kind::ENDPOINT_LIST_VERSION);
            out.put_u64(*version);
        }
        EndpointListMessage::Request { version } => {
            out.put_u8(kind::ENDPOINT_LIST_REQUEST);
            out.put_u64(*version);
        }
        EndpointListMessage::Removals { version, removals } => {
            out.put_u8(kind::NODE_REMOVALS);
            out.put_u64(*version);
            out.put_u8(removals.len().min(MAX_REMOVALS) as u8);
            for removal in removals.iter().take(MAX_REMOVALS) {
                put_text(out, &removal.address, MAX_TARGET_LEN);
                out.put_u8(u8::from(removal.gone));
            }
        }
    }
}

fn put_update(out: &mut BytesMut, update: &MemberUpdate) {
    out.put_u32(update.slot);
    out.put_u64(update.generation);
    out.put_u32(update.incarnation);
    out.put_u8(update.health as u8);
    put_address(out, &update.address);
    out.put_u32(update.site.unwrap_or(NONE));
    if update.health == Health::Suspect {
        out.put_u32(update.suspected_by.unwrap_or(NONE));
    }
}

fn put_override(out: &mut BytesMut, record: &OverrideRecord) {
    out.put_u32(record.slot);
    out.put_u64(record.generation);
    out.put_u64(record.number);
    let (kind, weight) = match record.kind {
        OverrideKind::Out => (0, 0.0),
        OverrideKind::Pinned => (1, 0.0),
        OverrideKind::Weight(weight) => (2, weight),
    };
    out.put_u8(kind);
    out.put_f32(weight);
    put_text(out, &record.target, MAX_TARGET_LEN);
    put_text(out, &record.reason, MAX_TEXT_LEN);
    put_text(out, &record.who, MAX_TEXT_LEN);
    out.put_u64(record.remaining_ms);
    out.put_u64(record.total_ms);
    out.put_u8(u8::from(record.cleared));
}

/// Text with a length byte before it, truncated at a character's boundary.
fn put_text(out: &mut BytesMut, text: &str, max_len: usize) {
    let mut end = text.len().min(max_len);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    out.put_u8(end as u8);
    out.put_slice(&text.as_bytes()[..end]);
}

fn put_address(out: &mut BytesMut, address: &SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => {
            out.put_u8(4);
            out.put_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            out.put_u8(6);
            out.put_slice(&ip.octets());
        }
    }
    out.put_u16(address.port());
}

fn put_piece(out: &mut BytesMut, bytes: &Bytes) {
    let len = bytes.len().min(MAX_PIECE);
    out.put_u16(len as u16);
    out.put_slice(&bytes[..len]);
}
