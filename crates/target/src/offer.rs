//! The limits and volumes that the target offers to its clients, as the host's settings define them.

use tackmast_config::HostSettings;
use tackmast_wire::scsi::Unit;

/// The difference between the shortest deadline of a client and the host's answer lead, in milliseconds.
const MIN_DEADLINE_MARGIN_MS: u32 = 10;
/// The longest deadline that a client may ask for, in milliseconds per second of the longest deadline in the settings. A
/// client may ask for ten times that deadline.
const MAX_DEADLINE_MS_PER_SEC: f64 = 1e4;
/// The lower bound of the longest deadline in the settings, in seconds. Shorter deadlines count as this one.
const MIN_LONGEST_DEADLINE_SECS: f64 = 1.0;

/// The limits that the target announces to its clients or holds them to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The name of the iSCSI target.
    pub target_name: String,
    /// The largest data segment of a PDU that an iSCSI target declares to accept, in bytes.
    pub max_segment: u32,
    /// The most immediate data that an iSCSI command may carry, in bytes.
    pub first_burst: u32,
    /// The most data that the target solicits with one R2T, in bytes.
    pub max_burst: u32,
    /// The number of commands that may be open in a session.
    pub window: u32,
    /// The most data that one command may read or write, in bytes.
    pub max_command: u32,
    /// The shortest deadline that a client may ask for, in milliseconds.
    pub min_deadline_ms: u32,
    /// The longest deadline that a client may ask for, in milliseconds.
    pub max_deadline_ms: u32,
}

impl Offer {
    /// Returns the offer of a host with these settings.
    pub fn of(settings: &HostSettings) -> Offer {
        let bounds = &settings.bounds;
        let deadlines = settings.traffic_classes.iter().map(|class| class.deadline.secs());
        let longest_secs = deadlines.fold(MIN_LONGEST_DEADLINE_SECS, f64::max);
        Offer {
            target_name: settings.host.target.clone(),
            max_segment: bounds.segment,
            first_burst: bounds.first_burst,
            max_burst: bounds.burst,
            window: bounds.window,
            max_command: bounds.command_bytes,
            min_deadline_ms: settings.host.answer_lead_ms as u32 + MIN_DEADLINE_MARGIN_MS,
            max_deadline_ms: (longest_secs * MAX_DEADLINE_MS_PER_SEC) as u32,
        }
    }

    /// Returns the deadline that a client asks for, limited to the offered range, in milliseconds.
    pub(crate) fn clamp_deadline_ms(&self, deadline_ms: u32) -> u32 {
        deadline_ms.clamp(self.min_deadline_ms, self.max_deadline_ms.max(self.min_deadline_ms))
    }

    /// Returns the deadline that a client asks for in microseconds, limited to the offered range, in milliseconds.
    pub(crate) fn clamp_deadline_us(&self, deadline_us: u64) -> u32 {
        self.clamp_deadline_ms(u32::try_from(deadline_us / 1000).unwrap_or(u32::MAX))
    }
}

/// Returns the logical units that the target offers, one for each volume of the settings. `max_blocks` returns the most
/// blocks that one command may move on the volume with the given index in the settings.
pub fn units(settings: &HostSettings, max_blocks: impl Fn(usize) -> u32) -> Vec<Unit> {
    let unit = |(index, volume): (usize, &tackmast_config::Volume)| Unit {
        lun: volume.lun,
        name: volume.name.clone(),
        blocks: volume.blocks,
        block_bytes: volume.block_bytes,
        max_blocks: max_blocks(index),
    };
    settings.volumes.iter().enumerate().map(unit).collect()
}
