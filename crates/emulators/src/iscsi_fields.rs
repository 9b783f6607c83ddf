//! Where the fields of iSCSI units stand in their header (RFC 7143, section 11), in bytes. Several kinds of unit use one place for
//! different fields; here each has the name by which the emulators use it.

use tackmast_wire::iscsi::field;

/// Status of a SCSI command, in its response.
pub(crate) const STATUS: usize = 3;
/// Retry-after of a rejected command in units of 100 ms, in the lowest 14 bits.
pub(crate) const RETRY_AFTER: usize = field::STATUS_QUALIFIER;
/// Unit number and target transfer tag of a request for data, which the data repeats.
pub(crate) const LUN: std::ops::Range<usize> = 8..16;
/// The initiator's session identifier of a login.
pub(crate) const INITIATOR_SESSION: std::ops::Range<usize> = 8..14;
/// Number of the session at the target.
pub(crate) const SESSION_HANDLE: usize = field::TARGET_SESSION_ID;
/// The initiator's tag of a command.
pub(crate) const TASK_TAG: usize = field::TASK_TAG;
/// Bytes that a command transfers.
pub(crate) const EXPECTED_BYTES: usize = field::LENGTH_OR_TAG;
/// Tag of the command that a task management request is about.
pub(crate) const REFERENCED_TAG: usize = field::LENGTH_OR_TAG;
/// Target Transfer Tag: the target's tag of a request for data or a ping.
pub(crate) const TARGET_TAG: usize = field::LENGTH_OR_TAG;
/// CmdSN of a request.
pub(crate) const COMMAND_NUMBER: usize = field::SEQUENCE;
/// StatSN of a response.
pub(crate) const STATUS_NUMBER: usize = field::SEQUENCE;
/// ExpStatSN of a request.
pub(crate) const EXPECTED_STATUS: usize = field::EXPECTED_SEQUENCE;
/// ExpCmdSN of a response.
pub(crate) const EXPECTED_COMMAND: usize = field::EXPECTED_SEQUENCE;
/// MaxCmdSN of a response: the end of the command window.
pub(crate) const MAX_COMMAND: usize = field::MAX_COMMAND;
/// RefCmdSN of a task management request.
pub(crate) const REFERENCED_COMMAND: usize = field::MAX_COMMAND;
/// The bytes of a SCSI command.
pub(crate) const CDB: std::ops::RangeFrom<usize> = 32..;
/// Status class of a login response; 0: success.
pub(crate) const LOGIN_STATUS_CLASS: usize = 36;
/// Status detail of a login response.
pub(crate) const LOGIN_STATUS_DETAIL: usize = 37;
/// DataSN of a piece of data.
pub(crate) const DATA_NUMBER: usize = field::DATA_NUMBER;
/// Where data stands within the command's buffer.
pub(crate) const BUFFER_OFFSET: usize = field::DATA_OFFSET;
/// Bytes that the target asks for.
pub(crate) const DESIRED_BYTES: usize = field::DESIRED_LENGTH;
