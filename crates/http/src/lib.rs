//! HTTP/1.1 without I/O: bytes in, messages out. Requests are read from clients and responses from nodes, both incrementally and
//! with limits; a message that two parsers could read differently is refused, as it may hide a second message. Section numbers
//! without a document are those of RFC 9112.
//!
//! | file | job |
//! | --- | --- |
//! | `request`, `response` | readers of one connection's requests, and of the response to one request |
//! | `head` | the length of a head, and parsing within the limits |
//! | `headers` | header fields, and what they determine of the connection and the body |
//! | `body` | bodies by length, in chunks, or to the end of the connection |
//! | `error` | what can be wrong with a message |
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
