//! The login and text exchanges (RFC 7143, sections 6 and 11.12).

use super::{IscsiSession, Phase};
use crate::error::SessionError;
use crate::event::Ending;
use tackmast_wire::iscsi::{self, field, op, Pdu, TextKey, CONTINUES, FINAL, NO_TAG};
use tackmast_wire::WireError;

/// The most text that one login or text exchange may hold, in bytes.
const MAX_TEXT_BYTES: usize = 64 << 10;
/// The bits of a login request's flags that hold the current stage.
const CURRENT_STAGE_MASK: u8 = 0x0c;
/// The stage number that the RFC reserves. 0 is security negotiation and 1 is operational negotiation.
const RESERVED_STAGE: u8 = 2;
/// The stage number of the full feature phase.
const FULL_FEATURE_STAGE: u8 = 3;
/// The offset of the lowest version that the client supports (Version-min), in bytes.
const MIN_VERSION: usize = 3;
/// The offset of a login response's status class, in bytes. The status detail follows it.
const STATUS_CLASS: usize = 36;
/// The target transfer tag of a text response that expects more text from the client.
const TEXT_CONTINUES_TAG: u32 = 1;

/// A reason for refusing a login (RFC 7143, section 11.13.5).
#[derive(Clone, Copy, Debug)]
enum LoginRefusal {
    TargetNotFound,
    UnsupportedVersion,
    MissingParameter,
    /// The client asked to join a session. A session has only one connection, so none can be joined.
    SessionDoesNotExist,
    /// The host has reached its limit of sessions, and the client may try again later.
    OutOfResources,
}

impl LoginRefusal {
    /// Returns the status class and the status detail.
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

/// The stage transition that a login request asks for.
struct Stages {
    /// Whether the client asks to move to the next stage (the T bit).
    is_transit: bool,
    next: u8,
}

impl Stages {
    fn from_pdu(pdu: &Pdu) -> Result<Stages, SessionError> {
        let (is_transit, current, next) = (pdu.has(FINAL), pdu.flags() >> 2 & 3, pdu.flags() & 3);
        let is_invalid_transition = is_transit && (next == RESERVED_STAGE || next <= current);
        if current == RESERVED_STAGE || is_invalid_transition {
            let expected = "a transition to a later stage of 0, 1 and 3";
            return Err(SessionError::protocol("login stages", pdu.flags(), expected));
        }
        Ok(Stages { is_transit, next })
    }

    fn is_to_full_feature(&self) -> bool {
        self.is_transit && self.next == FULL_FEATURE_STAGE
    }

    /// Returns the flags of a response that confirm the transition.
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
        let stages = Stages::from_pdu(&pdu)?;
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

    /// Negotiates the client's keys and returns the target's answers.
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

    /// Collects the text of a PDU. Returns the keys of the whole text, or `None` if it continues in the next PDU.
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
