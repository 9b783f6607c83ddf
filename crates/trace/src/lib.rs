//! What clients, nodes and the endpoint list saw on their sockets, as lines of JSON. Times are microseconds of Unix
//! time, all taken on one machine. The first line has what is true of the deployment.
//!
//! | file | job |
//! | --- | --- |
//! | `facts` | what is true of the deployment |
//! | `event` | what was seen |
//! | `line` | events with their times, written and read as JSON |
//! | `recorder` | collects the events of one process |
//! | `clock` | the clock of a trace |

#![warn(missing_docs)]
#![warn(unreachable_pub)]

mod clock;
mod event;
mod facts;
mod line;
mod recorder;

pub use clock::now_us;
pub use event::{AnswerKind, AttemptEndKind, AttemptName, Event, ListedState, Side};
pub use facts::{EffectKind, Facts, TrafficClassFacts, VolumeFacts};
pub use line::{read, write, Line, ReadError};
pub use recorder::Recorder;
