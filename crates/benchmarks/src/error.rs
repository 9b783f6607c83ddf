//! Why a measurement could not run.

use std::io;
use std::path::PathBuf;
use tackmast_client::OpenError;
use tackmast_config::ConfigError;
use tackmast_emulators::initiator::LoginError;
use tackmast_host::StartError;
use tackmast_wire::WireError;

/// Why a measurement could not run.
#[derive(Debug, thiserror::Error)]
pub enum BenchmarkError {
    /// A node could not be started or reached.
    #[error("node: {0}")]
    Node(io::Error),
    /// The endpoint list could not be started.
    #[error("node list: {0}")]
    NodeList(io::Error),
    /// A file could not be written, or a program not be started.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or program.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The host's process has no standard output.
    #[error("host: no standard output")]
    NoHostOutput,
    /// The output of the host's process could not be read.
    #[error("{0}")]
    HostOutput(io::Error),
    /// The host's process printed something else than its address.
    #[error("host: {found:?}; expected {expected}and its address")]
    NoHostAddress {
        /// What it printed.
        found: String,
        /// What comes before the address.
        expected: &'static str,
    },
    /// A host could not be started in this process.
    #[error("{0}")]
    HostStart(#[from] StartError),
    /// A host does not listen for NBD.
    #[error("no NBD address")]
    NoNbdAddress,
    /// Settings of the measurement are wrong.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A thread could not be started.
    #[error("load: {0}")]
    Thread(io::Error),
    /// A thread of a load panicked.
    #[error("load: a client failed")]
    LoadPanicked,
    /// A thread of a client panicked.
    #[error("a client failed")]
    ClientPanicked,
    /// A client could not log in.
    #[error("login: {0}")]
    Login(#[from] LoginError),
    /// A client could not open its sessions.
    #[error("{0}")]
    Open(#[from] OpenError),
    /// A session ended before the measurement did.
    #[error("the session ended")]
    SessionEnded,
    /// A command got no answer.
    #[error("no answer in 10 s")]
    NoAnswer,
    /// A node closed its connection.
    #[error("the node closed the connection")]
    NodeClosed,
    /// A node sent bytes that are no frame.
    #[error("{0}")]
    Wire(#[from] WireError),
}
