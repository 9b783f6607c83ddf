//! One host among others: datagrams and the time in, datagrams and what follows from them out.

use crate::loans::{LoanSettings, Loans, Moved, Say, Shared};
use crate::papers::{Paper, Papers, TOLD};
use crate::spread::{Do, Spread};
use crate::view::{Seen, View, ViewSettings};
use bytes::Bytes;
use imbl::OrdMap;
use ipnet::IpNet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_overrides::Origin as Name;
use tackmast_wire::peer::{Body, Datagram, Health, News, SpreadOrder, MOST_ORDERS};

/// Messages that wait to be sent, at most; beyond that a new one is lost and counted.
const WAITING: usize = 4096;
/// Datagrams of all that is known, in answer to one digest.
const PIECES: usize = 32;
/// Orders told in answer to one digest, at most, beginning elsewhere each time.
const ORDERS: usize = 64;

#[derive(Clone, Debug)]
pub struct MemberSettings {
    pub fleet: String,
    pub slot: u32,
    pub life: u64,
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Prefixes of peers; none: any.
    pub admit: Vec<IpNet>,
    pub view: ViewSettings,
    pub loans: LoanSettings,
    pub shared: Vec<Shared>,
    /// The slot's earlier life left in order.
    pub left: bool,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Bytes,
    },
    /// A change of a host's health, for the log.
    Mode(String),
    Do(Do),
    /// A change of plans came from another host.
    Paper(Paper),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    /// Not from a prefix that is admitted, of another fleet, damaged, or said to be of this very slot.
    pub strangers: u64,
    pub other_fleets: u64,
    pub damaged: u64,
    pub lost_full: u64,
    /// Of a volume, by a host whose address is not the one known.
    pub false_names: u64,
}

pub struct Member {
    fleet: String,
    life: u64,
    admit: Vec<IpNet>,
    pub view: View,
    pub loans: Loans,
    pub spread: Spread,
    pub papers: Papers,
    outputs: VecDeque<Output>,
    from_order: usize,
    pub counters: Counters,
}

impl Member {
    pub fn new(now: Instant, s: MemberSettings) -> Self {
        let (incarnation, health, address) = (0, Health::Alive, s.address);
        let me = News { slot: s.slot, life: s.life, incarnation, health, address };
        Member {
            fleet: s.fleet,
            life: s.life,
            admit: s.admit,
            view: View::new(now, me, s.seeds, s.view, s.seed),
            loans: Loans::new(now, (s.slot, s.life), s.loans, s.shared, s.left),
            spread: Spread::default(),
            papers: Papers::default(),
            outputs: VecDeque::new(),
            from_order: 0,
            counters: Counters::default(),
        }
    }

    pub fn snapshot(&self) -> OrdMap<u32, Seen> {
        self.view.snapshot()
    }

    /// How many hosts are thought to be there, this one included.
    pub fn alive(&self) -> u32 {
        self.view.there() + 1
    }

    /// Bytes came from there. What is not this fleet's is dropped and counted.
    pub fn datagram(&mut self, now: Instant, from: SocketAddr, bytes: Bytes) {
        if !self.admit.is_empty() && !self.admit.iter().any(|p| p.contains(&from.ip())) {
            self.counters.strangers += 1;
            return;
        }
        let Ok(d) = Datagram::decode(bytes) else {
            self.counters.damaged += 1;
            return;
        };
        if d.fleet != self.fleet {
            self.counters.other_fleets += 1;
            return;
        }
        let me = self.view.me();
        if d.slot == me.slot {
            // A later life of this slot, or an earlier one that woke up; neither is to be listened to.
            self.counters.strangers += 1;
            let seen =
                News { slot: d.slot, life: d.life, incarnation: 0, health: Health::Alive, address: from };
            self.view.learn(now, seen);
            return;
        }
        self.counters.taken += 1;
        // Who speaks is there: at its first word under this life it is known by the address it speaks from.
        let known = self.view.snapshot().get(&d.slot).map(|s| (s.life, s.address));
        if known.is_none_or(|(life, _)| life < d.life) {
            let news =
                News { slot: d.slot, life: d.life, incarnation: 0, health: Health::Alive, address: from };
            self.view.learn(now, news);
            self.loans.new_life(now, d.slot, d.life);
        }
        for n in d.news {
            // Who a host is, is known from itself or by hearsay; its parts are lent by itself alone.
            if !self.admit.is_empty() && !self.admit.iter().any(|p| p.contains(&n.address.ip())) {
                self.counters.strangers += 1;
                continue;
            }
            self.view.learn(now, n);
        }
        if known.is_some_and(|(life, _)| life > d.life) {
            // An earlier life that woke up: it is told so, and its word counts no more.
            let all = self.view.all_news();
            let about = all.into_iter().flatten().filter(|n| n.slot == d.slot).collect();
            self.push(from, Body::Tell, about);
            return;
        }
        let say = match d.body {
            Body::Want { seq, using, of_life, volume, share } => {
                Say::Want { seq, using, of_life, volume, share }
            }
            Body::Loan { answers, to_life, seq, volume, share, term_ms } => {
                Say::Loan { answers, to_life, seq, volume, share, term_ms }
            }
            Body::Offer { volume } => Say::Offer { volume },
            Body::Recall { volume } => Say::Recall { volume },
            Body::Returned { to_life, volume } => Say::Returned { to_life, volume },
            Body::Digest { view, orders } => {
                if view != self.view.digest() {
                    for news in self.view.all_news().into_iter().take(PIECES) {
                        self.push(from, Body::Tell, news);
                    }
                }
                if orders != self.spread.digest(now) {
                    self.tell_orders(now, from);
                }
                return self.settle();
            }
            Body::Orders(orders) => {
                orders.into_iter().for_each(|o| self.spread.learn(now, o));
                return self.settle();
            }
            paper @ (Body::Paper { .. } | Body::PaperWant { .. } | Body::PaperPiece { .. }) => {
                self.papers.heard(now, from, d.slot, &paper);
                return self.settle();
            }
            other => {
                self.view.heard(from, d.slot, &other);
                return self.settle();
            }
        };
        // A loan is its lender's own word: it counts from the address at which that host is known.
        if self.view.address(d.slot) != Some(from) {
            self.counters.false_names += 1;
            return;
        }
        self.loans.heard(now, d.slot, d.life, say);
        self.settle();
    }

    fn tell_orders(&mut self, now: Instant, to: SocketAddr) {
        let all = self.spread.all(now);
        if all.is_empty() {
            return;
        }
        let first = self.from_order % all.len();
        let some: Vec<SpreadOrder> =
            all.iter().cycle().skip(first).take(ORDERS.min(all.len())).cloned().collect();
        self.from_order = first + some.len();
        for two in some.chunks(MOST_ORDERS) {
            self.push(to, Body::Orders(two.to_vec()), Vec::new());
        }
    }

    fn push(&mut self, to: SocketAddr, body: Body, news: Vec<News>) {
        let me = self.view.me();
        let d = Datagram { fleet: self.fleet.clone(), slot: me.slot, life: self.life, body, news };
        let bytes = d.to_bytes();
        // The new one is lost, as on any network: what waits may be an operator's order, which is told only once.
        if self.outputs.len() >= WAITING {
            self.counters.lost_full += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.outputs.push_back(Output::Send { to, bytes });
    }

    /// What the parts have to say goes out.
    fn settle(&mut self) {
        if self.view.is_displaced() {
            self.loans.displaced();
        }
        while let Some((to, body)) = self.view.next_send() {
            let news = self.view.beside();
            self.push(to, body, news);
        }
        while let Some((slot, say)) = self.loans.next_say() {
            let Some(to) = self.view.address(slot) else { continue };
            let body = match say {
                Say::Want { seq, using, of_life, volume, share } => {
                    Body::Want { seq, using, of_life, volume, share }
                }
                Say::Loan { answers, to_life, seq, volume, share, term_ms } => {
                    Body::Loan { answers, to_life, seq, volume, share, term_ms }
                }
                Say::Offer { volume } => Body::Offer { volume },
                Say::Recall { volume } => Body::Recall { volume },
                Say::Returned { to_life, volume } => Body::Returned { to_life, volume },
            };
            let news = self.view.beside();
            self.push(to, body, news);
        }
        while let Some((slot, health)) = self.view.next_change() {
            let (there, word) = (self.alive(), format!("{health:?}").to_lowercase());
            self.outputs.push_back(Output::Mode(format!("host {slot} {word}: {there} hosts are there")));
        }
        while let Some(d) = self.spread.next_do() {
            self.outputs.push_back(Output::Do(d));
        }
        while let Some((to, body)) = self.papers.next_say() {
            self.push(to, body, Vec::new());
        }
        while let Some(p) = self.papers.next_came() {
            self.outputs.push_back(Output::Paper(p));
        }
        if let Some((slot, number)) = self.papers.next_fork() {
            let line = format!("host {slot} goes by other plans: another change {number} than here");
            self.outputs.push_back(Output::Mode(line));
        }
    }

    pub fn tick(&mut self, now: Instant) {
        self.view.tick(now);
        // The view does not know of orders: the digest it sends is filled in here.
        let orders = self.spread.digest(now);
        let mut sends = Vec::new();
        while let Some((to, body)) = self.view.next_send() {
            sends.push((
                to,
                match body {
                    Body::Digest { view, .. } => Body::Digest { view, orders },
                    other => other,
                },
            ));
        }
        for (to, body) in sends {
            let beat = matches!(body, Body::Digest { .. }) && self.papers.is_on();
            let news = self.view.beside();
            self.push(to, body, news);
            if beat {
                self.push(to, self.papers.word(now), Vec::new());
            }
        }
        self.loans.tick(now, &self.view.live());
        self.spread.tick(now);
        self.papers.tick(now);
        self.settle();
    }

    pub fn next_wake(&self) -> Instant {
        let papers = self.papers.next_wake();
        [self.loans.next_wake()].into_iter().chain(papers).fold(self.view.next_wake(), Instant::min)
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    pub fn asked(&mut self, now: Instant, volume: u32, units: f64) {
        self.loans.asked(now, volume, units);
    }

    pub fn moved(&self, now: Instant, volume: u32) -> Option<Moved> {
        self.loans.moved(now, volume)
    }

    /// The host leaves in order: it says so, uses nothing that it shares from here on, and lends what it has.
    pub fn leave(&mut self, now: Instant) {
        self.loans.leave(now);
        self.loans.tick(now, &self.view.live());
        self.settle();
    }

    /// The last word, when its parts are lent.
    pub fn left(&mut self) {
        self.view.leave();
        self.settle();
    }

    /// An order that this host took itself, or had kept.
    pub fn ordered(&mut self, now: Instant, order: SpreadOrder) {
        self.spread.mine(now, order);
    }

    /// A change of plans is taken here, and told on.
    pub fn paper_taken(&mut self, now: Instant, number: u64, mark: u64, text: Bytes, ends: Instant) {
        self.papers.taken(now, number, mark, text, ends);
        let word = self.papers.word(now);
        for slot in self.view.pick(TOLD, None) {
            if let Some(to) = self.view.address(slot) {
                self.push(to, word.clone(), Vec::new());
            }
        }
        self.settle();
    }

    pub fn cleared(&mut self, name: Name) {
        self.spread.cleared(name);
    }
}
