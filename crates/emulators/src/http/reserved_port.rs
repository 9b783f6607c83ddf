//! Ports that stay reserved for a test while nothing listens on them.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};

/// A port on loopback that no other process or test can be given while this value lives, whether or not anything listens on it. A
/// freed port may be bound by another emulator at once, which would then answer in place of a service that is meant to be down.
pub struct ReservedPort {
    address: SocketAddr,
    /// Bound and never listening: a connect while nothing else listens is refused at once.
    _socket: socket2::Socket,
}

impl ReservedPort {
    /// Reserves a free port.
    pub fn new() -> std::io::Result<Self> {
        let socket = shared_socket(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = socket.local_addr()?.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort { address, _socket: socket })
    }

    /// The loopback address with this port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the port. At most `backlog` connections wait to be accepted.
    pub fn listen(&self, backlog: i32) -> std::io::Result<TcpListener> {
        let socket = shared_socket(self.address)?;
        socket.listen(backlog)?;
        Ok(socket.into())
    }
}

/// A socket bound to an address that it shares with the others of this function. A port that the system chooses is never shared.
fn shared_socket(address: SocketAddr) -> std::io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
