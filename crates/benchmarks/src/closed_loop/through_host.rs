//! A session through a host, over iSCSI.

use super::{draw_extent, ClosedLoop, ANSWER_TIMEOUT, BLOCK_BYTES, EXTENT_BLOCKS};
use crate::measurement::LoadRecorder;
use crate::xorshift::Xorshift;
use crate::BenchmarkError;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tackmast_emulators::initiator::{Initiator, IoOperation, IoRequest, LabelledReply, Login, Reply};
use tackmast_trace::{now_us, Recorder};
use tackmast_wire::iscsi::Digests;

/// How long a command may wait for the window.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn run(load: &ClosedLoop, address: SocketAddr, seed: u64) -> Result<LoadRecorder, BenchmarkError> {
    let login = Login {
        address,
        target: "iqn.2026-12.org.tackmast:pool".into(),
        name: "iqn.2026-12.org.tackmast:measure".into(),
        digests: Digests::default(),
        deadline_ms: None,
        timeout: Duration::from_secs(10),
    };
    let (reply_sender, replies) = crossbeam_channel::unbounded();
    let client = Initiator::login(&login, 0, reply_sender, Recorder::off())?;
    let mut recorder = LoadRecorder::new();
    let mut random = Xorshift::from_seed(seed);
    let mut sent_us: HashMap<u64, u64> = HashMap::new();
    let mut last_label = 0;
    let end = Instant::now() + load.duration();
    while Instant::now() < end || !sent_us.is_empty() {
        while sent_us.len() < load.depth && Instant::now() < end {
            last_label += 1;
            sent_us.insert(last_label, now_us());
            let request = read_request(load.blocks, draw_extent(&mut random));
            client.submit(last_label, &request, SUBMIT_TIMEOUT).ok_or(BenchmarkError::SessionEnded)?;
        }
        if sent_us.is_empty() {
            break;
        }
        let LabelledReply { label, reply } =
            replies.recv_timeout(ANSWER_TIMEOUT).map_err(|_| BenchmarkError::NoAnswer)?;
        let latency_us = now_us() - sent_us.remove(&label).unwrap_or_default();
        match reply {
            Reply::Done(_) => recorder.record_done(latency_us),
            Reply::Lost => return Err(BenchmarkError::SessionEnded),
            _ => recorder.record_not_done(),
        }
        load.think();
    }
    client.logout();
    Ok(recorder)
}

fn read_request(blocks: u32, extent: u64) -> IoRequest {
    IoRequest {
        lun: 0,
        traffic_class: 0,
        block: extent * EXTENT_BLOCKS,
        block_bytes: BLOCK_BYTES,
        operation: IoOperation::Read { blocks },
        deadline_us: 0,
    }
}
