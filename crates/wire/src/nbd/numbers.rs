//! Numbers of the NBD protocol: options, replies, commands, flags and errors.

/// Options of the handshake. The last is this project's, in a range where none is defined: it is answered with
/// `ERR_UNSUP` by servers that don't know it.
pub mod option {
    /// Begins the transmission phase without a reply.
    pub const EXPORT_NAME: u32 = 1;
    /// Ends the handshake.
    pub const ABORT: u32 = 2;
    /// Asks for the names of exports.
    pub const LIST: u32 = 3;
    /// Asks about an export.
    pub const INFO: u32 = 6;
    /// Asks about an export and begins the transmission phase.
    pub const GO: u32 = 7;
    /// Asks for structured replies.
    pub const STRUCTURED_REPLY: u32 = 8;
    /// Asks for the project's additions.
    pub const TACKMAST: u32 = 0x7461_636b;
}

/// Replies to options.
pub mod reply {
    /// The option is done.
    pub const ACK: u32 = 1;
    /// Name of an export.
    pub const SERVER: u32 = 2;
    /// Information about an export.
    pub const INFO: u32 = 3;
    /// The option is not known.
    pub const ERR_UNSUP: u32 = 0x8000_0001;
    /// The option is not allowed.
    pub const ERR_POLICY: u32 = 0x8000_0002;
    /// The option's data is wrong.
    pub const ERR_INVALID: u32 = 0x8000_0003;
    /// There is no such export.
    pub const ERR_UNKNOWN: u32 = 0x8000_0006;
    /// The server is shutting down.
    pub const ERR_SHUTDOWN: u32 = 0x8000_0007;
}

/// Information about an export.
pub mod info {
    /// Size and transmission flags.
    pub const EXPORT: u16 = 0;
    /// Block sizes.
    pub const BLOCK_SIZE: u16 = 3;
}

/// Transmission flags of an export.
pub mod export {
    /// The flags are valid.
    pub const HAS_FLAGS: u16 = 1;
    /// FLUSH is served.
    pub const SEND_FLUSH: u16 = 4;
    /// The flag FUA is served.
    pub const SEND_FUA: u16 = 8;
}

/// Commands of the transmission phase.
pub mod command {
    /// Reads data.
    pub const READ: u16 = 0;
    /// Writes data.
    pub const WRITE: u16 = 1;
    /// Ends the session.
    pub const DISCONNECT: u16 = 2;
    /// Waits until what was written is durable.
    pub const FLUSH: u16 = 3;
    /// This project's, sent only where its option was accepted: cancels a command.
    pub const CANCEL: u16 = 0x7463;
}

/// Flags of a command.
pub mod flag {
    /// The data must be durable before the reply.
    pub const FUA: u16 = 1;
    /// This project's: eight bytes follow the header, the time in microseconds in which the client wants its answer.
    pub const DEADLINE: u16 = 0x4000;
}

/// Chunk types of structured replies.
pub mod chunk {
    /// No data.
    pub const NONE: u16 = 0;
    /// Data at an offset.
    pub const OFFSET_DATA: u16 = 1;
    /// An error.
    pub const ERROR: u16 = 0x8001;
    /// This project's, an error chunk by its highest bits: the command was rejected.
    pub const REJECTED: u16 = 0xf463;
}

/// Error values.
pub mod error {
    /// Not permitted.
    pub const PERM: u32 = 1;
    /// Input or output failed.
    pub const IO: u32 = 5;
    /// Invalid argument.
    pub const INVAL: u32 = 22;
    /// No space left.
    pub const NOSPC: u32 = 28;
    /// Value too large.
    pub const OVERFLOW: u32 = 75;
    /// Not supported.
    pub const NOTSUP: u32 = 95;
    /// The server is shutting down.
    pub const SHUTDOWN: u32 = 108;
}
