//! Offsets of fields in a unit's header, in bytes (RFC 7143, section 11).

/// Status qualifier of a SCSI response (RFC 7144, section 4.1).
pub const STATUS_QUALIFIER: usize = 8;
/// Identifier of the session at the target, in a login.
pub const TARGET_SESSION_ID: usize = 14;
/// Initiator task tag.
pub const TASK_TAG: usize = 16;
/// Expected data length of a command, tag of the task that an abort is for, and target transfer tag elsewhere.
pub const LENGTH_OR_TAG: usize = 20;
/// Command sequence number from the client, status sequence number from the target.
pub const SEQUENCE: usize = 24;
/// Expected status sequence number from the client, expected command sequence number from the target.
pub const EXPECTED_SEQUENCE: usize = 28;
/// Last command sequence number that the target takes; number of the command that an abort is for.
pub const MAX_COMMAND: usize = 32;
/// Number of a data unit in its sequence, or of a request for data in its command.
pub const DATA_NUMBER: usize = 36;
/// Offset of a unit's data in the command's.
pub const DATA_OFFSET: usize = 40;
/// Length of the data that the target asks for; residual count of a response.
pub const DESIRED_LENGTH: usize = 44;
