//! The iSCSI-style transport: login, what the volume is, commands within the window, data both ways.

use crate::op::{Op, Outcome, Place, SessionEvent, Transport, Volume};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, VecDeque};
use tackmast::interface::TimeDelta;
use tackmast_wire::iscsi::{self, op, Digests, Pdu, Units, FINAL, NO_TAG, READS, WRITES};
use tackmast_wire::scsi::{status, Command, Sense};

const MAX_DATA: usize = 16 << 20;
/// Bytes of one segment that this side takes.
const SEGMENT: &str = "262144";

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Login,
    Capacity,
    Limits,
    Ready,
    Over,
}

struct Pending {
    tag: u64,
    upload: Bytes,
    data: BytesMut,
    read: usize,
}

pub struct IscsiClient {
    place: Place,
    input: Units,
    output: BytesMut,
    events: VecDeque<SessionEvent>,
    phase: Phase,
    digests: Digests,
    volume: Volume,
    first_burst: usize,
    segment: usize,
    immediate: bool,
    /// Whether a command may tell its own deadline.
    expiries: bool,
    next: u32,
    window_end: u32,
    exp_stat: u32,
    pending: HashMap<u32, Pending>,
    tags: HashMap<u64, u32>,
}

impl IscsiClient {
    /// `plain` leaves out every key of the gateway's own, as a library that knows none of them does.
    pub fn new(place: Place, digests: Digests, deadline: TimeDelta, plain: bool) -> Self {
        let mut c = IscsiClient {
            input: Units::new(MAX_DATA),
            output: BytesMut::new(),
            events: VecDeque::new(),
            phase: Phase::Login,
            digests,
            volume: Volume { bytes: 0, block_bytes: 512, max_bytes: 0 },
            first_burst: 8192,
            segment: 8192,
            immediate: true,
            expiries: false,
            next: 1,
            window_end: 0,
            exp_stat: 0,
            pending: HashMap::new(),
            tags: HashMap::new(),
            place,
        };
        let digest = |on| if on { "CRC32C" } else { "None" };
        let deadline_ms = format!("{}", (deadline.secs() * 1e3).ceil().max(1.0) as u64);
        let target = c.place.target.clone();
        let mut keys = vec![
            ("InitiatorName", "iqn.2026-12.org.tackmast:client"),
            ("TargetName", target.as_str()),
            ("SessionType", "Normal"),
            ("HeaderDigest", digest(digests.header)),
            ("DataDigest", digest(digests.data)),
            ("MaxRecvDataSegmentLength", SEGMENT),
            ("FirstBurstLength", "65536"),
            ("MaxBurstLength", "262144"),
            ("ImmediateData", "Yes"),
            ("InitialR2T", "Yes"),
        ];
        if !plain {
            keys.push(("iSCSIProtocolLevel", "2"));
            keys.push(("X-org.tackmast.ExactDelay", "Yes"));
            keys.push(("X-org.tackmast.CommandExpiry", "Yes"));
            keys.push(("X-org.tackmast.ExpiryMs", &deadline_ms));
        }
        let mut pdu = Pdu::new(op::LOGIN | 0x40, FINAL | 1 << 2 | 3);
        pdu.head[8..14].copy_from_slice(&[0x80, 0, 0, 0, 0, 1]);
        pdu.set32(16, 1).set32(24, 1);
        pdu.data = iscsi::write_keys(keys);
        iscsi::encode(&pdu, Digests::default(), &mut c.output);
        c
    }

    fn put(&mut self, pdu: &Pdu) {
        iscsi::encode(pdu, self.digests, &mut self.output);
    }

    fn command(&mut self, tag: Option<(u64, TimeDelta)>, command: Command, expected: u32, upload: Bytes) {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        let flags = match (upload.is_empty(), expected) {
            (false, _) => WRITES,
            (true, 0) => 0,
            _ => READS,
        };
        let mut pdu = Pdu::new(op::COMMAND, FINAL | flags);
        pdu.set_lun(self.place.lun).set32(16, number).set32(20, expected).set32(24, number);
        pdu.set32(28, self.exp_stat);
        pdu.head[32..].copy_from_slice(&command.to_cdb());
        if let Some((_, left)) = tag.filter(|_| self.expiries) {
            pdu.set_deadline((left.secs() * 1e6).max(1.0) as u64);
        }
        let tag = tag.map(|(t, _)| t);
        if self.immediate {
            pdu.data = upload.slice(..upload.len().min(self.first_burst).min(self.segment));
        }
        let read = if upload.is_empty() { expected as usize } else { 0 };
        // Commands of the session itself have the tag of none.
        let pending = Pending { tag: tag.unwrap_or(u64::MAX), upload, data: BytesMut::new(), read };
        self.pending.insert(number, pending);
        if let Some(t) = tag {
            self.tags.insert(t, number);
        }
        self.put(&pdu);
    }

    fn login(&mut self, pdu: &Pdu) -> Result<(), String> {
        if pdu.opcode() != op::LOGIN_RESPONSE {
            return Err(format!("operation {:#04x} during login; expected its answer", pdu.opcode()));
        }
        let (class, detail) = (pdu.head[36], pdu.head[37]);
        if class != 0 {
            self.phase = Phase::Over;
            let text = format!("login refused: class {class}, detail {detail}");
            self.events.push_back(SessionEvent::Refused { text, again: class == 3 });
            return Ok(());
        }
        let keys: HashMap<String, String> = iscsi::read_keys(&pdu.data)
            .map_err(|e| e.to_string())?
            .into_iter()
            .map(|key| (key.name, key.value))
            .collect();
        let number = |key: &str, or: usize| keys.get(key).and_then(|v| v.parse().ok()).unwrap_or(or);
        let on = |key: &str| keys.get(key).is_some_and(|v| v == "CRC32C");
        self.digests = Digests { header: on("HeaderDigest"), data: on("DataDigest") };
        self.input.digests = self.digests;
        self.first_burst = number("FirstBurstLength", 65536);
        self.segment = number("MaxRecvDataSegmentLength", 8192);
        self.immediate = keys.get("ImmediateData").is_none_or(|v| v == "Yes");
        self.expiries = keys.get("X-org.tackmast.CommandExpiry").is_some_and(|v| v == "Yes");
        self.next = pdu.u32(28);
        self.window_end = pdu.u32(32);
        self.exp_stat = pdu.u32(24).wrapping_add(1);
        self.phase = Phase::Capacity;
        self.command(None, Command::ReadCapacity16 { allocation_length: 32 }, 32, Bytes::new());
        Ok(())
    }

    fn unit(&mut self, pdu: Pdu) -> Result<(), String> {
        if self.phase == Phase::Login {
            return self.login(&pdu);
        }
        if pdu.u32(32).wrapping_sub(self.window_end) as i32 > 0 {
            self.window_end = pdu.u32(32);
        }
        match pdu.opcode() {
            op::DATA_IN => {
                let Some(p) = self.pending.get_mut(&pdu.tag()) else { return Ok(()) };
                if pdu.u32(40) as usize != p.data.len() || p.data.len() + pdu.data.len() > p.read {
                    return Err(format!("data at {}; expected {} of {}", pdu.u32(40), p.data.len(), p.read));
                }
                p.data.extend_from_slice(&pdu.data);
                if pdu.has(iscsi::STATUS_HERE) {
                    self.answered(&pdu, status::GOOD);
                }
            }
            op::RESPONSE => self.answered(&pdu, pdu.head[3]),
            op::R2T => self.solicited(&pdu)?,
            op::NOP_IN if pdu.u32(20) != NO_TAG => {
                let mut reply = Pdu::new(op::NOP_OUT | 0x40, FINAL);
                reply.set32(16, NO_TAG).set32(20, pdu.u32(20)).set32(24, self.next).set32(28, self.exp_stat);
                self.put(&reply);
            }
            op::LOGOUT_RESPONSE => self.phase = Phase::Over,
            op::REJECT => return Err(format!("rejected: reason {}", pdu.head[2])),
            _ => {}
        }
        Ok(())
    }

    fn solicited(&mut self, pdu: &Pdu) -> Result<(), String> {
        let Some(p) = self.pending.get(&pdu.tag()) else { return Ok(()) };
        let upload = p.upload.clone();
        let (start, length) = (pdu.u32(40) as usize, pdu.u32(44) as usize);
        if start + length > upload.len() {
            return Err(format!("asked for {length} bytes at {start}; the write has {}", upload.len()));
        }
        let (mut sent, mut number) = (0, 0);
        while sent < length {
            let n = self.segment.min(length - sent);
            let mut out = Pdu::new(op::DATA_OUT, if sent + n == length { FINAL } else { 0 });
            out.head[8..16].copy_from_slice(&pdu.head[8..16]);
            out.set32(16, pdu.tag()).set32(20, pdu.u32(20)).set32(28, self.exp_stat);
            out.set32(36, number).set32(40, (start + sent) as u32);
            out.data = upload.slice(start + sent..start + sent + n);
            self.put(&out);
            sent += n;
            number += 1;
        }
        Ok(())
    }

    fn answered(&mut self, pdu: &Pdu, code: u8) {
        self.exp_stat = pdu.u32(24).wrapping_add(1);
        let Some(p) = self.pending.remove(&pdu.tag()) else { return };
        self.tags.remove(&p.tag);
        let data = p.data.freeze();
        if p.tag == u64::MAX {
            return self.learned(code, &data);
        }
        let outcome = match code {
            status::GOOD if data.len() == p.read => Outcome::Done(data),
            // Fewer bytes than were asked for are not the answer.
            status::GOOD => Outcome::Failed,
            status::BUSY => {
                let exact = pdu.data.get(2..6).map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]));
                let us = exact.map_or(u64::from(pdu.u16(8) & 0x3fff) * 100_000, u64::from);
                let retry_after = (us > 0).then(|| TimeDelta::from_secs(us as f64 / 1e6));
                Outcome::Rejected { retry_after }
            }
            _ => match Sense::from_segment(&pdu.data) {
                Some(Sense(0x05, code, qualifier)) => {
                    Outcome::InvalidRequest(format!("illegal request, {code:02x}h/{qualifier:02x}h"))
                }
                _ => Outcome::Failed,
            },
        };
        self.events.push_back(SessionEvent::Answer { tag: p.tag, outcome });
    }

    /// An answer to the session's own commands.
    fn learned(&mut self, code: u8, data: &Bytes) {
        let be = |at: usize, n: usize| data[at..at + n].iter().fold(0u64, |sum, b| sum << 8 | u64::from(*b));
        match self.phase {
            Phase::Capacity if code == status::GOOD && data.len() >= 12 => {
                self.volume.block_bytes = be(8, 4) as u32;
                self.volume.bytes = (be(0, 8) + 1).saturating_mul(u64::from(self.volume.block_bytes));
                self.phase = Phase::Limits;
                self.command(
                    None,
                    Command::Inquiry { page: Some(0xb0), allocation_length: 64 },
                    64,
                    Bytes::new(),
                );
            }
            Phase::Limits => {
                let most = if code == status::GOOD && data.len() >= 12 { be(8, 4) } else { 0 };
                // A target that names no limit takes what one 32-bit length can say; keep well below it.
                let most = if most == 0 { 65_536 / u64::from(self.volume.block_bytes) } else { most };
                self.volume.max_bytes =
                    (most * u64::from(self.volume.block_bytes)).min(MAX_DATA as u64) as u32;
                self.phase = Phase::Ready;
                self.events.push_back(SessionEvent::Ready(self.volume));
            }
            _ => {
                self.phase = Phase::Over;
                let text = format!("LUN {}: no such volume", self.place.lun);
                self.events.push_back(SessionEvent::Refused { text, again: false });
            }
        }
    }
}

impl Transport for IscsiClient {
    fn take(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.input.push(bytes);
        while self.phase != Phase::Over {
            let Some(pdu) = self.input.next_unit().map_err(|e| e.to_string())? else { break };
            self.unit(pdu)?;
        }
        Ok(())
    }

    fn output(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    fn next_event(&mut self) -> Option<SessionEvent> {
        self.events.pop_front()
    }

    fn submit(&mut self, tag: u64, what: &Op, left: TimeDelta) -> bool {
        let open = self.window_end.wrapping_sub(self.next) as i32 >= 0;
        if self.phase != Phase::Ready || !open {
            return false;
        }
        let block = u64::from(self.volume.block_bytes);
        match what {
            Op::Read { offset, length } => {
                let blocks = *length / self.volume.block_bytes;
                self.command(
                    Some((tag, left)),
                    Command::Read { block: offset / block, blocks },
                    *length,
                    Bytes::new(),
                );
            }
            Op::Write { offset, data } => {
                let blocks = (data.len() as u64 / block) as u32;
                let command = Command::Write { block: offset / block, blocks };
                self.command(Some((tag, left)), command, data.len() as u32, data.clone());
            }
            Op::Flush => self.command(Some((tag, left)), Command::Synchronize, 0, Bytes::new()),
        }
        true
    }

    fn cancel(&mut self, tag: u64) {
        let Some(number) = self.tags.remove(&tag) else { return };
        self.pending.remove(&number);
        let mut pdu = Pdu::new(op::TASK | 0x40, FINAL | 1);
        pdu.set32(16, self.next ^ 0x8000_0000).set32(20, number).set32(24, self.next);
        pdu.set32(28, self.exp_stat).set32(32, number);
        self.put(&pdu);
    }

    fn end(&mut self) {
        let mut pdu = Pdu::new(op::LOGOUT | 0x40, FINAL);
        pdu.set32(16, self.next ^ 0x4000_0000).set32(24, self.next).set32(28, self.exp_stat);
        self.put(&pdu);
        self.phase = Phase::Over;
    }
}
