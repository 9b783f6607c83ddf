//! The endpoint list on the host's disk, which the host loads at its next start. The JSON keys are a stored format.

use super::{age_by_host_clock, node_start};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use tackmast::interface::{NodeState, ShardId, ZoneId};
use tackmast_host_core::ListEntry;

/// Why a saved list can't be loaded. The host then starts without it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LoadError {
    #[error("{}: {error}", path.display())]
    Read { path: PathBuf, error: io::Error },
    #[error("{}: {error}; expected a list saved by a host; starting without", path.display())]
    Parse { path: PathBuf, error: serde_json::Error },
}

/// A node in the saved list.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SavedNode {
    address: String,
    draining: bool,
    zone: u32,
    shard: u32,
    /// When the node started, in microseconds of Unix time; 0 if not known.
    started_us: u64,
}

impl From<&ListEntry> for SavedNode {
    fn from(entry: &ListEntry) -> SavedNode {
        SavedNode {
            address: entry.address.clone(),
            draining: entry.state != NodeState::Ready,
            zone: entry.zone.0,
            shard: entry.shard.0,
            started_us: entry.start.map_or(0, |start| start.id),
        }
    }
}

impl From<SavedNode> for ListEntry {
    fn from(node: SavedNode) -> ListEntry {
        ListEntry {
            id: node.address.clone(),
            address: node.address,
            state: if node.draining { NodeState::Draining } else { NodeState::Ready },
            zone: ZoneId(node.zone),
            shard: ShardId(node.shard),
            start: node_start(node.started_us, age_by_host_clock(node.started_us)),
        }
    }
}

/// Saves the list atomically: it is written to a new file, which then replaces the old one by a rename. If the process ends in between,
/// the old list remains intact; overwriting it in place could leave half a list for the next start.
pub(super) fn save(path: &Path, entries: &[ListEntry]) -> io::Result<()> {
    let nodes: Vec<SavedNode> = entries.iter().map(SavedNode::from).collect();
    let new_path = path.with_extension("new");
    let mut file = File::create(&new_path)?;
    file.write_all(&serde_json::to_vec(&nodes)?)?;
    file.sync_all()?;
    std::fs::rename(&new_path, path)
}

/// Loads the list that an earlier process saved. A missing file counts as an empty list.
pub(crate) fn load(path: &Path) -> Result<Vec<ListEntry>, LoadError> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(LoadError::Read { path: path.into(), error }),
    };
    let nodes: Vec<SavedNode> =
        serde_json::from_slice(&bytes).map_err(|error| LoadError::Parse { path: path.into(), error })?;
    Ok(nodes.into_iter().map(ListEntry::from).collect())
}
