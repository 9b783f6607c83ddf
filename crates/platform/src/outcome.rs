//! The header fields of an attempt itself, and what a node's answer means.

use crate::settings::Settings;
use bytes::Bytes;
use std::fmt::Write;
use std::net::SocketAddr;
use tackmast::interface::{Outcome, TimeDelta};
use tackmast_http::Response;

/// The end of an attempt's head, after the head of its request: the node, and how long the host will wait.
pub fn attempt_head(node: SocketAddr, left: TimeDelta) -> String {
    let ms = (left.secs() * 1e3).floor().max(0.0) as u64;
    format!("Host: {node}\r\nX-Budget-Ms: {ms}\r\n\r\n")
}

/// A node's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Requests that wait at the node, if it reported that.
    pub waiting: Option<u32>,
    /// Units served for the volume through other hosts.
    pub elsewhere: Option<f64>,
    /// The answer's body; empty unless the attempt is done.
    pub body: Bytes,
}

/// Which of the headers count, by the settings.
#[derive(Clone, Copy, Debug)]
pub struct Reports {
    waiting: bool,
}

impl Reports {
    /// By the settings.
    pub fn of(settings: &Settings) -> Self {
        Reports { waiting: settings.queue_length_position().is_some() }
    }

    /// Reads an answer.
    pub fn read(&self, answer: Response) -> AttemptReport {
        let never_ran = matches!(answer.status, 503 | 504) && answer.headers.first("x-rejected") == Some("1");
        let outcome = match answer.status {
            200 => Outcome::Done,
            _ if never_ran => Outcome::Full,
            // The node could not use the request. That is no sign of its health: malformed requests could otherwise make it an outlier. The
            // protocol does not promise that the request never ran, so it may have.
            400..=499 => Outcome::Cancelled,
            _ => Outcome::Error,
        };
        let report = answer.headers.first("x-load-report").filter(|_| self.waiting);
        let elsewhere = answer.headers.first("x-delta").and_then(|text| text.trim().parse::<f64>().ok());
        AttemptReport {
            outcome,
            waiting: report.and_then(waiting),
            elsewhere: elsewhere.filter(|units| units.is_finite() && *units >= 0.0),
            body: if outcome == Outcome::Done { answer.body } else { Bytes::new() },
        }
    }
}

/// `inflight=7,queue=2,util=0.61`: a report that is not valid as a whole is ignored.
fn waiting(report: &str) -> Option<u32> {
    let mut found = None;
    for pair in report.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f64 =
            value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)?;
        if matches!(name.trim(), "queue" | "q") {
            found = Some(value.min(f64::from(u32::MAX)) as u32);
        }
    }
    found
}

/// The head of an answer to a client.
pub fn answer_head(status: u16, length: usize, retry_after: Option<TimeDelta>, closes: bool) -> String {
    let mut text =
        format!("HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n", tackmast_http::reason_phrase(status));
    if let Some(wait) = retry_after {
        _ = write!(text, "Retry-After: {:.3}\r\n", wait.secs());
    }
    if closes {
        text += "Connection: close\r\n";
    }
    text + "\r\n"
}
