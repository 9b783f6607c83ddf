//! Outages excuse what they prevented, and nothing else. Deadlines are a second, the slack 10 ms, the grace 250 ms.

mod common;

use common::{assert_verdicts, Script};
use tackmast_trace::{AnswerKind, Event, ListedState, Side};

fn suspend(s: &mut Script, host: u32, from: u64, to: u64) -> &mut Script {
    s.at(from, Event::HostStops { host }).at(to, Event::HostGoes { host })
}

fn cut(s: &mut Script, side: Side, host: u32, from: u64, to: u64) -> &mut Script {
    s.at(from, Event::Cut { host, side, on: true }).at(to, Event::Cut { host, side, on: false })
}

fn lose_connection(s: &mut Script, t: u64) -> &mut Script {
    let client = || "127.0.0.1:9".to_owned();
    s.at(50, Event::Session { host: 0, session: 1, client: client() });
    s.at(t, Event::ConnectionLost { client: client() })
}

/// A host is suspended. That excuses answers that it could not give meanwhile, and nothing before, afterwards or at another host.
#[test]
fn suspension_excuses_only_the_answers_that_it_prevented() {
    use AnswerKind::Done;
    assert_verdicts(&[
        ("answered as soon as it resumed", 0, |s| {
            _ = suspend(s, 0, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done)
        }),
        ("answered late after it resumed, received before", 1, |s| {
            suspend(s, 0, 200, 3000).submit(100, 1, 0).answer(3050, 1, Done);
        }),
        ("read when it resumed, and answered in time since", 0, |s| {
            suspend(s, 0, 200, 3000).submit(300, 1, 0).answer(3950, 1, Done);
        }),
        ("read when it resumed, and answered late since", 1, |s| {
            suspend(s, 0, 200, 3000).submit(300, 1, 0).answer(4050, 1, Done);
        }),
        ("never answered after it resumed", 1, |s| _ = suspend(s, 0, 200, 3000).submit(300, 1, 0)),
        ("a suspension that was over in time", 1, |s| {
            suspend(s, 0, 200, 500).submit(100, 1, 0).answer(1150, 1, Done);
        }),
        ("a suspension before the request", 1, |s| {
            _ = suspend(s, 0, 10, 90).submit(100, 1, 0).answer(1150, 1, Done)
        }),
        ("a suspension after the answer was due", 1, |s| {
            _ = suspend(s, 0, 1200, 3000).submit(100, 1, 0).answer(3005, 1, Done)
        }),
        ("another host's suspension", 1, |s| {
            _ = suspend(s, 1, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done)
        }),
        ("two answers, in spite of the suspension", 1, |s| {
            suspend(s, 0, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done).answer(3006, 1, Done);
        }),
        ("an attempt for a client that left during the suspension", 0, |s| {
            s.submit(100, 1, 0).at(300, Event::Left { host: 0, session: 1, command: 1 });
            suspend(s, 0, 200, 3000).attempt(3001, "a", 1, 0);
        }),
        ("an attempt long after the host knew", 1, |s| {
            s.submit(100, 1, 0).at(300, Event::Left { host: 0, session: 1, command: 1 });
            suspend(s, 0, 200, 3000).attempt(3100, "a", 1, 0);
        }),
    ]);
}

/// A host is suspended or cut off from the endpoint list while a node is announced to drain. It may send to that node until it
/// can know.
#[test]
fn outage_excuses_only_attempts_at_nodes_that_the_host_could_not_know_to_drain() {
    use ListedState::Draining;
    assert_verdicts(&[
        ("notified to drain during the suspension", 0, |s| {
            suspend(s, 0, 100, 3000).notified(200, 0, "a", Draining, 0).serve(3200, "a", 1, 0);
        }),
        ("notified to drain, and the grace is over since it resumed", 3, |s| {
            suspend(s, 0, 100, 3000).notified(200, 0, "a", Draining, 0).serve(3400, "a", 1, 0);
        }),
        ("notified to drain before the suspension", 3, |s| {
            s.notified(100, 0, "a", Draining, 0);
            suspend(s, 0, 200, 3000).serve(3100, "a", 1, 0);
        }),
        ("notified to drain while cut off", 0, |s| {
            cut(s, Side::List, 0, 100, 3000).notified(200, 0, "a", Draining, 0).serve(1000, "a", 1, 0);
        }),
        ("notified again when the network was whole", 3, |s| {
            cut(s, Side::List, 0, 100, 3000)
                .notified(200, 0, "a", Draining, 0)
                .notified(3100, 0, "a", Draining, 0);
            s.serve(3500, "a", 1, 0);
        }),
        ("notified before the cut", 3, |s| {
            s.notified(50, 0, "a", Draining, 0);
            cut(s, Side::List, 0, 100, 3000).serve(1000, "a", 1, 0);
        }),
        ("another host's list was cut off", 3, |s| {
            cut(s, Side::List, 1, 100, 3000).notified(200, 0, "a", Draining, 0).serve(1000, "a", 1, 0);
        }),
    ]);
}

/// A host is cut off from its clients, or their connection is lost. That excuses the answers that could not reach them, and no
/// others.
#[test]
fn cut_excuses_only_the_answers_that_it_prevented() {
    use AnswerKind::Done;
    assert_verdicts(&[
        ("cut twice, and whole when the last is over", 0, |s| {
            cut(s, Side::Clients, 0, 200, 1000).submit(300, 1, 0).answer(3005, 1, Done);
            cut(s, Side::Clients, 0, 300, 3000);
        }),
        ("cut twice, and late after the last", 1, |s| {
            cut(s, Side::Clients, 0, 200, 1000).submit(300, 1, 0).answer(3050, 1, Done);
            cut(s, Side::Clients, 0, 300, 3000);
        }),
        ("lost with its connection", 0, |s| {
            cut(s, Side::Clients, 0, 200, 3000).submit(300, 1, 0);
            lose_connection(s, 3005);
        }),
        ("cut off, not lost, and never answered", 1, |s| {
            _ = cut(s, Side::Clients, 0, 200, 3000).submit(300, 1, 0)
        }),
        ("cut off, and answered once the network was whole", 0, |s| {
            cut(s, Side::Clients, 0, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done);
        }),
        ("lost long after it was due", 1, |s| {
            s.submit(100, 1, 0);
            lose_connection(s, 3005);
        }),
        ("lost in time", 0, |s| {
            s.submit(100, 1, 0);
            lose_connection(s, 500);
        }),
        ("another session's connection was lost", 1, |s| {
            s.submit(100, 1, 0).at(50, Event::Session { host: 0, session: 2, client: "127.0.0.1:9".into() });
            s.at(500, Event::ConnectionLost { client: "127.0.0.1:9".into() });
        }),
        ("the list's cut is not the clients'", 1, |s| {
            cut(s, Side::List, 0, 200, 3000).submit(300, 1, 0).answer(3005, 1, Done);
        }),
    ]);
}
