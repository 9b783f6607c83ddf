//! The iSCSI login: the keys that the session offers and the parameters that result from the target's answer.

use super::{IscsiClient, Phase, IMMEDIATE};
use crate::operation::VolumeAddress;
use crate::transport::{SessionEvent, TransportError};
use std::collections::HashMap;
use tackmast::interface::TimeDelta;
use tackmast_wire::iscsi::{self, field, op, Digests, Pdu, FINAL};
use tackmast_wire::scsi::Command;

/// Default of MaxRecvDataSegmentLength, in bytes (RFC 7143, section 13.12).
pub(super) const DEFAULT_SEGMENT_BYTES: usize = 8192;
/// Default of FirstBurstLength, in bytes (RFC 7143, section 13.14).
const DEFAULT_FIRST_BURST_BYTES: usize = 65536;
/// Value of MaxRecvDataSegmentLength that the initiator declares, in bytes.
const MAX_SEGMENT: &str = "262144";
/// Flags of a login request that moves from the operational stage to the full feature phase (RFC 7143, section 11.12).
const TO_FULL_FEATURE: u8 = FINAL | 1 << 2 | 3;
/// Initiator part of the session identifier (ISID): type random, value 1 (RFC 7143, section 11.12.5).
const INITIATOR_SESSION_ID: [u8; 6] = [0x80, 0, 0, 0, 0, 1];
/// Status class of a login response that refuses this login while a later one may succeed (RFC 7143, section 11.13.5).
const TARGET_ERROR: u8 = 3;
/// Length in bytes of the parameter data of READ CAPACITY (16).
const CAPACITY_BYTES: u32 = 32;

/// Returns the login request, the first message of a session.
pub(super) fn request(
    address: &VolumeAddress,
    digests: Digests,
    deadline: TimeDelta,
    public_only: bool,
) -> Pdu {
    let digest = |is_on| if is_on { "CRC32C" } else { "None" };
    let deadline_ms = format!("{}", (deadline.secs() * 1e3).ceil().max(1.0) as u64);
    let mut keys = vec![
        ("InitiatorName", "iqn.2026-12.org.tackmast:client"),
        ("TargetName", address.target.as_str()),
        ("SessionType", "Normal"),
        ("HeaderDigest", digest(digests.header)),
        ("DataDigest", digest(digests.data)),
        ("MaxRecvDataSegmentLength", MAX_SEGMENT),
        ("FirstBurstLength", "65536"),
        ("MaxBurstLength", "262144"),
        ("ImmediateData", "Yes"),
        ("InitialR2T", "Yes"),
    ];
    if !public_only {
        keys.push(("iSCSIProtocolLevel", "2"));
        keys.push(("X-org.tackmast.ExactDelay", "Yes"));
        keys.push(("X-org.tackmast.CommandExpiry", "Yes"));
        keys.push(("X-org.tackmast.ExpiryMs", &deadline_ms));
    }
    let mut pdu = Pdu::new(op::LOGIN | IMMEDIATE, TO_FULL_FEATURE);
    pdu.head[8..14].copy_from_slice(&INITIATOR_SESSION_ID);
    pdu.set32(field::TASK_TAG, 1).set32(field::SEQUENCE, 1);
    pdu.data = iscsi::write_keys(keys);
    pdu
}

/// The keys of the target's login response.
struct NegotiatedKeys(HashMap<String, String>);

impl NegotiatedKeys {
    fn read(pdu: &Pdu) -> Result<Self, TransportError> {
        let keys = iscsi::read_keys(&pdu.data)?;
        Ok(NegotiatedKeys(keys.into_iter().map(|key| (key.name, key.value)).collect()))
    }

    fn number(&self, key: &str, default: usize) -> usize {
        self.0.get(key).and_then(|value| value.parse().ok()).unwrap_or(default)
    }

    fn has_value(&self, key: &str, expected: &str) -> Option<bool> {
        self.0.get(key).map(|value| value == expected)
    }
}

impl IscsiClient {
    pub(super) fn on_login_response(&mut self, pdu: &Pdu) -> Result<(), TransportError> {
        if pdu.opcode() != op::LOGIN_RESPONSE {
            return Err(TransportError::UnexpectedDuringLogin { opcode: pdu.opcode() });
        }
        let (class, detail) = (pdu.head[36], pdu.head[37]);
        if class != 0 {
            self.phase = Phase::Closed;
            let reason = format!("login refused: class {class}, detail {detail}");
            let may_reconnect = class == TARGET_ERROR;
            self.events.push_back(SessionEvent::Refused { reason, may_reconnect });
            return Ok(());
        }
        self.apply(&NegotiatedKeys::read(pdu)?);
        self.next_command = pdu.u32(field::EXPECTED_SEQUENCE);
        self.max_command = pdu.u32(field::MAX_COMMAND);
        self.expected_status = pdu.u32(field::SEQUENCE).wrapping_add(1);
        self.phase = Phase::Capacity;
        let command = Command::ReadCapacity16 { allocation_length: CAPACITY_BYTES };
        self.send_own_command(command, CAPACITY_BYTES);
        Ok(())
    }

    fn apply(&mut self, keys: &NegotiatedKeys) {
        let has_digest = |key| keys.has_value(key, "CRC32C").unwrap_or(false);
        self.digests = Digests { header: has_digest("HeaderDigest"), data: has_digest("DataDigest") };
        self.input.digests = self.digests;
        let parameters = &mut self.parameters;
        parameters.first_burst = keys.number("FirstBurstLength", DEFAULT_FIRST_BURST_BYTES);
        parameters.max_segment = keys.number("MaxRecvDataSegmentLength", DEFAULT_SEGMENT_BYTES);
        parameters.immediate_data = keys.has_value("ImmediateData", "Yes").unwrap_or(true);
        parameters.command_deadlines = keys.has_value("X-org.tackmast.CommandExpiry", "Yes").unwrap_or(false);
    }
}
