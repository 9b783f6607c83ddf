//! What happens to hosts, and what the endpoint list and operators send them.

use super::{IndexBuilder, UnreadNotification};
use crate::index::{HostAndNode, LimitPeriod, Notification, OutOfService, Period};
use tackmast_trace::{Event, ListedState, Side};

impl IndexBuilder {
    pub(super) fn on_host_up(&mut self, host: u32) {
        self.down_hosts.remove(&host);
        // A host that has just started knows nothing of what its earlier generation was notified of.
        let unknown = Notification {
            time_us: self.now_us,
            state: ListedState::Ready,
            node_started_us: 0,
            from_list: false,
        };
        self.notifications_of(host).for_each(|(_, notifications)| notifications.push(unknown.clone()));
    }

    pub(super) fn on_host_down(&mut self, host: u32) {
        let now_us = self.now_us;
        self.index.suspensions.end(host, now_us);
        self.down_hosts.insert(host, now_us);
        let commands = self.index.commands.iter_mut();
        commands
            .filter(|command| command.id.host == host && command.answers.is_empty())
            .for_each(|command| _ = command.host_down_us.get_or_insert(now_us));
    }

    pub(super) fn on_host_suspended(&mut self, host: u32) {
        self.index.suspensions.start(host, self.now_us);
        // The host may not have read what had just been received.
        let oldest_unread_us = self.oldest_undelivered_us();
        let mut unread = Vec::new();
        for (node, notifications) in self.notifications_of(host) {
            let (late, read): (Vec<_>, Vec<_>) = notifications
                .drain(..)
                .partition(|notification| notification.is_undelivered(oldest_unread_us));
            *notifications = read;
            let late = late.into_iter();
            unread
                .extend(late.map(|notification| UnreadNotification { node: node.to_owned(), notification }));
        }
        self.unread_notifications.entry(host).or_default().extend(unread);
    }

    pub(super) fn on_host_resumed(&mut self, host: u32) {
        self.index.suspensions.end(host, self.now_us);
        for UnreadNotification { node, notification } in
            self.unread_notifications.remove(&host).unwrap_or_default()
        {
            let notification = Notification { time_us: self.now_us, ..notification };
            self.index.notifications.entry(HostAndNode { host, node }).or_default().push(notification);
        }
    }

    pub(super) fn on_cut(&mut self, host: u32, side: Side) {
        let cut_count = self.cuts.entry((host, side)).or_default();
        *cut_count += 1;
        if *cut_count > 1 {
            return;
        }
        match side {
            Side::Clients => self.index.client_cuts.start(host, self.now_us),
            Side::List => {
                // What the list had sent just before may have been lost on its way.
                let oldest_lost_us = self.oldest_undelivered_us();
                self.notifications_of(host).for_each(|(_, notifications)| {
                    notifications.retain(|notification| !notification.is_undelivered(oldest_lost_us));
                });
            }
        }
    }

    pub(super) fn on_cut_over(&mut self, host: u32, side: Side) {
        let cut_count = self.cuts.entry((host, side)).or_default();
        let was_last = *cut_count == 1;
        *cut_count = cut_count.saturating_sub(1);
        if was_last && side == Side::Clients {
            self.index.client_cuts.end(host, self.now_us);
        }
    }

    pub(super) fn on_notified(&mut self, event: &Event) {
        let Event::Notified { host, node, state, started_us } = event else { return };
        // Nothing reaches a host that is cut off from the list.
        if self.cuts.get(&(*host, Side::List)).is_some_and(|cut_count| *cut_count > 0) {
            return;
        }
        let (host, node) = (*host, node.clone());
        let notification = Notification {
            time_us: self.now_us,
            state: *state,
            node_started_us: *started_us,
            from_list: true,
        };
        if self.index.suspensions.is_open(host) {
            let unread = UnreadNotification { node, notification };
            self.unread_notifications.entry(host).or_default().push(unread);
        } else {
            self.index.notifications.entry(HostAndNode { host, node }).or_default().push(notification);
        }
    }

    pub(super) fn on_override(&mut self, host: u32, node: &str, out: bool) {
        let key = HostAndNode { host, node: node.to_owned() };
        self.index.overrides.entry(key).or_default().push(OutOfService { time_us: self.now_us, out });
    }

    pub(super) fn on_plan_changed(&mut self, event: &Event) {
        let Event::PlanMoved { volume, limit, burst, slack, in_force_us } = event else { return };
        // Hosts may act by their own clocks a little late, within the skew.
        let until_us = in_force_us + self.index.facts.skew_us;
        let periods = self.index.limits.entry(*volume).or_default();
        for earlier in periods.iter_mut() {
            earlier.period.until_us = earlier.period.until_us.min(until_us);
        }
        periods.push(LimitPeriod {
            period: Period::starting_at(self.now_us),
            limit: *limit,
            burst: *burst,
            slack: *slack,
        });
    }

    /// What a host was notified of, by node.
    fn notifications_of(&mut self, host: u32) -> impl Iterator<Item = (&str, &mut Vec<Notification>)> {
        let all = self.index.notifications.iter_mut();
        all.filter(move |(key, _)| key.host == host)
            .map(|(key, notifications)| (key.node.as_str(), notifications))
    }

    /// A notification sent at this time or later may not have reached its host yet.
    fn oldest_undelivered_us(&self) -> u64 {
        self.now_us.saturating_sub(self.index.facts.skew_us)
    }
}

impl Notification {
    /// Whether the list sent it at this time or later.
    fn is_undelivered(&self, oldest_us: u64) -> bool {
        self.from_list && self.time_us >= oldest_us
    }
}
