//! Bytes to datagrams. Each length and each kind is checked.

use super::*;
use crate::reader::Fields;
use crate::WireError;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

impl Datagram {
    /// Reads a datagram, which must have no bytes beyond its last field.
    pub fn decode(bytes: Bytes) -> Result<Datagram, WireError> {
        check_len("datagram", bytes.len(), MAX_DATAGRAM_LEN)?;
        let mut f = Fields(bytes);
        let magic = f.u16("magic")?;
        if magic != MAGIC {
            return Err(WireError::Value { field: "magic", found: u64::from(magic), expected: "0x746d" });
        }
        let version = f.u8("version")?;
        if version != VERSION {
            return Err(unexpected("version", version, "2"));
        }
        let fleet = f.text("fleet")?;
        check_len("fleet", fleet.len(), MAX_FLEET_LEN)?;
        let sender = read_update(&mut f)?;
        let body = read_body(&mut f)?;
        let count = f.u8("updates")?;
        if usize::from(count) > MAX_UPDATES {
            return Err(unexpected("updates", count, "at most 28"));
        }
        let updates = (0..count).map(|_| read_update(&mut f)).collect::<Result<_, _>>()?;
        f.end("datagram")?;
        Ok(Datagram { fleet, sender, body, updates })
    }
}

fn read_body(f: &mut Fields) -> Result<Body, WireError> {
    let kind = f.u8("kind")?;
    match kind {
        kind::PING | kind::ACK | kind::PING_REQUEST | kind::INDIRECT_ACK | kind::NACK => {
            read_probe(f, kind).map(Body::Probe)
        }
        kind::DIGEST => Ok(Body::Digest { members: f.u32("members")?, overrides: f.u32("overrides")? }),
        kind::GOSSIP => Ok(Body::Gossip),
        kind::LEASE_REQUEST..=kind::LEASE_RETURNED => read_lease(f, kind).map(Body::Lease),
        kind::OVERRIDES => read_overrides(f).map(Body::Overrides),
        kind::CATALOG_VERSION..=kind::CATALOG_CHUNK => read_catalog(f, kind).map(Body::Catalog),
        kind::CONSENSUS => Ok(Body::Consensus { bytes: read_piece(f)? }),
        kind::CONSENSUS_CHUNK => {
            let number = f.u32("number")?;
            let (pieces, piece) = (f.u16("pieces")?, f.u16("piece")?);
            check_position(piece, pieces)?;
            Ok(Body::ConsensusChunk { number, pieces, piece, bytes: read_piece(f)? })
        }
        kind::CONSENSUS_CHUNK_REQUEST => {
            Ok(Body::ConsensusChunkRequest { number: f.u32("number")?, piece: f.u16("piece")? })
        }
        kind::NODE_LIST_VERSION..=kind::NODE_REMOVALS => read_node_list(f, kind).map(Body::NodeList),
        other => Err(unknown_kind(other)),
    }
}

fn read_probe(f: &mut Fields, kind: u8) -> Result<ProbeMessage, WireError> {
    let seq = f.u32("number")?;
    Ok(match kind {
        kind::PING => ProbeMessage::Ping { seq },
        kind::ACK => ProbeMessage::Ack { seq },
        kind::PING_REQUEST => ProbeMessage::PingRequest { seq, slot: f.u32("host")? },
        kind::INDIRECT_ACK => ProbeMessage::IndirectAck { seq, slot: f.u32("host")? },
        kind::NACK => ProbeMessage::Nack { seq, slot: f.u32("host")? },
        other => return Err(unknown_kind(other)),
    })
}

fn read_lease(f: &mut Fields, kind: u8) -> Result<LeaseMessage, WireError> {
    Ok(match kind {
        kind::LEASE_REQUEST => LeaseMessage::Request {
            seq: f.u32("number")?,
            active_seq: f.u32("active lease")?,
            lender_generation: f.u64("generation")?,
            volume: f.u32("volume")?,
            share: read_share(f)?,
        },
        kind::LEASE_GRANT => LeaseMessage::Grant {
            request_seq: f.u32("request")?,
            recipient_generation: f.u64("generation")?,
            seq: f.u32("number")?,
            volume: f.u32("volume")?,
            share: read_share(f)?,
            term_ms: f.u32("term")?,
        },
        kind::LEASE_OFFER => LeaseMessage::Offer { volume: f.u32("volume")? },
        kind::LEASE_RECALL => LeaseMessage::Recall { volume: f.u32("volume")? },
        kind::LEASE_RETURNED => {
            LeaseMessage::Returned { recipient_generation: f.u64("generation")?, volume: f.u32("volume")? }
        }
        other => return Err(unknown_kind(other)),
    })
}

fn read_catalog(f: &mut Fields, kind: u8) -> Result<CatalogMessage, WireError> {
    let number = f.u64("update")?;
    Ok(match kind {
        kind::CATALOG_VERSION => {
            CatalogMessage::Version { number, mark: f.u64("mark")?, remaining_ms: f.u32("time left")? }
        }
        kind::CATALOG_CHUNK_REQUEST => CatalogMessage::ChunkRequest { number, piece: f.u16("piece")? },
        kind::CATALOG_CHUNK => {
            let (piece, pieces) = (f.u16("piece")?, f.u16("pieces")?);
            check_position(piece, pieces)?;
            CatalogMessage::Chunk { number, piece, pieces, bytes: read_piece(f)? }
        }
        other => return Err(unknown_kind(other)),
    })
}

fn read_node_list(f: &mut Fields, kind: u8) -> Result<NodeListMessage, WireError> {
    let version = f.u64("version")?;
    Ok(match kind {
        kind::NODE_LIST_VERSION => NodeListMessage::Version { version },
        kind::NODE_LIST_REQUEST => NodeListMessage::Request { version },
        kind::NODE_REMOVALS => {
            let count = f.u8("nodes")?;
            if usize::from(count) > MAX_REMOVALS {
                return Err(unexpected("nodes", count, "at most 18"));
            }
            let removals = (0..count).map(|_| read_removal(f)).collect::<Result<_, _>>()?;
            NodeListMessage::Removals { version, removals }
        }
        other => return Err(unknown_kind(other)),
    })
}

fn read_overrides(f: &mut Fields) -> Result<Vec<OverrideRecord>, WireError> {
    let count = f.u8("overrides")?;
    if usize::from(count) > MAX_OVERRIDES {
        return Err(unexpected("overrides", count, "at most 2"));
    }
    (0..count).map(|_| read_override(f)).collect()
}

fn read_override(f: &mut Fields) -> Result<OverrideRecord, WireError> {
    let (slot, generation, number) = (f.u32("host")?, f.u64("generation")?, f.u64("override")?);
    let (kind, weight) = (f.u8("override kind")?, read_share(f)?);
    let kind = match kind {
        0 => OverrideKind::Out,
        1 => OverrideKind::Pinned,
        2 => OverrideKind::Weight(weight),
        other => return Err(unexpected("override kind", other, "0 out, 1 pinned or 2 weight")),
    };
    let (target, reason, who) = (f.text("target")?, f.text("reason")?, f.text("who")?);
    let (remaining_ms, total_ms) = (f.u64("time left")?, f.u64("whole time")?);
    let cleared = read_flag(f, "cleared")?;
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

fn read_update(f: &mut Fields) -> Result<MemberUpdate, WireError> {
    let (slot, generation, incarnation) = (f.u32("host")?, f.u64("generation")?, f.u32("incarnation")?);
    let health = match f.u8("health")? {
        0 => Health::Alive,
        1 => Health::Suspect,
        2 => Health::Dead,
        3 => Health::Left,
        other => return Err(unexpected("health", other, "0 alive, 1 suspect, 2 dead or 3 left")),
    };
    let address = read_address(f)?;
    let site = Some(f.u32("site")?).filter(|site| *site != NONE);
    let suspected_by = match health {
        Health::Suspect => Some(f.u32("suspected by")?).filter(|slot| *slot != NONE),
        Health::Alive | Health::Dead | Health::Left => None,
    };
    Ok(MemberUpdate { slot, generation, incarnation, health, address, site, suspected_by })
}

fn read_removal(f: &mut Fields) -> Result<NodeRemoval, WireError> {
    let address = f.text("node")?;
    check_len("node", address.len(), MAX_TARGET_LEN)?;
    Ok(NodeRemoval { address, gone: read_flag(f, "gone")? })
}

fn read_address(f: &mut Fields) -> Result<SocketAddr, WireError> {
    let ip = match f.u8("address kind")? {
        4 => IpAddr::V4(Ipv4Addr::from(f.u32("address")?)),
        6 => {
            let (high, low) = (f.u64("address")?, f.u64("address")?);
            IpAddr::V6(Ipv6Addr::from(u128::from(high) << 64 | u128::from(low)))
        }
        other => return Err(unexpected("address kind", other, "4 or 6")),
    };
    Ok(SocketAddr::new(ip, f.u16("port")?))
}

fn read_piece(f: &mut Fields) -> Result<Bytes, WireError> {
    let len = usize::from(f.u16("bytes")?);
    check_len("piece", len, MAX_PIECE)?;
    f.bytes("piece", len)
}

/// A share of a whole, from 0 to 1.
fn read_share(f: &mut Fields) -> Result<f32, WireError> {
    let share = f.amount("share")?;
    if share > 1.0 {
        let found = u64::from(share.to_bits());
        return Err(WireError::Value { field: "share", found, expected: "an f32 up to 1" });
    }
    Ok(share)
}

fn read_flag(f: &mut Fields, field: &'static str) -> Result<bool, WireError> {
    match f.u8(field)? {
        0 => Ok(false),
        1 => Ok(true),
        other => Err(unexpected(field, other, "0 or 1")),
    }
}

fn check_position(piece: u16, pieces: u16) -> Result<(), WireError> {
    if piece < pieces {
        return Ok(());
    }
    let expected = "a number below that of pieces";
    Err(WireError::Value { field: "piece", found: u64::from(piece), expected })
}

fn check_len(field: &'static str, len: usize, max_len: usize) -> Result<(), WireError> {
    if len <= max_len {
        return Ok(());
    }
    Err(WireError::TooLong { field, found: len as u64, max: max_len as u64 })
}

fn unexpected(field: &'static str, found: u8, expected: &'static str) -> WireError {
    WireError::Value { field, found: u64::from(found), expected }
}

fn unknown_kind(kind: u8) -> WireError {
    unexpected("kind", kind, "a kind from 1 to 22")
}
