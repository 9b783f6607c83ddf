//! The writer of a session: encodes answers of the core into bytes for the client.

use super::shared::SharedSession;
use crate::messages::SessionMessage;
use crossbeam_channel::Receiver;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use tackmast_host_core::Verdict;
use tackmast_target as target;

/// Maximum number of messages to handle before their output is written.
const MAX_BATCH: usize = 64;

/// Writes answers until all senders of `queued` are dropped, or a write to the client fails or times out.
pub(super) fn write_until_end(
    shared: &SharedSession,
    mut stream: TcpStream,
    queued: &Receiver<SessionMessage>,
) {
    while let Ok(first) = queued.recv() {
        let mut session = shared.lock();
        let rest = queued.try_iter().take(MAX_BATCH - 1);
        for message in std::iter::once(first).chain(rest) {
            match message {
                SessionMessage::OutputReady => shared.on_writer_woken(),
                SessionMessage::Answer { command, verdict } => {
                    _ = session.answer(command, target_verdict(verdict))
                }
            }
        }
        let bytes = session.poll_transmit();
        shared.notify_capacity();
        drop(session);
        if let Err(error) = stream.write_all(&bytes) {
            tracing::debug!(%error, "write to the client failed: session closed");
            break;
        }
    }
    shared.on_writer_ended();
    _ = stream.shutdown(Shutdown::Both);
}

fn target_verdict(verdict: Verdict) -> target::Verdict {
    match verdict {
        Verdict::Done { data } => target::Verdict::Done { data },
        Verdict::Rejected { retry_after } => target::Verdict::Rejected {
            retry_after_us: retry_after.map_or(0, |retry_after| (retry_after.secs() * 1e6) as u64),
        },
        Verdict::Failed => target::Verdict::Failed,
    }
}
