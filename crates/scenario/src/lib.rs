//! Runs a scripted scenario on loopback: hosts as processes, emulators of nodes, endpoint list and clients, and faults at set times.
//! It records the traffic at the sockets, checks the invariants on that record, and checks every byte that is read.
//!
//! | file | job |
//! | --- | --- |
//! | `script` | the scenario file: reading, checking, and the settings file of each host |
//! | `bench_import` | a scenario file out of a day of the bench |
//! | `runner` | starts everything, injects the faults, ends everything, and reports |
//! | `host_process`, `node_fleet`, `cluster_network` | host processes, emulated nodes, and the proxies between processes |
//! | `traffic`, `registers` | clients of one volume, and the reference model of its blocks |
//! | `operators` | operators' calls while the scenario runs |
//! | `consensus_watcher`, `view_watcher` | what the hosts say of consensus and membership, polled from outside |
//! | `fault_generator`, `shrink`, `fault_text` | faults from a seed, a failing scenario made smaller, and its printed form |
//! | `report` | the result |

#![warn(missing_docs)]
#![warn(unreachable_pub)]

mod bench_import;
mod cluster_network;
mod consensus_watcher;
mod error;
mod facts;
mod fault_generator;
mod fault_text;
mod host_process;
mod linux_process;
mod lock;
mod node_fleet;
mod operators;
mod peer_addresses;
mod registers;
mod report;
mod runner;
mod script;
mod shrink;
mod traffic;
mod view_watcher;

pub use bench_import::{import_bench_day, BenchImportError};
pub use consensus_watcher::ConsensusObservations;
pub use error::ScenarioError;
pub use facts::facts;
pub use fault_generator::add_generated_faults;
pub use fault_text::faults_text;
pub use linux_process::ProcessResources;
pub use peer_addresses::PeerAddresses;
pub use registers::{InconsistentRead, Registers};
pub use report::{Report, Served};
pub use runner::{run, ScenarioRun, DEGRADATION_STEPS};
pub use script::{
    names_node_of, Action, FaultTarget, HostAddresses, Misuse, NodesBlock, ProcessFault, ScenarioBlock,
    ScheduledFault, Script, TrafficBlock,
};
pub use shrink::shrink;
pub use view_watcher::{Convergence, ViewObservations};
