//! What the target offers to all its clients, by the host's settings.

use tackmast_config::HostSettings;
use tackmast_wire::scsi::Unit;

/// How much later than the host's own lead for answers the shortest deadline of a client is, in milliseconds.
const MIN_DEADLINE_MARGIN_MS: u32 = 10;
/// The longest deadline that a client may ask for, in milliseconds for each second of the longest deadline of the settings: ten times
/// that.
const MAX_DEADLINE_MS_PER_SEC: f64 = 1e4;
/// The longest deadline of the settings counts as this at least, in seconds.
const MIN_LONGEST_DEADLINE_SECS: f64 = 1.0;

/// What the target takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Name of the iSCSI target.
    pub target_name: String,
    /// Bytes of data in one unit to the target.
    pub max_segment: u32,
    /// Bytes of data that may go with a command.
    pub first_burst: u32,
    /// Bytes of data that the target asks for at a time.
    pub max_burst: u32,
    /// Commands that may be open in a session.
    pub window: u32,
    /// Bytes of one command.
    pub max_command: u32,
    /// Shortest deadline that a client may ask for, in milliseconds.
    pub min_deadline_ms: u32,
    /// Longest deadline that a client may ask for, in milliseconds.
    pub max_deadline_ms: u32,
}

impl Offer {
    /// What a host of these settings offers.
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

    /// The deadline that the target takes for one that a client asks for, in milliseconds.
    pub(crate) fn clamp_deadline_ms(&self, deadline_ms: u32) -> u32 {
        deadline_ms.clamp(self.min_deadline_ms, self.max_deadline_ms.max(self.min_deadline_ms))
    }

    /// The same for a deadline in microseconds.
    pub(crate) fn clamp_deadline_us(&self, deadline_us: u64) -> u32 {
        self.clamp_deadline_ms(u32::try_from(deadline_us / 1000).unwrap_or(u32::MAX))
    }
}

/// What the target says of the volumes; `max_blocks` is the longest command of each, by its index in the settings.
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
