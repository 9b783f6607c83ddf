//! The totals of a run, computed from its trace: service by class, wasted work, and the use of the limit.

use super::{Sim, Us};
use crate::sim::Class;
use std::collections::BTreeMap;
use tackmast_config::HostSettings;
use tackmast_trace::{AnswerKind, AttemptEndKind, AttemptName, Event, Line};

/// Host, session and command.
type CommandName = (u32, u32, u32);

/// A command that is not answered yet.
struct OpenCommand {
    submitted_at: Us,
    class: usize,
}

/// Totals of the lines that were added. Units are those of plans.
struct Totals<'a> {
    settings: &'a HostSettings,
    open_commands: BTreeMap<CommandName, OpenCommand>,
    /// Units sent for each command that is not done in time.
    wasted_units: BTreeMap<CommandName, f64>,
    /// Units and volume of each attempt.
    attempts: BTreeMap<AttemptName, (f64, u32)>,
    /// By plan and traffic class: `plan * traffic classes + traffic class`.
    classes: BTreeMap<usize, Class>,
    sent_units: f64,
    /// Units done of volumes with a limit.
    limited_units: f64,
}

impl<'a> Totals<'a> {
    fn new(settings: &'a HostSettings) -> Totals<'a> {
        Totals {
            settings,
            open_commands: BTreeMap::new(),
            wasted_units: BTreeMap::new(),
            attempts: BTreeMap::new(),
            classes: BTreeMap::new(),
            sent_units: 0.0,
            limited_units: 0.0,
        }
    }

    fn add(&mut self, line: &Line) {
        match &line.event {
            Event::Submit { host, session, command, volume, traffic_class, .. } => {
                let class = self.class_of(*volume, *traffic_class);
                self.classes.entry(class).or_default().asked += 1;
                let open = OpenCommand { submitted_at: line.t, class };
                self.open_commands.insert((*host, *session, *command), open);
            }
            Event::Attempt { name, session, command, units, volume, .. } => {
                self.sent_units += units;
                self.attempts.insert(*name, (*units, *volume));
                *self.wasted_units.entry((name.host, *session, *command)).or_default() += units;
            }
            Event::AttemptEnd { name, kind: AttemptEndKind::Done, .. } => {
                let attempt = self.attempts.get(name).filter(|(_, lun)| self.limit_of(*lun) > 0.0);
                self.limited_units += attempt.map_or(0.0, |(units, _)| *units);
            }
            Event::Answer { host, session, command, kind, .. } => {
                self.add_answer(line.t, (*host, *session, *command), *kind);
            }
            _ => {}
        }
    }

    fn add_answer(&mut self, time: Us, command: CommandName, kind: AnswerKind) {
        let Some(OpenCommand { submitted_at, class }) = self.open_commands.remove(&command) else { return };
        let traffic_class = &self.settings.traffic_classes[class % self.settings.traffic_classes.len()];
        let latency_objective_us = (traffic_class.latency_objective.secs() * 1e6) as Us;
        let latency_us = time - submitted_at;
        let figures = self.classes.entry(class).or_default();
        figures.add_answer(kind, latency_us, latency_objective_us);
        if kind == AnswerKind::Done && latency_us <= latency_objective_us {
            self.wasted_units.remove(&command);
        }
    }

    fn class_of(&self, lun: u32, traffic_class: u32) -> usize {
        let volume = self.settings.volumes.iter().find(|volume| volume.lun == lun);
        let plan = volume.map_or(0, |volume| volume.plan);
        plan as usize * self.settings.traffic_classes.len() + traffic_class as usize
    }

    /// Units a second of a volume's plan; 0: no limit.
    fn limit_of(&self, lun: u32) -> f64 {
        let volume = self.settings.volumes.iter().find(|volume| volume.lun == lun);
        volume.map_or(0.0, |volume| self.settings.plans[volume.plan as usize].limit)
    }

    /// The plan and the traffic class of a class, by name.
    fn class_name(&self, class: usize) -> String {
        let class_count = self.settings.traffic_classes.len();
        let plan = &self.settings.plans[class / class_count];
        let traffic_class = &self.settings.traffic_classes[class % class_count];
        format!("{} {}", plan.name, traffic_class.name)
    }
}

impl Sim<'_> {
    /// Computes the totals of the whole trace.
    pub(super) fn sum_up(&mut self) {
        let mut totals = Totals::new(&self.settings[0]);
        self.run.trace.iter().for_each(|line| totals.add(line));
        let volumes = self.settings[0].volumes.iter();
        let limit: f64 = volumes.map(|volume| totals.limit_of(volume.lun)).sum();
        self.run.sent_units = totals.sent_units;
        self.run.wasted_units = totals.wasted_units.values().sum();
        self.run.limit_used = totals.limited_units / (limit * self.world.seconds).max(1e-9);
        let classes = std::mem::take(&mut totals.classes).into_iter();
        self.run.classes = classes.map(|(class, figures)| (totals.class_name(class), figures)).collect();
    }
}
