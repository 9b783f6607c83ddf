//! Operators' orders on their way to all hosts: a set that only grows by orders and by what ends them, so that views meet
//! whatever way they take. An order is named by the host and generation that took it; its end travels as time left, which needs
//! no common clock, and the earliest end heard holds. One that was cleared is remembered as cleared until it would have
//! ended by itself on the slowest clock, so that a host that was away can't bring it back.

use std::collections::BTreeMap;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_overrides::Origin as Name;
use tackmast_wire::peer::OverrideRecord;

/// Orders known at a time, ended ones included.
const MAX: usize = 20_000;
/// What has ended is remembered for so long, and for this part of its whole time: others' clocks may be slower.
const REMEMBER_S: f64 = 60.0;
const REMEMBER_PART: f64 = 0.02;
/// Time left that differs by less from what is known is the way of a message.
const SAME_S: f64 = 5.0;
/// Edge of the digest's steps of time left.
const MIN_S: f64 = 0.05;

#[derive(Clone, Debug)]
struct Known {
    order: OverrideRecord,
    ends: Instant,
    /// Whether this host was told to hold it, and of its clearing.
    told: bool,
}

/// What the host is to do about an order that came from elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Hold { name: Name, order: OverrideRecord, seconds: f64 },
    Clear { name: Name },
}

#[derive(Default)]
pub struct Spread {
    known: BTreeMap<Name, Known>,
    todo: Vec<Do>,
    pub over_bound: u64,
}

fn name(o: &OverrideRecord) -> Name {
    Name { slot: o.slot, generation: o.generation, number: o.number }
}

impl Spread {
    /// An order of this host's own, or one that it had kept over a restart.
    pub fn mine(&mut self, now: Instant, order: OverrideRecord) {
        let ends = now + TimeDelta::from_secs(order.remaining_ms as f64 / 1e3);
        self.known.entry(name(&order)).or_insert(Known { order, ends, told: true });
    }

    /// It was cleared here.
    pub fn cleared(&mut self, name: Name) {
        if let Some(k) = self.known.get_mut(&name) {
            k.order.cleared = true;
        }
    }

    /// One of another host's orders.
    pub fn learn(&mut self, now: Instant, order: OverrideRecord) {
        let (n, left) = (name(&order), order.remaining_ms as f64 / 1e3);
        // What has ended elsewhere ends here by its own time, if it is known; else it is none of this host's.
        if left < MIN_S {
            return;
        }
        let ends = now + TimeDelta::from_secs(left);
        let full = self.known.len() >= MAX;
        match self.known.get_mut(&n) {
            Some(k) => {
                // The way of a message only makes the end look later.
                k.ends = k.ends.min(ends);
                if order.cleared && !k.order.cleared {
                    k.order.cleared = true;
                    if k.told && k.ends > now {
                        self.todo.push(Do::Clear { name: n });
                    }
                }
            }
            None if full => self.over_bound += 1,
            None => {
                let told = !order.cleared;
                if told {
                    self.todo.push(Do::Hold { name: n, order: order.clone(), seconds: left });
                }
                self.known.insert(n, Known { order, ends, told });
            }
        }
    }

    pub fn next_do(&mut self) -> Option<Do> {
        (!self.todo.is_empty()).then(|| self.todo.remove(0))
    }

    pub fn tick(&mut self, now: Instant) {
        self.known.retain(|_, k| {
            let whole = k.order.total_ms as f64 / 1e3;
            now - k.ends < TimeDelta::from_secs(REMEMBER_S + REMEMBER_PART * whole)
        });
    }

    /// Of what stands and what was cleared; orders that have ended are not in it.
    pub fn digest(&self, now: Instant) -> u32 {
        let mut sum = 0u32;
        for (n, k) in self.known.iter().filter(|(_, k)| (k.ends - now).secs() > SAME_S) {
            let mut bytes = [0u8; 21];
            bytes[..4].copy_from_slice(&n.slot.to_be_bytes());
            bytes[4..12].copy_from_slice(&n.generation.to_be_bytes());
            bytes[12..20].copy_from_slice(&n.number.to_be_bytes());
            bytes[20] = u8::from(k.order.cleared);
            sum = sum.wrapping_add(crc32c::crc32c(&bytes));
        }
        sum
    }

    /// All that has not ended, with the time that is left now.
    pub fn all(&self, now: Instant) -> Vec<OverrideRecord> {
        let left = |k: &Known| (k.ends - now).secs();
        let one = |k: &Known| OverrideRecord { remaining_ms: (left(k) * 1e3) as u64, ..k.order.clone() };
        self.known.values().filter(|k| left(k) > MIN_S).map(one).collect()
    }

    /// Standing, cleared ones aside.
    pub fn standing(&self, now: Instant) -> usize {
        self.known.values().filter(|k| k.ends > now && !k.order.cleared).count()
    }
}
