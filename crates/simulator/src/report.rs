//! One page a run: service over time with the troubles marked, attempts out by node, the limited volume's store, and answer
//! times as percentile curves. Pictures are drawn by plotters as SVG within the page.

use crate::sim::Run;
use crate::world::{FaultKind, World};
use crate::Found;
use plotters::prelude::*;
use std::collections::BTreeMap;
use tackmast_trace::{AnswerKind, AttemptName, Event};

/// Buckets of time across a picture.
const BUCKETS: usize = 120;
const SIZE: (u32, u32) = (1100, 300);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

/// A run over time; each list has one value a bucket.
pub struct Series {
    /// Seconds of a bucket.
    pub step: f64,
    pub asked: Vec<f64>,
    pub in_time: Vec<f64>,
    pub rejected: Vec<f64>,
    /// By node's place in order of address: mean attempts out.
    pub out: Vec<Vec<f64>>,
    pub nodes: Vec<String>,
    /// Most units in the limited volume's store, as the rule draws it, over its burst and slack.
    pub store: Vec<f64>,
}

impl Series {
    /// From the trace alone. In time is by the latency objectives of the streams, as the facts tell them.
    pub fn of(run: &Run) -> Series {
        let (first, last) = (run.trace.first().map_or(0, |l| l.t), run.trace.last().map_or(1, |l| l.t));
        let long = (last - first).max(1) as f64 / 1e6;
        let step = long / BUCKETS as f64;
        let place = |t: u64| (((t - first) as f64 / 1e6 / step) as usize).min(BUCKETS - 1);
        let facts = run.trace.iter().find_map(|l| match &l.event {
            Event::Facts(f) => Some(f.clone()),
            _ => None,
        });
        let facts = facts.unwrap_or_default();
        let limited = facts.volumes.iter().find(|v| v.limit > 0.0).cloned();
        let mut series = Series {
            step,
            asked: vec![0.0; BUCKETS],
            in_time: vec![0.0; BUCKETS],
            rejected: vec![0.0; BUCKETS],
            out: Vec::new(),
            nodes: Vec::new(),
            store: vec![0.0; BUCKETS],
        };
        let mut open = BTreeMap::new();
        let mut attempts: BTreeMap<AttemptName, (u64, String, u64)> = BTreeMap::new();
        let mut spans: Vec<(String, u64, u64)> = Vec::new();
        let (mut level, mut level_at, mut drew) = (0.0f64, first, std::collections::BTreeSet::new());
        for l in &run.trace {
            match &l.event {
                Event::Submit { host, session, command, traffic_class, .. } => {
                    series.asked[place(l.t)] += 1.0;
                    open.insert((*host, *session, *command), (l.t, *traffic_class as usize));
                }
                Event::Answer { host, session, command, kind, .. } => {
                    let Some((t, traffic_class)) = open.remove(&(*host, *session, *command)) else {
                        continue;
                    };
                    let latency_objective = facts
                        .traffic_classes
                        .get(traffic_class)
                        .map_or(u64::MAX, |class| class.latency_objective_us);
                    series.in_time[place(t)] +=
                        f64::from(u8::from(*kind == AnswerKind::Done && l.t - t <= latency_objective));
                    series.rejected[place(t)] += f64::from(u8::from(*kind == AnswerKind::Rejected));
                }
                Event::Attempt { node, name, left_us, volume, units, .. } => {
                    attempts.insert(*name, (l.t, node.clone(), l.t + left_us));
                    let drawn = limited.as_ref().filter(|v| v.volume == *volume);
                    if let Some(v) = drawn.filter(|_| drew.insert((name.host, name.generation, name.request)))
                    {
                        let gone = (l.t - level_at) as f64 / 1e6;
                        level = (level - v.limit * gone).max(0.0) + units;
                        level_at = l.t;
                        let part = level / (v.burst + v.slack).max(1e-9);
                        series.store[place(l.t)] = series.store[place(l.t)].max(part);
                    }
                }
                Event::AttemptEnd { name, .. } => {
                    if let Some((t, node, _)) = attempts.remove(name) {
                        spans.push((node, t, l.t));
                    }
                }
                Event::LinkDown { attempts: down, .. } => {
                    for name in down {
                        if let Some((t, node, _)) = attempts.remove(name) {
                            spans.push((node, t, l.t));
                        }
                    }
                }
                _ => {}
            }
        }
        spans.extend(attempts.into_values().map(|(t, node, until)| (node, t, until.min(last))));
        let mut nodes: Vec<String> = spans.iter().map(|x| x.0.clone()).collect();
        // By address as numbers: 10.0.0.9 stands before 10.0.0.10.
        let order = |n: &String| n.parse::<std::net::SocketAddr>().map_err(|_| n.clone());
        nodes.sort_by_key(order);
        nodes.dedup();
        series.out = vec![vec![0.0; BUCKETS]; nodes.len()];
        for (node, from, to) in spans {
            let Ok(n) = nodes.binary_search_by_key(&order(&node), order) else { continue };
            // Each bucket gets the part of it for which the attempt was out.
            for (i, out) in series.out[n].iter_mut().enumerate().take(place(to) + 1).skip(place(from)) {
                let (low, high) = (i as f64 * step, (i + 1) as f64 * step);
                let from = ((from - first) as f64 / 1e6).max(low);
                let to = ((to - first) as f64 / 1e6).min(high);
                *out += (to - from).max(0.0) / step;
            }
        }
        series.nodes = nodes;
        series
    }
}

/// Answer times at percentiles, in milliseconds: name, and pairs of (nines, time), where 2 nines are the 99th.
pub fn curves(run: &Run) -> Vec<(String, Vec<(f64, f64)>)> {
    let points = |c: &crate::sim::Class| {
        let most = (c.done.max(1) as f64).log10();
        let steps = (0..=40).map(|i| f64::from(i) / 10.0).take_while(|nines| *nines <= most);
        steps.map(|n| (n, c.times.value_at_quantile(1.0 - 10f64.powf(-n)) as f64 / 1e3)).collect()
    };
    run.classes.iter().filter(|(_, c)| c.done > 0).map(|(name, c)| (name.clone(), points(c))).collect()
}

/// A picture could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("picture: {reason}")]
pub struct ReportError {
    reason: String,
}

fn failed(error: impl std::fmt::Display) -> ReportError {
    ReportError { reason: error.to_string() }
}

/// Bars of the troubles' times, under what is drawn after them.
fn troubles(world: &World) -> Vec<(f64, f64, String)> {
    let name = |k: &FaultKind| format!("{k:?}").split(['(', '{']).next().unwrap_or("").trim().to_owned();
    let span = |t: &crate::InjectedFault| {
        let at = t.at_us as f64 / 1e6;
        (at, at + t.for_us as f64 / 1e6, name(&t.kind))
    };
    world.faults.iter().map(span).collect()
}

fn over_time(
    title: &str,
    world: &World,
    lines: &[(&str, Vec<f64>)],
    step: f64,
) -> Result<String, ReportError> {
    let mut text = String::new();
    let most = lines.iter().flat_map(|l| l.1.iter().copied()).fold(0.0, f64::max).max(1e-9) * 1.1;
    let long = step * BUCKETS as f64;
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..long, 0.0..most)
            .map_err(failed)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw().map_err(failed)?;
        let all = troubles(world);
        let rows = all.len().max(1) as f64;
        for (i, (from, to, name)) in all.iter().enumerate() {
            let top = most * (1.0 - i as f64 / rows);
            let low = top - most / rows;
            let bar = Rectangle::new(
                [(*from, low), (to.min(long), top)],
                RGBColor(255, 200, 120).mix(0.35).filled(),
            );
            chart.draw_series([bar]).map_err(failed)?;
            if all.len() <= 24 {
                let word = Text::new(
                    name.clone(),
                    (*from, top),
                    ("sans-serif", 10).into_font().color(&RGBColor(120, 80, 0)),
                );
                chart.draw_series([word]).map_err(failed)?;
            }
        }
        for (i, (name, values)) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let points = values.iter().enumerate().map(|(i, y)| ((i as f64 + 0.5) * step, *y));
            let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).map_err(failed)?;
            drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(text)
}

/// Attempts out by node, dark where many are: one row a node, so that hundreds of hosts and dozens of nodes stay legible.
fn by_node(series: &Series) -> Result<String, ReportError> {
    let mut text = String::new();
    let most = series.out.iter().flatten().copied().fold(0.0, f64::max).max(1e-9);
    let rows = series.nodes.len().max(1);
    let height = 70 + (rows as u32 * 12).clamp(120, 1200);
    {
        let area = SVGBackend::with_string(&mut text, (SIZE.0, height)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let long = series.step * BUCKETS as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("attempts out by node (darkest: {most:.1})"), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(120)
            .build_cartesian_2d(0.0..long, 0.0..rows as f64)
            .map_err(failed)?;
        let name = |y: &f64| series.nodes.get(*y as usize).cloned().unwrap_or_default();
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("seconds")
            .y_labels(rows.min(60))
            .y_label_formatter(&name)
            .y_label_style(("sans-serif", 9))
            .draw()
            .map_err(failed)?;
        for (n, row) in series.out.iter().enumerate() {
            let cells = row.iter().enumerate().filter(|(_, x)| **x > 0.0).map(|(i, x)| {
                // By the root, so that a few attempts beside a flood can still be seen.
                let colour = RGBColor(20, 60, 140).mix((x / most).sqrt()).filled();
                let (from, to) = (i as f64 * series.step, (i + 1) as f64 * series.step);
                Rectangle::new([(from, n as f64), (to, n as f64 + 0.9)], colour)
            });
            chart.draw_series(cells).map_err(failed)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(text)
}

fn percentiles(run: &Run) -> Result<String, ReportError> {
    let mut text = String::new();
    let all = curves(run);
    let values = || all.iter().flat_map(|c| c.1.iter());
    let most = values().map(|p| p.1).fold(1.0, f64::max) * 1.2;
    let nines = values().map(|p| p.0).fold(1.0, f64::max);
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("answer times of what was done, ms", ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..nines, (0.1..most).log_scale())
            .map_err(failed)?;
        let percent = |x: &f64| {
            // As many places as tell it from its neighbours.
            let places = (x.ceil() as usize).saturating_sub(1);
            let text = format!("{:.places$}", 100.0 * (1.0 - 10f64.powf(-*x)));
            if places == 0 {
                text
            } else {
                text.trim_end_matches('0').trim_end_matches('.').to_owned()
            }
        };
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_label_formatter(&percent)
            .x_desc("percent")
            .draw()
            .map_err(failed)?;
        for (i, (name, points)) in all.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let points = points.iter().map(|(x, y)| (*x, y.max(0.1)));
            let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).map_err(failed)?;
            drawn.label(name.as_str()).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(failed)?;
        area.present().map_err(failed)?;
    }
    Ok(text)
}

fn plain_text(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The whole page, with the figures as text.
pub fn page(world: &World, found: &Found, text: &str) -> Result<String, ReportError> {
    let series = Series::of(&found.run);
    let rate = |v: &[f64]| v.iter().map(|x| x / series.step).collect::<Vec<f64>>();
    let lines = [
        ("asked", rate(&series.asked)),
        ("in time", rate(&series.in_time)),
        ("rejected", rate(&series.rejected)),
    ];
    let pictures = [
        over_time("requests a second, by when they were asked; troubles behind", world, &lines, series.step)?,
        over_time(
            "the limited volume's store over its burst and slack",
            world,
            &[("store", series.store.clone())],
            series.step,
        )?,
        percentiles(&found.run)?,
        by_node(&series)?,
    ];
    Ok(format!(
        "<!doctype html>\n<meta charset=\"utf-8\">\n<title>seed {}</title>\n<body style=\"font-family: sans-serif\">\n\
         <h1>Seed {}: {} hosts, {} nodes, {:.1} s</h1>\n<p>Figures are of models in virtual time.</p>\n{}\n<pre>{}</pre>\n</body>\n",
        world.seed,
        world.seed,
        world.hosts,
        world.nodes,
        world.seconds,
        pictures.join("\n"),
        plain_text(text)
    ))
}

#[cfg(test)]
mod tests;
