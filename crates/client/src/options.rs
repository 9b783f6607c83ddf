//! What a caller sets when it opens a volume.

use std::net::SocketAddr;
use std::time::Duration;
use tackmast::interface::TimeDelta;
use tackmast_client_core::{
    Bounds, IscsiClient, NbdClient, RetryPolicy, Transport, VolumeAddress, ADDITIONS,
};
use tackmast_wire::iscsi::Digests;

/// The iSCSI target that a gateway has unless its settings name another.
const DEFAULT_TARGET: &str = "iqn.2026-12.org.tackmast:pool";
/// Time for a call that names none.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Sessions that a client keeps connected.
const DEFAULT_SESSIONS: usize = 2;
/// Calls that may be open.
const DEFAULT_MAX_CALLS: usize = 1024;
/// Bytes of open calls.
const DEFAULT_MAX_BYTES: usize = 256 << 20;

/// The protocol between the library and the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// iSCSI-style, a subset of RFC 7143.
    Iscsi,
    /// The Network Block Device protocol.
    Nbd,
}

/// How much of the gateway's own additions to the protocols the library uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolLevel {
    /// All that the library knows.
    Newest,
    /// Version of the NBD additions; iSCSI keys have none, each is agreed on by itself.
    Version(u16),
    /// Nothing but the public protocol, in its oldest form: a rejection can't be told from a failed request there.
    Public,
}

/// How a volume is opened.
#[derive(Clone, Debug)]
pub struct Options {
    /// The protocol between the library and the gateway.
    pub protocol: Protocol,
    /// Where the gateway listens for that protocol.
    pub address: SocketAddr,
    /// Which volume.
    pub volume: VolumeAddress,
    /// Time for a call that names none.
    pub timeout: Duration,
    /// Sessions that the client keeps connected.
    pub sessions: usize,
    /// Calls that may be open; more are rejected at once.
    pub max_calls: usize,
    /// Bytes of open calls; calls beyond are rejected at once.
    pub max_bytes: usize,
    /// When calls are retried.
    pub retry_policy: RetryPolicy,
    /// Checksums of iSCSI messages.
    pub digests: Digests,
    /// How much of the gateway's additions the library uses.
    pub protocol_level: ProtocolLevel,
    /// Seed of the jitter of pauses.
    pub seed: u64,
}

impl Options {
    /// The defaults for a volume, which NBD knows by its name and iSCSI by its logical unit number.
    pub fn new(protocol: Protocol, address: SocketAddr, volume: &str, lun: u32) -> Options {
        Options {
            protocol,
            address,
            volume: VolumeAddress { target: DEFAULT_TARGET.into(), lun, name: volume.into() },
            timeout: DEFAULT_CALL_TIMEOUT,
            sessions: DEFAULT_SESSIONS,
            max_calls: DEFAULT_MAX_CALLS,
            max_bytes: DEFAULT_MAX_BYTES,
            retry_policy: RetryPolicy::default(),
            digests: Digests::default(),
            protocol_level: ProtocolLevel::Newest,
            seed: u64::from(std::process::id()),
        }
    }

    /// What the client keeps at most.
    pub(crate) fn bounds(&self) -> Bounds {
        Bounds { sessions: self.sessions, calls: self.max_calls, bytes: self.max_bytes }
    }

    /// The library's side of a new session.
    pub(crate) fn new_session(&self) -> Box<dyn Transport> {
        let volume = self.volume.clone();
        let public_only = self.protocol_level == ProtocolLevel::Public;
        match self.protocol {
            Protocol::Iscsi => {
                let deadline = TimeDelta::from_secs(self.timeout.as_secs_f64());
                Box::new(IscsiClient::new(volume, self.digests, deadline, public_only))
            }
            Protocol::Nbd => Box::new(NbdClient::new(volume, self.nbd_additions(), public_only)),
        }
    }

    fn nbd_additions(&self) -> u16 {
        match self.protocol_level {
            ProtocolLevel::Newest => ADDITIONS,
            ProtocolLevel::Version(version) => version,
            ProtocolLevel::Public => 0,
        }
    }
}
