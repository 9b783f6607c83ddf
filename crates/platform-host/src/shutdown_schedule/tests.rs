//! Tests of when the phases of a shutdown begin.

use super::*;

/// The platform kills the host after a time that depends on the longest deadline in its settings. If a phase began out of order or too
/// late, the kill would cut off answers.
#[test]
fn phases_begin_in_order_for_all_deadlines() {
    let after = TimeDelta::from_secs;
    // In seconds: the longest deadline, the start of Closing and of Settled, and the earliest time of the kill.
    for (deadline, closing, settled, kill) in [
        (3.0, 3.2, 3.45, 3.7),
        (5.0, 3.2, 3.45, 3.7),
        (1.5, 1.7, 1.95, 2.2),
        (0.4, 0.6, 0.85, 1.1),
        (0.1, 0.45, 0.55, 0.8),
        (0.0, 0.45, 0.45, 0.7),
    ] {
        let schedule = ShutdownSchedule::new(after(deadline));
        let phase_at = |secs: f64| schedule.phase(after(secs), 1);
        assert_eq!(phase_at(0.0), ShutdownPhase::Serving, "{deadline}");
        assert_eq!(phase_at(closing - 0.01), ShutdownPhase::Serving, "{deadline}");
        assert!(phase_at(closing + 0.01) >= ShutdownPhase::Closing, "{deadline}");
        assert!(phase_at(settled - 0.01) < ShutdownPhase::Settled, "{deadline}");
        assert_eq!(phase_at(settled + 0.01), ShutdownPhase::Settled, "{deadline}");
        assert_eq!(phase_at(kill - 0.12), ShutdownPhase::Settled, "{deadline}");
        assert_eq!(phase_at(kill - 0.01), ShutdownPhase::Finished, "{deadline}");
        // New connections arrive for up to 0.4 s, and are served.
        assert_eq!(phase_at(0.4), ShutdownPhase::Serving, "{deadline}");
        assert_eq!(schedule.phase(after(0.4), 0), ShutdownPhase::Serving, "{deadline}");
        let mut last = ShutdownPhase::Serving;
        for hundredths in 0..500 {
            let phase = phase_at(f64::from(hundredths) / 100.0);
            assert!(phase >= last, "{deadline} at {hundredths}: {phase:?} after {last:?}");
            last = phase;
        }
    }
    // Without client connections the host closes early.
    assert_eq!(ShutdownSchedule::new(after(3.0)).phase(after(0.7), 0), ShutdownPhase::Closing);
}
