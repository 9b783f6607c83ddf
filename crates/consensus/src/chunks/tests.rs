//! Tests of a transfer over a lossy link, and of the bounds on stored messages.

use super::*;

fn settings() -> ChunkSettings {
    ChunkSettings { retry_interval: TimeDelta::from_secs(0.1) }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Sends messages over a link that loses the given fraction of datagrams, and returns those that arrive.
fn send_all(messages: &[Bytes], loss: f64, seed: u64) -> Vec<Bytes> {
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
            // Raft retries its messages, so the sender sends this one again at random intervals.
            if random.rand_float() < 0.02 {
                sender.send(address(2), message.clone());
            }
        }
    }
    received
}

/// 20% of all datagrams are lost. Messages of one chunk and of hundreds must still arrive complete, as a follower could
/// never continue after a damaged or missing snapshot.
#[test]
fn messages_of_any_length_arrive_whole_and_in_order() {
    let message = |length: usize| {
        let bytes = (0..length).map(|offset| (offset * 7 + length) as u8);
        Bytes::from(bytes.collect::<Vec<u8>>())
    };
    let lengths = [1, MAX_CHUNK_LEN, MAX_CHUNK_LEN + 1, 40_000, 3 * MAX_CHUNK_LEN, 900_000];
    let messages: Vec<Bytes> = lengths.map(message).to_vec();
    for (loss, seed) in [(0.0, 1), (0.2, 2), (0.2, 3)] {
        let mut received = send_all(&messages, loss, seed);
        received.dedup();
        assert_eq!(received, messages, "loss {loss}");
    }
}

/// Hundreds of senders start messages that they never complete. Sender and receiver must store no more messages than
/// their bounds allow, and messages without progress must be dropped.
#[test]
fn incomplete_messages_are_bounded_and_dropped() {
    let chunk = |message_id: u32, count: u16, index: u16, bytes: &'static [u8]| Chunk {
        message_id,
        count,
        index,
        bytes: Bytes::from_static(bytes),
    };
    let mut chunks = ChunkedTransfer::new(settings(), 0);
    for sender in 0..500u32 {
        chunks.send(address(2), Bytes::from(vec![sender as u8; 2_000 + sender as usize]));
        let from = address(1_000 + sender as u16);
        let now = Instant::from_secs(f64::from(sender));
        assert_eq!(chunks.on_chunk(now, from, chunk(1, 3, 0, b"x")), None);
        // A message that is too long, and a chunk of a message whose first chunk was not received.
        assert_eq!(chunks.on_chunk(now, from, chunk(2, u16::MAX, 0, b"")), None);
        assert_eq!(chunks.on_chunk(now, address(9), chunk(1, 3, 2, b"")), None);
    }
    assert!(chunks.outgoing.len() <= MAX_OUTGOING && chunks.incoming.len() <= MAX_INCOMING);
    (0..100).for_each(|second| chunks.handle_timeout(Instant::from_secs(1_000.0 + f64::from(second))));
    assert!(chunks.incoming.is_empty() && chunks.lost_messages > 0);
}
