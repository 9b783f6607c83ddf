//! Orders of operators, and the end of the process. docs/crossings.md has each step against each event.

use super::*;

/// Rounds of taking what stands in the listener's backlog as it closes, at most.
const ROUNDS: usize = 128;

impl Host {
    pub(super) fn ordered(&mut self, number: u32) -> Option<Order> {
        let (order, from) = self.orders.get_mut(&number)?;
        let mut bytes = [0; 64];
        match from.read(&mut bytes) {
            Ok(n) if n > 0 => Some(*order),
            _ => None,
        }
    }

    pub(super) fn obey(
        &mut self,
        now: Instant,
        order: Order,
        reload: &mut impl FnMut() -> Result<Configuration, String>,
    ) {
        match order {
            Order::End if self.ending.is_none() => {
                self.ending = Some(now);
                if let Some((socket, k)) = &mut self.peers {
                    for (to, bytes) in k.leave(self.core.paces(now)) {
                        _ = socket.send_to(&bytes, to);
                    }
                }
                tracing::info!(open = self.core.open().0, "host ends: answers what it has taken");
            }
            Order::End => {}
            Order::Reload => match reload() {
                Err(e) => tracing::error!("configuration not taken, the old one stays: {e}"),
                Ok(c) => self.list_moves(now, c.discovery),
            },
        }
    }

    /// The end goes on as its time does, and never back.
    pub(super) fn end_step(&mut self, now: Instant) {
        let Some(since) = self.ending else { return };
        let step = self.ends.step(now - since, self.clients.len() == 0).max(self.step);
        if step != self.step {
            let (open, clients) = (self.core.open().0, self.clients.len());
            tracing::info!(?step, open, clients, "the end goes on");
            self.step = step;
        }
        if step < Step::Closes {
            return;
        }
        // Connections that stand were accepted by the machine: what came on them is taken before the listener closes.
        for _ in 0..ROUNDS {
            let accepted = self.clients.counters.accepted;
            self.accept(now);
            if self.clients.counters.accepted == accepted {
                break;
            }
        }
        self.listener = None;
        if step >= Step::Settled {
            self.core.settle(now);
            self.carry_out();
        }
        self.clients.end(now, &self.poller, step >= Step::Settled);
    }

    /// All that was taken has its answer, and whoever got one has read it to its end; or there is no more time.
    pub(super) fn has_ended(&self) -> bool {
        let idle = self.core.open().0 == 0 && self.clients.len() == 0;
        self.step == Step::Over || (self.step >= Step::Closes && idle)
    }
}
