//! The durable state of a host in an embedded database (redb): overrides and their audit log, the change log of plans, the
//! known peers, and the consensus log. Each write is one transaction that is synced before it is acknowledged. After a
//! crash, the store contains every acknowledged write and no partial one.
//!
//! | file | contents |
//! | --- | --- |
//! | `store` | opens, reads and writes a store |
//! | `persisted_state` | reads the contents of a store when it is opened |
//! | `update` | writes one update in a transaction |
//! | `consensus_log` | reads and writes the rows of the consensus log |
//! | `log_rows` | encodes and decodes these rows |
//! | `tables` | names of tables and rows, and the version of the format |
//! | `error` | errors of the store |

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
