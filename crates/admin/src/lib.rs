//! The admin protocol: over a local socket, one line of JSON for each call and one for its answer. Version 1.
//!
//! | file | job |
//! | --- | --- |
//! | `message` | calls and answers |
//! | `line` | lines of JSON: read, parsed, written |
//! | `client` | calls a host over its socket |

#![warn(missing_docs, unreachable_pub)]

mod client;
mod line;
mod message;

pub use client::{call, CallError};
pub use line::{parse_call, read_line, write_line, Line, ParseError};
pub use message::{Answer, Call, VERSION};
