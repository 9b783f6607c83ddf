//! The pictures of a report, drawn by plotters as SVG text.

use super::percentiles::LatencyCurve;
use super::series::{Series, BUCKET_COUNT};
use super::{failed, ReportError};
use crate::world::{FaultKind, InjectedFault, World};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// Width and height of a picture, in pixels.
const SIZE: (u32, u32) = (1100, 300);
/// Up to this number of faults, each is labelled with its kind.
const MAX_LABELLED_FAULTS: usize = 24;
const FAULT_BAR_COLOUR: RGBColor = RGBColor(255, 200, 120);
const FAULT_LABEL_COLOUR: RGBColor = RGBColor(120, 80, 0);
const IN_FLIGHT_COLOUR: RGBColor = RGBColor(20, 60, 140);
const LINE_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

/// A chart with two linear axes.
type LinearChart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A line of a chart over time: its name, and a value for each bucket.
pub(super) struct Line<'a> {
    pub(super) name: &'a str,
    pub(super) values: Vec<f64>,
}

/// The time of an injected fault, in seconds from the start of the run.
struct FaultBar {
    from_s: f64,
    to_s: f64,
    kind: String,
}

impl FaultBar {
    fn new(fault: &InjectedFault) -> FaultBar {
        let from_s = fault.at_us as f64 / 1e6;
        FaultBar { from_s, to_s: from_s + fault.for_us as f64 / 1e6, kind: kind_name(&fault.kind) }
    }
}

/// The name of a kind of fault, without its strength.
fn kind_name(kind: &FaultKind) -> String {
    let text = format!("{kind:?}");
    text.split(['(', '{']).next().unwrap_or("").trim().to_owned()
}

/// Draws lines over time, with the injected faults as bars behind them. `step` is the length of a bucket in seconds.
pub(super) fn over_time(
    title: &str,
    world: &World,
    lines: &[Line],
    step: f64,
) -> Result<String, ReportError> {
    let mut text = String::new();
    let highest = lines.iter().flat_map(|line| line.values.iter().copied()).fold(0.0, f64::max);
    let (length_s, top) = (step * BUCKET_COUNT as f64, highest.max(1e-9) * 1.1);
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..length_s, 0.0..top)
            .map_err(failed)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw().map_err(failed)?;
        draw_fault_bars(&mut chart, world, length_s, top)?;
        draw_lines(&mut chart, lines, step)?;
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

/// Draws each fault as a bar over its time, in a row of its own.
fn draw_fault_bars(
    chart: &mut LinearChart,
    world: &World,
    length_s: f64,
    top: f64,
) -> Result<(), ReportError> {
    let bars: Vec<FaultBar> = world.faults.iter().map(FaultBar::new).collect();
    let row_count = bars.len().max(1) as f64;
    for (row, FaultBar { from_s, to_s, kind }) in bars.iter().enumerate() {
        let high = top * (1.0 - row as f64 / row_count);
        let low = high - top / row_count;
        let corners = [(*from_s, low), (to_s.min(length_s), high)];
        let bar = Rectangle::new(corners, FAULT_BAR_COLOUR.mix(0.35).filled());
        chart.draw_series([bar]).map_err(failed)?;
        if bars.len() <= MAX_LABELLED_FAULTS {
            let style = ("sans-serif", 10).into_font().color(&FAULT_LABEL_COLOUR);
            let label = Text::new(kind.clone(), (*from_s, high), style);
            chart.draw_series([label]).map_err(failed)?;
        }
    }
    Ok(())
}

fn draw_lines(chart: &mut LinearChart, lines: &[Line], step: f64) -> Result<(), ReportError> {
    for (line_index, Line { name, values }) in lines.iter().enumerate() {
        let colour = LINE_COLOURS[line_index % LINE_COLOURS.len()];
        let points = values.iter().enumerate().map(|(bucket, value)| ((bucket as f64 + 0.5) * step, *value));
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2))).map_err(failed)?;
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    Ok(())
}

/// Draws the attempts in flight at each node, dark where there are many. A node has one row, so that the picture stays
/// legible with hundreds of hosts and dozens of nodes.
pub(super) fn by_node(series: &Series) -> Result<String, ReportError> {
    let mut text = String::new();
    let highest = series.in_flight.iter().flatten().copied().fold(0.0, f64::max).max(1e-9);
    let row_count = series.nodes.len().max(1);
    let height = 70 + (row_count as u32 * 12).clamp(120, 1200);
    {
        let area = SVGBackend::with_string(&mut text, (SIZE.0, height)).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let length_s = series.step * BUCKET_COUNT as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("attempts in flight by node (darkest: {highest:.1})"), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(120)
            .build_cartesian_2d(0.0..length_s, 0.0..row_count as f64)
            .map_err(failed)?;
        let node_name = |row: &f64| series.nodes.get(*row as usize).cloned().unwrap_or_default();
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("seconds")
            .y_labels(row_count.min(60))
            .y_label_formatter(&node_name)
            .y_label_style(("sans-serif", 9))
            .draw()
            .map_err(failed)?;
        for (row, values) in series.in_flight.iter().enumerate() {
            draw_node_row(&mut chart, row as f64, values, series.step, highest)?;
        }
        area.present().map_err(failed)?;
    }
    Ok(text)
}

fn draw_node_row(
    chart: &mut LinearChart,
    row: f64,
    values: &[f64],
    step: f64,
    highest: f64,
) -> Result<(), ReportError> {
    let cells = values.iter().enumerate().filter(|(_, value)| **value > 0.0).map(|(bucket, value)| {
        // The square root keeps a few attempts visible beside many.
        let colour = IN_FLIGHT_COLOUR.mix((value / highest).sqrt()).filled();
        let (from_s, to_s) = (bucket as f64 * step, (bucket + 1) as f64 * step);
        Rectangle::new([(from_s, row), (to_s, row + 0.9)], colour)
    });
    chart.draw_series(cells).map_err(failed)?;
    Ok(())
}

/// A percentile as a percentage, with as many digits as tell it from its neighbours. `nines` is 2 for the 99th percentile.
fn percentage(nines: f64) -> String {
    let digits = (nines.ceil() as usize).saturating_sub(1);
    let text = format!("{:.digits$}", 100.0 * (1.0 - 10f64.powf(-nines)));
    if digits == 0 {
        return text;
    }
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Draws the latency of what was done at each percentile, one line for each class.
pub(super) fn percentiles(curves: &[LatencyCurve]) -> Result<String, ReportError> {
    let mut text = String::new();
    let points = || curves.iter().flat_map(|(_, points)| points.iter());
    let highest_ms = points().map(|(_, latency_ms)| *latency_ms).fold(1.0, f64::max) * 1.2;
    let max_nines = points().map(|(nines, _)| *nines).fold(1.0, f64::max);
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("latency of the commands that were done, ms", ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_nines, (0.1..highest_ms).log_scale())
            .map_err(failed)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_label_formatter(&|nines| percentage(*nines))
            .x_desc("percent")
            .draw()
            .map_err(failed)?;
        for (curve_index, (name, points)) in curves.iter().enumerate() {
            let colour = LINE_COLOURS[curve_index % LINE_COLOURS.len()];
            let points = points.iter().map(|(nines, latency_ms)| (*nines, latency_ms.max(0.1)));
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
