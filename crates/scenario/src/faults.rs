//! The player's part for processes and ways: each trouble's begin and end.

use super::*;

/// Periods from the last fault that a day waits at most for its view to settle, once all else is over.
const WAIT: f64 = 60.0;

impl Stage<'_> {
    /// What the watcher of the view has to know of a host now.
    pub(super) fn watched(&mut self, host: u32) {
        let Some(w) = &self.watcher else { return };
        let mut done = w.done.lock().unwrap_or_else(PoisonError::into_inner);
        let process = self.hosts.get(host as usize).and_then(Option::as_ref);
        match process.filter(|p| p.is_up) {
            Some(p) => {
                done.up.insert((host, false), self.dir.join(format!("{}.admin", p.seat.stem())));
                match p.is_stopped {
                    true => _ = done.stopped.insert(host),
                    false => _ = done.stopped.remove(&host),
                }
                if !p.is_stopped {
                    done.is_back(host);
                }
            }
            None => {
                done.up.remove(&(host, false));
                done.stopped.remove(&host);
            }
        }
        match self.twins.get(&host) {
            Some(t) => done.up.insert((host, true), self.dir.join(format!("{}.admin", t.seat.stem()))),
            None => done.up.remove(&(host, true)),
        };
    }

    fn goes(&self, host: u32) {
        if let Some(w) = &self.watcher {
            w.done.lock().unwrap_or_else(PoisonError::into_inner).goes(host);
        }
    }

    fn fault(&self, what: &str) {
        if let Some(w) = &self.watcher {
            w.done.lock().unwrap_or_else(PoisonError::into_inner).fault(what);
        }
    }

    /// Starts these again, at once.
    fn start_again(&mut self, hosts: &[u32], change: impl Fn(&mut Seat)) {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut seats = Vec::new();
        for h in hosts {
            let old = self.hosts.get(*h as usize).and_then(Option::as_ref);
            let seat = match (old, self.late.get(h)) {
                // It may not have ended in time.
                (Some(p), _) if p.is_up => continue,
                (Some(p), _) => Ok(Seat { listen: p.address, ..p.seat.clone() }),
                (None, late) => {
                    let listen = late.copied().unwrap_or(loopback);
                    let peers = self.script.day.members.then(|| self.rig.peers(*h, 0)).transpose();
                    peers.map(|peers| Seat { number: *h, twin: false, listen, peers, clock: (0.0, 1.0) })
                }
            };
            match seat {
                Ok(mut seat) => {
                    change(&mut seat);
                    seats.push(seat);
                }
                Err(e) => self.failures.push(e),
            }
        }
        let (script, list, dir) = (self.script, self.list_at, self.dir.clone());
        let launch = Launch { binary: self.binary, script, list, dir: &dir, recorder: &self.recorder };
        for started in start_all(&launch, seats) {
            match started {
                Ok(p) => {
                    let number = p.seat.number;
                    let reached = self.rig.host(number, p.address);
                    if let Some(a) = self
                        .addresses
                        .write()
                        .unwrap_or_else(PoisonError::into_inner)
                        .get_mut(number as usize)
                    {
                        *a = reached;
                    }
                    self.hosts[number as usize] = Some(p);
                    self.watched(number);
                }
                Err(e) => self.failures.push(e),
            }
        }
    }

    fn kill(&mut self, hosts: &[u32]) {
        for h in hosts {
            if let Some(p) = self.hosts.get_mut(*h as usize).and_then(Option::as_mut).filter(|p| p.is_up) {
                p.kill(&self.recorder);
                self.goes(*h);
                self.watched(*h);
            }
        }
    }

    fn disk(&self, host: u32, kind: &str) -> std::path::PathBuf {
        self.dir.join(format!("host-{host}.{kind}"))
    }

    pub(super) fn rig_begin(&mut self, trouble: usize, name: &str, action: &Action) {
        match action {
            Action::KillHosts(hosts) => self.kill(hosts),
            Action::Hosts { hosts, how } => match how {
                How::Late => return,
                How::Term => {
                    for h in hosts {
                        if let Some(p) = self.hosts.get(*h as usize).and_then(Option::as_ref) {
                            p.term();
                            self.ending.insert(*h);
                            self.goes(*h);
                        }
                    }
                }
                How::Stop => {
                    for h in hosts {
                        let process = self.hosts.get_mut(*h as usize).and_then(Option::as_mut);
                        if let Some(p) = process.filter(|p| p.is_up && !p.is_stopped) {
                            p.stop(&self.recorder);
                            self.goes(*h);
                            self.watched(*h);
                        }
                    }
                }
                How::Wipe | How::Moved | How::Clock { .. } => self.kill(hosts),
                How::OldDisk => {
                    self.kill(hosts);
                    for h in hosts {
                        if let Err(e) = std::fs::copy(self.disk(*h, "redb"), self.disk(*h, "old")) {
                            self.failures.push(format!("host {h}: its disk could not be copied: {e}"));
                        }
                    }
                    self.start_again(hosts, |_| {});
                }
                How::Twin => {
                    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
                    let mut seats = Vec::new();
                    for h in hosts {
                        match self.rig.peers(TWIN + h, 0) {
                            Ok(p) => {
                                let (peers, clock) = (Some(p), (0.0, 1.0));
                                seats.push(Seat { number: *h, twin: true, listen: loopback, peers, clock });
                            }
                            Err(e) => self.failures.push(e),
                        }
                    }
                    let (script, list, dir) = (self.script, self.list_at, self.dir.clone());
                    let recorder = &self.recorder;
                    let launch = Launch { binary: self.binary, script, list, dir: &dir, recorder };
                    for started in start_all(&launch, seats) {
                        match started {
                            Ok(p) => {
                                let number = p.seat.number;
                                self.twins.insert(number, p);
                                self.watched(number);
                                // The one of the two that yields is away in the eyes of the others.
                                self.goes(number);
                            }
                            Err(e) => self.failures.push(e),
                        }
                    }
                }
            },
            Action::Way { from, to, what, one_way } => {
                let (from, to) = (self.parties(from), self.parties(to));
                self.way(trouble, from.clone(), to.clone(), *what);
                if !one_way {
                    self.way(trouble, to, from, *what);
                }
            }
            Action::Apart(groups) => {
                let groups: Vec<HashSet<Endpoint>> = groups.iter().map(|g| self.parties(g)).collect();
                for (i, a) in groups.iter().enumerate() {
                    for b in groups.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, b)| b) {
                        self.way(trouble, a.clone(), b.clone(), NetworkFault::Cut);
                    }
                }
            }
            _ => return,
        }
        self.fault(&format!("{name} begins"));
    }

    fn way(&mut self, trouble: usize, from: HashSet<Endpoint>, to: HashSet<Endpoint>, what: NetworkFault) {
        let id = self.rig.begin(&from, &to, what);
        if let Some(w) = &self.watcher {
            let hosts = |all: &HashSet<Endpoint>| -> HashSet<u32> {
                let number = |p: &Endpoint| match p {
                    Endpoint::Host(h) => Some(h % TWIN),
                    _ => None,
                };
                all.iter().filter_map(number).collect()
            };
            let mut done = w.done.lock().unwrap_or_else(PoisonError::into_inner);
            // Loss and lateness excuse no death.
            if what == NetworkFault::Cut {
                done.ways.insert(id, (hosts(&from), hosts(&to), Instant::now()));
            }
        }
        self.effects.entry(trouble).or_default().push((id, from, to, what));
    }

    fn parties(&self, all: &[Who]) -> HashSet<Endpoint> {
        let day = &self.script.day;
        let mut found = HashSet::new();
        for w in all {
            match w {
                Who::List => _ = found.insert(Endpoint::List),
                Who::Clients => _ = found.insert(Endpoint::Clients),
                Who::Nodes(name) => {
                    let all: Vec<String> = self.nodes.by_name.keys().cloned().collect();
                    let named = match name {
                        None => all,
                        Some(n) => self.nodes.named(std::slice::from_ref(n)),
                    };
                    let nodes = named.iter().filter_map(|n| self.nodes.node(n));
                    found.extend(nodes.map(|n| Endpoint::Node(n.address())));
                }
                hosts => found.extend(hosts.hosts(day.hosts, day.sites).into_iter().map(Endpoint::Host)),
            }
        }
        found
    }

    pub(super) fn rig_finish(&mut self, trouble: usize, name: &str, action: &Action) {
        match action {
            Action::KillHosts(hosts) => self.start_again(hosts, |_| {}),
            Action::Hosts { hosts, how } => match how {
                How::Late => self.start_again(hosts, |_| {}),
                How::Term => {
                    // Whoever has not ended by now is ended.
                    self.kill(hosts);
                    hosts.iter().for_each(|h| _ = self.ending.remove(h));
                    self.start_again(hosts, |_| {});
                }
                How::Stop => {
                    for h in hosts {
                        if let Some(p) = self.hosts.get_mut(*h as usize).and_then(Option::as_mut) {
                            p.go_on(&self.recorder);
                            self.watched(*h);
                        }
                    }
                }
                How::Wipe => {
                    for h in hosts {
                        _ = std::fs::remove_file(self.disk(*h, "redb"));
                        _ = std::fs::remove_file(self.disk(*h, "left"));
                    }
                    self.start_again(hosts, |_| {});
                }
                How::OldDisk => {
                    self.kill(hosts);
                    for h in hosts {
                        if let Err(e) = std::fs::rename(self.disk(*h, "old"), self.disk(*h, "redb")) {
                            self.failures.push(format!("host {h}: its old disk could not be put back: {e}"));
                        }
                    }
                    self.start_again(hosts, |_| {});
                }
                How::Twin => {
                    for h in hosts {
                        if let Some(mut t) = self.twins.remove(h) {
                            t.kill(&self.recorder);
                        }
                        self.watched(*h);
                    }
                }
                How::Moved => {
                    let mut places = BTreeMap::new();
                    for h in hosts {
                        let moves = self.moves.entry(*h).or_default();
                        *moves += 1;
                        match self.rig.peers(*h, *moves) {
                            Ok(p) => _ = places.insert(*h, p),
                            Err(e) => self.failures.push(e),
                        }
                    }
                    self.start_again(hosts, |seat| seat.peers = places.get(&seat.number).cloned());
                }
                How::Clock { off_s, pace } => {
                    let clock = (*off_s, *pace);
                    self.start_again(hosts, |seat| seat.clock = clock);
                }
            },
            Action::Way { .. } | Action::Apart(_) => {
                for (id, from, to, what) in self.effects.remove(&trouble).unwrap_or_default() {
                    self.rig.end(id, &from, &to, what);
                    if let Some(w) = &self.watcher {
                        let mut done = w.done.lock().unwrap_or_else(PoisonError::into_inner);
                        if let Some((a, b, since)) = done.ways.remove(&id) {
                            done.cuts.push((a, b, since, Instant::now()));
                        }
                    }
                }
            }
            _ => return,
        }
        self.fault(&format!("{name} ends"));
    }

    /// Hosts that were asked to end, and have.
    pub(super) fn look_at_ends(&mut self) {
        for h in self.ending.clone() {
            let process = self.hosts.get_mut(h as usize).and_then(Option::as_mut);
            if process.is_none_or(|p| p.has_ended(&self.recorder)) {
                self.ending.remove(&h);
                self.watched(h);
            }
        }
    }

    /// All else is over: what is left is that the view settles.
    pub(super) fn wait_for_view(&mut self) {
        let Some(w) = &self.watcher else { return };
        let most = Duration::from_secs_f64(self.script.day.period_ms / 1e3 * WAIT);
        while self.script.day.settled_within > 0.0 && !w.is_settled() && w.waited() < most {
            std::thread::sleep(LOOK);
        }
    }
}
