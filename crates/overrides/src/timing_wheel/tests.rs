//! Compares the timing wheel with a sorted map.

use super::*;
use std::collections::BTreeMap;

/// Applies the same random additions, removals and steps of time to the wheel and to a sorted map. A fault of the wheel would end
/// an override early or never.
#[test]
fn a_wheel_returns_the_same_entries_as_a_sorted_map() {
    for seed in 0..40u64 {
        let mut random = oorandom::Rand64::new(u128::from(seed));
        let mut now = random.rand_float() * 1e7;
        let mut wheel = TimingWheel::new(Instant::from_secs(now));
        let mut plain: BTreeMap<u32, u64> = BTreeMap::new();
        let mut handles: BTreeMap<u32, Handle> = BTreeMap::new();
        for _ in 0..600 {
            let key = random.rand_range(0..40) as u32;
            match random.rand_range(0..4) {
                0 | 1 => {
                    // From now to 30 years ahead, and sometimes in the past.
                    let ahead = 10f64.powf(random.rand_float() * 12.0 - 3.0) - 0.01;
                    let at = Instant::from_secs(now + ahead);
                    if let Some(old) = handles.remove(&key) {
                        wheel.remove(old);
                    }
                    handles.insert(key, wheel.put(key, at));
                    plain.insert(key, ticks_up(at));
                }
                2 => {
                    // The handle of an entry that has expired or was removed identifies nothing.
                    let removed = handles.get(&key).is_some_and(|h| wheel.remove(*h));
                    assert_eq!(removed, plain.remove(&key).is_some(), "seed {seed}");
                }
                _ => {
                    now += 10f64.powf(random.rand_float() * 11.0 - 3.0);
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
