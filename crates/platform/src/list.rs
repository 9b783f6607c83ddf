//! The endpoint list, as the discovery service of the platform sends it.

use crate::settings::Settings;
use crate::values::{array, index, integer, shown, text, FieldError};
use serde_json::Value;
use std::net::SocketAddr;
use tackmast::interface::{NodeState, ShardId, ZoneId};

/// A node in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The node's id, which stays the same when its address changes.
    pub id: String,
    /// The address on which the node serves attempts.
    pub address: SocketAddr,
    /// Whether the node is ready, draining or gone.
    pub state: NodeState,
    /// The node's zone; `u32::MAX` where the settings do not name it.
    pub zone: ZoneId,
    /// The shard that the node holds.
    pub shard: ShardId,
    /// When the node last started, in milliseconds of Unix time; `None` where discovery does not know it.
    pub up_since_ms: Option<u64>,
}

/// A complete endpoint list, or the changes since an earlier version.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// The version; a later list has a higher one.
    pub version: u64,
    /// Whether the list has all nodes; otherwise it has only those that changed.
    pub complete: bool,
    /// The nodes of the list.
    pub members: Vec<Member>,
}

/// Maximum length of a node's id, in bytes.
const MAX_ID_BYTES: usize = 128;

impl List {
    /// Parses an answer of discovery.
    ///
    /// # Errors
    ///
    /// Returns an error if any value is not valid, also if it is in one member only, so that no list is applied in part.
    pub fn parse(bytes: &[u8], settings: &Settings) -> Result<Self, FieldError> {
        let not_json = |error: serde_json::Error| FieldError::with_found("", error.to_string(), "JSON");
        List::from_value(&serde_json::from_slice(bytes).map_err(not_json)?, settings)
    }

    /// Reads a list from a JSON value.
    pub(crate) fn from_value(value: &Value, settings: &Settings) -> Result<Self, FieldError> {
        let version = integer(value.get("revision"), "revision")?;
        let complete = value.get("complete").and_then(Value::as_bool);
        let complete = complete.ok_or_else(|| FieldError::new("complete", "true or false"))?;
        let members = array(value.get("members"), "members")?.iter().enumerate();
        let members = members.map(|(index, value)| {
            member(value, settings).map_err(|error| error.within(&format!("members[{index}]")))
        });
        Ok(List {
            version: u64::try_from(version)
                .map_err(|_| FieldError::with_found("revision", version.to_string(), "0 or more"))?,
            complete,
            members: members.collect::<Result<_, _>>()?,
        })
    }

    /// Returns the request target of a poll. Without `after` it is that of the complete list. With a version and a time in milliseconds,
    /// it is that of the changes since the version, for which discovery waits that long.
    pub fn target(after: Option<(u64, u64)>) -> String {
        match after {
            None => "/registry/instances".to_owned(),
            Some((version, wait_ms)) => format!("/registry/instances?after={version}&wait_ms={wait_ms}"),
        }
    }
}

fn member(value: &Value, settings: &Settings) -> Result<Member, FieldError> {
    let id = text(value.get("id"), "id")?;
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        let expected = format!("1 to {MAX_ID_BYTES} bytes");
        return Err(FieldError::with_found("id", shown(value.get("id")), expected));
    }
    let address = text(value.get("host_port"), "host_port")?;
    let not_an_address =
        || FieldError::with_found("host_port", shown(value.get("host_port")), "an address and a port");
    let zone = text(value.get("locality"), "locality")?;
    Ok(Member {
        id: id.to_owned(),
        address: address.parse().map_err(|_| not_an_address())?,
        state: match text(value.get("phase"), "phase")? {
            "Ready" => NodeState::Ready,
            "Terminating" => NodeState::Draining,
            "Gone" => NodeState::Gone,
            other => return Err(FieldError::with_found("phase", other, "Ready, Terminating or Gone")),
        },
        // A zone that the settings do not name differs from all that they name.
        zone: ZoneId(settings.zone(zone).unwrap_or(u32::MAX)),
        shard: ShardId(index(value.get("cell"), "cell")?),
        up_since_ms: match value.get("up_since_ms") {
            None | Some(Value::Null) => None,
            present => {
                let ms = u64::try_from(integer(present, "up_since_ms")?).ok();
                ms.filter(|ms| *ms > 0)
            }
        },
    })
}
