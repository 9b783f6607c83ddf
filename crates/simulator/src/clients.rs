//! Clients of both protocols in virtual time: the client libraries' core on one side, the gateway's sessions on the other,
//! and pipes of bytes between them, which are cut, late and lost as the run wants it.

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

/// Sessions a client keeps, calls it may have open, and their bytes.
const BOUNDS: Bounds = Bounds { sessions: 2, calls: 64, bytes: 8 << 20 };

/// A call that is under way.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub deadline: u64,
}

/// A client of one volume: the core of the client library, and its connections.
pub struct Client {
    pub host: u32,
    pub lun: u32,
    pub core: Core,
    pub calls: BTreeMap<u64, Call>,
    pub next: u64,
    pub wake: u64,
    pub slots: Vec<Slot>,
    nbd: bool,
}

/// One of its connections; its generation tells it from those before.
#[derive(Default)]
pub struct Slot {
    pub generation: u64,
    pub pipe: Option<Pipe>,
}

/// The open connection between a client and a session of its host.
pub struct Pipe {
    pub session: AnySession,
    /// The session's number at the host.
    pub number: u32,
    /// When the last bytes of each direction arrive: towards the host, and back.
    pub last: [u64; 2],
    /// When the first bytes of writes came.
    pub began: BTreeMap<u32, u64>,
}

impl Client {
    /// A client without connections.
    pub fn new(now: Instant, host: u32, nbd: bool, volume: VolumeAddress, seed: u64) -> Client {
        let lun = volume.lun;
        let new = move || -> Box<dyn Transport> {
            match nbd {
                true => Box::new(NbdClient::new(volume.clone(), ADDITIONS, false)),
                false => {
                    let digests = Digests { header: seed.is_multiple_of(2), data: seed.is_multiple_of(3) };
                    Box::new(IscsiClient::new(volume.clone(), digests, TimeDelta::from_secs(1.0), false))
                }
            }
        };
        Client {
            host,
            lun,
            core: Core::new(now, BOUNDS, RetryPolicy::default(), seed, Box::new(new)),
            calls: BTreeMap::new(),
            next: 0,
            wake: u64::MAX,
            slots: (0..BOUNDS.sessions).map(|_| Slot::default()).collect(),
            nbd,
        }
    }

    /// What the host puts at the other end of a connection.
    pub fn pipe(&self, offer: &Arc<Offer>, units: &Arc<Vec<Unit>>, number: u16) -> Pipe {
        let (offer, units) = (offer.clone(), units.clone());
        let session = match self.nbd {
            true => AnySession::Nbd(NbdSession::new(offer, units, number)),
            false => AnySession::Iscsi(IscsiSession::new(offer, units, number)),
        };
        Pipe { session, number: u32::from(number), last: [0; 2], began: BTreeMap::new() }
    }

    /// The open connection of a slot, if the slot still has that generation.
    pub fn pipe_of(&mut self, slot: usize, generation: u64) -> Option<&mut Pipe> {
        self.slots.get_mut(slot).filter(|s| s.generation == generation).and_then(|s| s.pipe.as_mut())
    }
}

/// Data of a write; what it holds is no part of this model.
pub fn data(bytes: u32) -> Bytes {
    Bytes::from(vec![0; bytes as usize])
}
