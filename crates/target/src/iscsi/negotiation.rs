//! Text negotiation (RFC 7143, sections 6 and 13): the parameters of a session, and the answers to its client's keys.

use crate::offer::Offer;
use std::ops::RangeInclusive;
use tackmast_wire::iscsi::Digests;

/// The vendor key (section 6.2) for the deadline of the session's commands, in milliseconds.
const DEADLINE_KEY: &str = "X-org.tackmast.ExpiryMs";
/// The vendor key for whether a rejection carries its retry-after in microseconds, in the response data.
const DELAY_KEY: &str = "X-org.tackmast.ExactDelay";
/// The vendor key for whether commands may carry a deadline of their own, in an additional header segment.
const COMMAND_KEY: &str = "X-org.tackmast.CommandExpiry";

/// The largest data segment of a PDU to a client that declares no limit, in bytes (section 13.12).
const DEFAULT_SEGMENT_BYTES: u32 = 8192;
/// The data segment lengths that the RFC allows, in bytes (section 13.12).
const SEGMENT_BYTES: RangeInclusive<u32> = 512..=0xff_ffff;
/// The first burst length if the client negotiates none, in bytes (section 13.14).
const DEFAULT_FIRST_BURST_BYTES: u32 = 65_536;
/// The maximum burst length if the client negotiates none, in bytes (section 13.13).
const DEFAULT_MAX_BURST_BYTES: u32 = 262_144;
/// The smallest burst length that the RFC allows, in bytes.
const MIN_BURST_BYTES: u32 = 512;
/// The seconds that a client waits before it connects again (DefaultTime2Wait, section 13.15): the RFC's default, up to
/// the longest wait that it allows.
const TIME_TO_WAIT_SECS: RangeInclusive<u32> = 2..=3600;
/// The highest protocol level that the target supports (RFC 7144, section 7).
const MAX_PROTOCOL_LEVEL: u32 = 2;

/// The parameters that a session has negotiated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct NegotiatedParameters {
    pub(super) digests: Digests,
    /// The largest data segment of a PDU to the client, in bytes.
    pub(super) max_segment_to_client: u32,
    /// Whether a command may carry immediate data.
    pub(super) immediate_data: bool,
    /// The most immediate data of a command, in bytes.
    pub(super) first_burst: u32,
    /// The most data that the target solicits with one R2T, in bytes.
    pub(super) max_burst: u32,
    /// The deadline of commands that carry none, in milliseconds; `None` if the client negotiated none.
    pub(super) deadline_ms: Option<u32>,
    /// Whether a rejection carries its retry-after in microseconds.
    pub(super) exact_delay: bool,
    /// Whether commands may carry a deadline of their own.
    pub(super) command_deadlines: bool,
    /// The protocol level of RFC 7144. From level 2 on, responses carry status qualifiers.
    pub(super) protocol_level: u32,
    /// The client's iSCSI name.
    pub(super) initiator: Option<String>,
    /// The name of the target that the client wants to use.
    pub(super) target: Option<String>,
    /// Whether this is a discovery session.
    pub(super) is_discovery: bool,
}

impl NegotiatedParameters {
    /// Returns the parameters before any negotiation: the defaults of section 13, limited to the offer.
    pub(super) fn new(offer: &Offer) -> Self {
        NegotiatedParameters {
            digests: Digests::default(),
            max_segment_to_client: DEFAULT_SEGMENT_BYTES,
            immediate_data: true,
            first_burst: offer.first_burst.min(DEFAULT_FIRST_BURST_BYTES),
            max_burst: offer.max_burst.min(DEFAULT_MAX_BURST_BYTES),
            deadline_ms: None,
            exact_delay: false,
            command_deadlines: false,
            protocol_level: 1,
            initiator: None,
            target: None,
            is_discovery: false,
        }
    }

    /// Negotiates one key of the client. Returns the answer, or `None` if the key needs no answer.
    pub(super) fn negotiate(
        &mut self,
        offer: &Offer,
        key: &str,
        value: &str,
        is_login: bool,
    ) -> Option<String> {
        match key {
            "InitiatorAlias" => None,
            "MaxRecvDataSegmentLength" => self.declare_segment(offer, value),
            "IFMarker" | "OFMarker" => Some("No".to_owned()),
            "IFMarkInt" | "OFMarkInt" => Some("Irrelevant".to_owned()),
            DELAY_KEY => negotiate_flag(value, &mut self.exact_delay),
            COMMAND_KEY => negotiate_flag(value, &mut self.command_deadlines),
            DEADLINE_KEY => self.negotiate_deadline(offer, value),
            key if is_login => self.negotiate_at_login(offer, key, value),
            _ => not_understood(),
        }
    }

    fn negotiate_at_login(&mut self, offer: &Offer, key: &str, value: &str) -> Option<String> {
        match key {
            "InitiatorName" => {
                self.initiator = Some(value.to_owned());
                None
            }
            "TargetName" => {
                self.target = Some(value.to_owned());
                None
            }
            "SessionType" => self.choose_session_type(value),
            "AuthMethod" => {
                let offers_none = value.split(',').any(|method| method == "None");
                Some(if offers_none { "None" } else { "Reject" }.to_owned())
            }
            "HeaderDigest" => choose_digest(value, &mut self.digests.header),
            "DataDigest" => choose_digest(value, &mut self.digests.data),
            "FirstBurstLength" => negotiate_burst(value, offer.first_burst, &mut self.first_burst),
            "MaxBurstLength" => negotiate_burst(value, offer.max_burst, &mut self.max_burst),
            "ImmediateData" => negotiate_flag(value, &mut self.immediate_data),
            // Data that is not immediate must be solicited and in order, over one connection, without error recovery.
            "InitialR2T" | "DataPDUInOrder" | "DataSequenceInOrder" => Some("Yes".to_owned()),
            "MaxConnections" | "MaxOutstandingR2T" => Some("1".to_owned()),
            "ErrorRecoveryLevel" | "DefaultTime2Retain" => Some("0".to_owned()),
            "DefaultTime2Wait" => {
                let (min, max) = (*TIME_TO_WAIT_SECS.start(), *TIME_TO_WAIT_SECS.end());
                Some(number(value).map_or(min, |secs| secs.clamp(min, max)).to_string())
            }
            "iSCSIProtocolLevel" => self.negotiate_level(value),
            _ => not_understood(),
        }
    }

    fn choose_session_type(&mut self, value: &str) -> Option<String> {
        match value {
            "Normal" | "Discovery" => {
                self.is_discovery = value == "Discovery";
                None
            }
            _ => reject(),
        }
    }

    /// Stores the client's declared segment length and returns the target's own. The key is declarative: each side
    /// declares its own limit (section 13.12).
    fn declare_segment(&mut self, offer: &Offer, value: &str) -> Option<String> {
        let Some(length) = number(value).filter(|length| SEGMENT_BYTES.contains(length)) else {
            return reject();
        };
        self.max_segment_to_client = length;
        Some(offer.max_segment.to_string())
    }

    fn negotiate_level(&mut self, value: &str) -> Option<String> {
        let Some(level) = number(value) else { return reject() };
        self.protocol_level = level.clamp(1, MAX_PROTOCOL_LEVEL);
        Some(self.protocol_level.to_string())
    }

    fn negotiate_deadline(&mut self, offer: &Offer, value: &str) -> Option<String> {
        let Some(deadline_ms) = number(value).filter(|millis| *millis > 0) else { return reject() };
        let deadline_ms = offer.clamp_deadline_ms(deadline_ms);
        self.deadline_ms = Some(deadline_ms);
        Some(deadline_ms.to_string())
    }
}

fn number(value: &str) -> Option<u32> {
    value.parse().ok()
}

fn reject() -> Option<String> {
    Some("Reject".to_owned())
}

fn not_understood() -> Option<String> {
    Some("NotUnderstood".to_owned())
}

fn negotiate_flag(value: &str, flag: &mut bool) -> Option<String> {
    match value {
        "Yes" | "No" => {
            *flag = value == "Yes";
            Some(value.to_owned())
        }
        _ => reject(),
    }
}

/// Negotiates a burst length. The result is the smaller of both sides' lengths.
fn negotiate_burst(value: &str, offered: u32, negotiated: &mut u32) -> Option<String> {
    let Some(length) = number(value).filter(|length| *length >= MIN_BURST_BYTES) else { return reject() };
    *negotiated = length.min(offered);
    Some(negotiated.to_string())
}

/// Chooses the first digest in the client's list that the target supports.
fn choose_digest(value: &str, is_on: &mut bool) -> Option<String> {
    let chosen = value.split(',').find(|digest| ["CRC32C", "None"].contains(digest));
    *is_on = chosen == Some("CRC32C");
    chosen.map_or_else(reject, |digest| Some(digest.to_owned()))
}
