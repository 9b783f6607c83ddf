//! Why a scenario could not be run.

use std::io;

/// Why a scenario could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The proxies between processes could not be started.
    #[error("network: {0}")]
    Network(#[source] io::Error),
    /// The proxy in front of a host could not be started.
    #[error("network path to host {process}: {source}")]
    HostProxy {
        /// Number of the process.
        process: u32,
        /// What went wrong.
        source: io::Error,
    },
    /// The proxy in front of a node could not be started.
    #[error("network path to a node: {0}")]
    NodeProxy(#[source] io::Error),
    /// The endpoint list could not be started.
    #[error("node list: {0}")]
    EndpointList(#[source] io::Error),
    /// A node could not be started.
    #[error("node {name}: {source}")]
    Node {
        /// Name of the node.
        name: String,
        /// What went wrong.
        source: io::Error,
    },
    /// There is no free address for a host that starts late.
    #[error("an address for a host that starts late: {0}")]
    LateHostAddress(#[source] io::Error),
    /// A file could not be used.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What went wrong.
        source: io::Error,
    },
    /// A host process has no standard output.
    #[error("host: no standard output")]
    NoStandardOutput,
    /// A host process did not print the address on which it listens.
    #[error("host {host}: {output:?} instead of its address; see {file_stem}.log in {directory}")]
    NoAddress {
        /// Number of the host.
        host: u32,
        /// What the process printed.
        output: String,
        /// First part of the names of its files.
        file_stem: String,
        /// Where its files are.
        directory: String,
    },
    /// The thread that starts a host has panicked.
    #[error("a host could not be started")]
    StartThread,
    /// Traffic names a volume that the settings do not have.
    #[error("traffic {traffic}: no volume {volume}")]
    UnknownVolume {
        /// Name of the traffic.
        traffic: String,
        /// Name of the volume.
        volume: String,
    },
    /// The volume has too few blocks for its traffic.
    #[error("traffic {traffic}: span_blocks {span_blocks}; the volume has too few blocks")]
    TooFewBlocks {
        /// Name of the traffic.
        traffic: String,
        /// Blocks that the traffic works on.
        span_blocks: u64,
    },
    /// A thread of the traffic could not be started.
    #[error("traffic {traffic}: {source}")]
    TrafficThread {
        /// Name of the traffic.
        traffic: String,
        /// What went wrong.
        source: io::Error,
    },
}

impl ScenarioError {
    pub(crate) fn file(path: &std::path::Path, source: io::Error) -> ScenarioError {
        ScenarioError::File { path: path.display().to_string(), source }
    }
}
