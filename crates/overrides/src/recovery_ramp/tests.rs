//! Tests the stagger and the steps of recovery ramps.

use super::*;

/// Many nodes are back in service at the same time. Their ramps must start spread over the bounded time, or all waiting requests
/// would reach them at once; and no node's share may fall.
#[test]
fn ramps_are_staggered_and_each_rises_in_steps() {
    let now = Instant::from_secs(100.0);
    for (name, count, before, last) in
        [("one", 1, 0, 0.0), ("few", 5, 0, 1.0), ("many", 60, 0, 5.0), ("behind others", 4, 4, 1.5)]
    {
        let address = |i: u32| SocketAddr::from(([10, 0, 0, i as u8], 9000));
        let mut ramps = RecoveryRamps::default();
        ramps.begin(now, &(100..100 + before).map(address).collect::<Vec<_>>());
        ramps.begin(now, &(0..count).map(address).collect::<Vec<_>>());
        let starts: Vec<f64> =
            (0..count).map(|i| (ramps.get(&address(i)).unwrap().starts - now).secs()).collect();
        let latest = starts.iter().copied().fold(0.0, f64::max);
        assert!((latest - last).abs() < 1e-3, "{name}: {starts:?}");
        // Shares only rise, up to 1, and the last ramp is removed within the bounded time.
        let mut at = now;
        let mut shares = vec![0.0; count as usize];
        while let Some(next) = ramps.poll_timeout(at) {
            assert!(next > at, "{name}");
            at = next;
            for (i, old) in shares.iter_mut().enumerate() {
                let new = ramps.get(&address(i as u32)).map_or(1.0, |ramp| ramp.share(at).unwrap_or(0.0));
                assert!(new >= *old, "{name}");
                *old = new;
            }
            ramps.handle_timeout(at);
        }
        assert!(shares.iter().all(|s| *s == 1.0) && ramps.len() == 0, "{name}");
        assert!((at - now).secs() <= MAX_STAGGER.secs() + RAMP_DURATION.secs() + 1e-3, "{name}");
    }
}
