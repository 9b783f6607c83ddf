//! Text negotiation (RFC 7143, sections 6 and 13): what this target offers, and what comes out of it.

use tackmast_config::HostSettings;
use tackmast_wire::iscsi::Digests;
use tackmast_wire::scsi::Unit;

/// Vendor key (section 6.2): milliseconds until the client gives a command up.
pub const DEADLINE_KEY: &str = "X-org.tackmast.ExpiryMs";
/// Vendor key: whether a rejection tells its time to come back in microseconds, in the response data.
pub const DELAY_KEY: &str = "X-org.tackmast.ExactDelay";

/// Vendor key: whether commands may tell a deadline of their own, in a further header.
pub const COMMAND_KEY: &str = "X-org.tackmast.CommandExpiry";

/// What the target takes, from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    pub target_name: String,
    /// Bytes of data in one unit towards the target, of immediate data, and of one solicited sequence.
    pub max_segment: u32,
    pub first_burst: u32,
    pub max_burst: u32,
    /// Commands that may be open in a session.
    pub window: u32,
    /// Bytes of one command.
    pub max_command: u32,
    /// Longest and shortest deadline a client may ask for.
    pub deadline_ms: (u32, u32),
}

impl Offer {
    /// What a host of these settings offers.
    pub fn of(s: &HostSettings) -> Offer {
        let b = &s.bounds;
        let longest = s.traffic_classes.iter().map(|s| s.deadline.secs()).fold(1.0, f64::max);
        Offer {
            target_name: s.host.target.clone(),
            max_segment: b.segment,
            first_burst: b.first_burst,
            max_burst: b.burst,
            window: b.window,
            max_command: b.command_bytes,
            deadline_ms: (s.host.answer_lead_ms as u32 + 10, (longest * 1e4) as u32),
        }
    }
}

/// What the target tells of the volumes; `max_blocks` is the longest command of each, by its place in the settings.
pub fn units(s: &HostSettings, max_blocks: impl Fn(usize) -> u32) -> Vec<Unit> {
    let unit = |(i, v): (usize, &tackmast_config::Volume)| Unit {
        lun: v.lun,
        name: v.name.clone(),
        blocks: v.blocks,
        block_bytes: v.block_bytes,
        max_blocks: max_blocks(i),
    };
    s.volumes.iter().enumerate().map(unit).collect()
}

/// What a session has agreed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agreed {
    pub digests: Digests,
    /// Bytes of data in one unit towards the client.
    pub client_segment: u32,
    pub immediate: bool,
    pub first_burst: u32,
    pub max_burst: u32,
    pub deadline_ms: Option<u32>,
    pub exact_delay: bool,
    pub command_deadline: bool,
    /// Protocol level of RFC 7144; from 2 on responses carry status qualifiers.
    pub level: u32,
    pub initiator: Option<String>,
    pub target: Option<String>,
    pub discovery: bool,
}

impl Agreed {
    /// Values before any negotiation: the defaults of section 13.
    pub fn new(offer: &Offer) -> Self {
        Agreed {
            digests: Digests::default(),
            client_segment: 8192,
            immediate: true,
            first_burst: offer.first_burst.min(65536),
            max_burst: offer.max_burst.min(262_144),
            deadline_ms: None,
            exact_delay: false,
            command_deadline: false,
            level: 1,
            initiator: None,
            target: None,
            discovery: false,
        }
    }

    /// Takes one key of the client; gives the answer to it, if it wants one.
    pub fn take(&mut self, offer: &Offer, key: &str, value: &str, login: bool) -> Option<String> {
        let number = || value.parse::<u32>().ok();
        let reject = || Some("Reject".to_owned());
        let least = |ours: u32, slot: &mut u32, floor: u32| match number().filter(|n| *n >= floor) {
            Some(n) => {
                *slot = n.min(ours);
                Some(slot.to_string())
            }
            None => reject(),
        };
        match key {
            "InitiatorName" if login => {
                self.initiator = Some(value.to_owned());
                None
            }
            "TargetName" if login => {
                self.target = Some(value.to_owned());
                None
            }
            "InitiatorAlias" => None,
            "SessionType" if login => match value {
                "Normal" | "Discovery" => {
                    self.discovery = value == "Discovery";
                    None
                }
                _ => reject(),
            },
            "AuthMethod" if login => {
                let offered = value.split(',').any(|v| v == "None");
                Some(if offered { "None" } else { "Reject" }.to_owned())
            }
            "HeaderDigest" | "DataDigest" if login => {
                let chosen = value.split(',').find(|v| ["CRC32C", "None"].contains(v));
                let on = chosen == Some("CRC32C");
                match key {
                    "HeaderDigest" => self.digests.header = on,
                    _ => self.digests.data = on,
                }
                chosen.map_or_else(reject, |c| Some(c.to_owned()))
            }
            "MaxRecvDataSegmentLength" => {
                // Declared by each side for itself (section 13.12).
                match number().filter(|n| (512..=0xff_ffff).contains(n)) {
                    Some(n) => {
                        self.client_segment = n;
                        Some(offer.max_segment.to_string())
                    }
                    None => reject(),
                }
            }
            "FirstBurstLength" if login => least(offer.first_burst, &mut self.first_burst, 512),
            "MaxBurstLength" if login => least(offer.max_burst, &mut self.max_burst, 512),
            "ImmediateData" if login => match value {
                "Yes" | "No" => {
                    self.immediate = value == "Yes";
                    Some(value.to_owned())
                }
                _ => reject(),
            },
            // Only solicited data beyond the immediate, in order, over one connection, no recovery within it.
            "InitialR2T" | "DataPDUInOrder" | "DataSequenceInOrder" if login => Some("Yes".to_owned()),
            "MaxConnections" | "MaxOutstandingR2T" if login => Some("1".to_owned()),
            "ErrorRecoveryLevel" | "DefaultTime2Retain" if login => Some("0".to_owned()),
            "DefaultTime2Wait" if login => Some(number().map_or(2, |n| n.clamp(2, 3600)).to_string()),
            "IFMarker" | "OFMarker" => Some("No".to_owned()),
            "IFMarkInt" | "OFMarkInt" => Some("Irrelevant".to_owned()),
            "iSCSIProtocolLevel" if login => match number() {
                Some(n) => {
                    self.level = n.clamp(1, 2);
                    Some(self.level.to_string())
                }
                None => reject(),
            },
            DELAY_KEY | COMMAND_KEY => match value {
                "Yes" | "No" => {
                    let on = value == "Yes";
                    match key {
                        DELAY_KEY => self.exact_delay = on,
                        _ => self.command_deadline = on,
                    }
                    Some(value.to_owned())
                }
                _ => reject(),
            },
            DEADLINE_KEY => match number().filter(|n| *n > 0) {
                Some(n) => {
                    let ms = n.clamp(offer.deadline_ms.0, offer.deadline_ms.1.max(offer.deadline_ms.0));
                    self.deadline_ms = Some(ms);
                    Some(ms.to_string())
                }
                None => reject(),
            },
            _ => Some("NotUnderstood".to_owned()),
        }
    }
}
