//! The report of a run: one HTML page with the service over time and the injected faults, the attempts in flight at each
//! node, the limited volume's token bucket, and latency percentiles.

mod percentiles;
mod pictures;
mod series;

pub use percentiles::{curves, LatencyCurve};
pub use series::Series;

use crate::world::World;
use crate::Found;
use pictures::Line;

/// A picture could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("picture: {reason}")]
pub struct ReportError {
    reason: String,
}

fn failed(error: impl std::fmt::Display) -> ReportError {
    ReportError { reason: error.to_string() }
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page of a run. `text` has its figures and follows the pictures.
pub fn page(world: &World, found: &Found, text: &str) -> Result<String, ReportError> {
    let series = Series::of(&found.run);
    let line = |name, counts: &[f64]| {
        let values = counts.iter().map(|count| count / series.step).collect();
        Line { name, values }
    };
    let rates = [
        line("submitted", &series.submitted),
        line("in time", &series.in_time),
        line("rejected", &series.rejected),
    ];
    let levels = [Line { name: "level", values: series.bucket_level.clone() }];
    let pictures = [
        pictures::over_time(
            "commands a second, by when they were submitted; faults in the background",
            world,
            &rates,
            series.step,
        )?,
        pictures::over_time(
            "token bucket of the limited volume, as a fraction of its burst and slack",
            world,
            &levels,
            series.step,
        )?,
        pictures::percentiles(&curves(&found.run))?,
        pictures::by_node(&series)?,
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
        escape(text)
    ))
}

#[cfg(test)]
mod tests;
