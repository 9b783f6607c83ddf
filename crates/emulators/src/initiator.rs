//! A scripted client: an iSCSI initiator that keeps to the rules, or breaks them on command. It records what it
//! asked for and what it was answered.

use bytes::{Bytes, BytesMut};
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tackmast_trace::{AnswerKind, Event, Recorder};
use tackmast_wire::iscsi::{self, op, Digests, Pdu, Units, CONTINUES, FINAL, NO_TAG, READS, WRITES};
use tackmast_wire::scsi::{status, Command, Sense};

const SMALL_STACK: usize = 128 << 10;
const MAX_DATA: usize = 16 << 20;

#[derive(Clone, Debug)]
pub struct Login {
    pub address: SocketAddr,
    pub target: String,
    pub name: String,
    pub digests: Digests,
    /// Milliseconds in which it wants its answers; none: the host's own.
    pub deadline_ms: Option<u32>,
    pub patience: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Done(Bytes),
    Rejected {
        retry_after_us: u64,
    },
    Failed,
    /// The command itself was wrong.
    InvalidRequest(Sense),
    /// The session ended before an answer.
    Lost,
}

/// A read or write, and what the recorder is to know of it.
#[derive(Clone, Debug)]
pub struct Ask {
    pub lun: u32,
    pub traffic_class: u32,
    pub block: u64,
    pub block_bytes: u32,
    pub work: AskWork,
    pub deadline_us: u64,
}

#[derive(Clone, Debug)]
pub enum AskWork {
    Read { blocks: u32 },
    Write { data: Bytes },
}

struct Pending {
    label: u64,
    upload: Bytes,
    data: BytesMut,
    recorded: bool,
}

struct Shared {
    next: u32,
    window_end: u32,
    exp_stat: u32,
    pending: HashMap<u32, Pending>,
    open: bool,
}

struct Inner {
    shared: Mutex<Shared>,
    window: Condvar,
    writer: Mutex<TcpStream>,
    digests: Digests,
    burst: usize,
    segment: usize,
    immediate: bool,
    replies: Sender<(u64, Reply)>,
    recorder: Recorder,
    host: u32,
}

/// An open session. Replies come on the channel given at login, under the label of their command.
#[derive(Clone)]
pub struct Initiator {
    inner: Arc<Inner>,
    pub session: u32,
    /// What the login agreed on.
    pub agreed: Arc<HashMap<String, String>>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

fn bad(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

impl Initiator {
    pub fn login(
        to: &Login,
        host: u32,
        replies: Sender<(u64, Reply)>,
        recorder: Recorder,
    ) -> io::Result<Initiator> {
        let mut stream = TcpStream::connect_timeout(&to.address, to.patience)?;
        let client = stream.local_addr()?.to_string();
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(to.patience))?;
        stream.set_write_timeout(Some(Duration::from_secs(10)))?;
        let digest = |on| if on { "CRC32C" } else { "None" };
        let deadline = to.deadline_ms.map(|ms| ms.to_string());
        let mut keys = vec![
            ("InitiatorName", to.name.as_str()),
            ("TargetName", to.target.as_str()),
            ("SessionType", "Normal"),
            ("HeaderDigest", digest(to.digests.header)),
            ("DataDigest", digest(to.digests.data)),
            ("MaxRecvDataSegmentLength", "262144"),
            ("FirstBurstLength", "65536"),
            ("MaxBurstLength", "262144"),
            ("ImmediateData", "Yes"),
            ("InitialR2T", "Yes"),
            ("iSCSIProtocolLevel", "2"),
            ("X-org.tackmast.ExactDelay", "Yes"),
        ];
        if let Some(ms) = &deadline {
            keys.push(("X-org.tackmast.ExpiryMs", ms));
        }
        let mut pdu = Pdu::new(op::LOGIN | 0x40, FINAL | 1 << 2 | 3);
        pdu.head[8..14].copy_from_slice(&[0x80, 0, 0, 0, 0, 1]);
        pdu.set32(16, 1).set32(24, 1);
        pdu.data = iscsi::write_keys(keys);
        let mut out = BytesMut::new();
        iscsi::encode(&pdu, Digests::default(), &mut out);
        stream.write_all(&out)?;
        let mut units = Units::new(MAX_DATA);
        let mut buffer = [0; 8192];
        let reply = loop {
            if let Some(p) = units.next_unit().map_err(|e| bad(e.to_string()))? {
                break p;
            }
            match stream.read(&mut buffer)? {
                0 => return Err(bad("the host closed the connection during login")),
                n => units.push(&buffer[..n]),
            }
        };
        if reply.opcode() != op::LOGIN_RESPONSE || reply.head[36] != 0 {
            let (class, detail) = (reply.head[36], reply.head[37]);
            return Err(bad(format!("login refused: class {class}, detail {detail}")));
        }
        let agreed: HashMap<String, String> = iscsi::read_keys(&reply.data)
            .map_err(|e| bad(e.to_string()))?
            .into_iter()
            .map(|key| (key.name, key.value))
            .collect();
        let number = |key: &str, or: usize| agreed.get(key).and_then(|v| v.parse().ok()).unwrap_or(or);
        units.digests = Digests {
            header: agreed.get("HeaderDigest").is_some_and(|v| v == "CRC32C"),
            data: agreed.get("DataDigest").is_some_and(|v| v == "CRC32C"),
        };
        let shared = Shared {
            next: reply.u32(28),
            window_end: reply.u32(32),
            exp_stat: reply.u32(24).wrapping_add(1),
            pending: HashMap::new(),
            open: true,
        };
        stream.set_read_timeout(None)?;
        let reading = stream.try_clone()?;
        let inner = Arc::new(Inner {
            shared: Mutex::new(shared),
            window: Condvar::new(),
            writer: Mutex::new(stream),
            digests: units.digests,
            burst: number("FirstBurstLength", 65536),
            segment: number("MaxRecvDataSegmentLength", 8192),
            immediate: agreed.get("ImmediateData").is_some_and(|v| v == "Yes"),
            replies,
            recorder,
            host,
        });
        let session = u32::from(reply.u16(14));
        inner.recorder.note(Event::Session { host, session, client });
        let reader = inner.clone();
        let run = move || reader.read(reading, units, session);
        std::thread::Builder::new().name("client answers".into()).stack_size(SMALL_STACK).spawn(run)?;
        Ok(Initiator { inner, session, agreed: Arc::new(agreed) })
    }

    pub fn is_open(&self) -> bool {
        lock(&self.inner.shared).open
    }

    /// Commands without an answer.
    pub fn pending(&self) -> usize {
        lock(&self.inner.shared).pending.len()
    }

    /// Sends a read or write once the window lets it; none: the session is over, or the window stayed shut.
    pub fn ask(&self, label: u64, ask: &Ask, patience: Duration) -> Option<u32> {
        let (write, bytes, command) = match &ask.work {
            AskWork::Read { blocks } => {
                let command = Command::Read { block: ask.block, blocks: *blocks };
                (false, u64::from(*blocks) * u64::from(ask.block_bytes), command)
            }
            AskWork::Write { data } => {
                let blocks = (data.len() / ask.block_bytes as usize) as u32;
                (true, data.len() as u64, Command::Write { block: ask.block, blocks })
            }
        };
        let upload = match &ask.work {
            AskWork::Write { data } => data.clone(),
            AskWork::Read { .. } => Bytes::new(),
        };
        self.command(label, ask.lun, command, bytes as u32, upload, patience, |host, session, number| {
            Some(Event::Submit {
                host,
                session,
                command: number,
                volume: ask.lun,
                traffic_class: ask.traffic_class,
                write,
                offset: ask.block * u64::from(ask.block_bytes),
                bytes,
                deadline_us: ask.deadline_us,
            })
        })
    }

    /// Any other command; `most` is how many bytes it expects.
    pub fn simple(&self, label: u64, lun: u32, command: Command, most: u32) -> Option<u32> {
        self.command(label, lun, command, most, Bytes::new(), Duration::from_secs(5), |_, _, _| None)
    }

    #[allow(clippy::too_many_arguments)]
    fn command(
        &self,
        label: u64,
        lun: u32,
        command: Command,
        expected: u32,
        upload: Bytes,
        patience: Duration,
        note: impl Fn(u32, u32, u32) -> Option<Event>,
    ) -> Option<u32> {
        let until = Instant::now() + patience;
        let inner = &self.inner;
        // Numbers must reach the host in their order, so the writer is held while one is taken.
        loop {
            let mut writer = lock(&inner.writer);
            let mut s = lock(&inner.shared);
            if !s.open {
                return None;
            }
            if s.window_end.wrapping_sub(s.next) as i32 >= 0 {
                let number = s.next;
                s.next = s.next.wrapping_add(1);
                let exp_stat = s.exp_stat;
                let event = note(inner.host, self.session, number);
                let recorded = event.is_some();
                let pending = Pending { label, upload: upload.clone(), data: BytesMut::new(), recorded };
                s.pending.insert(number, pending);
                drop(s);
                if let Some(e) = event {
                    inner.recorder.note(e);
                }
                let flags = match (upload.is_empty(), expected) {
                    (false, _) => WRITES,
                    (true, 0) => 0,
                    _ => READS,
                };
                let mut pdu = Pdu::new(op::COMMAND, FINAL | flags);
                pdu.set_lun(lun).set32(16, number).set32(20, expected).set32(24, number).set32(28, exp_stat);
                pdu.head[32..].copy_from_slice(&command.to_cdb());
                if inner.immediate {
                    pdu.data = upload.slice(..upload.len().min(inner.burst).min(inner.segment));
                }
                let mut out = BytesMut::new();
                iscsi::encode(&pdu, inner.digests, &mut out);
                // A broken connection shows in the reader, which answers all that is pending.
                _ = writer.write_all(&out);
                return Some(number);
            }
            drop(writer);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            drop(inner.window.wait_timeout(s, left).unwrap_or_else(PoisonError::into_inner));
        }
    }

    /// ABORT TASK; the command gets no answer any more.
    pub fn abort(&self, command: u32) {
        let inner = &self.inner;
        let mut writer = lock(&inner.writer);
        let mut s = lock(&inner.shared);
        let tag = s.next ^ 0x8000_0000;
        let mut pdu = Pdu::new(op::TASK | 0x40, FINAL | 1);
        pdu.set32(16, tag).set32(20, command).set32(24, s.next).set32(28, s.exp_stat).set32(32, command);
        let known = s.pending.remove(&command);
        drop(s);
        if known.is_some_and(|p| p.recorded) {
            inner.recorder.note(Event::Left { host: inner.host, session: self.session, command });
        }
        let mut out = BytesMut::new();
        iscsi::encode(&pdu, inner.digests, &mut out);
        _ = writer.write_all(&out);
    }

    /// Bytes as they are, for clients that break the protocol.
    pub fn raw(&self, bytes: &[u8]) {
        _ = lock(&self.inner.writer).write_all(bytes);
    }

    /// The number the next command would have.
    pub fn next_number(&self) -> u32 {
        lock(&self.inner.shared).next
    }

    /// Goes without a word; what was open is left.
    pub fn leave(&self) {
        self.note_left();
        _ = lock(&self.inner.writer).shutdown(Shutdown::Both);
    }

    fn note_left(&self) {
        let mut s = lock(&self.inner.shared);
        s.open = false;
        let left: Vec<u32> = s.pending.iter().filter(|(_, p)| p.recorded).map(|(c, _)| *c).collect();
        drop(s);
        for command in left {
            let (host, session) = (self.inner.host, self.session);
            self.inner.recorder.note(Event::Left { host, session, command });
        }
    }

    pub fn logout(&self) {
        self.note_left();
        let mut s = lock(&self.inner.shared);
        let mut pdu = Pdu::new(op::LOGOUT | 0x40, FINAL);
        pdu.set32(16, s.next ^ 0x4000_0000).set32(24, s.next).set32(28, s.exp_stat);
        s.open = false;
        drop(s);
        let mut out = BytesMut::new();
        iscsi::encode(&pdu, self.inner.digests, &mut out);
        _ = lock(&self.inner.writer).write_all(&out);
    }
}

impl Inner {
    fn read(&self, mut stream: TcpStream, mut units: Units, session: u32) {
        let mut buffer = vec![0; 64 << 10];
        loop {
            match units.next_unit() {
                Ok(Some(pdu)) => {
                    if self.unit(pdu, session).is_none() {
                        break;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => break,
            }
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => units.push(&buffer[..n]),
            }
        }
        _ = stream.shutdown(Shutdown::Both);
        let mut s = lock(&self.shared);
        s.open = false;
        let lost: Vec<Pending> = s.pending.drain().map(|(_, p)| p).collect();
        drop(s);
        self.window.notify_all();
        for p in lost {
            _ = self.replies.send((p.label, Reply::Lost));
        }
    }

    fn unit(&self, pdu: Pdu, session: u32) -> Option<()> {
        let mut s = lock(&self.shared);
        if pdu.u32(32).wrapping_sub(s.window_end) as i32 > 0 {
            s.window_end = pdu.u32(32);
            self.window.notify_all();
        }
        match pdu.opcode() {
            op::DATA_IN => {
                let p = s.pending.get_mut(&pdu.tag())?;
                if pdu.u32(40) as usize != p.data.len() {
                    return None;
                }
                p.data.extend_from_slice(&pdu.data);
                if pdu.has(iscsi::STATUS_HERE) {
                    s.exp_stat = pdu.u32(24).wrapping_add(1);
                    let p = s.pending.remove(&pdu.tag())?;
                    drop(s);
                    self.reply(session, pdu.tag(), p, status::GOOD, &pdu);
                }
            }
            op::RESPONSE => {
                s.exp_stat = pdu.u32(24).wrapping_add(1);
                if let Some(p) = s.pending.remove(&pdu.tag()) {
                    drop(s);
                    self.reply(session, pdu.tag(), p, pdu.head[3], &pdu);
                }
            }
            op::R2T => {
                let exp_stat = s.exp_stat;
                let Some(p) = s.pending.get(&pdu.tag()) else { return Some(()) };
                let upload = p.upload.clone();
                drop(s);
                let (start, length) = (pdu.u32(40) as usize, pdu.u32(44) as usize);
                if start + length > upload.len() {
                    return None;
                }
                let mut sent = 0;
                let mut number = 0;
                let mut writer = lock(&self.writer);
                while sent < length {
                    let n = self.segment.min(length - sent);
                    let last = sent + n == length;
                    let mut out = Pdu::new(op::DATA_OUT, if last { FINAL } else { 0 });
                    out.head[8..16].copy_from_slice(&pdu.head[8..16]);
                    out.set32(16, pdu.tag()).set32(20, pdu.u32(20)).set32(28, exp_stat);
                    out.set32(36, number).set32(40, (start + sent) as u32);
                    out.data = upload.slice(start + sent..start + sent + n);
                    let mut bytes = BytesMut::new();
                    iscsi::encode(&out, self.digests, &mut bytes);
                    writer.write_all(&bytes).ok()?;
                    sent += n;
                    number += 1;
                }
            }
            op::NOP_IN if pdu.u32(20) != NO_TAG => {
                let mut reply = Pdu::new(op::NOP_OUT | 0x40, FINAL);
                reply.set32(16, NO_TAG).set32(20, pdu.u32(20)).set32(24, s.next).set32(28, s.exp_stat);
                drop(s);
                let mut bytes = BytesMut::new();
                iscsi::encode(&reply, self.digests, &mut bytes);
                lock(&self.writer).write_all(&bytes).ok()?;
            }
            op::LOGOUT_RESPONSE => return None,
            _ if pdu.has(CONTINUES) && pdu.opcode() == op::TEXT_RESPONSE => return None,
            _ => {}
        }
        Some(())
    }

    fn reply(&self, session: u32, command: u32, p: Pending, code: u8, pdu: &Pdu) {
        let (kind, reply) = match code {
            status::GOOD => (AnswerKind::Done, Reply::Done(p.data.freeze())),
            status::BUSY => {
                let exact =
                    pdu.data.get(2..6).map(|b| u64::from(u32::from_be_bytes([b[0], b[1], b[2], b[3]])));
                let retry_after_us = exact.unwrap_or(u64::from(pdu.u16(8) & 0x3fff) * 100_000);
                (AnswerKind::Rejected, Reply::Rejected { retry_after_us })
            }
            _ => match Sense::from_segment(&pdu.data) {
                Some(Sense::FAILED) => (AnswerKind::Failed, Reply::Failed),
                sense => (AnswerKind::InvalidRequest, Reply::InvalidRequest(sense.unwrap_or(Sense(0, 0, 0)))),
            },
        };
        if p.recorded {
            let retry_after_us =
                if let Reply::Rejected { retry_after_us } = reply { retry_after_us } else { 0 };
            self.recorder.note(Event::Answer { host: self.host, session, command, kind, retry_after_us });
        }
        _ = self.replies.send((p.label, reply));
    }
}
