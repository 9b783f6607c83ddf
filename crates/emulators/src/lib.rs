//! Stand-ins on loopback: storage nodes, the node list, and scripted clients, with faults on command. They share
//! nothing with the host but the codecs.

pub mod http;
pub mod initiator;
pub mod list;
pub mod model;
pub mod node;
pub mod store;
pub mod tap;
pub mod ways;
