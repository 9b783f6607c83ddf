//! Who calls, by the first frame of a connection.

use super::{Endpoint, Network};
use crate::sockets::is_timeout;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use tackmast_wire::{list, node};

/// Bytes within which a caller must have said who it is.
const MAX_FIRST_BYTES: usize = 4096;

/// How the caller of a connection is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerKind {
    /// A host, by its first frame of the node protocol.
    HostToNode,
    /// A host, by its first frame of the list protocol.
    HostToList,
    /// Any caller is a client.
    Clients,
}

/// A caller, and what it has sent so far.
pub(super) struct Caller {
    pub(super) endpoint: Endpoint,
    pub(super) first_bytes: Vec<u8>,
}

impl CallerKind {
    /// Reads until the caller has said who it is.
    pub(super) fn identify(self, stream: &mut TcpStream, network: &Network) -> io::Result<Caller> {
        let mut first_bytes = Vec::new();
        if self == CallerKind::Clients {
            return Ok(Caller { endpoint: Endpoint::Clients, first_bytes });
        }
        let mut buffer = [0; MAX_FIRST_BYTES];
        while first_bytes.len() < MAX_FIRST_BYTES && !network.is_stopped() {
            match stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) => first_bytes.extend_from_slice(&buffer[..length]),
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            }
            let host = match self {
                CallerKind::HostToNode => host_of_node_frame(&first_bytes)?,
                CallerKind::HostToList | CallerKind::Clients => host_of_list_frame(&first_bytes)?,
            };
            if let Some(host) = host {
                return Ok(Caller { endpoint: Endpoint::Host(host), first_bytes });
            }
        }
        Err(ErrorKind::InvalidData.into())
    }
}

/// The host that sent these bytes to a node; `None`: its frame is not complete.
fn host_of_node_frame(bytes: &[u8]) -> io::Result<Option<u32>> {
    let mut frames = node::frames(MAX_FIRST_BYTES);
    frames.push(bytes);
    match node::next(&mut frames) {
        Ok(Some(node::Frame::HostHello { host, .. })) => Ok(Some(host)),
        Ok(None) => Ok(None),
        other => Err(io::Error::other(format!("{other:?}; expected a host's hello"))),
    }
}

/// The host that sent these bytes to the list; `None`: its frame is not complete.
fn host_of_list_frame(bytes: &[u8]) -> io::Result<Option<u32>> {
    let mut frames = list::frames();
    frames.push(bytes);
    match list::next(&mut frames) {
        Ok(Some(list::Frame::Follow { host, .. } | list::Frame::Fetch { host, .. })) => Ok(Some(host)),
        Ok(None) => Ok(None),
        other => Err(io::Error::other(format!("{other:?}; expected a host's call"))),
    }
}
