//! Tests of the restoring of service rates after a restart, and of rejected datagrams.

use super::*;

/// Kinds of datagrams on the wire.
const STORE: u8 = 1;
const RESTORE: u8 = 3;

fn at(secs: f64) -> Instant {
    Instant::from_secs(secs)
}

fn peers(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|peer| SocketAddr::from(([127, 0, 0, 1], 1000 + peer))).collect()
}

/// A host restarts, fetches its rates from three peers, and receives each datagram twice. A rate that counted twice would break the bound
/// on the load of a node that warms up. Old rates and those beyond the maximum number of datagrams are not restored.
#[test]
fn new_generation_restores_each_rate_once() {
    // Hosts, shards with a rate, seconds between the generations; shards that are restored.
    for (host_count, shards, downtime, restored_shards) in [
        (8, 3, 4.0, 3),
        (8, 300, 4.0, 300),
        (8, 900, 4.0, 496),
        (8, 3, 40.0, 0),
        (1, 3, 4.0, 0),
        (2, 3, 4.0, 3),
    ] {
        let all_peers = peers(host_count);
        let mut hosts: Vec<ServiceRateReplication> = (0..host_count)
            .map(|me| ServiceRateReplication::new(at(0.0), usize::from(me), all_peers.clone()))
            .collect();
        let rates: Vec<_> = (0..shards).map(|shard| (ShardId(shard), 1.0 + f64::from(shard) / 7.0)).collect();
        let index = |address: &SocketAddr| usize::from(address.port() - 1000);
        for Datagram { to, bytes } in hosts[0].replicate(rates.clone()) {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            hosts[index(&to)].handle_datagram(at(1.0), all_peers[0], &bytes);
        }
        hosts[0] = ServiceRateReplication::new(at(1.0 + downtime), 0, all_peers.clone());
        let fetches = hosts[0].handle_timeout(at(1.0 + downtime), Vec::new);
        for Datagram { to, bytes } in fetches {
            for Datagram { bytes: answer, .. } in
                hosts[index(&to)].handle_datagram(at(1.0 + downtime), all_peers[0], &bytes)
            {
                // Each datagram arrives twice.
                for _ in 0..2 {
                    hosts[0].handle_datagram(at(1.1 + downtime), to, &answer);
                }
            }
        }
        let mut restored = hosts[0].poll_restored();
        restored.sort_by_key(|(shard, _)| *shard);
        assert_eq!(restored.len(), restored_shards, "{host_count} hosts, {shards} shards, {downtime} s");
        for (shard, rate) in &restored {
            let replicated_rate = rates[shard.0 as usize].1;
            assert!(
                *rate <= replicated_rate && *rate > replicated_rate * 0.99,
                "{shard:?}: {rate} of {replicated_rate}"
            );
        }
        assert!(hosts[0].poll_restored().is_empty());
    }
}

/// Datagrams come from unknown senders, are malformed or unsolicited, or carry this generation's own rates. None of them may change a
/// rate, and the host must send no more than its fetches and replications.
#[test]
fn malformed_or_unrequested_datagrams_change_nothing() {
    let all_peers = peers(4);
    let mut replication = ServiceRateReplication::new(at(0.0), 0, all_peers.clone());
    let unknown_sender: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let valid = vec![b't', b'k', STORE, 0, 1, 0, 7, 0x40, 0];
    for (from, bytes) in [
        (unknown_sender, valid),
        (all_peers[1], vec![]),
        (all_peers[1], vec![b'x'; 300]),
        (all_peers[1], vec![b't', b'k', 9, 0, 1]),
        (all_peers[1], vec![b't', b'k', STORE, 200, 1]),
        // An unsolicited answer.
        (all_peers[1], vec![b't', b'k', RESTORE, 0, 1, 0, 7, 0x40, 0]),
    ] {
        assert!(replication.handle_datagram(at(0.1), from, &bytes).is_empty(), "{bytes:?}");
    }
    assert_eq!(
        (replication.rejected_datagrams, replication.stored.len(), replication.poll_restored().len()),
        (6, 0, 0)
    );
    // Without an answer a host fetches three times, and it replicates its rates every five seconds.
    let sent: usize = (0..60)
        .map(|tenths| {
            replication.handle_timeout(at(f64::from(tenths) * 0.1), || vec![(ShardId(1), 2.0)]).len()
        })
        .sum();
    assert_eq!(sent, 3 * 3 + 3, "three fetches and one replication to three peers");
    // A host without other peers sends nothing; one whose number is outside its peer list must not panic.
    for (me, peer_count) in [(3, 0), (9, 4), (0, 1)] {
        let mut host = ServiceRateReplication::new(at(0.0), me, peers(peer_count));
        let sent = host.handle_timeout(at(9.0 * 9.0), || vec![(ShardId(1), 2.0)]).len();
        assert!(sent == 0 || peer_count > 1, "{me} of {peer_count}: {sent}");
    }
    // Rates that are restored after this host has replicated may be those that it has just replicated, so they are ignored.
    let restore = [b't', b'k', RESTORE, 0, 1, 0, 7, 0x7f, 0x80, 0, 8, 0xc0, 0, 0, 9, 0x40, 0];
    replication.handle_datagram(at(6.2), all_peers[1], &restore);
    assert!(replication.poll_restored().is_empty());
    // Rates that are not finite or not positive are left out.
    let mut replication = ServiceRateReplication::new(at(0.0), 0, all_peers.clone());
    replication.handle_timeout(at(0.1), Vec::new);
    replication.handle_datagram(at(0.2), all_peers[1], &restore);
    assert_eq!(replication.poll_restored(), [(ShardId(9), 2.0)]);
    // An older datagram of another peer contains the same shard, which must not count twice.
    replication.handle_datagram(
        at(0.3),
        all_peers[2],
        &[b't', b'k', RESTORE, 1, 2, 0, 9, 0x40, 0, 0, 5, 0x40, 0],
    );
    assert_eq!(replication.poll_restored(), [(ShardId(5), 2.0)]);
}
