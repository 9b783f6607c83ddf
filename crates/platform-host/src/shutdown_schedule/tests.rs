use super::*;

#[test]
fn each_step_comes_in_its_order_whatever_the_deadlines_are() {
    let s = TimeDelta::from_secs;
    // The longest deadline; when it closes and when all is answered; the kill comes no earlier than the last.
    for (deadline, closes, settled, killed) in [
        (3.0, 3.2, 3.45, 3.7),
        (5.0, 3.2, 3.45, 3.7),
        (1.5, 1.7, 1.95, 2.2),
        (0.4, 0.6, 0.85, 1.1),
        (0.1, 0.45, 0.55, 0.8),
        (0.0, 0.45, 0.45, 0.7),
    ] {
        let e = ShutdownSchedule::new(s(deadline));
        let at = |t: f64| e.phase(s(t), false);
        assert_eq!(
            (at(0.0), at(closes - 0.01)),
            (ShutdownPhase::Serving, ShutdownPhase::Serving),
            "{deadline}"
        );
        assert!(at(closes + 0.01) >= ShutdownPhase::Closing, "{deadline}");
        assert!(
            at(settled - 0.01) < ShutdownPhase::Settled && at(settled + 0.01) == ShutdownPhase::Settled,
            "{deadline}"
        );
        assert!(
            at(killed - 0.12) == ShutdownPhase::Settled && at(killed - 0.01) == ShutdownPhase::Finished,
            "{deadline}"
        );
        // New connections come for up to 0.4 s, and are served.
        assert!(
            at(0.4) == ShutdownPhase::Serving && e.phase(s(0.4), true) == ShutdownPhase::Serving,
            "{deadline}"
        );
        let mut last = ShutdownPhase::Serving;
        for t in 0..500 {
            let now = at(f64::from(t) / 100.0);
            assert!(now >= last, "{deadline} at {t}: {now:?} after {last:?}");
            last = now;
        }
    }
    // Nobody is there: it needs not wait for whoever might have stayed.
    assert_eq!(ShutdownSchedule::new(s(3.0)).phase(s(0.7), true), ShutdownPhase::Closing);
}
