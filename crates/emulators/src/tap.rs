//! A tap between clients of either protocol and a host: it passes all bytes on as they are, reads along, and records
//! what was asked and answered, as scripted clients record it of themselves.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tackmast_trace::{AnswerKind, Event, Recorder};
use tackmast_wire::iscsi::{self, op, Digests, Pdu, Units};
use tackmast_wire::nbd::{
    self, chunk, command, option, reply, ClientUnit, ClientUnits, Reply, ServerUnit, ServerUnits, Stage,
};
use tackmast_wire::scsi::{status, Command, Sense};

const SMALL_STACK: usize = 256 << 10;
const MAX: usize = 16 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Iscsi,
    Nbd,
}

/// What the tap has to know of a volume.
#[derive(Clone, Debug)]
pub struct Known {
    pub lun: u32,
    pub name: String,
    pub block_bytes: u32,
    pub reads: u32,
    pub writes: u32,
    /// The traffic classes' own expiries.
    pub reads_us: u64,
    pub writes_us: u64,
}

/// What the tap does to a session, once for each order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The session ends when the host has a command that it has not answered.
    Asked = 1,
    /// The session ends in place of the next answer: the host gave it, and nobody has it.
    Answer = 2,
}

/// Orders to a tap.
#[derive(Clone, Debug, Default)]
pub struct Cutter(Arc<AtomicU8>);

impl Cutter {
    pub fn order(&self, cut: Cut) {
        self.0.store(cut as u8, SeqCst);
    }

    fn due(&self, cut: Cut) -> bool {
        self.0.compare_exchange(cut as u8, 0, SeqCst, SeqCst).is_ok()
    }
}

struct Inner {
    protocol: Protocol,
    host: SocketAddr,
    number: u32,
    volumes: Vec<Known>,
    recorder: Recorder,
    cutter: Cutter,
}

/// One session's state, read along from both sides.
#[derive(Default)]
struct Seen {
    session: Option<u32>,
    volume: Option<usize>,
    deadline_us: Option<u64>,
    digests: Digests,
    in_full: bool,
    /// Commands without an answer, by the protocol's own number of them.
    open: HashMap<u64, (u32, usize)>, // host's number, bytes of a read
    next: u32,
    asked: Option<String>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn(run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name("tap".into()).stack_size(SMALL_STACK).spawn(run).map(|_| ())
}

/// Starts a tap towards a host; gives the address clients are to use.
pub fn start(
    protocol: Protocol,
    host: SocketAddr,
    number: u32,
    volumes: Vec<Known>,
    recorder: Recorder,
    cutter: Cutter,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let inner = Arc::new(Inner { protocol, host, number, volumes, recorder, cutter });
    spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect_timeout(&inner.host, Duration::from_secs(1)) else {
                continue;
            };
            let seen = Arc::new(Mutex::new(Seen::default()));
            let clones = client.try_clone().and_then(|c| Ok((c, server.try_clone()?)));
            let Ok((client_out, server_out)) = clones else { continue };
            _ = client.set_nodelay(true).and_then(|()| server.set_nodelay(true));
            let (one, other, also) = (inner.clone(), inner.clone(), seen.clone());
            _ = spawn(move || one.upward(client, server_out, &seen));
            _ = spawn(move || other.downward(server, client_out, &also));
        }
    })?;
    Ok(address)
}

impl Inner {
    /// From the client to the host. What is asked is noted before it is passed on.
    fn upward(&self, mut from: TcpStream, mut to: TcpStream, seen: &Mutex<Seen>) {
        let mut units = Units::new(MAX);
        let mut nbd = ClientUnits::new(MAX as u32);
        let mut buffer = vec![0; 64 << 10];
        while let Ok(n @ 1..) = from.read(&mut buffer) {
            let mut s = lock(seen);
            match self.protocol {
                Protocol::Iscsi => {
                    units.digests = s.digests;
                    units.push(&buffer[..n]);
                    while let Ok(Some(pdu)) = units.next_unit() {
                        self.iscsi_asked(&mut s, &pdu);
                    }
                }
                Protocol::Nbd => {
                    nbd.push(&buffer[..n]);
                    loop {
                        if nbd.stage == Stage::Options && s.in_full {
                            nbd.stage = Stage::Transmission;
                        }
                        let Ok(Some(unit)) = nbd.next_unit() else { break };
                        match unit {
                            ClientUnit::Flags(_) => nbd.stage = Stage::Options,
                            ClientUnit::Option { option: option::GO, data } => {
                                s.asked = nbd::read_go(&data).ok().map(|request| request.name);
                            }
                            ClientUnit::Option { .. } => {}
                            ClientUnit::Request { request, .. } => self.nbd_asked(&mut s, &request),
                        }
                    }
                }
            }
            let waits = !s.open.is_empty();
            drop(s);
            if to.write_all(&buffer[..n]).is_err() || waits && self.cutter.due(Cut::Asked) {
                break;
            }
        }
        self.left(&mut lock(seen));
        _ = to.shutdown(Shutdown::Both);
        _ = from.shutdown(Shutdown::Both);
    }

    fn left(&self, s: &mut Seen) {
        let open: Vec<u64> = s.open.keys().copied().collect();
        open.into_iter().for_each(|id| self.leave(s, id));
    }

    fn leave(&self, s: &mut Seen, id: u64) {
        if let (Some(session), Some((command, _))) = (s.session, s.open.remove(&id)) {
            self.recorder.note(Event::Left { host: self.number, session, command });
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn submit(
        &self,
        s: &mut Seen,
        id: u64,
        command: u32,
        v: &Known,
        write: bool,
        offset: u64,
        bytes: u64,
        own: Option<u64>,
    ) {
        let Some(session) = s.session else { return };
        s.open.insert(id, (command, if write { 0 } else { bytes as usize }));
        let default = if write { v.writes_us } else { v.reads_us };
        self.recorder.note(Event::Submit {
            host: self.number,
            session,
            command,
            volume: v.lun,
            traffic_class: if write { v.writes } else { v.reads },
            write,
            offset,
            bytes,
            deadline_us: own.or(s.deadline_us).unwrap_or(default),
        });
    }

    fn answer(&self, s: &mut Seen, id: u64, kind: AnswerKind) {
        if let (Some(session), Some((command, _))) = (s.session, s.open.remove(&id)) {
            self.recorder.note(Event::Answer {
                host: self.number,
                session,
                command,
                kind,
                retry_after_us: 0,
            });
        }
    }

    fn iscsi_asked(&self, s: &mut Seen, pdu: &Pdu) {
        match pdu.opcode() {
            op::COMMAND => {
                let found = Command::parse(&pdu.cdb());
                let (write, block, blocks) = match found {
                    Ok(Command::Read { block, blocks }) => (false, block, blocks),
                    Ok(Command::Write { block, blocks }) => (true, block, blocks),
                    _ => return,
                };
                let volume = pdu.lun().and_then(|l| self.volumes.iter().find(|v| v.lun == l)).cloned();
                if let Some(v) = volume {
                    let unit = u64::from(v.block_bytes);
                    let (id, bytes) = (u64::from(pdu.tag()), u64::from(blocks) * unit);
                    self.submit(s, id, pdu.u32(24), &v, write, block * unit, bytes, pdu.deadline());
                }
            }
            op::TASK => self.leave(s, u64::from(pdu.u32(20))),
            _ => {}
        }
    }

    fn nbd_asked(&self, s: &mut Seen, r: &nbd::Request) {
        match r.kind {
            command::READ | command::WRITE if r.length > 0 => {
                s.next = s.next.wrapping_add(1);
                let Some(v) = s.volume.and_then(|v| self.volumes.get(v)).cloned() else { return };
                let write = r.kind == command::WRITE;
                let (number, bytes) = (s.next, u64::from(r.length));
                self.submit(s, r.cookie, number, &v, write, r.offset, bytes, r.deadline_us);
            }
            command::CANCEL => self.leave(s, r.offset),
            _ => {}
        }
    }

    /// From the host to the client. An answer is noted as it comes.
    fn downward(&self, mut from: TcpStream, mut to: TcpStream, seen: &Mutex<Seen>) {
        let mut units = Units::new(MAX);
        let mut nbd = ServerUnits::new(MAX as u32);
        let mut buffer = vec![0; 64 << 10];
        while let Ok(n @ 1..) = from.read(&mut buffer) {
            let mut s = lock(seen);
            let open = s.open.len();
            match self.protocol {
                Protocol::Iscsi => {
                    units.push(&buffer[..n]);
                    while let Ok(Some(pdu)) = units.next_unit() {
                        self.iscsi_answered(&mut s, &pdu);
                        units.digests = s.digests;
                    }
                }
                Protocol::Nbd => {
                    nbd.push(&buffer[..n]);
                    while let Ok(Some(unit)) =
                        nbd.next_unit(|cookie| s.open.get(&cookie).map_or(0, |(_, bytes)| *bytes))
                    {
                        self.nbd_answered(&mut s, &mut nbd, unit);
                    }
                }
            }
            let answered = s.open.len() < open;
            drop(s);
            if answered && self.cutter.due(Cut::Answer) || to.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        _ = to.shutdown(Shutdown::Both);
        _ = from.shutdown(Shutdown::Both);
    }

    fn iscsi_answered(&self, s: &mut Seen, pdu: &Pdu) {
        let id = u64::from(pdu.tag());
        match pdu.opcode() {
            op::LOGIN_RESPONSE if pdu.head[36] == 0 => {
                for iscsi::TextKey { name, value } in iscsi::read_keys(&pdu.data).unwrap_or_default() {
                    match name.as_str() {
                        "HeaderDigest" => s.digests.header = value == "CRC32C",
                        "DataDigest" => s.digests.data = value == "CRC32C",
                        "X-org.tackmast.ExpiryMs" => {
                            s.deadline_us = value.parse::<u64>().ok().map(|ms| ms * 1000)
                        }
                        _ => {}
                    }
                }
                s.session = Some(u32::from(pdu.u16(14)));
            }
            op::DATA_IN if pdu.has(iscsi::STATUS_HERE) => self.answer(s, id, AnswerKind::Done),
            op::RESPONSE => {
                let kind = match pdu.head[3] {
                    status::GOOD => AnswerKind::Done,
                    status::BUSY => AnswerKind::Rejected,
                    _ if Sense::from_segment(&pdu.data) == Some(Sense::FAILED) => AnswerKind::Failed,
                    _ => AnswerKind::InvalidRequest,
                };
                self.answer(s, id, kind);
            }
            _ => {}
        }
    }

    fn nbd_answered(&self, s: &mut Seen, units: &mut ServerUnits, unit: ServerUnit) {
        match unit {
            ServerUnit::Greeting { .. } => units.stage = Stage::Options,
            ServerUnit::OptionReply { option: option::TACKMAST, kind: reply::ACK, data } => {
                s.session = nbd::read_session(&data);
            }
            ServerUnit::OptionReply { option: option::GO, kind: reply::ACK, .. } => {
                let asked = s.asked.take().unwrap_or_default();
                s.volume = self.volumes.iter().position(|v| v.name == asked);
                s.in_full = true;
                units.stage = Stage::Transmission;
            }
            ServerUnit::OptionReply { .. } => {}
            ServerUnit::Reply(Reply::Simple { cookie, error, .. }) => {
                let kind = if error == 0 { AnswerKind::Done } else { AnswerKind::Failed };
                self.answer(s, cookie, kind);
            }
            ServerUnit::Reply(Reply::Chunk { cookie, flags, kind, data }) => {
                let kind = match kind {
                    chunk::REJECTED => AnswerKind::Rejected,
                    chunk::ERROR
                        if nbd::read_error(&data).is_ok_and(|error| error.value != nbd::error::IO) =>
                    {
                        AnswerKind::InvalidRequest
                    }
                    k if k & 0x8000 != 0 => AnswerKind::Failed,
                    _ => AnswerKind::Done,
                };
                if flags & nbd::DONE != 0 {
                    self.answer(s, cookie, kind);
                }
            }
        }
    }
}
