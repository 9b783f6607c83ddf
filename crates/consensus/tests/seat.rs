//! Seats fed by hand: votes, what counts as committed, leases, a disk that fails, a fleet that begins.

use bytes::Bytes;
use std::collections::BTreeMap;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::*;

fn settings() -> Settings {
    Settings {
        beat: TimeDelta::from_secs(0.05),
        patience: TimeDelta::from_secs(0.3),
        lease: TimeDelta::from_secs(1.0),
        drift: 0.01,
        hosts: 5,
        fold_entries: 1_000,
        fold_bytes: 1 << 20,
    }
}

fn at(s: f64) -> Instant {
    Instant::from_secs(100.0 + s)
}

fn of(host: u32, generation: u64) -> Origin {
    Origin { disk: u64::from(host) + 100, boot: generation as u32, generation }
}

fn voters(n: u32) -> Voters {
    (0..n).map(|h| (h, of(h, 1).disk)).collect()
}

/// A voter of three whose log holds entries of these terms.
fn voter(me: u32, term: u64, terms: &[u64]) -> Voter {
    let data = |(i, t): (usize, &u64)| Entry { term: *t, what: What::Data(Bytes::from(vec![i as u8])) };
    let base = Base { id: 9, voters: voters(3), ..Base::default() };
    let hard = Hard { term, vote: None };
    let entries = terms.iter().enumerate().map(data).collect();
    let held = Held { hard, base, entries, ..Held::default() };
    Voter::new(at(0.0), me, of(me, 1), settings(), &(0..3).collect(), held, 7)
}

/// All that it gives out, its writes done at once.
fn drain(v: &mut Voter, now: Instant) -> Vec<Output> {
    let mut all = Vec::new();
    while let Some(o) = v.next_output() {
        if let Output::Write(w) = &o {
            v.written(now, w.receipt, true);
        }
        all.push(o);
    }
    all
}

fn words(all: &[Output]) -> Vec<(u32, Word)> {
    let word = |o: &Output| match o {
        Output::Send { to, word } => Some((*to, word.clone())),
        _ => None,
    };
    all.iter().filter_map(word).collect()
}

#[test]
fn who_gets_a_vote() {
    // Name, term and log here, the asker's term and last entry, its disk, and whether it gets the vote.
    let mark = |term, index| Mark { term, index };
    let other = Origin { disk: 5, boot: 1, generation: 1 };
    type Case<'a> = (&'a str, u64, &'a [u64], u64, Mark, Origin, bool);
    let cases: &[Case] = &[
        ("as new", 1, &[1, 1], 2, mark(1, 2), of(1, 1), true),
        ("newer term, shorter", 1, &[1, 1, 1], 3, mark(2, 1), of(1, 1), true),
        ("older term, longer", 2, &[1, 2], 3, mark(1, 9), of(1, 1), false),
        ("shorter", 1, &[1, 1], 2, mark(1, 1), of(1, 1), false),
        ("an earlier term of its own", 4, &[1], 3, mark(1, 1), of(1, 1), false),
        ("another disk", 1, &[1], 2, mark(1, 1), other, false),
    ];
    for (name, term, log, asks, last, origin, expected) in cases {
        let mut v = voter(0, *term, log);
        v.heard(at(1.0), 1, Word::Ask { pre: false, term: *asks, last: *last, of: *origin });
        let said = words(&drain(&mut v, at(1.0)));
        let granted = said.iter().any(|(to, w)| *to == 1 && matches!(w, Word::Vote { granted: true, .. }));
        assert_eq!(granted, *expected, "{name}: {said:?}");
    }
}

#[test]
fn a_vote_is_said_only_once_it_is_on_disk_and_given_once_a_term() {
    let mut v = voter(0, 1, &[1]);
    let ask =
        |host: u32| Word::Ask { pre: false, term: 2, last: Mark { term: 1, index: 1 }, of: of(host, 1) };
    v.heard(at(1.0), 1, ask(1));
    let mut receipts = Vec::new();
    while let Some(o) = v.next_output() {
        match o {
            Output::Write(w) => receipts.push(w.receipt),
            Output::Send { word, .. } => panic!("said before it is on disk: {word:?}"),
            _ => {}
        }
    }
    receipts.iter().for_each(|r| v.written(at(1.1), *r, true));
    assert!(matches!(words(&drain(&mut v, at(1.1)))[..], [(1, Word::Vote { granted: true, .. })]));
    v.heard(at(1.2), 2, ask(2));
    assert!(matches!(words(&drain(&mut v, at(1.2)))[..], [(2, Word::Vote { granted: false, .. })]));
    // Nor while a leader is heard, whatever the term: one that was cut off must not unseat it.
    let beat = Word::Append {
        id: 9,
        term: 2,
        round: 1,
        before: Mark { term: 1, index: 1 },
        commit: 0,
        entries: vec![],
    };
    v.heard(at(1.3), 1, beat);
    drain(&mut v, at(1.3));
    v.heard(at(1.4), 2, Word::Ask { pre: false, term: 9, last: Mark { term: 8, index: 9 }, of: of(2, 1) });
    assert_eq!(words(&drain(&mut v, at(1.4))), []);
    assert_eq!(v.term(), 2);
}

/// Leads term 4 with a log whose entries are of terms 1 and 2, as in figure 8 of the Raft paper: most have the one of term 2,
/// and yet it may not count before one of term 4 does.
fn leads(fault: Option<AgreeFault>) -> Voter {
    let mut v = voter(0, 3, &[1, 2]);
    if let Some(f) = fault {
        v = v.with_fault(f);
    }
    v.tick(at(2.0));
    drain(&mut v, at(2.0));
    v.heard(at(2.0), 1, Word::Vote { pre: true, term: 4, granted: true, of: of(1, 1) });
    drain(&mut v, at(2.0));
    v.heard(at(2.0), 1, Word::Vote { pre: false, term: 4, granted: true, of: of(1, 1) });
    drain(&mut v, at(2.0));
    assert!(v.leads());
    v
}

#[test]
fn an_entry_of_an_earlier_term_counts_only_with_one_of_this() {
    let appended = |index: u64| Word::Appended { term: 4, round: 1, matches: true, index, of: of(1, 1) };
    // Up to where another has the leader's log, and what is committed then; with the fault of counting any entry.
    for (fault, index, expected) in [(None, 2, 0), (None, 3, 3), (Some(AgreeFault::CommitOldTerm), 2, 2)] {
        let mut v = leads(fault);
        v.heard(at(2.1), 1, appended(index));
        drain(&mut v, at(2.1));
        assert_eq!(v.commit(), expected, "{fault:?} {index}");
    }
}

#[test]
fn a_leader_grants_only_after_a_round_that_began_later() {
    let mut v = leads(None);
    let answer = |round: u64| Word::Appended { term: 4, round, matches: true, index: 3, of: of(1, 1) };
    v.heard(at(2.1), 1, answer(0));
    drain(&mut v, at(2.1));
    v.heard(at(2.2), 4, Word::Renew { seq: 6, has: 0, of: of(4, 3) });
    let said = words(&drain(&mut v, at(2.2)));
    let round = said.iter().find_map(|(_, w)| match w {
        Word::Append { round, .. } => Some(*round),
        _ => None,
    });
    let round = round.expect("an ask begins a round");
    // A round of before the ask shows nothing.
    v.heard(at(2.2), 1, answer(round - 1));
    assert!(words(&drain(&mut v, at(2.2))).iter().all(|(to, _)| *to != 4));
    v.heard(at(2.2), 1, answer(round));
    let said = words(&drain(&mut v, at(2.2)));
    let granted = said.iter().find(|(to, _)| *to == 4);
    assert!(
        matches!(granted, Some((_, Word::Granted { to_generation: 3, seq: 6, index: 3, .. }))),
        "{said:?}"
    );
    // Without a majority's word for long it leads no more.
    v.tick(at(4.0));
    assert!(!v.leads());
}

#[test]
fn a_state_from_the_leader_leaves_what_stands_behind_it() {
    let state = |index: u64, term: u64| Word::Snapshot {
        term: 5,
        id: 9,
        last: Mark { term, index },
        voters: voters(3),
        state: Bytes::new(),
    };
    // The state's place and term, and up to where the log reaches afterwards.
    for (index, term, last) in [(2, 2, 3), (2, 4, 2), (7, 5, 7)] {
        let mut v = voter(0, 4, &[1, 2, 2]);
        v.heard(at(1.0), 1, state(index, term));
        drain(&mut v, at(1.0));
        assert_eq!((v.commit(), v.status(at(1.0)).last), (index, last), "{index} {term}");
    }
}

#[test]
fn a_disk_that_takes_no_writes_ends_a_hosts_part() {
    let mut v = leads(None);
    _ = v.propose(at(2.1), Bytes::from_static(b"x"));
    let receipt = std::iter::from_fn(|| v.next_output()).find_map(|o| match o {
        Output::Write(w) => Some(w.receipt),
        _ => None,
    });
    v.written(at(2.1), receipt.expect("a write"), false);
    assert!(!v.leads() && v.status(at(2.1)).failed);
    drain(&mut v, at(2.1));
    v.heard(at(2.2), 1, Word::Ask { pre: false, term: 9, last: Mark { term: 8, index: 9 }, of: of(1, 1) });
    assert_eq!(words(&drain(&mut v, at(2.2))), []);
}

#[test]
fn a_lease_counts_from_its_ask_less_the_drift_and_with_what_it_names() {
    let granted = |seq, index| Word::Granted { id: 9, to_generation: 1, seq, term: 1, index, term_ms: 1_000 };
    let mut l = Lease::new(at(0.0), TimeDelta::from_secs(1.0), 0.01);
    let seq = l.ask(at(0.0)).expect("at once");
    assert_eq!(l.standing(at(0.0)), Standing::Never);
    // The answer comes late: what is left counts from the ask.
    l.heard(at(0.6), &granted(seq, 5));
    assert!(!l.standing(at(0.6)).holds(), "its entries are not here");
    l.has(4);
    assert!(!l.standing(at(0.6)).holds());
    l.has(5);
    assert_eq!(l.standing(at(0.6)), Standing::Holds { until: at(0.98) });
    assert_eq!(l.standing(at(0.99)), Standing::Past { since: at(0.98) });
    // An answer to what was never asked, and one that says a longer term than this host was told.
    l.heard(at(1.0), &granted(seq + 50, 5));
    assert!(!l.standing(at(1.0)).holds());
    let seq = l.ask(at(1.0)).expect("it is time");
    l.heard(at(1.0), &Word::Granted { id: 9, to_generation: 1, seq, term: 1, index: 5, term_ms: 900_000 });
    l.has(5);
    assert_eq!(l.standing(at(1.0)), Standing::Holds { until: at(1.98) });
    assert!(l.read(seq) == Some(5) && l.read(seq + 1).is_none());
}

/// Seats that hear each other at once, but those that are away.
struct Fleet {
    seats: BTreeMap<u32, Seat>,
    now: f64,
    generations: u64,
    holds: BTreeMap<u32, Vec<(Bytes, Option<u32>)>>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet { seats: BTreeMap::new(), now: 0.0, generations: 0, holds: BTreeMap::new() }
    }

    fn start(&mut self, host: u32, disk: u64) {
        self.generations += 1;
        let of = Origin { disk, boot: 1, generation: self.generations };
        let founders = (0..3).collect();
        let (agree, held) = (settings(), Held::default());
        let s = SeatSettings { me: host, of, agree, founders, held, seed: self.generations };
        self.seats.insert(host, Seat::new(at(self.now), s));
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.01;
            let now = at(self.now);
            self.seats.values_mut().for_each(|s| s.tick(now));
            for _ in 0..10 {
                let mut letters = Vec::new();
                for (host, s) in &mut self.seats {
                    while let Some(o) = s.next_output() {
                        match o {
                            SeatOutput::Send { to, word } => letters.push((*host, to, word)),
                            SeatOutput::Write(w) => s.written(now, w.receipt, true),
                            SeatOutput::Holds { data, mine, .. } => {
                                self.holds.entry(*host).or_default().push((data, mine))
                            }
                            _ => {}
                        }
                    }
                }
                for (from, to, word) in letters {
                    if let Some(s) = self.seats.get_mut(&to) {
                        s.heard(now, from, word);
                    }
                }
            }
        }
    }

    fn leader(&self) -> Option<u32> {
        self.seats.iter().find(|(_, s)| s.voter.leads()).map(|(h, _)| *h)
    }
}

#[test]
fn a_fleet_begins_once_all_founders_stand_by_the_same_disks() {
    let mut f = Fleet::new();
    f.start(0, 100);
    f.start(1, 101);
    f.start(4, 104);
    f.run(3.0);
    assert_eq!((f.leader(), f.seats[&4].commit()), (None, 0), "one founder is not there yet");
    f.start(2, 102);
    f.run(3.0);
    let leader = f.leader().expect("a leader");
    assert!(f.seats[&4].standing(at(f.now)).holds(), "one that does not vote follows, and has its lease");
    // A change at a host that does not vote counts once, everywhere, and is known as its own there.
    let number = f.seats.get_mut(&4).map(|s| s.change(at(f.now), Bytes::from_static(b"a")));
    f.run(1.0);
    for h in [0, 1, 2, 4] {
        let mine = (h == 4).then_some(1);
        assert_eq!(f.holds[&h], vec![(Bytes::from_static(b"a"), mine)], "host {h}");
    }
    assert_eq!(number, Some(Ok(1)));
    // A voter whose disk is lost neither votes nor founds another log; it follows.
    let lost = (leader + 1) % 3;
    f.start(lost, 999);
    f.run(2.0);
    assert!(!f.seats[&lost].voter.votes() && f.seats[&lost].commit() > 0);
    // Taken out and in again it votes with its new disk.
    let moves = [(false, f.seats[&leader].voter.voters().len() - 1), (true, 3)];
    for (votes, expected) in moves {
        let now = at(f.now);
        let moved = f.seats.get_mut(&leader).map(|s| s.voter.change_voters(now, lost, votes));
        assert!(matches!(moved, Some(Ok(_))), "{moved:?}");
        f.run(1.0);
        assert_eq!(f.seats[&leader].voter.voters().len(), expected);
    }
    assert!(f.seats[&lost].voter.votes());
    // Without most of them nothing is agreed on, and no lease lasts.
    f.seats.retain(|h, _| *h == leader || *h == 4);
    f.run(2.0);
    assert!(f.leader().is_none() && !f.seats[&4].standing(at(f.now)).holds());
    // Nor does a change: it is given up, and said so.
    _ = f.seats.get_mut(&4).map(|s| s.change(at(f.now), Bytes::from_static(b"b")));
    let before = f.holds[&4].len();
    f.run(5.0);
    assert_eq!(f.holds[&4].len(), before);
}

#[test]
fn an_answer_to_an_earlier_generation_is_no_lease() {
    // To which generation the answer is, of which log, and whether the host has a lease by it; with the fault of mixing lives.
    for (to_generation, id, fault, expected) in [
        (3, 9, None, true),
        (2, 9, None, false),
        (2, 9, Some(AgreeFault::GenerationsMixed), true),
        (3, 8, None, false),
    ] {
        let last = Mark { term: 1, index: 4 };
        let held =
            Held { base: Base { id: 9, last, voters: voters(3), ..Base::default() }, ..Held::default() };
        let (founders, of) = ((0..3).collect(), of(4, 3));
        let s = SeatSettings { me: 4, of, agree: settings(), founders, held, seed: 1 };
        let mut seat = Seat::new(at(0.0), s);
        if let Some(f) = fault {
            seat = seat.with_fault(f);
        }
        seat.tick(at(0.0));
        let seq = std::iter::from_fn(|| seat.next_output()).find_map(|o| match o {
            SeatOutput::Send { word: Word::Renew { seq, .. }, .. } => Some(seq),
            _ => None,
        });
        let seq = seq.expect("it asks at once");
        seat.heard(at(0.1), 0, Word::Granted { id, to_generation, seq, term: 1, index: 4, term_ms: 1_000 });
        assert_eq!(seat.standing(at(0.2)).holds(), expected, "life {to_generation}, log {id}, {fault:?}");
    }
}
