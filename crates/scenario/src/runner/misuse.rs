//! Clients that break the protocol. The host must end such a session, or ignore what the client has sent.

use crate::script::Misuse;
use crossbeam_channel::Receiver;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tackmast_emulators::initiator::{Initiator, LabelledReply, Login, LoginError, Reply};
use tackmast_trace::Recorder;
use tackmast_wire::iscsi::{op, Digests, Pdu, FINAL, READS};
use tackmast_wire::scsi::Command;

/// How long the host may take to react.
const REACTION_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the client looks whether its session was closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// First bytes of a frame that is never completed.
const HALF_FRAME: [u8; 20] = [0x43; 20];
/// Bytes that are no frame.
const GARBAGE: [u8; 512] = [0xa5; 512];
/// The bytes of a PDU's head that hold the length of its data.
const DATA_LENGTH_BYTES: std::ops::Range<usize> = 5..8;
/// Offset of the task tag in a PDU's head.
const TASK_TAG_OFFSET: usize = 16;
/// Offset of the command number in a PDU's head.
const COMMAND_NUMBER_OFFSET: usize = 24;
/// A task tag that no other command of the session has.
const UNUSED_TASK_TAG: u32 = 77;
/// How far past the next command number a command is sent.
const PAST_WINDOW: u32 = 100_000;
/// Label of the command that must still be answered.
const PROBE_LABEL: u64 = 1;
/// Bytes that its answer may have.
const PROBE_BYTES: u32 = 64;

/// Where a client connects.
pub(super) struct MisuseSettings {
    pub(super) address: SocketAddr,
    pub(super) target: String,
    /// How long the host waits for a login, in milliseconds.
    pub(super) login_timeout_ms: u64,
}

/// Why the host has not handled a misuse as it should.
#[derive(Debug, thiserror::Error)]
pub(super) enum MisuseError {
    #[error("{0}")]
    Connect(#[source] std::io::Error),
    #[error("{misuse:?}: {source}")]
    Login { misuse: Misuse, source: LoginError },
    #[error("client {misuse:?}: was not closed after the time to log in")]
    NotClosedAfterLoginTimeout { misuse: Misuse },
    #[error("client {misuse:?}: the session goes on after {sent}")]
    SessionNotClosed { misuse: Misuse, sent: &'static str },
    #[error("client {misuse:?}: {reply} after a command past the window; expected its next one done")]
    NextCommandNotDone { misuse: Misuse, reply: String },
}

/// Breaks the protocol once and checks how the host reacts.
pub(super) fn misuse(settings: &MisuseSettings, misuse: Misuse) -> Result<(), MisuseError> {
    if matches!(misuse, Misuse::Silent | Misuse::HalfFrame) {
        return misuse_before_login(settings, misuse);
    }
    let (client, replies) = log_in(settings, misuse)?;
    match misuse {
        Misuse::Garbage => {
            client.send_raw(&GARBAGE);
            expect_closed(&client, misuse, "garbage")
        }
        Misuse::OverLong => {
            let mut pdu = Pdu::new(op::COMMAND, FINAL | READS);
            pdu.head[DATA_LENGTH_BYTES].fill(0xff);
            client.send_raw(&pdu.head);
            expect_closed(&client, misuse, "an over-long frame")
        }
        _ => {
            let mut pdu = Pdu::new(op::COMMAND, FINAL);
            let command_number = client.next_number().wrapping_add(PAST_WINDOW);
            pdu.set32(TASK_TAG_OFFSET, UNUSED_TASK_TAG).set32(COMMAND_NUMBER_OFFSET, command_number);
            client.send_raw(&pdu.head);
            let probe = Command::ReportLuns { allocation_length: PROBE_BYTES };
            client.submit_command(PROBE_LABEL, 0, probe, PROBE_BYTES);
            match replies.recv_timeout(REACTION_TIMEOUT) {
                Ok(LabelledReply { label: PROBE_LABEL, reply: Reply::Done(_) }) => Ok(()),
                other => Err(MisuseError::NextCommandNotDone { misuse, reply: format!("{other:?}") }),
            }
        }
    }
}

/// A client that never logs in must be disconnected when its time to log in is over.
fn misuse_before_login(settings: &MisuseSettings, misuse: Misuse) -> Result<(), MisuseError> {
    let stream = TcpStream::connect_timeout(&settings.address, REACTION_TIMEOUT);
    let mut stream = stream.map_err(MisuseError::Connect)?;
    if misuse == Misuse::HalfFrame {
        _ = stream.write_all(&HALF_FRAME);
    }
    let timeout = Duration::from_millis(settings.login_timeout_ms) + REACTION_TIMEOUT;
    match is_closed_within(&mut stream, timeout) {
        true => Ok(()),
        false => Err(MisuseError::NotClosedAfterLoginTimeout { misuse }),
    }
}

fn is_closed_within(stream: &mut TcpStream, timeout: Duration) -> bool {
    _ = stream.set_read_timeout(Some(timeout));
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

fn log_in(
    settings: &MisuseSettings,
    misuse: Misuse,
) -> Result<(Initiator, Receiver<LabelledReply>), MisuseError> {
    let login = Login {
        address: settings.address,
        target: settings.target.clone(),
        name: "iqn.2026-12.org.tackmast:misuse".into(),
        digests: Digests::default(),
        deadline_ms: None,
        timeout: REACTION_TIMEOUT,
    };
    let (sender, replies) = crossbeam_channel::unbounded();
    let client = Initiator::login(&login, u32::MAX, sender, Recorder::default());
    let client = client.map_err(|source| MisuseError::Login { misuse, source })?;
    Ok((client, replies))
}

fn expect_closed(client: &Initiator, misuse: Misuse, sent: &'static str) -> Result<(), MisuseError> {
    let deadline = Instant::now() + REACTION_TIMEOUT;
    while client.is_open() && Instant::now() < deadline {
        std::thread::sleep(CHECK_INTERVAL);
    }
    match client.is_open() {
        true => Err(MisuseError::SessionNotClosed { misuse, sent }),
        false => Ok(()),
    }
}
