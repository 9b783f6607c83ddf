//! Open-loop workloads: what clients request and when, drawn from a file and a seed. No request waits for the answer of another, so
//! that a slow service can't hide the load that it should have borne. The simulator and loopback play the same requests.
//!
//! | file | job |
//! | --- | --- |
//! | `workload` | reads and checks a file |
//! | `flow` | one kind of request: its volume, rate and sizes |
//! | `arrivals` | draws the requests with their times |

#![warn(missing_docs, unreachable_pub)]

mod arrivals;
mod flow;
mod workload;

pub use arrivals::{Arrival, Arrivals};
pub use flow::{BlockRange, BusiestHost, Flow, LargeRequests, Surge};
pub use workload::Workload;
