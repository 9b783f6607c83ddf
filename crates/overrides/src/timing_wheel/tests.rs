//! The wheel against a sorted map.

use super::*;
use std::collections::BTreeMap;

/// The wheel against a sorted map, over random additions, removals and steps of time: an override must neither end
/// early nor be forgotten.
#[test]
fn a_wheel_gives_what_a_sorted_map_gives() {
    for seed in 0..40u64 {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let mut now = chance.rand_float() * 1e7;
        let mut wheel = TimingWheel::new(Instant::from_secs(now));
        let mut plain: BTreeMap<u32, u64> = BTreeMap::new();
        let mut handles: BTreeMap<u32, Handle> = BTreeMap::new();
        for _ in 0..600 {
            let key = chance.rand_range(0..40) as u32;
            match chance.rand_range(0..4) {
                0 | 1 => {
                    // From at once to 30 years, and now and then in the past.
                    let ahead = 10f64.powf(chance.rand_float() * 12.0 - 3.0) - 0.01;
                    let at = Instant::from_secs(now + ahead);
                    if let Some(old) = handles.remove(&key) {
                        wheel.remove(old);
                    }
                    handles.insert(key, wheel.put(key, at));
                    plain.insert(key, ticks_up(at));
                }
                2 => {
                    // One that has come out or was taken out before fits nothing any more.
                    let removed = handles.get(&key).is_some_and(|h| wheel.remove(*h));
                    assert_eq!(removed, plain.remove(&key).is_some(), "seed {seed}");
                }
                _ => {
                    now += 10f64.powf(chance.rand_float() * 11.0 - 3.0);
                    let until = ticks_down(Instant::from_secs(now));
                    let due: Vec<u32> = plain.iter().filter(|(_, d)| **d <= until).map(|(k, _)| *k).collect();
                    plain.retain(|_, d| *d > until);
                    assert_eq!(wheel.advance(Instant::from_secs(now)), due, "seed {seed}");
                }
            }
            assert_eq!(wheel.len(), plain.len(), "seed {seed}");
            if let Some(first) = plain.values().min() {
                let next = wheel.next().map(ticks_up);
                let limit = (*first).max(ticks_down(Instant::from_secs(now)));
                assert!(next.is_some_and(|n| n <= limit), "seed {seed}: {next:?} after {limit}");
            }
        }
    }
}
