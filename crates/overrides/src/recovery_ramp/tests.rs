//! Staggered ramps.

use super::*;

#[test]
fn many_come_back_in_turn_and_each_by_steps() {
    let now = Instant::from_secs(100.0);
    for (name, count, before, last) in
        [("one", 1, 0, 0.0), ("few", 5, 0, 1.0), ("many", 60, 0, 5.0), ("behind others", 4, 4, 1.5)]
    {
        let address = |i: u32| SocketAddr::from(([10, 0, 0, i as u8], 9000));
        let mut r = RecoveryRamps::default();
        r.begin(now, &(100..100 + before).map(address).collect::<Vec<_>>());
        r.begin(now, &(0..count).map(address).collect::<Vec<_>>());
        let starts: Vec<f64> =
            (0..count).map(|i| (r.get(&address(i)).unwrap().starts - now).secs()).collect();
        let latest = starts.iter().copied().fold(0.0, f64::max);
        assert!((latest - last).abs() < 1e-3, "{name}: {starts:?}");
        // Shares only rise, from the first to all, and the last is forgotten in the stated time.
        let mut at = now;
        let mut shares = vec![0.0; count as usize];
        while let Some(t) = r.poll_timeout(at) {
            assert!(t > at, "{name}");
            at = t;
            for (i, old) in shares.iter_mut().enumerate() {
                let new = r.get(&address(i as u32)).map_or(1.0, |r| r.share(at).unwrap_or(0.0));
                assert!(new >= *old, "{name}");
                *old = new;
            }
            r.handle_timeout(at);
        }
        assert!(shares.iter().all(|s| *s == 1.0) && r.len() == 0, "{name}");
        assert!((at - now).secs() <= MAX_STAGGER.secs() + RAMP_DURATION.secs() + 1e-3, "{name}");
    }
}
