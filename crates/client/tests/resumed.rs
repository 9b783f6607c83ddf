//! Sessions that end with commands out, and answers that are lost after the effect: the library comes back, tells what it
//! can't know, and nothing is done twice.

mod common;

use common::{Pool, PATIENCE};
use tackmast_client::{Client, Outcome, Protocol};
use tackmast_emulators::recording_proxy::CutPoint;
use tackmast_trace::Event;

/// Commands that the host was given for this place, and attempts of them that a node ran.
fn tries(seen: &[tackmast_trace::Line], lun: u32, place: u64) -> (usize, usize) {
    let mut asked = 0;
    let mut names = Vec::new();
    let mut ran = 0;
    for l in seen {
        match &l.event {
            Event::Submit { volume, offset, write: true, .. } if (*volume, *offset) == (lun, place) => {
                asked += 1
            }
            Event::Attempt { volume, offset, write: true, name, .. }
                if (*volume, *offset) == (lun, place) =>
            {
                names.push(*name);
            }
            Event::AttemptEnd { name, ran: true, .. } if names.contains(name) => ran += 1,
            _ => {}
        }
    }
    (asked, ran)
}

#[test]
fn a_session_that_ends_half_way_is_resumed_and_nothing_is_done_twice() {
    let pool = Pool::start();
    let mut places = Vec::new();
    let mut place = 0;
    for protocol in [Protocol::Iscsi, Protocol::Nbd] {
        for cut in [CutPoint::AfterRequest, CutPoint::BeforeAnswer] {
            let name = format!("{protocol:?} {cut:?}");
            let client = Client::open(pool.options(protocol, "listening"), PATIENCE).unwrap();
            place += 4096;
            pool.cutter.cut_at(cut);
            assert_eq!(client.write(place, vec![9; 512]), Outcome::Failed, "{name}: nobody knows");
            // The same client goes on; the write is there once its answer was given, or not at all.
            let Outcome::Done(found) = client.read(place, 512) else { panic!("{name}: not resumed") };
            match cut {
                CutPoint::BeforeAnswer => assert_eq!(found, vec![9; 512], "{name}"),
                CutPoint::AfterRequest => {
                    assert!(found == vec![9; 512] || found == vec![0; 512], "{name}: a mix")
                }
            }
            assert_eq!(client.write(place + 512, vec![8; 512]), Outcome::Done(vec![].into()), "{name}");
            // A read whose session ends is asked again within its time.
            pool.cutter.cut_at(cut);
            assert_eq!(client.read(place + 512, 512), Outcome::Done(vec![8; 512].into()), "{name}");
            client.close();
            places.push((name, place));
        }
    }
    let seen = pool.seen();
    for (name, place) in places {
        let (asked, ran) = tries(&seen, 1, place);
        assert!(asked == 1 && ran <= 1, "{name}: asked {asked} times, ran {ran} times");
    }
    let rules = tackmast_invariants::judge(&seen);
    assert!(rules.is_clean() && rules.rule(1).checked > 0, "{rules}");
    pool.end_unjudged();
}

#[test]
fn a_greedy_client_does_not_take_a_polite_ones_turn() {
    let pool = Pool::start();
    for protocol in [Protocol::Iscsi, Protocol::Nbd] {
        // The greedy one has 400 calls in 12 sessions; these nodes answer about 4,000 units a second.
        let greedy = Client::open(
            tackmast_client::Options { sessions: 12, calls: 400, ..pool.options(protocol, "museum") },
            PATIENCE,
        )
        .unwrap();
        let polite = Client::open(pool.options(protocol, "museum"), PATIENCE).unwrap();
        let read =
            |i: u64| greedy.submit(tackmast_client::Op::Read { offset: i % 100 * 4096, length: 4096 }, None);
        let mut open: std::collections::VecDeque<_> = (0..400).map(read).collect();
        let mut done = 0;
        for i in 0..20 {
            done += usize::from(matches!(polite.read(i * 8192, 4096), Outcome::Done(_)));
            for j in 0..100 {
                if let Some(p) = open.pop_front() {
                    p.wait();
                }
                open.push_back(read(i * 100 + j));
            }
        }
        open.into_iter().for_each(|p| _ = p.wait());
        assert!(done >= 18, "{protocol:?}: {done} of 20 done");
        greedy.close();
        polite.close();
    }
    pool.end();
}
