//! Links to nodes: a fixed number for each node, opened for the first attempt. Each link has at most one connection, shared by several
//! attempts.

mod context;
mod handshake;
mod link;
mod outstanding;
mod reader;

use crate::lock::lock;
use crate::messages::Event;
use crate::thread::spawn;
use crate::{Clock, StartError};
use context::LinkContext;
use crossbeam_channel::Sender;
use link::{CurrentConnection, Link, LinkCommand};
use outstanding::reset;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tackmast::interface::{NodeId, Outcome};
use tackmast_config::HostSettings;
use tackmast_host_core::{AttemptId, SendAttempt};

/// Why an attempt was not queued on a link to its node.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkError {
    #[error("the address of the node is not known")]
    UnknownAddress,
    #[error("{address} is not an address of a node; expected an IP address and a port")]
    InvalidAddress { address: String },
    #[error("link not started: {0}")]
    Thread(#[from] StartError),
    #[error("the queue of the link is full; expected room for the attempt")]
    QueueFull,
}

impl LinkError {
    /// Returns how the attempt ended. Only an error that keeps every host from reaching the node counts against the node. If a shortage
    /// of this host's own resources counted too, healthy nodes would be ejected.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            LinkError::UnknownAddress | LinkError::InvalidAddress { .. } => Outcome::Refused,
            LinkError::Thread(_) | LinkError::QueueFull => Outcome::Skipped,
        }
    }
}

/// The queue of a link, and its current connection.
struct LinkHandle {
    queue: Sender<LinkCommand>,
    current: CurrentConnection,
}

/// All links of a host. They are owned by the core thread, which never blocks on one of them.
pub(crate) struct Links {
    settings: Arc<HostSettings>,
    clock: Clock,
    events: Sender<Event>,
    generation: u64,
    nodes: HashMap<NodeId, Vec<LinkHandle>>,
}

impl Links {
    /// Returns the links of a host, none of them open. `generation` is the host's generation, which it sends to nodes.
    pub(crate) fn new(
        settings: Arc<HostSettings>,
        clock: Clock,
        events: Sender<Event>,
        generation: u64,
    ) -> Self {
        Links { settings, clock, events, generation, nodes: HashMap::new() }
    }

    /// Returns the index of the link that carries an attempt, which is the same for all attempts of a request.
    fn link_index(&self, attempt: AttemptId) -> usize {
        attempt.request() as usize % self.settings.bounds.links
    }

    /// Queues the attempt on a link to its node; opens the node's links first if there are none.
    pub(crate) fn send(
        &mut self,
        node: NodeId,
        address: &str,
        attempt: Box<SendAttempt>,
    ) -> Result<(), LinkError> {
        let index = self.link_index(attempt.attempt);
        if !self.nodes.contains_key(&node) {
            let links = self.open(node, address)?;
            self.nodes.insert(node, links);
        }
        let message = LinkCommand::Send(attempt);
        let is_queued =
            self.nodes.get(&node).is_some_and(|links| links[index].queue.try_send(message).is_ok());
        is_queued.then_some(()).ok_or(LinkError::QueueFull)
    }

    /// Asks the node to cancel an attempt that the core has ended.
    pub(crate) fn cancel(&mut self, node: NodeId, attempt: AttemptId) {
        let index = self.link_index(attempt);
        if let Some(links) = self.nodes.get(&node) {
            // If the queue is full, the cancellation is dropped: the node's work is wasted, but no answer changes.
            _ = links[index].queue.try_send(LinkCommand::Cancel(attempt));
        }
    }

    /// Resets the connection that carries this attempt. Bytes that the socket has not sent are discarded.
    pub(crate) fn cut(&mut self, node: NodeId, attempt: AttemptId) {
        let index = self.link_index(attempt);
        let links = self.nodes.get(&node);
        if let Some(stream) = links.and_then(|links| lock(&links[index].current).take()) {
            reset(&stream);
        }
    }

    /// Closes the links of all nodes for which `is_gone` returns `true`.
    pub(crate) fn close_where(&mut self, is_gone: impl Fn(NodeId) -> bool) {
        self.nodes.retain(|node, _| !is_gone(*node));
    }

    fn open(&self, node: NodeId, address: &str) -> Result<Vec<LinkHandle>, LinkError> {
        let Ok(parsed) = address.parse::<SocketAddr>() else {
            tracing::warn!(node = address, "node address is not an IP address and a port");
            return Err(LinkError::InvalidAddress { address: address.to_owned() });
        };
        let open_one = |index| self.open_one(node, parsed, index);
        (0..self.settings.bounds.links).map(open_one).collect()
    }

    fn open_one(&self, node: NodeId, address: SocketAddr, index: usize) -> Result<LinkHandle, LinkError> {
        let (queue, queued) = crossbeam_channel::bounded(self.settings.bounds.link_queue);
        let link = Link::new(LinkContext {
            node,
            address,
            settings: self.settings.clone(),
            clock: self.clock,
            events: self.events.clone(),
            generation: self.generation,
        });
        let current = link.current.clone();
        if let Err(error) = spawn(format!("link {} {index}", node.0), move || link.run(&queued)) {
            tracing::warn!(node = %address, %error, "link to the node not started");
            return Err(LinkError::Thread(error));
        }
        Ok(LinkHandle { queue, current })
    }
}
