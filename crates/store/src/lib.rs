//! What a host must not lose, in an embedded database (redb): overrides with their audit log, the change log of plans, known
//! peers, and the consensus log. A write is one transaction, synced before it is acknowledged: after any crash all that was
//! acknowledged is there, and no write is there in part.
//!
//! | file | job |
//! | --- | --- |
//! | `store` | opens a store; reads and writes it |
//! | `persisted_state` | reads all that a store holds when it is opened |
//! | `update` | writes one update within a transaction |
//! | `consensus_log` | reads and writes the rows of the consensus log |
//! | `log_rows` | the bytes of these rows |
//! | `tables` | names of tables and rows, and the format's version |
//! | `error` | what can go wrong |

#![warn(missing_docs, unreachable_pub)]

mod consensus_log;
mod error;
mod log_rows;
mod persisted_state;
mod store;
mod tables;
mod update;

pub use error::{StoreError, StoreProblem};
pub use persisted_state::PersistedState;
pub use store::{OpenedStore, Store};
pub use tables::FORMAT;
