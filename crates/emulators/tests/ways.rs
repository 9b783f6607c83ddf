//! Ways that are cut, lossy, late or reset, by pair and direction.

use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use tackmast_emulators::ways::{Caller, Datagrams, Front, Party, Way, Ways, What};
use tackmast_trace::{Event, Recorder};

fn set(all: &[Party]) -> HashSet<Party> {
    all.iter().copied().collect()
}

fn until(what: &str, mut is: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !is() {
        assert!(Instant::now() < end, "not within 10 s: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_way_is_what_all_that_stands_on_it_makes_of_it() {
    let ways = Ways::default();
    let (a, b, c) = (Party::Host(1), Party::Host(2), Party::List);
    let cut = ways.begin(set(&[a]), set(&[b, c]), What::Cut);
    let lose = ways.begin(set(&[a, b]), set(&[a, b]), What::Lose(0.5));
    ways.begin(set(&[a]), set(&[b]), What::Lose(0.5));
    ways.begin(set(&[a]), set(&[b]), What::Late(0.2));
    let lost = |lost| Way { lost, ..Way::default() };
    assert_eq!(ways.way(a, b), Way { cut: true, lost: 0.75, late_s: 0.2, ..Way::default() });
    assert_eq!((ways.way(b, a), ways.way(a, c).cut, ways.way(c, a)), (lost(0.5), true, Way::default()));
    ways.end(cut);
    ways.end(lose);
    assert_eq!(
        (ways.way(a, b), ways.way(b, a)),
        (Way { lost: 0.5, late_s: 0.2, ..Way::default() }, Way::default())
    );
}

/// Two hosts with fronts: their sockets, and where each reaches the other.
fn pair(ways: &Ways) -> (Datagrams, [UdpSocket; 2], [SocketAddr; 2]) {
    let d = Datagrams::start(ways.clone(), 7).unwrap();
    let bind = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let sockets = [bind(), bind()];
    let fronts = [0, 1].map(|i| {
        let free = bind().local_addr().unwrap();
        d.front(i, free, sockets[i as usize].local_addr().unwrap()).unwrap();
        sockets[i as usize].set_read_timeout(Some(Duration::from_millis(150))).unwrap();
        free
    });
    (d, sockets, fronts)
}

fn got(s: &UdpSocket) -> Vec<(u8, SocketAddr)> {
    let mut room = [0; 16];
    let mut all = Vec::new();
    while let Ok((_, from)) = s.recv_from(&mut room) {
        all.push((room[0], from));
    }
    all
}

#[test]
fn datagrams_come_from_their_senders_front_and_by_what_their_way_allows() {
    let ways = Ways::default();
    let (d, [a, b], [at_a, at_b]) = pair(&ways);
    a.send_to(&[1], at_b).unwrap();
    assert_eq!(got(&b), [(1, at_a)], "it comes from the front of its sender");
    let cut = ways.begin(set(&[Party::Host(0)]), set(&[Party::Host(1)]), What::Cut);
    a.send_to(&[2], at_b).unwrap();
    b.send_to(&[3], at_a).unwrap();
    assert_eq!((got(&b).len(), got(&a)), (0, vec![(3, at_b)]), "one way alone");
    ways.end(cut);
    let double = ways.begin(set(&[Party::Host(0)]), set(&[Party::Host(1)]), What::Double(1.0));
    a.send_to(&[4], at_b).unwrap();
    assert_eq!(got(&b).len(), 2);
    ways.end(double);
    let lose = ways.begin(set(&[Party::Host(0)]), set(&[Party::Host(1)]), What::Lose(0.3));
    (0..200).for_each(|i| _ = a.send_to(&[i], at_b));
    let n = got(&b).len();
    assert!((100..180).contains(&n), "{n} of 200");
    ways.end(lose);
    let late = ways.begin(set(&[Party::Host(0)]), set(&[Party::Host(1)]), What::Late(0.1));
    (0..50).for_each(|i| _ = a.send_to(&[i], at_b));
    let order: Vec<u8> = got(&b).into_iter().map(|(n, _)| n).collect();
    assert!(order.len() == 50 && !order.is_sorted(), "they overtake each other: {order:?}");
    ways.end(late);
    // One that moved is reached at its new front, and no longer at the old one.
    let (b2, at_b2) = (UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
    b2.set_read_timeout(Some(Duration::from_millis(150))).unwrap();
    let front = at_b2.local_addr().unwrap();
    drop(at_b2);
    d.front(1, front, b2.local_addr().unwrap()).unwrap();
    a.send_to(&[9], front).unwrap();
    a.send_to(&[8], at_b).unwrap();
    assert_eq!((got(&b2), got(&b).len()), (vec![(9, at_a)], 0));
    ways.stop();
}

/// An echo behind a front, and a client of it.
fn echo(ways: &Ways, recorder: &Recorder) -> (Front, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut from, mut to) = (stream.try_clone().unwrap(), stream);
                _ = std::io::copy(&mut from, &mut to);
            });
        }
    });
    let front = Front::start(ways, Caller::Clients, Some(Party::Host(5)), recorder).unwrap();
    front.leads_to(to);
    let client = TcpStream::connect(front.address).unwrap();
    client.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    (front, client)
}

fn say(s: &mut TcpStream, word: u8) -> Result<u8, ErrorKind> {
    s.write_all(&[word]).map_err(|e| e.kind())?;
    let mut back = [0];
    match s.read(&mut back) {
        Ok(0) => Err(ErrorKind::UnexpectedEof),
        Ok(_) => Ok(back[0]),
        Err(e) => Err(e.kind()),
    }
}

#[test]
fn a_connection_over_a_cut_way_hangs_and_is_reset_if_a_word_was_lost() {
    let (ways, recorder) = (Ways::default(), Recorder::default());
    // Which way is cut, and whether the client speaks meanwhile.
    let (clients, host) = (set(&[Party::Clients]), set(&[Party::Host(5)]));
    for (name, from, to, speaks) in [
        ("there, with a word", &clients, &host, true),
        ("back, with a word", &host, &clients, true),
        ("there, silent", &clients, &host, false),
    ] {
        let (_front, mut client) = echo(&ways, &recorder);
        assert_eq!(say(&mut client, 1), Ok(1), "{name}");
        let cut = ways.begin(from.clone(), to.clone(), What::Cut);
        std::thread::sleep(Duration::from_millis(30));
        if speaks {
            let word = say(&mut client, 2);
            assert!(matches!(word, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)), "{name}: {word:?}");
        }
        ways.end(cut);
        if speaks {
            until(name, || !matches!(say(&mut client, 3), Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)));
            assert!(say(&mut client, 4).is_err(), "{name}: reset once the way was whole");
        } else {
            assert_eq!(say(&mut client, 3), Ok(3), "{name}: nothing was lost");
        }
    }
    let lost = recorder.take().iter().filter(|l| matches!(l.event, Event::ConnectionLost { .. })).count();
    assert!(lost >= 2, "{lost} noted");
    // Opened while the way is cut: it hangs, and is reset.
    let (front, _) = echo(&ways, &recorder);
    let cut = ways.begin(clients.clone(), host.clone(), What::Cut);
    let mut late = TcpStream::connect(front.address).unwrap();
    late.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(matches!(say(&mut late, 1), Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)));
    ways.end(cut);
    until("reset", || !matches!(say(&mut late, 1), Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)));
    // Resets: at once, and as often as it is tried.
    let (front, mut client) = echo(&ways, &recorder);
    assert_eq!(say(&mut client, 1), Ok(1));
    let resets = ways.begin(clients, host, What::Reset);
    until("reset", || say(&mut client, 1).is_err());
    let mut again = TcpStream::connect(front.address).unwrap();
    again.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    assert!(matches!(say(&mut again, 1), Err(e) if e != ErrorKind::WouldBlock && e != ErrorKind::TimedOut));
    ways.end(resets);
    ways.stop();
}
