//! Whether the host's tables have room for a command, and when a client that meets a full one should come back.

use tackmast::interface::{Instant, Span};

const RATE_MEMORY: f64 = 2.0; // seconds over which endings are counted
const LEAST_WAIT: f64 = 0.05; // seconds; a full table clears no faster in a way worth a round trip
const CLEARED: f64 = 0.1; // part of the table that should be free again when a client comes back

#[derive(Debug)]
pub struct Admission {
    most_transfers: usize,
    most_bytes: usize,
    longest_wait: Span,
    pub transfers: usize,
    pub bytes: usize,
    ended: f64,
    ended_at: Instant,
}

impl Admission {
    pub fn new(now: Instant, most_transfers: usize, most_bytes: usize, longest_wait: Span) -> Self {
        let (transfers, bytes, ended) = (0, 0, 0.0);
        Admission { most_transfers, most_bytes, longest_wait, transfers, bytes, ended, ended_at: now }
    }

    fn fade(&mut self, now: Instant) {
        let age = (now - self.ended_at).secs().max(0.0);
        self.ended *= (-age / RATE_MEMORY).exp();
        self.ended_at = now;
    }

    /// Takes up room, or says how long to stay away.
    pub fn enter(&mut self, now: Instant, transfers: usize, bytes: usize) -> Result<(), Span> {
        let fits = self.transfers + transfers <= self.most_transfers && self.bytes + bytes <= self.most_bytes;
        if fits {
            self.transfers += transfers;
            self.bytes += bytes;
            return Ok(());
        }
        self.fade(now);
        let rate = self.ended / RATE_MEMORY;
        let wanted = CLEARED * self.most_transfers as f64 + transfers as f64;
        let wait = if rate > 0.0 { wanted / rate } else { f64::MAX };
        Err(Span::from_secs(wait.clamp(LEAST_WAIT, self.longest_wait.secs().max(LEAST_WAIT))))
    }

    pub fn leave(&mut self, now: Instant, transfers: usize, bytes: usize) {
        self.fade(now);
        self.ended += transfers as f64;
        self.transfers = self.transfers.saturating_sub(transfers);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_full_table_names_a_time_that_follows_its_pace() {
        let at = Instant::from_secs;
        // Transfers open before, ended over the last second, bytes asked; whether it fits, least and most wait.
        for (name, open, ended, bytes, fits, low, high) in [
            ("room", 50, 0, 10, true, 0.0, 0.0),
            ("full and stuck", 100, 0, 10, false, 2.0, 2.0),
            ("full and slow", 100, 10, 10, false, 1.0, 2.0),
            ("full and fast", 100, 1000, 10, false, 0.05, 0.05),
            ("too many bytes", 10, 0, 2000, false, 2.0, 2.0),
        ] {
            let mut a = Admission::new(at(0.0), 100, 1000, Span::from_secs(2.0));
            for i in 0..ended {
                a.enter(at(0.0), 1, 0).unwrap();
                a.leave(at(f64::from(i) / f64::from(ended)), 1, 0);
            }
            (0..open).for_each(|_| a.enter(at(1.0), 1, 1).unwrap());
            match a.enter(at(1.0), 1, bytes) {
                Ok(()) => assert!(fits, "{name}"),
                Err(wait) => assert!(!fits && (low..=high).contains(&wait.secs()), "{name}: {}", wait.secs()),
            }
        }
    }
}
