//! Which version of the node list hosts hold, told from host to host; and of a newer one what it takes away. A host whose
//! watch is silent hears so that it is behind, asks its service again, and meanwhile chooses no node that another host was
//! told is draining or gone. What a list adds is never taken from a peer: how old a node's start is only the service tells.

use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, NodeListMessage, NodeRemoval, MAX_REMOVALS};

/// Nodes that a host tells of as draining or gone, at most: the first by address.
const STOPS: usize = 2_000;
/// A host that is behind asks a peer, and its service, no more often than this; twice as long each time it is told nothing newer,
/// up to so long: services may count apart for good.
const AGAIN_S: f64 = 0.2;
const AGAIN_MAX_S: f64 = 30.0;
/// What came and waits to be taken, at most.
const WAITING: usize = 4_096;

#[derive(Clone, Debug, PartialEq)]
pub enum ListCame {
    /// Others hold a newer list: the service is to be asked.
    Behind { version: u64 },
    /// By that version this node is not to be chosen.
    Stopped { version: u64, stop: NodeRemoval },
    /// The service went back from a version that this host held to an older one.
    WentBack { from: u64, to: u64 },
}

#[derive(Clone, Debug, Default)]
pub struct Lists {
    on: bool,
    /// The newest version that this host ever held in this generation, and what it takes away.
    version: u64,
    stops: Vec<NodeRemoval>,
    asked: Option<Instant>,
    /// Asks since this host's list last moved.
    asks: u32,
    came: VecDeque<ListCame>,
    says: VecDeque<(SocketAddr, Body)>,
    pub behind: u64,
    pub lost_full: u64,
}

impl Lists {
    /// What this host's list says now; true: that is news for others.
    pub fn listed(&mut self, version: u64, stops: impl IntoIterator<Item = NodeRemoval>) -> bool {
        self.on = true;
        if version < self.version {
            // Against an old copy of the list after its service's restart: what was taken away stays so.
            let (from, to) = (self.version, version);
            self.push(ListCame::WentBack { from, to });
            for stop in self.stops.clone() {
                self.push(ListCame::Stopped { version: from, stop });
            }
            return false;
        }
        let new = version > self.version;
        if new {
            self.asks = 0;
        }
        self.version = version;
        self.stops = stops.into_iter().take(STOPS).collect();
        new
    }

    fn push(&mut self, c: ListCame) {
        match self.came.len() < WAITING {
            true => self.came.push_back(c),
            false => self.lost_full += 1,
        }
    }

    pub fn is_on(&self) -> bool {
        self.on
    }

    pub fn word(&self) -> Body {
        Body::NodeList(NodeListMessage::Version { version: self.version })
    }

    pub fn heard(&mut self, now: Instant, from: SocketAddr, message: NodeListMessage) {
        if !self.on {
            return;
        }
        match message {
            NodeListMessage::Version { version } if version > self.version => {
                let waits = (AGAIN_S * f64::from(self.asks.min(16)).exp2() / 2.0).clamp(AGAIN_S, AGAIN_MAX_S);
                if self.asked.is_some_and(|t| now - t < TimeDelta::from_secs(waits)) {
                    return;
                }
                self.asked = Some(now);
                self.asks += 1;
                self.behind += 1;
                self.push(ListCame::Behind { version });
                self.says
                    .push_back((from, Body::NodeList(NodeListMessage::Request { version: self.version })));
            }
            NodeListMessage::Version { version } if version < self.version => {
                self.says.push_back((from, self.word()))
            }
            NodeListMessage::Request { version } if version < self.version => {
                let version = self.version;
                for some in self.stops.chunks(MAX_REMOVALS) {
                    self.says.push_back((
                        from,
                        Body::NodeList(NodeListMessage::Removals { version, removals: some.to_vec() }),
                    ));
                }
            }
            NodeListMessage::Removals { version, removals: stops } if version > self.version => {
                for stop in stops {
                    self.push(ListCame::Stopped { version, stop });
                }
            }
            _ => {}
        }
    }

    pub fn next_came(&mut self) -> Option<ListCame> {
        self.came.pop_front()
    }

    pub fn next_say(&mut self) -> Option<(SocketAddr, Body)> {
        self.says.pop_front()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stop(n: usize) -> NodeRemoval {
        NodeRemoval { address: format!("10.0.0.{n}:7"), gone: n.is_multiple_of(2) }
    }

    fn at(s: f64) -> Instant {
        Instant::from_secs(s)
    }

    fn inner(body: Body) -> NodeListMessage {
        match body {
            Body::NodeList(message) => message,
            other => panic!("{other:?}"),
        }
    }

    fn place(n: u8) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, n], 7))
    }

    /// Both tell each other their versions until nothing more is said; what came of it at `b`.
    fn meet(a: &mut Lists, b: &mut Lists, now: Instant) -> Vec<ListCame> {
        b.heard(now, place(1), inner(a.word()));
        for _ in 0..10 {
            while let Some((_, body)) = b.next_say() {
                a.heard(now, place(2), inner(body));
            }
            while let Some((_, body)) = a.next_say() {
                b.heard(now, place(1), inner(body));
            }
        }
        std::iter::from_fn(|| b.next_came()).collect()
    }

    #[test]
    fn who_is_behind_hears_what_a_newer_list_takes_away() {
        let (mut a, mut b) = (Lists::default(), Lists::default());
        assert!(a.listed(7, (0..90).map(stop)) && b.listed(5, []));
        let came = meet(&mut a, &mut b, at(1.0));
        assert_eq!(came.first(), Some(&ListCame::Behind { version: 7 }));
        let stopped = came.iter().filter(|c| matches!(c, ListCame::Stopped { version: 7, .. }));
        assert_eq!(stopped.count(), 90, "over several datagrams");
        // It is not asked again at once, and not at all once it is no longer behind.
        assert!(meet(&mut a, &mut b, at(1.1)).is_empty());
        assert!(!meet(&mut a, &mut b, at(1.5)).is_empty());
        assert!(b.listed(7, []) && meet(&mut a, &mut b, at(9.0)).is_empty());
        // The one that is ahead takes nothing from the one behind.
        assert!(a.listed(8, []) && meet(&mut b, &mut a, at(10.0)).is_empty());
        // Nothing is said or taken where no list was held yet.
        let mut c = Lists::default();
        assert!(meet(&mut a, &mut c, at(11.0)).is_empty());
    }

    #[test]
    fn services_that_count_apart_for_good_are_not_asked_without_end() {
        let (mut a, mut b) = (Lists::default(), Lists::default());
        a.listed(70, []);
        b.listed(5, []);
        let mut asked = 0;
        for i in 0..6_000 {
            // A word each tenth of a second, for ten minutes; the service has nothing newer.
            asked += usize::from(!meet(&mut a, &mut b, at(f64::from(i) * 0.1)).is_empty());
            b.listed(5, []);
        }
        assert!((20..40).contains(&asked), "{asked}");
        // Once it has, the next one is asked for at once.
        assert!(b.listed(6, []) && !meet(&mut a, &mut b, at(700.0)).is_empty());
    }

    #[test]
    fn a_service_that_goes_back_takes_nothing_back() {
        let mut a = Lists::default();
        a.listed(7, [stop(1), stop(2)]);
        assert!(!a.listed(3, []));
        let came: Vec<ListCame> = std::iter::from_fn(|| a.next_came()).collect();
        assert_eq!(came[0], ListCame::WentBack { from: 7, to: 3 });
        assert_eq!(came[1..], [1, 2].map(|n| ListCame::Stopped { version: 7, stop: stop(n) }));
        // Others still hear of the newer one.
        assert_eq!(a.word(), Body::NodeList(NodeListMessage::Version { version: 7 }));
        assert!(a.listed(8, []));
    }
}
