//! Two ends over a lossy link, and the bounds on what either keeps.

use super::*;

fn settings() -> ChunkSettings {
    ChunkSettings { retry_interval: TimeDelta::from_secs(0.1) }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Sends messages from one end to the other, losing such a part of datagrams; those that arrive.
fn transfer_all(messages: &[Bytes], loss: f64, seed: u64) -> Vec<Bytes> {
    let (mut sender, mut receiver) =
        (ChunkedTransfer::new(settings(), 7), ChunkedTransfer::new(settings(), 900));
    let mut random = oorandom::Rand64::new(u128::from(seed));
    let mut now = Instant::from_secs(1.0);
    let mut received = Vec::new();
    for message in messages {
        sender.send(address(2), message.clone());
        for _ in 0..2_000 {
            while let Some(Transmit { body, .. }) = sender.poll_transmit() {
                if random.rand_float() < loss {
                    continue;
                }
                match body {
                    Body::Consensus { bytes } => received.push(bytes),
                    Body::ConsensusChunk { number: message_id, pieces: count, piece: index, bytes } => {
                        let chunk = Chunk { message_id, count, index, bytes };
                        received.extend(receiver.on_chunk(now, address(1), chunk))
                    }
                    _ => {}
                }
            }
            while let Some(Transmit { body, .. }) = receiver.poll_transmit() {
                let is_lost = random.rand_float() < loss;
                if let (Body::ConsensusChunkRequest { number, piece }, false) = (&body, is_lost) {
                    sender.on_chunk_request(address(2), *number, *piece);
                }
            }
            now = now + TimeDelta::from_secs(0.02);
            receiver.handle_timeout(now);
            if received.last() == Some(message) {
                break;
            }
            // The sender sends it again now and then, as all consensus messages are.
            if random.rand_float() < 0.02 {
                sender.send(address(2), message.clone());
            }
        }
    }
    received
}

#[test]
fn messages_of_any_length_arrive_whole_and_in_order() {
    let message = |length: usize| {
        let bytes = (0..length).map(|i| (i * 7 + length) as u8);
        Bytes::from(bytes.collect::<Vec<u8>>())
    };
    let lengths = [1, MAX_CHUNK_LEN, MAX_CHUNK_LEN + 1, 40_000, 3 * MAX_CHUNK_LEN, 900_000];
    let messages: Vec<Bytes> = lengths.map(message).to_vec();
    for (loss, seed) in [(0.0, 1), (0.2, 2), (0.2, 3)] {
        let mut received = transfer_all(&messages, loss, seed);
        received.dedup();
        assert_eq!(received, messages, "loss {loss}");
    }
}

#[test]
fn what_is_kept_and_received_is_bounded() {
    let chunk = |message_id: u32, count: u16, index: u16, bytes: &'static [u8]| Chunk {
        message_id,
        count,
        index,
        bytes: Bytes::from_static(bytes),
    };
    let mut end = ChunkedTransfer::new(settings(), 0);
    for i in 0..500u32 {
        end.send(address(2), Bytes::from(vec![i as u8; 2_000 + i as usize]));
        let from = address(1_000 + i as u16);
        let now = Instant::from_secs(f64::from(i));
        assert_eq!(end.on_chunk(now, from, chunk(1, 3, 0, b"x")), None);
        // A message longer than any, and a chunk of one that was not begun.
        assert_eq!(end.on_chunk(now, from, chunk(2, u16::MAX, 0, b"")), None);
        assert_eq!(end.on_chunk(now, address(9), chunk(1, 3, 2, b"")), None);
    }
    assert!(end.outgoing.len() <= MAX_OUTGOING && end.incoming.len() <= MAX_INCOMING);
    (0..100).for_each(|i| end.handle_timeout(Instant::from_secs(1_000.0 + f64::from(i))));
    assert!(end.incoming.is_empty() && end.lost > 0);
}
