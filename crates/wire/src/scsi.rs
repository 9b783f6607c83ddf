//! SCSI commands that the target serves (SPC-4, SBC-3), sense data, and the bytes of answers.

mod command;
mod response;
mod sense;

pub use command::Command;
pub use response::{
    capacity10, capacity16, inquiry, mode_sense10, mode_sense6, report_luns, retry_delay, Unit,
};
pub use sense::Sense;

/// Status codes of SAM-5, section 5.3.1.
pub mod status {
    /// The command is done.
    pub const GOOD: u8 = 0x00;
    /// The command failed; sense data says why.
    pub const CHECK_CONDITION: u8 = 0x02;
    /// The command was rejected; it may be sent again.
    pub const BUSY: u8 = 0x08;
}
