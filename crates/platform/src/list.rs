//! The node list, as the operators' discovery tells it.

use crate::settings::Settings;
use crate::values::{array, index, integer, shown, text};
use serde_json::Value;
use std::net::SocketAddr;
use tackmast::interface::{NodeState, ShardId, ZoneId};

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub state: NodeState,
    pub zone: ZoneId,
    pub shard: ShardId,
    /// When the node last started, in milliseconds of Unix time, where that is told.
    pub up_since_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub version: u64,
    /// Else only what changed.
    pub complete: bool,
    pub members: Vec<Member>,
}

/// An id as long as this is none of discovery's.
const LONGEST_ID: usize = 128;

impl List {
    /// An answer that can't be read whole changes nothing.
    pub fn parse(bytes: &[u8], s: &Settings) -> Result<Self, String> {
        let v: Value = serde_json::from_slice(bytes).map_err(|e| format!("{e}; expected JSON"))?;
        List::of(&v, s)
    }

    pub fn of(v: &Value, s: &Settings) -> Result<Self, String> {
        let version = integer(v.get("revision"), "revision")?;
        let complete =
            v.get("complete").and_then(Value::as_bool).ok_or("complete: expected true or false")?;
        let members = array(v.get("members"), "members")?.iter().enumerate();
        let members = members.map(|(i, m)| member(m, s).map_err(|e| format!("members[{i}].{e}")));
        Ok(List {
            version: u64::try_from(version)
                .map_err(|_| format!("revision: {version}; expected 0 or more"))?,
            complete,
            members: members.collect::<Result<_, _>>()?,
        })
    }

    /// Where the host asks for it: the whole list, or what comes after a version, within some time.
    pub fn target(after: Option<(u64, u64)>) -> String {
        match after {
            None => "/registry/instances".to_owned(),
            Some((version, wait_ms)) => format!("/registry/instances?after={version}&wait_ms={wait_ms}"),
        }
    }
}

fn member(v: &Value, s: &Settings) -> Result<Member, String> {
    let id = text(v.get("id"), "id")?;
    if id.is_empty() || id.len() > LONGEST_ID {
        return Err(format!("id: {}; expected 1 to {LONGEST_ID} bytes", shown(v.get("id"))));
    }
    let address = text(v.get("host_port"), "host_port")?;
    let expected = || format!("host_port: {}; expected an address and a port", shown(v.get("host_port")));
    let zone = text(v.get("locality"), "locality")?;
    Ok(Member {
        id: id.to_owned(),
        address: address.parse().map_err(|_| expected())?,
        state: match text(v.get("phase"), "phase")? {
            "Ready" => NodeState::Ready,
            "Terminating" => NodeState::Draining,
            "Gone" => NodeState::Gone,
            other => return Err(format!("phase: {other}; expected Ready, Terminating or Gone")),
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
