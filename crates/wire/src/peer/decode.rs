//! Bytes to datagrams. Each length and each kind is checked.

use super::*;
use crate::reader::{check_len, Fields};
use crate::WireError;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

impl Datagram {
    /// Reads a datagram, which must have no bytes beyond its last field.
    pub fn decode(bytes: Bytes) -> Result<Datagram, WireError> {
        check_len("datagram", bytes.len(), MAX_DATAGRAM_LEN)?;
        let mut fields = Fields(bytes);
        let magic = fields.u16("magic")?;
        if magic != MAGIC {
            return Err(WireError::unexpected("magic", magic, "0x746d"));
        }
        let version = fields.u8("version")?;
        if version != VERSION {
            return Err(WireError::unexpected("version", version, "2"));
        }
        let fleet = fields.text("fleet")?;
        check_len("fleet", fleet.len(), MAX_FLEET_LEN)?;
        let sender = read_update(&mut fields)?;
        let body = read_body(&mut fields)?;
        let count = fields.u8("updates")?;
        if usize::from(count) > MAX_UPDATES {
            return Err(WireError::unexpected("updates", count, "at most 28"));
        }
        let updates = (0..count).map(|_| read_update(&mut fields)).collect::<Result<_, _>>()?;
        fields.end("datagram")?;
        Ok(Datagram { fleet, sender, body, updates })
    }
}

fn read_body(fields: &mut Fields) -> Result<Body, WireError> {
    let kind = fields.u8("kind")?;
    match kind {
        kind::PING | kind::ACK | kind::PING_REQUEST | kind::INDIRECT_ACK | kind::NACK => {
            read_probe(fields, kind).map(Body::Probe)
        }
        kind::DIGEST => {
            Ok(Body::Digest { members: fields.u32("members")?, overrides: fields.u32("overrides")? })
        }
        kind::GOSSIP => Ok(Body::Gossip),
        kind::LEASE_REQUEST..=kind::LEASE_RETURNED => read_lease(fields, kind).map(Body::Lease),
        kind::OVERRIDES => read_overrides(fields).map(Body::Overrides),
        kind::CATALOG_VERSION..=kind::CATALOG_CHUNK => read_catalog(fields, kind).map(Body::Catalog),
        kind::CONSENSUS => Ok(Body::Consensus { bytes: read_piece(fields)? }),
        kind::CONSENSUS_CHUNK => {
            let number = fields.u32("number")?;
            let (pieces, piece) = (fields.u16("pieces")?, fields.u16("piece")?);
            check_position(piece, pieces)?;
            Ok(Body::ConsensusChunk { number, pieces, piece, bytes: read_piece(fields)? })
        }
        kind::CONSENSUS_CHUNK_REQUEST => {
            Ok(Body::ConsensusChunkRequest { number: fields.u32("number")?, piece: fields.u16("piece")? })
        }
        kind::ENDPOINT_LIST_VERSION..=kind::NODE_REMOVALS => {
            read_endpoint_list(fields, kind).map(Body::EndpointList)
        }
        other => Err(unknown_kind(other)),
    }
}

fn read_probe(fields: &mut Fields, kind: u8) -> Result<ProbeMessage, WireError> {
    let seq = fields.u32("number")?;
    Ok(match kind {
        kind::PING => ProbeMessage::Ping { seq },
        kind::ACK => ProbeMessage::Ack { seq },
        kind::PING_REQUEST => ProbeMessage::PingRequest { seq, slot: fields.u32("host")? },
        kind::INDIRECT_ACK => ProbeMessage::IndirectAck { seq, slot: fields.u32("host")? },
        kind::NACK => ProbeMessage::Nack { seq, slot: fields.u32("host")? },
        other => return Err(unknown_kind(other)),
    })
}

fn read_lease(fields: &mut Fields, kind: u8) -> Result<LeaseMessage, WireError> {
    Ok(match kind {
        kind::LEASE_REQUEST => LeaseMessage::Request {
            seq: fields.u32("number")?,
            active_seq: fields.u32("active lease")?,
            lender_generation: fields.u64("generation")?,
            volume: fields.u32("volume")?,
            share: read_share(fields)?,
        },
        kind::LEASE_GRANT => LeaseMessage::Grant {
            request_seq: fields.u32("request")?,
            recipient_generation: fields.u64("generation")?,
            seq: fields.u32("number")?,
            volume: fields.u32("volume")?,
            share: read_share(fields)?,
            term_ms: fields.u32("term")?,
        },
        kind::LEASE_OFFER => LeaseMessage::Offer { volume: fields.u32("volume")? },
        kind::LEASE_RECALL => LeaseMessage::Recall { volume: fields.u32("volume")? },
        kind::LEASE_RETURNED => LeaseMessage::Returned {
            recipient_generation: fields.u64("generation")?,
            volume: fields.u32("volume")?,
        },
        other => return Err(unknown_kind(other)),
    })
}

fn read_catalog(fields: &mut Fields, kind: u8) -> Result<CatalogMessage, WireError> {
    let number = fields.u64("update")?;
    Ok(match kind {
        kind::CATALOG_VERSION => CatalogMessage::Version {
            number,
            digest_prefix: fields.u64("mark")?,
            remaining_ms: fields.u32("time left")?,
        },
        kind::CATALOG_CHUNK_REQUEST => CatalogMessage::ChunkRequest { number, piece: fields.u16("piece")? },
        kind::CATALOG_CHUNK => {
            let (piece, pieces) = (fields.u16("piece")?, fields.u16("pieces")?);
            check_position(piece, pieces)?;
            CatalogMessage::Chunk { number, piece, pieces, bytes: read_piece(fields)? }
        }
        other => return Err(unknown_kind(other)),
    })
}

fn read_endpoint_list(fields: &mut Fields, kind: u8) -> Result<EndpointListMessage, WireError> {
    let version = fields.u64("version")?;
    Ok(match kind {
        kind::ENDPOINT_LIST_VERSION => EndpointListMessage::Version { version },
        kind::ENDPOINT_LIST_REQUEST => EndpointListMessage::Request { version },
        kind::NODE_REMOVALS => {
            let count = fields.u8("nodes")?;
            if usize::from(count) > MAX_REMOVALS {
                return Err(WireError::unexpected("nodes", count, "at most 18"));
            }
            let removals = (0..count).map(|_| read_removal(fields)).collect::<Result<_, _>>()?;
            EndpointListMessage::Removals { version, removals }
        }
        other => return Err(unknown_kind(other)),
    })
}

fn read_overrides(fields: &mut Fields) -> Result<Vec<OverrideRecord>, WireError> {
    let count = fields.u8("overrides")?;
    if usize::from(count) > MAX_OVERRIDES {
        return Err(WireError::unexpected("overrides", count, "at most 2"));
    }
    (0..count).map(|_| read_override(fields)).collect()
}

fn read_override(fields: &mut Fields) -> Result<OverrideRecord, WireError> {
    let (slot, generation, number) =
        (fields.u32("host")?, fields.u64("generation")?, fields.u64("override")?);
    let (kind, weight) = (fields.u8("override kind")?, read_share(fields)?);
    let kind = match kind {
        0 => OverrideKind::Out,
        1 => OverrideKind::Pinned,
        2 => OverrideKind::Weight(weight),
        other => return Err(WireError::unexpected("override kind", other, "0 out, 1 pinned or 2 weight")),
    };
    let (target, reason, who) = (fields.text("target")?, fields.text("reason")?, fields.text("who")?);
    let (remaining_ms, total_ms) = (fields.u64("time left")?, fields.u64("whole time")?);
    let cleared = fields.flag("cleared")?;
    Ok(OverrideRecord {
        slot,
        generation,
        number,
        kind,
        target,
        reason,
        who,
        remaining_ms,
        total_ms,
        cleared,
    })
}

fn read_update(fields: &mut Fields) -> Result<MemberUpdate, WireError> {
    let (slot, generation, incarnation) =
        (fields.u32("host")?, fields.u64("generation")?, fields.u32("incarnation")?);
    let health = match fields.u8("health")? {
        0 => Health::Alive,
        1 => Health::Suspect,
        2 => Health::Dead,
        3 => Health::Left,
        other => return Err(WireError::unexpected("health", other, "0 alive, 1 suspect, 2 dead or 3 left")),
    };
    let address = read_address(fields)?;
    let site = Some(fields.u32("site")?).filter(|site| *site != NONE);
    let suspected_by = match health {
        Health::Suspect => Some(fields.u32("suspected by")?).filter(|slot| *slot != NONE),
        Health::Alive | Health::Dead | Health::Left => None,
    };
    Ok(MemberUpdate { slot, generation, incarnation, health, address, site, suspected_by })
}

fn read_removal(fields: &mut Fields) -> Result<NodeRemoval, WireError> {
    let address = fields.text("node")?;
    check_len("node", address.len(), MAX_TARGET_LEN)?;
    Ok(NodeRemoval { address, gone: fields.flag("gone")? })
}

fn read_address(fields: &mut Fields) -> Result<SocketAddr, WireError> {
    let ip = match fields.u8("address kind")? {
        4 => IpAddr::V4(Ipv4Addr::from(fields.u32("address")?)),
        6 => {
            let (high, low) = (fields.u64("address")?, fields.u64("address")?);
            IpAddr::V6(Ipv6Addr::from(u128::from(high) << 64 | u128::from(low)))
        }
        other => return Err(WireError::unexpected("address kind", other, "4 or 6")),
    };
    Ok(SocketAddr::new(ip, fields.u16("port")?))
}

fn read_piece(fields: &mut Fields) -> Result<Bytes, WireError> {
    let len = usize::from(fields.u16("bytes")?);
    check_len("piece", len, MAX_PIECE)?;
    fields.bytes("piece", len)
}

/// A share of a whole, from 0 to 1.
fn read_share(fields: &mut Fields) -> Result<f32, WireError> {
    let share = fields.amount("share")?;
    if share > 1.0 {
        return Err(WireError::unexpected("share", share.to_bits(), "an f32 up to 1"));
    }
    Ok(share)
}

fn check_position(piece: u16, pieces: u16) -> Result<(), WireError> {
    if piece < pieces {
        return Ok(());
    }
    Err(WireError::unexpected("piece", piece, "a number below that of pieces"))
}

fn unknown_kind(kind: u8) -> WireError {
    WireError::unexpected("kind", kind, "a kind from 1 to 22")
}
