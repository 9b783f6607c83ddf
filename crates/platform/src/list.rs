//! The endpoint list, as the operators' discovery sends it.

use crate::settings::Settings;
use crate::values::{array, index, integer, shown, text, FieldError};
use serde_json::Value;
use std::net::SocketAddr;
use tackmast::interface::{NodeState, ShardId, ZoneId};

/// A node of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, which stays when its address changes.
    pub id: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Ready, draining or gone.
    pub state: NodeState,
    /// Its zone.
    pub zone: ZoneId,
    /// The shard that it holds.
    pub shard: ShardId,
    /// When the node last started, in milliseconds of Unix time, where that is known.
    pub up_since_ms: Option<u64>,
}

/// An endpoint list, or the changes of one.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Its version.
    pub version: u64,
    /// It has all nodes; else only those that changed.
    pub complete: bool,
    /// The nodes.
    pub members: Vec<Member>,
}

/// Maximum length of a node's id in bytes.
const MAX_ID_BYTES: usize = 128;

impl List {
    /// Parses an answer of discovery. One that is not valid as a whole changes nothing.
    pub fn parse(bytes: &[u8], s: &Settings) -> Result<Self, FieldError> {
        let v: Value =
            serde_json::from_slice(bytes).map_err(|e| FieldError::with_found("", e.to_string(), "JSON"))?;
        List::from_value(&v, s)
    }

    /// Reads a list out of a JSON value.
    pub fn from_value(v: &Value, s: &Settings) -> Result<Self, FieldError> {
        let version = integer(v.get("revision"), "revision")?;
        let complete = v.get("complete").and_then(Value::as_bool);
        let complete = complete.ok_or_else(|| FieldError::new("complete", "true or false"))?;
        let members = array(v.get("members"), "members")?.iter().enumerate();
        let members = members.map(|(i, m)| member(m, s).map_err(|e| e.within(&format!("members[{i}]"))));
        Ok(List {
            version: u64::try_from(version)
                .map_err(|_| FieldError::with_found("revision", version.to_string(), "0 or more"))?,
            complete,
            members: members.collect::<Result<_, _>>()?,
        })
    }

    /// The request target: the complete list or, after a version, the changes, awaited for so many milliseconds.
    pub fn target(after: Option<(u64, u64)>) -> String {
        match after {
            None => "/registry/instances".to_owned(),
            Some((version, wait_ms)) => format!("/registry/instances?after={version}&wait_ms={wait_ms}"),
        }
    }
}

fn member(v: &Value, s: &Settings) -> Result<Member, FieldError> {
    let id = text(v.get("id"), "id")?;
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        let expected = format!("1 to {MAX_ID_BYTES} bytes");
        return Err(FieldError::with_found("id", shown(v.get("id")), expected));
    }
    let address = text(v.get("host_port"), "host_port")?;
    let wrong_address =
        || FieldError::with_found("host_port", shown(v.get("host_port")), "an address and a port");
    let zone = text(v.get("locality"), "locality")?;
    Ok(Member {
        id: id.to_owned(),
        address: address.parse().map_err(|_| wrong_address())?,
        state: match text(v.get("phase"), "phase")? {
            "Ready" => NodeState::Ready,
            "Terminating" => NodeState::Draining,
            "Gone" => NodeState::Gone,
            other => return Err(FieldError::with_found("phase", other, "Ready, Terminating or Gone")),
        },
        // A zone that the settings do not name is like none of theirs.
        zone: ZoneId(s.zone(zone).unwrap_or(u32::MAX)),
        shard: ShardId(index(v.get("cell"), "cell")?),
        up_since_ms: match v.get("up_since_ms") {
            None | Some(Value::Null) => None,
            some => {
                Some(integer(some, "up_since_ms")?).and_then(|t| u64::try_from(t).ok()).filter(|t| *t > 0)
            }
        },
    })
}
