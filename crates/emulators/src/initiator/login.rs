//! The login of a session.

use super::{LabelledReply, Session, SessionState, IMMEDIATE, MAX_UNIT_BYTES};
use crate::iscsi_fields as field;
use crate::threads::spawn;
use bytes::BytesMut;
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use tackmast_trace::{Event, Recorder};
use tackmast_wire::iscsi::{self, op, Digests, Pdu, Units, FINAL};
use tackmast_wire::WireError;

/// Time-out of each write to the host.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that are read at once during the login.
const READ_BYTES: usize = 8192;
/// Login from the operational stage to the full-feature phase.
const OPERATIONAL_TO_FULL_FEATURE: u8 = 1 << 2 | 3;
/// The initiator's session identifier: a random one, of qualifier 1.
const INITIATOR_SESSION: [u8; 6] = [0x80, 0, 0, 0, 0, 1];
/// First tag and CmdSN of a session.
const FIRST_NUMBER: u32 = 1;
/// Bytes that a command may send unasked, where the host names no other size (RFC 7143, 13.14).
const DEFAULT_FIRST_BURST_BYTES: usize = 65536;
/// Bytes of a piece of data, where the host names no other size (RFC 7143, 13.12).
const DEFAULT_SEGMENT_BYTES: usize = 8192;

/// What a client logs in with.
#[derive(Clone, Debug)]
pub struct Login {
    /// The host's address for iSCSI.
    pub address: SocketAddr,
    /// Name of the target.
    pub target: String,
    /// Name of the initiator.
    pub name: String,
    /// The digests to ask for.
    pub digests: Digests,
    /// The time within which the client wants its answers, in milliseconds; `None`: the host's own.
    pub deadline_ms: Option<u32>,
    /// How long the connection and each read of the login may take.
    pub timeout: Duration,
}

/// Why a login failed.
#[derive(Debug, thiserror::Error)]
pub enum LoginError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The host's answer could not be read.
    #[error("{0}")]
    Wire(#[from] WireError),
    /// The host closed the connection.
    #[error("the host closed the connection during login")]
    Closed,
    /// The host refused the login.
    #[error("login refused: class {class}, detail {detail}")]
    Refused {
        /// Status class of the response.
        class: u8,
        /// Status detail of the response.
        detail: u8,
    },
}

/// Opens a session, with a thread that reads its answers.
pub(super) fn open(
    login: &Login,
    host: u32,
    replies: Sender<LabelledReply>,
    recorder: Recorder,
) -> Result<Arc<Session>, LoginError> {
    let mut stream = TcpStream::connect_timeout(&login.address, login.timeout)?;
    let client = stream.local_addr()?.to_string();
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(login.timeout))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut request = BytesMut::new();
    iscsi::encode(&login.request(), Digests::default(), &mut request);
    stream.write_all(&request)?;
    let mut units = Units::new(MAX_UNIT_BYTES);
    let response = read_response(&mut stream, &mut units)?;
    let negotiated = Negotiated::read(&response)?;
    units.digests = negotiated.digests();
    stream.set_read_timeout(None)?;
    let reading = stream.try_clone()?;
    let state = SessionState {
        next_number: response.u32(field::EXPECTED_COMMAND),
        window_end: response.u32(field::MAX_COMMAND),
        expected_status: response.u32(field::STATUS_NUMBER).wrapping_add(1),
        pending: HashMap::new(),
        is_open: true,
    };
    let session = Arc::new(Session {
        state: Mutex::new(state),
        window_changed: Condvar::new(),
        writer: Mutex::new(stream),
        digests: units.digests,
        first_burst_bytes: negotiated.bytes("FirstBurstLength", DEFAULT_FIRST_BURST_BYTES),
        segment_bytes: negotiated.bytes("MaxRecvDataSegmentLength", DEFAULT_SEGMENT_BYTES),
        has_immediate_data: negotiated.is("ImmediateData", "Yes"),
        replies,
        recorder,
        host,
        number: u32::from(response.u16(field::SESSION_HANDLE)),
    });
    session.recorder.note(Event::Session { host, session: session.number, client });
    let reader = session.clone();
    spawn("client answers", move || reader.read_answers(reading, units))?;
    Ok(session)
}

impl Login {
    fn request(&self) -> Pdu {
        let digest = |on| if on { "CRC32C" } else { "None" };
        let deadline_ms = self.deadline_ms.map(|deadline_ms| deadline_ms.to_string());
        let mut keys = vec![
            ("InitiatorName", self.name.as_str()),
            ("TargetName", self.target.as_str()),
            ("SessionType", "Normal"),
            ("HeaderDigest", digest(self.digests.header)),
            ("DataDigest", digest(self.digests.data)),
            ("MaxRecvDataSegmentLength", "262144"),
            ("FirstBurstLength", "65536"),
            ("MaxBurstLength", "262144"),
            ("ImmediateData", "Yes"),
            ("InitialR2T", "Yes"),
            ("iSCSIProtocolLevel", "2"),
            ("X-org.tackmast.ExactDelay", "Yes"),
        ];
        if let Some(deadline_ms) = &deadline_ms {
            keys.push(("X-org.tackmast.ExpiryMs", deadline_ms));
        }
        let mut pdu = Pdu::new(op::LOGIN | IMMEDIATE, FINAL | OPERATIONAL_TO_FULL_FEATURE);
        pdu.head[field::INITIATOR_SESSION].copy_from_slice(&INITIATOR_SESSION);
        pdu.set32(field::TASK_TAG, FIRST_NUMBER).set32(field::COMMAND_NUMBER, FIRST_NUMBER);
        pdu.data = iscsi::write_keys(keys);
        pdu
    }
}

fn read_response(stream: &mut TcpStream, units: &mut Units) -> Result<Pdu, LoginError> {
    let mut buffer = [0; READ_BYTES];
    let response = loop {
        if let Some(pdu) = units.next_unit()? {
            break pdu;
        }
        match stream.read(&mut buffer)? {
            0 => return Err(LoginError::Closed),
            length => units.push(&buffer[..length]),
        }
    };
    let class = response.head[field::LOGIN_STATUS_CLASS];
    if response.opcode() != op::LOGIN_RESPONSE || class != 0 {
        return Err(LoginError::Refused { class, detail: response.head[field::LOGIN_STATUS_DETAIL] });
    }
    Ok(response)
}

/// What the login negotiated, by key.
struct Negotiated(HashMap<String, String>);

impl Negotiated {
    fn read(response: &Pdu) -> Result<Self, WireError> {
        let keys = iscsi::read_keys(&response.data)?;
        Ok(Negotiated(keys.into_iter().map(|key| (key.name, key.value)).collect()))
    }

    fn is(&self, key: &str, expected: &str) -> bool {
        self.0.get(key).is_some_and(|value| value == expected)
    }

    fn bytes(&self, key: &str, default: usize) -> usize {
        self.0.get(key).and_then(|value| value.parse().ok()).unwrap_or(default)
    }

    fn digests(&self) -> Digests {
        Digests { header: self.is("HeaderDigest", "CRC32C"), data: self.is("DataDigest", "CRC32C") }
    }
}
