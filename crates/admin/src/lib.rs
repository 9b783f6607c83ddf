//! The admin protocol, version 1: one line of JSON for each call and one for its answer, over a local socket.
//!
//! | file | contents |
//! | --- | --- |
//! | `message` | the types of calls and answers |
//! | `line` | reads, parses and writes lines of JSON |
//! | `client` | calls a host over its socket |

#![warn(missing_docs, unreachable_pub)]

mod client;
mod line;
mod message;

pub use client::{call, CallError};
pub use line::{parse_call, read_line, write_line, Line, ParseError};
pub use message::{Answer, Call, VERSION};
