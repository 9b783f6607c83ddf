//! Clients of both protocols in virtual time: the core of the client library at one end, a session of the gateway at the
//! other, and pipes of bytes between them.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_client_core::{
    Bounds, Core, IscsiClient, NbdClient, RetryPolicy, Transport, VolumeAddress, ADDITIONS,
};
use tackmast_target::{AnySession, IscsiSession, NbdSession, Offer};
use tackmast_wire::iscsi::Digests;
use tackmast_wire::scsi::Unit;

/// Bounds on the sessions, open calls and bytes of a client.
const BOUNDS: Bounds = Bounds { sessions: 2, calls: 64, bytes: 8 << 20 };
/// Deadline of an iSCSI command that carries none, in seconds.
const DEFAULT_DEADLINE_S: f64 = 1.0;

/// The protocol of a client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocol {
    Iscsi,
    Nbd,
}

/// A call that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    /// In microseconds of virtual time.
    pub deadline: u64,
}

/// A client of one volume: the core of the client library, and its connections.
pub(crate) struct Client {
    pub host: u32,
    pub lun: u32,
    pub core: Core,
    pub calls: BTreeMap<u64, Call>,
    /// The number of the newest call.
    pub call_count: u64,
    /// When its timer is due, in microseconds of virtual time.
    pub wake: u64,
    pub slots: Vec<Slot>,
    protocol: Protocol,
}

/// A place for one connection of a client.
#[derive(Default)]
pub(crate) struct Slot {
    /// Tells the connection from earlier ones of the slot; 0: none is open.
    pub generation: u64,
    pub pipe: Option<Pipe>,
}

/// The open connection between a client and a session of its host.
pub(crate) struct Pipe {
    pub session: AnySession,
    /// The session's number at the host.
    pub session_number: u32,
    /// When the last bytes to the host and to the client arrive, in microseconds of virtual time.
    pub last_arrivals: [u64; 2],
    /// When the first bytes of each write arrived, by command.
    pub began: BTreeMap<u32, u64>,
}

impl Client {
    /// A client without connections.
    pub(crate) fn new(
        now: Instant,
        host: u32,
        protocol: Protocol,
        volume: VolumeAddress,
        seed: u64,
    ) -> Client {
        let lun = volume.lun;
        let new_transport = move || -> Box<dyn Transport> {
            match protocol {
                Protocol::Nbd => Box::new(NbdClient::new(volume.clone(), ADDITIONS, false)),
                Protocol::Iscsi => {
                    let digests = Digests { header: seed.is_multiple_of(2), data: seed.is_multiple_of(3) };
                    let deadline = TimeDelta::from_secs(DEFAULT_DEADLINE_S);
                    Box::new(IscsiClient::new(volume.clone(), digests, deadline, false))
                }
            }
        };
        Client {
            host,
            lun,
            core: Core::new(now, BOUNDS, RetryPolicy::default(), seed, Box::new(new_transport)),
            calls: BTreeMap::new(),
            call_count: 0,
            wake: u64::MAX,
            slots: (0..BOUNDS.sessions).map(|_| Slot::default()).collect(),
            protocol,
        }
    }

    /// The host's end of a new connection, with a session of that number.
    pub(crate) fn open_pipe(&self, offer: &Arc<Offer>, units: &Arc<Vec<Unit>>, session_number: u16) -> Pipe {
        let (offer, units) = (offer.clone(), units.clone());
        let session = match self.protocol {
            Protocol::Nbd => AnySession::Nbd(NbdSession::new(offer, units, session_number)),
            Protocol::Iscsi => AnySession::Iscsi(IscsiSession::new(offer, units, session_number)),
        };
        let session_number = u32::from(session_number);
        Pipe { session, session_number, last_arrivals: [0; 2], began: BTreeMap::new() }
    }

    /// The open connection of a slot, if the slot still has that generation.
    pub(crate) fn pipe_of(&mut self, slot: usize, generation: u64) -> Option<&mut Pipe> {
        let slot = self.slots.get_mut(slot).filter(|slot| slot.generation == generation)?;
        slot.pipe.as_mut()
    }
}

/// The data of a write. Its content is not part of the model.
pub(crate) fn data(bytes: u32) -> Bytes {
    Bytes::from(vec![0; bytes as usize])
}
