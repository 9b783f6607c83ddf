//! Emulators on loopback: storage nodes, the endpoint list and scripted clients, with faults on command. They share nothing with the
//! host but the codecs.
//!
//! | file | job |
//! | --- | --- |
//! | `model` | how long a node's work takes, in virtual time |
//! | `node`, `store` | a node on a socket, and its bytes |
//! | `list` | the endpoint list |
//! | `initiator` | a scripted iSCSI client |
//! | `recording_proxy` | records what other clients send and receive |
//! | `network_faults` | cuts, loss, delay and resets between processes |
//! | `http` | nodes, list and clients of the operators' platform |

#![warn(missing_docs, unreachable_pub)]

/// Nodes, list and clients of the operators' platform.
pub mod http;
/// A scripted iSCSI client.
pub mod initiator;
mod iscsi_fields;
/// The endpoint list.
pub mod list;
/// How long a node's work takes, in virtual time.
pub mod model;
/// Cuts, loss, delay and resets between processes.
pub mod network_faults;
/// A storage node on a socket.
pub mod node;
/// Records what other clients send and receive.
pub mod recording_proxy;
mod sockets;
/// The bytes of a node.
pub mod store;
mod threads;
