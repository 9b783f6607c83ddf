//! The options of an open volume.

use std::net::SocketAddr;
use std::time::Duration;
use tackmast::interface::TimeDelta;
use tackmast_client_core::{
    Bounds, IscsiClient, NbdClient, RetryPolicy, Transport, VolumeAddress, ADDITIONS,
};
use tackmast_wire::iscsi::Digests;

/// Name of the iSCSI target of a gateway whose settings name no other.
const DEFAULT_TARGET: &str = "iqn.2026-12.org.tackmast:pool";
/// Default timeout of a call.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Default number of sessions that a client keeps connected.
const DEFAULT_SESSIONS: usize = 2;
/// Default number of calls that may be open at a time.
const DEFAULT_MAX_CALLS: usize = 1024;
/// Default bound on the bytes of all open calls together.
const DEFAULT_MAX_BYTES: usize = 256 << 20;

/// The protocol between the library and the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The iSCSI-style protocol, a subset of RFC 7143.
    Iscsi,
    /// The Network Block Device protocol.
    Nbd,
}

/// Which of the gateway's additions to the public protocols the library uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolLevel {
    /// All additions that the library supports.
    Newest,
    /// A version of the NBD additions. The iSCSI keys have no version, since each is negotiated separately, and all are offered.
    Version(u16),
    /// No additions, and the public protocol in its oldest form. It does not distinguish a rejected request from a failed one.
    Public,
}

/// Options for opening a volume.
#[derive(Clone, Debug)]
pub struct Options {
    /// The protocol between the library and the gateway.
    pub protocol: Protocol,
    /// Address at which the gateway listens for that protocol.
    pub address: SocketAddr,
    /// The volume to open.
    pub volume: VolumeAddress,
    /// Timeout of a call that is submitted without one of its own.
    pub timeout: Duration,
    /// Number of sessions that the client keeps connected.
    pub sessions: usize,
    /// Number of calls that may be open at a time. Further calls are rejected at once.
    pub max_calls: usize,
    /// Bytes of all open calls together. Calls beyond this sum are rejected at once.
    pub max_bytes: usize,
    /// Settings for retries and for the backoff between connects.
    pub retry_policy: RetryPolicy,
    /// Checksums that are offered for iSCSI messages. NBD has none.
    pub digests: Digests,
    /// Which of the gateway's additions the library uses.
    pub protocol_level: ProtocolLevel,
    /// Seed of the jitter of backoffs; by default the process id.
    pub seed: u64,
}

impl Options {
    /// Returns the default options for a volume, which NBD addresses by its name and iSCSI by its logical unit number.
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

    /// Returns the bounds on sessions and open calls.
    pub(crate) fn bounds(&self) -> Bounds {
        Bounds { sessions: self.sessions, calls: self.max_calls, bytes: self.max_bytes }
    }

    /// Creates the protocol state of a new session.
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
