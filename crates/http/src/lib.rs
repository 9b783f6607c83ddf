//! An HTTP/1.1 parser without I/O. It reads requests from clients and responses from nodes, both incrementally and within limits.
//! A message that two parsers could read differently is an error, as it may hide a second message (request smuggling). Section
//! numbers without a document are those of RFC 9112.
//!
//! | module | contents |
//! | --- | --- |
//! | `request`, `response` | readers of the requests of one connection, and of the response to one request |
//! | `head` | limits, and the length of a complete head |
//! | `headers` | header fields, persistence of the connection, framing of the body |
//! | `body` | bodies by Content-Length, in chunks, or until the connection closes |
//! | `error` | errors in received messages |
//! | `status` | reason phrases of status codes |

#![warn(missing_docs, unreachable_pub)]

mod body;
mod error;
mod head;
mod headers;
mod request;
mod response;
mod status;

pub use error::MessageError;
pub use head::Limits;
pub use headers::Headers;
pub use request::{Request, RequestReader};
pub use response::{Response, ResponseReader};
pub use status::reason_phrase;
