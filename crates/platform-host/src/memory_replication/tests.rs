//! Handing shard rates over a restart, and datagrams that are not accepted.

use super::*;

fn at(s: f64) -> Instant {
    Instant::from_secs(s)
}

fn peers(n: u16) -> Vec<SocketAddr> {
    (0..n).map(|i| SocketAddr::from(([127, 0, 0, 1], 1000 + i))).collect()
}

#[test]
fn a_new_generation_gets_what_the_one_before_left_and_nothing_twice() {
    // Hosts, shards that are remembered, seconds between the generations; shards that come back.
    for (n, shards, away, back) in [
        (8, 3, 4.0, 3),
        (8, 300, 4.0, 300),
        (8, 900, 4.0, 496),
        (8, 3, 40.0, 0),
        (1, 3, 4.0, 0),
        (2, 3, 4.0, 3),
    ] {
        let all = peers(n);
        let mut hosts: Vec<MemoryReplication> =
            (0..n).map(|i| MemoryReplication::new(at(0.0), usize::from(i), all.clone())).collect();
        let rates: Vec<_> = (0..shards).map(|s| (ShardId(s), 1.0 + f64::from(s) / 7.0)).collect();
        let index = |a: &SocketAddr| usize::from(a.port() - 1000);
        for Datagram { to, bytes } in hosts[0].hand_off(rates.clone()) {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            hosts[index(&to)].handle_datagram(at(1.0), all[0], &bytes);
        }
        hosts[0] = MemoryReplication::new(at(1.0 + away), 0, all.clone());
        let fetches = hosts[0].handle_timeout(at(1.0 + away), Vec::new);
        for Datagram { to, bytes } in fetches {
            for Datagram { bytes: answer, .. } in
                hosts[index(&to)].handle_datagram(at(1.0 + away), all[0], &bytes)
            {
                // Each datagram twice.
                for _ in 0..2 {
                    hosts[0].handle_datagram(at(1.1 + away), to, &answer);
                }
            }
        }
        let mut found = hosts[0].poll_restored();
        found.sort_by_key(|f| f.0);
        assert_eq!(found.len(), back, "{n} hosts, {shards} shards, {away} s");
        for (shard, rate) in &found {
            let handed_off = rates[shard.0 as usize].1;
            assert!(*rate <= handed_off && *rate > handed_off * 0.99, "{shard:?}: {rate} of {handed_off}");
        }
        assert!(hosts[0].poll_restored().is_empty());
    }
}

#[test]
fn what_is_no_message_of_a_peer_changes_nothing() {
    let all = peers(4);
    let mut k = MemoryReplication::new(at(0.0), 0, all.clone());
    let outside: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let good = vec![b't', b'k', STORE, 0, 1, 0, 7, 0x40, 0];
    for (from, bytes) in [
        (outside, good.clone()),
        (all[1], vec![]),
        (all[1], vec![b'x'; 300]),
        (all[1], vec![b't', b'k', 9, 0, 1]),
        (all[1], vec![b't', b'k', STORE, 200, 1]),
        // An answer that was not asked for.
        (all[1], vec![b't', b'k', RESTORE, 0, 1, 0, 7, 0x40, 0]),
    ] {
        assert!(k.handle_datagram(at(0.1), from, &bytes).is_empty(), "{bytes:?}");
    }
    assert_eq!((k.rejected_datagrams, k.stored.len(), k.poll_restored().len()), (6, 0, 0));
    // Lost asks are said again, three times at most, and each five seconds there is something to leave.
    let sent: usize =
        (0..60).map(|i| k.handle_timeout(at(f64::from(i) * 0.1), || vec![(ShardId(1), 2.0)]).len()).sum();
    assert_eq!(sent, 3 * 3 + 3, "asks to three replicas, and one round of leaving");
    // A number that none of the peers has, and no peers at all.
    for (me, n) in [(3, 0), (9, 4), (0, 1)] {
        let mut odd = MemoryReplication::new(at(0.0), me, peers(n));
        let sent = odd.handle_timeout(at(9.0 * 9.0), || vec![(ShardId(1), 2.0)]).len();
        assert!(sent == 0 || n > 1, "{me} of {n}: {sent}");
    }
    // What comes back after that may be its own.
    let back = [b't', b'k', RESTORE, 0, 1, 0, 7, 0x7f, 0x80, 0, 8, 0xc0, 0, 0, 9, 0x40, 0];
    k.handle_datagram(at(6.2), all[1], &back);
    assert!(k.poll_restored().is_empty());
    // Rates that are none are left out.
    let mut k = MemoryReplication::new(at(0.0), 0, all.clone());
    k.handle_timeout(at(0.1), Vec::new);
    k.handle_datagram(at(0.2), all[1], &back);
    assert_eq!(k.poll_restored(), [(ShardId(9), 2.0)]);
    // Another replica's older piece, in which the same shard stands once more: it must not count twice.
    k.handle_datagram(at(0.3), all[2], &[b't', b'k', RESTORE, 1, 2, 0, 9, 0x40, 0, 0, 5, 0x40, 0]);
    assert_eq!(k.poll_restored(), [(ShardId(5), 2.0)]);
}
