//! The NBD protocol, fixed newstyle: handshake, options, and the transmission phase with simple and structured
//! replies, as its public page describes them. All numbers are big-endian. Both sides' units are here, so that the
//! target and the client library read and write the same bytes.
//!
//! | file | job |
//! | --- | --- |
//! | `numbers` | options, replies, commands, flags and errors by number |
//! | `handshake` | greeting and options, and the data of options |
//! | `transmission` | requests and replies |
//! | `client_units`, `server_units` | cut a client's and a server's stream into units |

mod client_units;
mod handshake;
mod numbers;
mod server_units;
mod transmission;

pub use client_units::{ClientUnit, ClientUnits};
pub use handshake::{
    greeting, option, option_reply, read_error, read_go, read_session, read_version, read_window,
    write_error, write_go, write_session, write_version, ChunkError, GoRequest,
};
pub use numbers::{chunk, command, error, export, flag, info, option, reply};
pub use server_units::{ServerUnit, ServerUnits};
pub use transmission::{Reply, Request};

use crate::reader::{check_len, Fields};
use crate::WireError;
use bytes::{Bytes, BytesMut};

/// First bytes of a server's greeting: `NBDMAGIC`.
const MAGIC: u64 = 0x4e42_444d_4147_4943;
/// First bytes of an option, and second word of the greeting: `IHAVEOPT`.
const IHAVEOPT: u64 = 0x4948_4156_454f_5054;
/// First bytes of a reply to an option.
const OPTION_REPLY: u64 = 0x0003_e889_0455_65a9;
/// First bytes of a request.
const REQUEST: u32 = 0x2560_9513;
/// First bytes of a simple reply.
const SIMPLE_REPLY: u32 = 0x6744_6698;
/// First bytes of a chunk of a structured reply.
const STRUCTURED_REPLY: u32 = 0x668e_33ef;

/// Handshake flag of the server, which the client echoes: the fixed newstyle handshake.
pub const FIXED_NEWSTYLE: u16 = 1;
/// Handshake flag of the server, which the client echoes: no zeroes behind the reply to EXPORT_NAME.
pub const NO_ZEROES: u16 = 2;
/// Flag of the last chunk of a structured reply.
pub const DONE: u16 = 1;

/// Bytes of an option's data, at most.
const MAX_OPTION: u32 = 64 << 10;

/// Which units come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The server's greeting, and the client's flags.
    Flags,
    /// Options and their replies.
    Options,
    /// Requests and their replies.
    Transmission,
}

fn bounded(field: &'static str, found: u32, max: u32) -> Result<usize, WireError> {
    check_len(field, found as usize, max as usize)?;
    Ok(found as usize)
}

/// The fields of the first `length` bytes of a stream, if all of them have been received.
fn peek(received: &BytesMut, length: usize) -> Option<Fields> {
    received.get(..length).map(|header| Fields(Bytes::copy_from_slice(header)))
}
