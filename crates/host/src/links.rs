//! Links to nodes: a bounded number of connections to each, opened when an attempt needs one, several attempts on each.

mod context;
mod handshake;
mod link;
mod outstanding;
mod reader;

use crate::lock::lock;
use crate::messages::Event;
use crate::thread::spawn;
use crate::Clock;
use context::LinkContext;
use crossbeam_channel::Sender;
use link::{CurrentConnection, Link, ToLink};
use outstanding::reset;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tackmast::interface::NodeId;
use tackmast_config::HostSettings;
use tackmast_host_core::{AttemptId, SendAttempt};

/// The queue of one link, and the connection that it has at the moment.
struct LinkHandle {
    queue: Sender<ToLink>,
    current: CurrentConnection,
}

/// All links of a host, owned by the core's thread, which never waits for one of them.
pub(crate) struct Links {
    settings: Arc<HostSettings>,
    clock: Clock,
    events: Sender<Event>,
    generation: u64,
    nodes: HashMap<NodeId, Vec<LinkHandle>>,
}

impl Links {
    /// No link is open; `generation` is what the host calls itself towards nodes.
    pub(crate) fn new(
        settings: Arc<HostSettings>,
        clock: Clock,
        events: Sender<Event>,
        generation: u64,
    ) -> Self {
        Links { settings, clock, events, generation, nodes: HashMap::new() }
    }

    /// Which of a node's links carries an attempt.
    fn link_index(&self, attempt: AttemptId) -> usize {
        (attempt.0 >> 8) as usize % self.settings.bounds.links
    }

    /// Hands the attempt to a link of its node; false: the link's queue is full, or it could not be opened.
    pub(crate) fn send(&mut self, node: NodeId, address: &str, attempt: Box<SendAttempt>) -> bool {
        let index = self.link_index(attempt.attempt);
        if !self.nodes.contains_key(&node) {
            let Some(links) = self.open(node, address) else { return false };
            self.nodes.insert(node, links);
        }
        self.nodes.get(&node).is_some_and(|links| links[index].queue.try_send(ToLink::Send(attempt)).is_ok())
    }

    /// Asks the node to cancel an attempt that the core has ended.
    pub(crate) fn cancel(&mut self, node: NodeId, attempt: AttemptId) {
        let index = self.link_index(attempt);
        if let Some(links) = self.nodes.get(&node) {
            // If the queue is full the node works in vain, which costs its capacity but changes no answer.
            _ = links[index].queue.try_send(ToLink::Cancel(attempt));
        }
    }

    /// Ends the connection that carries this attempt; bytes that were not sent never will be.
    pub(crate) fn cut(&mut self, node: NodeId, attempt: AttemptId) {
        let index = self.link_index(attempt);
        let links = self.nodes.get(&node);
        if let Some(stream) = links.and_then(|links| lock(&links[index].current).take()) {
            reset(&stream);
        }
    }

    /// Closes the links of all nodes that are gone.
    pub(crate) fn close_where(&mut self, is_gone: impl Fn(NodeId) -> bool) {
        self.nodes.retain(|node, _| !is_gone(*node));
    }

    fn open(&self, node: NodeId, address: &str) -> Option<Vec<LinkHandle>> {
        let Ok(parsed) = address.parse::<SocketAddr>() else {
            tracing::warn!(node = address, "node address is not an IP address and a port");
            return None;
        };
        let open_one = |index| self.open_one(node, parsed, index);
        (0..self.settings.bounds.links).map(open_one).collect()
    }

    fn open_one(&self, node: NodeId, address: SocketAddr, index: usize) -> Option<LinkHandle> {
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
        match spawn(format!("link {} {index}", node.0), move || link.run(&queued)) {
            Ok(_) => Some(LinkHandle { queue, current }),
            Err(error) => {
                tracing::warn!(node = %address, %error, "link to the node not started");
                None
            }
        }
    }
}
