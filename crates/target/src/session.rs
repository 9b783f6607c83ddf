//! One session: login, the command window, the data phases, task management, and the answers' forms.

use crate::negotiate::{Agreed, Offer};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tackmast_wire::iscsi::{self, op, Pdu, Units, CONTINUES, FINAL, NO_TAG};
use tackmast_wire::scsi::{self, status, Command, Sense, Unit};
use tackmast_wire::WireError;

/// Bytes of text that one login or text exchange may gather.
const MAX_TEXT: usize = 64 << 10;

/// What the session wants from the host core.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request that is owed one answer. `command` names it within the session.
    Submit { command: u32, lun: u32, block: u64, work: Work, deadline_ms: Option<u32> },
    /// The first bytes of a write are here; the rest was asked for. Its deadline runs from now.
    Begun { command: u32 },
    /// The client no longer wants this one.
    Abort { command: u32 },
    /// All is over: close the connection once the output is written.
    Close(Ending),
    /// Something worth a line in the log.
    Note(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    Read { blocks: u32 },
    Write { data: Bytes },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    Logout,
    LoginRefused,
}

/// The one final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Done { data: Bytes },
    Rejected { retry_after_us: u64 },
    Failed,
}

/// Why a session can't go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionError {
    Wire(WireError),
    Protocol { what: &'static str, found: u64, expected: String },
}

impl std::fmt::Display for SessionError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            SessionError::Wire(e) => write!(f, "{e}"),
            SessionError::Protocol { what, found, expected } => {
                write!(f, "{what}: {found}; expected {expected}")
            }
        }
    }
}

impl From<WireError> for SessionError {
    fn from(e: WireError) -> Self {
        SessionError::Wire(e)
    }
}

fn protocol(what: &'static str, found: impl Into<u64>, expected: impl Into<String>) -> SessionError {
    SessionError::Protocol { what, found: found.into(), expected: expected.into() }
}

/// A write whose data is still coming in.
struct Upload {
    block: u64,
    data: BytesMut,
    length: usize,
    /// End of the sequence asked for last.
    asked: usize,
    data_sn: u32,
    r2t_sn: u32,
}

struct Task {
    tag: u32,
    lun: u32,
    expected: u32,
    deadline_ms: Option<u32>,
    upload: Option<Upload>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Login,
    Full,
    Over,
}

pub struct Session {
    offer: Arc<Offer>,
    units: Arc<Vec<Unit>>,
    agreed: Agreed,
    phase: Phase,
    tsih: u16,
    input: Units,
    output: BytesMut,
    events: VecDeque<Event>,
    text: BytesMut,
    exp_cmd_sn: u32,
    stat_sn: u32,
    /// Open tasks by command number.
    tasks: BTreeMap<u32, Task>,
    /// Set once: what the first login unit said of the command number.
    started: bool,
    full_house: bool,
}

impl Session {
    pub fn new(offer: Arc<Offer>, units: Arc<Vec<Unit>>, tsih: u16) -> Self {
        let most = offer.max_segment.max(8192) as usize;
        Session {
            agreed: Agreed::new(&offer),
            offer,
            units,
            phase: Phase::Login,
            tsih,
            input: Units::new(most),
            output: BytesMut::new(),
            events: VecDeque::new(),
            text: BytesMut::new(),
            exp_cmd_sn: 0,
            stat_sn: 1,
            tasks: BTreeMap::new(),
            started: false,
            full_house: false,
        }
    }

    /// Takes bytes of the client. After an error the connection must be closed; what was answered so far is
    /// in the output.
    pub fn take(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        self.input.push(bytes);
        while self.phase != Phase::Over {
            let Some(pdu) = self.input.next_unit()? else { break };
            self.unit(pdu)?;
        }
        Ok(())
    }

    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    pub fn output(&mut self) -> Bytes {
        self.output.split().freeze()
    }

    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Whether login is through.
    pub fn is_full(&self) -> bool {
        self.phase == Phase::Full
    }

    /// Bytes of output that nobody has taken yet.
    pub fn pending(&self) -> usize {
        self.output.len()
    }

    /// There is no room for this session: its login will be answered so.
    pub fn turn_away(&mut self) {
        self.full_house = true;
    }

    /// Commands that have no answer yet.
    pub fn open(&self) -> usize {
        self.tasks.len()
    }

    pub fn initiator(&self) -> &str {
        self.agreed.initiator.as_deref().unwrap_or("")
    }

    fn window_end(&self) -> u32 {
        let free = (self.offer.window as usize).saturating_sub(self.tasks.len()) as u32;
        self.exp_cmd_sn.wrapping_add(free).wrapping_sub(1)
    }

    /// Writes a unit; one that carries a status takes the next number.
    fn put(&mut self, mut pdu: Pdu, numbered: bool) {
        pdu.set32(24, self.stat_sn).set32(28, self.exp_cmd_sn);
        let end = self.window_end();
        pdu.set32(32, end);
        if numbered {
            self.stat_sn = self.stat_sn.wrapping_add(1);
        }
        let digests = if self.phase == Phase::Login { Default::default() } else { self.agreed.digests };
        iscsi::encode(&pdu, digests, &mut self.output);
    }

    fn unit(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        match (self.phase, pdu.opcode()) {
            (Phase::Login, op::LOGIN) => return self.login(pdu),
            (Phase::Login, other) => {
                return Err(protocol("operation before login", other, "a login unit, 3"))
            }
            (_, op::LOGIN) => {
                return Err(protocol("operation after login", op::LOGIN, "a full-feature unit"))
            }
            (_, op::DATA_OUT) => return self.data_out(pdu),
            _ => {}
        }
        // A NOP that answers one of ours takes no number.
        if pdu.opcode() == op::NOP_OUT && pdu.tag() == NO_TAG {
            return Ok(());
        }
        let command = pdu.u32(24);
        if !pdu.immediate() {
            let ahead = command.wrapping_sub(self.exp_cmd_sn);
            let room = self.window_end().wrapping_add(1).wrapping_sub(self.exp_cmd_sn);
            if ahead >= room {
                // Section 4.2.2.1: what lies outside the window is ignored; the client learns the window from
                // the next unit that it is sent.
                let line =
                    format!("command {command} is outside the window; expected {} to {}", self.exp_cmd_sn, {
                        self.window_end()
                    });
                self.events.push_back(Event::Note(line));
                return Ok(());
            }
            if ahead > 0 {
                return Err(protocol("command number", command, format!("{} next", self.exp_cmd_sn)));
            }
            self.exp_cmd_sn = self.exp_cmd_sn.wrapping_add(1);
        }
        match pdu.opcode() {
            op::NOP_OUT => {
                let mut reply = Pdu::new(op::NOP_IN, FINAL);
                reply.set32(16, pdu.tag()).set32(20, NO_TAG);
                reply.data = pdu.data.slice(..pdu.data.len().min(self.agreed.client_segment as usize));
                self.put(reply, true);
            }
            op::COMMAND => self.command(command, pdu)?,
            op::TASK => self.manage(pdu),
            op::TEXT => self.text(pdu)?,
            op::LOGOUT => {
                let mut reply = Pdu::new(op::LOGOUT_RESPONSE, FINAL);
                reply.set32(16, pdu.tag());
                self.put(reply, true);
                self.events.push_back(Event::Close(Ending::Logout));
                self.phase = Phase::Over;
            }
            other => {
                self.events.push_back(Event::Note(format!("operation {other:#04x} is not served; rejected")));
                // Reason 5: command not supported (section 11.17.1).
                let mut reply = Pdu::new(op::REJECT, FINAL);
                reply.head[2] = 0x05;
                reply.set32(16, NO_TAG);
                reply.data = Bytes::copy_from_slice(&pdu.head);
                self.put(reply, true);
            }
        }
        Ok(())
    }

    fn gather(&mut self, pdu: &Pdu) -> Result<Option<Vec<iscsi::TextKey>>, SessionError> {
        if self.text.len() + pdu.data.len() > MAX_TEXT {
            let found = (self.text.len() + pdu.data.len()) as u64;
            return Err(WireError::TooLong { field: "text keys", found, max: MAX_TEXT as u64 }.into());
        }
        self.text.extend_from_slice(&pdu.data);
        if pdu.has(CONTINUES) {
            return Ok(None);
        }
        let whole = self.text.split();
        Ok(Some(iscsi::read_keys(&whole)?))
    }

    fn login(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        if !self.started {
            self.started = true;
            self.exp_cmd_sn = pdu.u32(24);
        }
        let mut reply = Pdu::new(op::LOGIN_RESPONSE, pdu.flags() & 0x0c);
        reply.head[8..16].copy_from_slice(&pdu.head[8..16]);
        reply.set32(16, pdu.tag());
        let refuse = |session: &mut Self, mut reply: Pdu, class: u8, detail: u8| {
            (reply.head[36], reply.head[37]) = (class, detail);
            session.put(reply, true);
            session.events.push_back(Event::Close(Ending::LoginRefused));
            session.phase = Phase::Over;
            Ok(())
        };
        if self.full_house {
            return refuse(self, reply, 3, 2); // out of resources: the client may try again
        }
        if pdu.head[3] > 0 {
            return refuse(self, reply, 2, 5); // no version in common
        }
        if pdu.u16(14) != 0 {
            return refuse(self, reply, 2, 10); // no session to join: each has one connection
        }
        let Some(keys) = self.gather(&pdu)? else {
            self.put(reply, true);
            return Ok(());
        };
        let offer = self.offer.clone();
        let mut answers: Vec<(String, String)> = Vec::new();
        for iscsi::TextKey { name: key, value } in &keys {
            if let Some(answer) = self.agreed.take(&offer, key, value, true) {
                answers.push((key.clone(), answer));
            }
        }
        // Stages (section 11.12.3): 0 security, 1 operational, 3 full feature; 2 is none.
        let (transit, now, next) = (pdu.has(FINAL), pdu.flags() >> 2 & 3, pdu.flags() & 3);
        if now == 2 || (transit && (next == 2 || next <= now)) {
            return Err(protocol("login stages", pdu.flags(), "a step to a later stage of 0, 1 and 3"));
        }
        if self.agreed.initiator.is_none() {
            return refuse(self, reply, 2, 7); // missing parameter
        }
        if transit && next == 3 {
            let known = self.agreed.target.as_deref() == Some(offer.target_name.as_str());
            if !known && !self.agreed.discovery {
                let detail = if self.agreed.target.is_some() { 3 } else { 7 };
                return refuse(self, reply, 2, detail);
            }
            if !self.agreed.discovery {
                answers.push(("TargetPortalGroupTag".into(), "1".into()));
            }
            reply.set16(14, self.tsih);
        }
        reply.head[1] |= if transit { FINAL | next } else { 0 };
        reply.data = iscsi::write_keys(answers.iter().map(|(k, v)| (k.as_str(), v.as_str())));
        self.put(reply, true);
        if transit && next == 3 {
            self.phase = Phase::Full;
            self.input.digests = self.agreed.digests;
        }
        Ok(())
    }

    fn text(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let mut reply = Pdu::new(op::TEXT_RESPONSE, if pdu.has(CONTINUES) { 0 } else { FINAL });
        reply.set32(16, pdu.tag()).set32(20, if pdu.has(CONTINUES) { 1 } else { NO_TAG });
        if let Some(keys) = self.gather(&pdu)? {
            let offer = self.offer.clone();
            let mut answers = Vec::new();
            for iscsi::TextKey { name: key, value } in &keys {
                if key == "SendTargets" {
                    answers.push(("TargetName".to_owned(), offer.target_name.clone()));
                } else if let Some(answer) = self.agreed.take(&offer, key, value, false) {
                    answers.push((key.clone(), answer));
                }
            }
            reply.data = iscsi::write_keys(answers.iter().map(|(k, v)| (k.as_str(), v.as_str())));
        }
        self.put(reply, true);
        Ok(())
    }

    fn manage(&mut self, pdu: Pdu) {
        let referenced = pdu.u32(20);
        let response = match pdu.flags() & 0x7f {
            // ABORT TASK (section 11.5.1): the task has no further answer.
            1 => match self.tasks.iter().find(|(_, t)| t.tag == referenced).map(|(c, _)| *c) {
                Some(command) => {
                    self.tasks.remove(&command);
                    self.events.push_back(Event::Abort { command });
                    0
                }
                None => 1, // no such task
            },
            _ => 5, // not supported
        };
        let mut reply = Pdu::new(op::TASK_RESPONSE, FINAL);
        reply.head[2] = response;
        reply.set32(16, pdu.tag());
        self.put(reply, true);
    }

    fn command(&mut self, command: u32, pdu: Pdu) -> Result<(), SessionError> {
        let tag = pdu.tag();
        if self.agreed.discovery {
            return Err(protocol("operation in a discovery session", op::COMMAND, "text or logout"));
        }
        if self.tasks.values().any(|t| t.tag == tag) || self.tasks.contains_key(&command) {
            return Err(protocol("task tag", tag, "a tag or number that no open command holds"));
        }
        // Immediate commands are outside the window; only that many more are kept (section 4.2.2.1).
        if pdu.immediate() && self.tasks.len() >= 2 * self.offer.window as usize {
            return Err(protocol("immediate commands", self.tasks.len() as u64, "fewer open ones"));
        }
        let expected = pdu.u32(20);
        let lun = pdu.lun();
        let unit = lun.and_then(|l| self.units.iter().find(|u| u.lun == l)).cloned();
        // A command's own deadline, within what the target takes; else the session's.
        let (least, most) = self.offer.deadline_ms;
        let own = pdu.deadline().filter(|_| self.agreed.command_deadline);
        let own = own.map(|us| ((us / 1000).min(u64::from(u32::MAX)) as u32).clamp(least, most.max(least)));
        let deadline_ms = own.or(self.agreed.deadline_ms);
        let task = Task { tag, lun: lun.unwrap_or(0), expected, deadline_ms, upload: None };
        let parsed = Command::parse(&pdu.cdb());
        let simple = match (parsed, &unit) {
            (Err(sense), _) => Err(sense),
            (Ok(Command::Inquiry { page, allocation_length }), u) => {
                scsi::inquiry(u.as_ref(), page).map(|d| (d, allocation_length))
            }
            (Ok(Command::ReportLuns { allocation_length }), _) => {
                Ok((scsi::report_luns(&self.units), allocation_length))
            }
            (Ok(Command::RequestSense { allocation_length }), _) => {
                Ok((Bytes::copy_from_slice(&Sense(0, 0, 0).fixed()), allocation_length))
            }
            (Ok(_), None) => Err(Sense::NO_SUCH_UNIT),
            (Ok(Command::TestUnitReady | Command::Synchronize), Some(_)) => Ok((Bytes::new(), 0)),
            (Ok(Command::ReadCapacity10), Some(u)) => Ok((scsi::capacity10(u), 8)),
            (Ok(Command::ReadCapacity16 { allocation_length }), Some(u)) => {
                Ok((scsi::capacity16(u), allocation_length))
            }
            (Ok(Command::ModeSense { long: false, allocation_length }), Some(_)) => {
                Ok((scsi::mode_sense6(), allocation_length))
            }
            (Ok(Command::ModeSense { long: true, allocation_length }), Some(_)) => {
                Ok((scsi::mode_sense10(), allocation_length))
            }
            (Ok(Command::Read { block, blocks }), Some(u)) => {
                return self.request(command, task, u, block, blocks, None)
            }
            (Ok(Command::Write { block, blocks }), Some(u)) => {
                return self.request(command, task, u, block, blocks, Some(pdu.data))
            }
        };
        match simple {
            Ok((data, most)) => {
                let data = data.slice(..data.len().min(most as usize));
                self.data_in(&task, data);
            }
            Err(sense) => self.check(&task, sense),
        }
        Ok(())
    }

    fn request(
        &mut self,
        command: u32,
        mut task: Task,
        unit: &Unit,
        block: u64,
        blocks: u32,
        upload: Option<Bytes>,
    ) -> Result<(), SessionError> {
        let bytes = u64::from(blocks) * u64::from(unit.block_bytes);
        let problem = if block.checked_add(u64::from(blocks)).is_none_or(|end| end > unit.blocks) {
            Some(Sense::OUT_OF_RANGE)
        } else if blocks > unit.max_blocks || bytes > u64::from(self.offer.max_command) {
            Some(Sense::INVALID_FIELD)
        } else if upload.is_some() && u64::from(task.expected) != bytes {
            Some(Sense::SHORT_DATA)
        } else {
            None
        };
        if let Some(sense) = problem {
            self.check(&task, sense);
            return Ok(());
        }
        if blocks == 0 {
            self.respond(&task, status::GOOD, 0, Bytes::new());
            return Ok(());
        }
        let (deadline_ms, lun) = (task.deadline_ms, task.lun);
        let Some(first) = upload else {
            self.tasks.insert(command, task);
            self.events.push_back(Event::Submit {
                command,
                lun,
                block,
                work: Work::Read { blocks },
                deadline_ms,
            });
            return Ok(());
        };
        let room = if self.agreed.immediate { self.agreed.first_burst as usize } else { 0 };
        if first.len() > room.min(bytes as usize) {
            return Err(protocol("immediate data", first.len() as u64, format!("at most {room} bytes")));
        }
        if first.len() == bytes as usize {
            self.tasks.insert(command, task);
            self.events.push_back(Event::Submit {
                command,
                lun,
                block,
                work: Work::Write { data: first },
                deadline_ms,
            });
            return Ok(());
        }
        let mut data = BytesMut::with_capacity(bytes as usize);
        data.extend_from_slice(&first);
        task.upload =
            Some(Upload { block, asked: first.len(), data, length: bytes as usize, data_sn: 0, r2t_sn: 0 });
        self.tasks.insert(command, task);
        self.events.push_back(Event::Begun { command });
        self.solicit(command);
        Ok(())
    }

    /// Asks for the next sequence of a write's data.
    fn solicit(&mut self, command: u32) {
        let most = self.agreed.max_burst as usize;
        let Some(task) = self.tasks.get_mut(&command) else { return };
        let Some(up) = task.upload.as_mut() else { return };
        let length = (up.length - up.asked).min(most);
        let mut pdu = Pdu::new(op::R2T, FINAL);
        pdu.set_lun(task.lun).set32(16, task.tag).set32(20, command);
        pdu.set32(36, up.r2t_sn).set32(40, up.asked as u32).set32(44, length as u32);
        up.asked += length;
        up.r2t_sn += 1;
        up.data_sn = 0;
        self.put(pdu, false);
    }

    fn data_out(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let (tag, command) = (pdu.tag(), pdu.u32(20));
        let Some(task) = self.tasks.get_mut(&command).filter(|t| t.tag == tag) else {
            // The tail of a write that was aborted or answered meanwhile.
            return Ok(());
        };
        let Some(up) = task.upload.as_mut() else {
            return Err(protocol("data for task", tag, "a write that was asked for its data"));
        };
        if pdu.u32(36) != up.data_sn {
            return Err(protocol("data number", pdu.u32(36), up.data_sn.to_string()));
        }
        if pdu.u32(40) as usize != up.data.len() || up.data.len() + pdu.data.len() > up.asked {
            let expected = format!("{} to {}", up.data.len(), up.asked);
            return Err(protocol("data offset", pdu.u32(40), expected));
        }
        up.data.extend_from_slice(&pdu.data);
        up.data_sn += 1;
        if pdu.has(FINAL) && up.data.len() != up.asked {
            return Err(protocol("data sequence end", up.data.len() as u64, up.asked.to_string()));
        }
        if up.data.len() < up.asked {
            return Ok(());
        }
        if up.data.len() < up.length {
            self.solicit(command);
            return Ok(());
        }
        let (block, data, lun) = (up.block, up.data.split().freeze(), task.lun);
        task.upload = None;
        let (work, deadline_ms) = (Work::Write { data }, task.deadline_ms);
        self.events.push_back(Event::Submit { command, lun, block, work, deadline_ms });
        Ok(())
    }

    /// The host's final answer. One for a task that was aborted meanwhile goes nowhere; false tells so.
    pub fn answer(&mut self, command: u32, verdict: Verdict) -> bool {
        if self.phase != Phase::Full {
            return false;
        }
        let Some(task) = self.tasks.remove(&command) else { return false };
        match verdict {
            Verdict::Done { data } if data.is_empty() => self.respond(&task, status::GOOD, 0, Bytes::new()),
            Verdict::Done { data } => self.data_in(&task, data),
            Verdict::Rejected { retry_after_us } => {
                // With the vendor key, the time stands to the microsecond in the response data, behind an
                // empty sense length (RFC 7143, section 11.4.7); the qualifier counts in steps of 100 ms.
                let mut exact = BytesMut::new();
                if self.agreed.exact_delay {
                    exact.extend_from_slice(&[0, 0]);
                    exact.extend_from_slice(&u32::try_from(retry_after_us).unwrap_or(u32::MAX).to_be_bytes());
                }
                self.respond(&task, status::BUSY, scsi::retry_delay(retry_after_us), exact.freeze())
            }
            Verdict::Failed => self.check(&task, Sense::FAILED),
        }
        true
    }

    fn check(&mut self, task: &Task, sense: Sense) {
        self.respond(task, status::CHECK_CONDITION, 0, sense.to_segment());
    }

    /// A SCSI response; the qualifier stands where RFC 7144, section 4.1 puts it.
    fn respond(&mut self, task: &Task, code: u8, qualifier: u16, data: Bytes) {
        let mut pdu = Pdu::new(op::RESPONSE, FINAL);
        pdu.head[3] = code;
        pdu.set16(8, if self.agreed.level >= 2 { qualifier } else { 0 });
        pdu.set32(16, task.tag);
        pdu.data = data;
        self.put(pdu, true);
    }

    /// Data towards the client, the status in the last unit of it.
    fn data_in(&mut self, task: &Task, data: Bytes) {
        if data.is_empty() {
            return self.respond(task, status::GOOD, 0, Bytes::new());
        }
        let (most, expected) = (self.agreed.client_segment as usize, task.expected as usize);
        let (over, under) = (data.len().saturating_sub(expected), expected.saturating_sub(data.len()));
        let data = data.slice(..data.len().min(expected));
        if data.is_empty() {
            return self.respond(task, status::GOOD, 0, Bytes::new());
        }
        let mut sent = 0;
        let mut number = 0;
        while sent < data.len() {
            let n = most.min(data.len() - sent);
            let last = sent + n == data.len();
            let mut pdu = Pdu::new(op::DATA_IN, 0);
            pdu.set32(16, task.tag).set32(20, NO_TAG).set32(36, number).set32(40, sent as u32);
            if last {
                pdu.head[1] |= FINAL | iscsi::STATUS_HERE;
                pdu.head[1] |= if over > 0 { iscsi::OVERFLOW } else { 0 };
                pdu.head[1] |= if under > 0 { iscsi::UNDERFLOW } else { 0 };
                pdu.head[3] = status::GOOD;
                pdu.set32(44, over.max(under) as u32);
            }
            pdu.data = data.slice(sent..sent + n);
            self.put(pdu, last);
            sent += n;
            number += 1;
        }
    }
}
