//! What the run adds up to: service, classes, leaks.

use super::*;

impl Sim<'_> {
    /// What the trace shows by class, of work, and of the limit.
    pub(super) fn sum_up(&mut self) {
        use tackmast_trace::Event as Seen;
        let mut open: BTreeMap<(u32, u32, u32), (Us, usize)> = BTreeMap::new();
        let mut served: BTreeMap<(u32, u32, u32), f64> = BTreeMap::new();
        let (mut limited, mut classes) = (0.0, BTreeMap::<usize, Class>::new());
        let mut attempts: BTreeMap<AttemptName, (f64, u32)> = BTreeMap::new();
        let settings = &self.settings[0];
        let traffic_classes = settings.traffic_classes.len();
        let limit_of = |lun: u32| {
            let volume_settings = settings.volumes.iter().find(|volume_settings| volume_settings.lun == lun);
            volume_settings.map_or(0.0, |volume_settings| settings.plans[volume_settings.plan as usize].limit)
        };
        for l in &self.run.trace {
            match &l.event {
                Seen::Submit { host, session, command, volume, traffic_class, .. } => {
                    let plan = settings
                        .volumes
                        .iter()
                        .find(|volume_settings| volume_settings.lun == *volume)
                        .map_or(0, |volume_settings| volume_settings.plan);
                    let class = plan as usize * traffic_classes + *traffic_class as usize;
                    classes.entry(class).or_default().asked += 1;
                    open.insert((*host, *session, *command), (l.t, class));
                }
                Seen::Attempt { name, session, command, units, volume, .. } => {
                    self.run.sent_units += units;
                    attempts.insert(*name, (*units, *volume));
                    *served.entry((name.host, *session, *command)).or_default() += units;
                }
                Seen::AttemptEnd { name, kind: AttemptEndKind::Done, .. } => {
                    limited += attempts
                        .get(name)
                        .filter(|(_, lun)| limit_of(*lun) > 0.0)
                        .map_or(0.0, |(units, _)| *units);
                }
                Seen::Answer { host, session, command, kind, .. } if *kind != AnswerKind::Done => {
                    if let Some((_, class)) = open.remove(&(*host, *session, *command)) {
                        let client_index = classes.entry(class).or_default();
                        match kind {
                            AnswerKind::Rejected => client_index.rejected += 1,
                            _ => client_index.failed += 1,
                        }
                    }
                }
                Seen::Answer { host, session, command, .. } => {
                    if let Some((t, class)) = open.remove(&(*host, *session, *command)) {
                        let client_index = classes.entry(class).or_default();
                        client_index.done += 1;
                        let in_time = l.t - t
                            <= (settings.traffic_classes[class % traffic_classes].latency_objective.secs()
                                * 1e6) as Us;
                        client_index.in_time += u64::from(in_time);
                        _ = client_index.times.record((l.t - t).max(1));
                        if in_time {
                            served.remove(&(*host, *session, *command));
                        }
                    }
                }
                _ => {}
            }
        }
        self.run.wasted_units = served.values().sum();
        let limit: f64 = settings.volumes.iter().map(|volume_settings| limit_of(volume_settings.lun)).sum();
        self.run.limit_used = limited / (limit * self.world.seconds).max(1e-9);
        let name = |client_index: usize| {
            format!(
                "{} {}",
                settings.plans[client_index / traffic_classes].name,
                settings.traffic_classes[client_index % traffic_classes].name
            )
        };
        self.run.classes = classes.into_iter().map(|(client_index, x)| (name(client_index), x)).collect();
    }

    pub(super) fn facts(&self) -> Facts {
        // The way of a message, one way and back, and the jitter of both.
        let skew_us =
            2 * (self.world.delay_us + self.world.jitter_us) + 2000 + (self.world.drift * 4e7) as Us;
        let grace_s = self
            .world
            .scenario
            .as_ref()
            .map_or(DRAIN_GRACE as f64 / 1e6, |d| d.scenario.drain_grace_ms / 1e3);
        tackmast_scenario::facts(&settings(self.world, 0, None), 0.001, grace_s, skew_us as f64 / 1e6)
    }
}
