//! The login and text exchanges (RFC 7143, sections 6 and 11.12).

use super::{IscsiSession, Phase};
use crate::error::SessionError;
use crate::event::Ending;
use tackmast_wire::iscsi::{self, field, op, Pdu, TextKey, CONTINUES, FINAL, NO_TAG};
use tackmast_wire::WireError;

/// Bytes of text that one login or text exchange may gather.
const MAX_TEXT_BYTES: usize = 64 << 10;
/// The bits of a login's flags that hold its present stage.
const CURRENT_STAGE_MASK: u8 = 0x0c;
/// The stage number that the RFC does not use; 0 is security negotiation and 1 operational negotiation.
const RESERVED_STAGE: u8 = 2;
/// The full feature stage.
const FULL_FEATURE_STAGE: u8 = 3;
/// Offset of the lowest version that the client speaks, in bytes.
const MIN_VERSION: usize = 3;
/// Offset of the class of a login's status, in bytes; its detail is behind it.
const STATUS_CLASS: usize = 36;
/// The transfer tag of a text response that expects the rest of the client's text.
const TEXT_CONTINUES_TAG: u32 = 1;

/// Why a login is refused (RFC 7143, section 11.13.5).
#[derive(Clone, Copy, Debug)]
enum LoginRefusal {
    TargetNotFound,
    UnsupportedVersion,
    MissingParameter,
    /// A session has one connection, so none can be joined.
    SessionDoesNotExist,
    /// The client may try again.
    OutOfResources,
}

impl LoginRefusal {
    /// Class and detail of the status.
    fn status(self) -> [u8; 2] {
        match self {
            LoginRefusal::TargetNotFound => [2, 3],
            LoginRefusal::UnsupportedVersion => [2, 5],
            LoginRefusal::MissingParameter => [2, 7],
            LoginRefusal::SessionDoesNotExist => [2, 10],
            LoginRefusal::OutOfResources => [3, 2],
        }
    }
}

/// The stages that a login unit names.
struct Stages {
    /// Whether the client wants to go to the next stage.
    is_transit: bool,
    next: u8,
}

impl Stages {
    fn of(pdu: &Pdu) -> Result<Stages, SessionError> {
        let (is_transit, current, next) = (pdu.has(FINAL), pdu.flags() >> 2 & 3, pdu.flags() & 3);
        let is_wrong_step = is_transit && (next == RESERVED_STAGE || next <= current);
        if current == RESERVED_STAGE || is_wrong_step {
            let expected = "a step to a later stage of 0, 1 and 3";
            return Err(SessionError::protocol("login stages", pdu.flags(), expected));
        }
        Ok(Stages { is_transit, next })
    }

    fn is_to_full_feature(&self) -> bool {
        self.is_transit && self.next == FULL_FEATURE_STAGE
    }

    /// The flags that confirm the step.
    fn transit_flags(&self) -> u8 {
        if self.is_transit {
            FINAL | self.next
        } else {
            0
        }
    }
}

impl IscsiSession {
    pub(super) fn on_login(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        if !self.has_login_begun {
            self.has_login_begun = true;
            self.expected_command = pdu.u32(field::SEQUENCE);
        }
        let mut reply = Pdu::new(op::LOGIN_RESPONSE, pdu.flags() & CURRENT_STAGE_MASK);
        reply.head[8..16].copy_from_slice(&pdu.head[8..16]);
        reply.set32(field::TASK_TAG, pdu.tag());
        if let Some(refusal) = self.refusal_before_keys(&pdu) {
            self.refuse_login(reply, refusal);
            return Ok(());
        }
        let Some(keys) = self.gather_text(&pdu)? else {
            self.send_with_status(reply);
            return Ok(());
        };
        let mut answers = self.negotiate(&keys, true);
        let stages = Stages::of(&pdu)?;
        if let Some(refusal) = self.refusal_after_keys(&stages) {
            self.refuse_login(reply, refusal);
            return Ok(());
        }
        if stages.is_to_full_feature() {
            if !self.parameters.is_discovery {
                answers.push(answer("TargetPortalGroupTag", "1"));
            }
            reply.set16(field::TARGET_SESSION_ID, self.session_id);
        }
        reply.head[1] |= stages.transit_flags();
        reply.data = encode_keys(&answers);
        self.send_with_status(reply);
        if stages.is_to_full_feature() {
            self.phase = Phase::FullFeature;
            self.input.digests = self.parameters.digests;
        }
        Ok(())
    }

    fn refusal_before_keys(&self, pdu: &Pdu) -> Option<LoginRefusal> {
        if self.is_refused {
            return Some(LoginRefusal::OutOfResources);
        }
        if pdu.head[MIN_VERSION] > 0 {
            return Some(LoginRefusal::UnsupportedVersion);
        }
        (pdu.u16(field::TARGET_SESSION_ID) != 0).then_some(LoginRefusal::SessionDoesNotExist)
    }

    fn refusal_after_keys(&self, stages: &Stages) -> Option<LoginRefusal> {
        if self.parameters.initiator.is_none() {
            return Some(LoginRefusal::MissingParameter);
        }
        if !stages.is_to_full_feature() || self.parameters.is_discovery {
            return None;
        }
        match self.parameters.target.as_deref() {
            None => Some(LoginRefusal::MissingParameter),
            Some(target) => (target != self.offer.target_name).then_some(LoginRefusal::TargetNotFound),
        }
    }

    fn refuse_login(&mut self, mut reply: Pdu, refusal: LoginRefusal) {
        reply.head[STATUS_CLASS..STATUS_CLASS + 2].copy_from_slice(&refusal.status());
        self.send_with_status(reply);
        self.close(Ending::LoginRefused);
    }

    pub(super) fn on_text(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        let continues = pdu.has(CONTINUES);
        let mut reply = Pdu::new(op::TEXT_RESPONSE, if continues { 0 } else { FINAL });
        let continuation_tag = if continues { TEXT_CONTINUES_TAG } else { NO_TAG };
        reply.set32(field::TASK_TAG, pdu.tag()).set32(field::LENGTH_OR_TAG, continuation_tag);
        if let Some(keys) = self.gather_text(pdu)? {
            reply.data = encode_keys(&self.negotiate(&keys, false));
        }
        self.send_with_status(reply);
        Ok(())
    }

    /// The answers to the client's keys.
    fn negotiate(&mut self, keys: &[TextKey], is_login: bool) -> Vec<TextKey> {
        let mut answers = Vec::new();
        for TextKey { name, value } in keys {
            if name == "SendTargets" && !is_login {
                answers.push(answer("TargetName", &self.offer.target_name));
            } else if let Some(value) = self.parameters.negotiate(&self.offer, name, value, is_login) {
                answers.push(TextKey { name: name.clone(), value });
            }
        }
        answers
    }

    /// Gathers the text of a unit; none: it continues in the next unit.
    fn gather_text(&mut self, pdu: &Pdu) -> Result<Option<Vec<TextKey>>, SessionError> {
        let length = self.text.len() + pdu.data.len();
        if length > MAX_TEXT_BYTES {
            let (found, max) = (length as u64, MAX_TEXT_BYTES as u64);
            return Err(WireError::TooLong { field: "text keys", found, max }.into());
        }
        self.text.extend_from_slice(&pdu.data);
        if pdu.has(CONTINUES) {
            return Ok(None);
        }
        let whole = self.text.split();
        Ok(Some(iscsi::read_keys(&whole)?))
    }
}

fn answer(name: &str, value: &str) -> TextKey {
    TextKey { name: name.into(), value: value.into() }
}

fn encode_keys(keys: &[TextKey]) -> bytes::Bytes {
    iscsi::write_keys(keys.iter().map(|key| (key.name.as_str(), key.value.as_str())))
}
