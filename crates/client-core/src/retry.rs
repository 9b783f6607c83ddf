//! When a call is tried again. Only where the answer says that it is safe, or the call is a read; within a budget, so
//! that retries never become a load of their own; and never past the call's deadline.

use tackmast::interface::{Instant, TimeDelta};

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It never left: there was no session, or the window was shut.
    NotSent,
    Rejected {
        retry_after: Option<TimeDelta>,
    },
    Failed,
    /// Its session ended while it was out.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again at this time.
    Again(Instant),
    /// Tell the caller: rejected, with how long to stay away.
    Rejected(Option<TimeDelta>),
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Retries allowed at once, and for each first try.
    pub free: f64,
    pub share: f64,
    /// Least time between two tries, and the longest between two connects.
    pub min_wait: TimeDelta,
    pub longest_connect: TimeDelta,
    pub max_tries: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            free: 10.0,
            share: 0.2,
            min_wait: TimeDelta::from_secs(0.01),
            longest_connect: TimeDelta::from_secs(2.0),
            max_tries: 8,
        }
    }
}

/// What is left of the budget. First tries earn, retries spend.
#[derive(Debug)]
pub struct Budget {
    policy: Policy,
    left: f64,
    chance: oorandom::Rand32,
}

impl Budget {
    pub fn new(policy: Policy, seed: u64) -> Self {
        Budget { policy, left: policy.free, chance: oorandom::Rand32::new(seed) }
    }

    pub fn first_try(&mut self) {
        self.left = (self.left + self.policy.share).min(self.policy.free);
    }

    /// Between half and all of it: calls that met one trouble must not come back at one moment.
    fn jittered(&mut self, wait: TimeDelta) -> TimeDelta {
        TimeDelta::from_secs(wait.secs() * (1.0 + 0.5 * f64::from(self.chance.rand_float())))
    }

    /// Judges the end of a try, which took so long, of a call that must be answered by `deadline`.
    pub fn next(
        &mut self,
        now: Instant,
        end: End,
        write: bool,
        tries: u32,
        took: TimeDelta,
        deadline: Instant,
    ) -> Next {
        let advice = match end {
            End::Rejected { retry_after } => retry_after,
            _ => None,
        };
        // What is said where no further try is made. A write that may have run is never called rejected.
        let answer = match end {
            End::Failed | End::Lost if write => return Next::Failed,
            End::Failed | End::Lost => Next::Failed,
            End::NotSent | End::Rejected { .. } => Next::Rejected(advice),
        };
        let wait = self.jittered(advice.unwrap_or(self.policy.min_wait).max(self.policy.min_wait));
        let at = now + wait;
        // One that never left has cost nothing: it needs no budget, only time.
        let costs = if end == End::NotSent { 0.0 } else { 1.0 };
        // A try that can't be expected to end in time would be out at the deadline, and turn what is known not to have
        // run into what nobody knows.
        if at + took >= deadline || tries >= self.policy.max_tries || self.left < costs {
            return answer;
        }
        self.left -= costs;
        Next::Again(at)
    }

    /// How long to wait before the next connect, after so many failures in a row.
    pub fn connect_wait(&mut self, failures: u32) -> TimeDelta {
        let wait = 0.05 * 2f64.powi(failures.min(16) as i32);
        let wait = TimeDelta::from_secs(wait.min(self.policy.longest_connect.secs()) / 1.5);
        self.jittered(wait)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tries_follow_only_where_that_is_safe_and_in_time() {
        let s = TimeDelta::from_secs;
        let rejected = |w: Option<f64>| End::Rejected { retry_after: w.map(s) };
        let told = |w: Option<f64>| Some(Next::Rejected(w.map(s)));
        let failed = Some(Next::Failed);
        // End, write, tries, budget left, seconds left; the answer, or none for a further try.
        type Case<'a> = (&'a str, End, bool, u32, f64, f64, Option<Next>);
        let cases: &[Case] = &[
            ("a rejected write", rejected(Some(0.1)), true, 1, 5.0, 1.0, None),
            ("a rejected read", rejected(None), false, 1, 5.0, 1.0, None),
            ("no time for it", rejected(Some(2.0)), true, 1, 5.0, 1.0, told(Some(2.0))),
            ("no time for as long as the last", rejected(None), true, 1, 5.0, 0.2, told(None)),
            ("no budget for it", rejected(Some(0.1)), true, 1, 0.5, 1.0, told(Some(0.1))),
            ("tries enough", rejected(None), true, 8, 5.0, 1.0, told(None)),
            ("a failed write", End::Failed, true, 1, 5.0, 1.0, failed),
            ("a failed read", End::Failed, false, 1, 5.0, 1.0, None),
            ("a failed read, no budget", End::Failed, false, 1, 0.0, 1.0, failed),
            ("a lost write", End::Lost, true, 1, 5.0, 1.0, failed),
            ("a lost read", End::Lost, false, 1, 5.0, 1.0, None),
            ("a write that never left, no budget", End::NotSent, true, 1, 0.0, 1.0, None),
            ("a write that never left, no time", End::NotSent, true, 1, 5.0, 0.001, told(None)),
        ];
        for (name, end, write, tries, left, time, expected) in cases {
            let mut b = Budget::new(Policy::default(), 1);
            b.left = *left;
            let now = Instant::from_secs(10.0);
            let found = b.next(now, *end, *write, *tries, s(0.2), now + s(*time));
            match expected {
                Some(e) => assert_eq!(found, *e, "{name}"),
                None => assert!(matches!(found, Next::Again(t) if t > now), "{name}: {found:?}"),
            }
        }
    }

    #[test]
    fn retries_stay_a_part_of_first_tries() {
        let mut b = Budget::new(Policy::default(), 1);
        let now = Instant::from_secs(0.0);
        let mut again = 0;
        for _ in 0..1000 {
            b.first_try();
            let next = b.next(
                now,
                End::Rejected { retry_after: None },
                false,
                1,
                TimeDelta::ZERO,
                now + TimeDelta::from_secs(1.0),
            );
            again += u32::from(matches!(next, Next::Again(_)));
        }
        assert!((200..=211).contains(&again), "{again}");
    }

    #[test]
    fn connects_wait_longer_each_time_and_not_together() {
        let mut b = Budget::new(Policy::default(), 1);
        let waits: Vec<f64> = (0..10).map(|n| b.connect_wait(n).secs()).collect();
        assert!(waits[0] < 0.06 && waits[9] > 1.2 && waits.iter().all(|w| *w <= 2.0), "{waits:?}");
        let mut other = Budget::new(Policy::default(), 2);
        assert_ne!(other.connect_wait(5), Budget::new(Policy::default(), 3).connect_wait(5));
    }
}
