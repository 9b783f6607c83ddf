//! The header fields that differ between attempts, what a node's answer means, and the heads of answers to clients.

use crate::settings::Settings;
use bytes::Bytes;
use std::fmt::Write;
use std::net::SocketAddr;
use tackmast::interface::{Outcome, TimeDelta};
use tackmast_http::Response;

/// Returns the end of an attempt's head, which follows [`Call::head`](crate::Call): the node's address, and the time that is left,
/// rounded down to whole milliseconds.
pub fn attempt_head(node: SocketAddr, left: TimeDelta) -> String {
    let ms = (left.secs() * 1e3).floor().max(0.0) as u64;
    format!("Host: {node}\r\nX-Budget-Ms: {ms}\r\n\r\n")
}

/// What a node's answer says about an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The number of requests that wait at the node; `None` where the node did not report a valid one.
    pub waiting: Option<u32>,
    /// Units that the node served for the volume through other hosts; `None` where it did not report a valid number.
    pub elsewhere: Option<f64>,
    /// The body of the answer; empty unless the attempt is done.
    pub body: Bytes,
}

/// Reads the answers of nodes, with those reports that the settings provide for.
#[derive(Clone, Copy, Debug)]
pub struct Reports {
    has_queue_length: bool,
}

impl Reports {
    /// Creates a reader for the reports that `settings` provides for.
    pub fn of(settings: &Settings) -> Self {
        Reports { has_queue_length: settings.queue_length_position().is_some() }
    }

    /// Reads a node's answer to an attempt.
    pub fn read(&self, answer: Response) -> AttemptReport {
        let never_ran = matches!(answer.status, 503 | 504) && answer.headers.first("x-rejected") == Some("1");
        let outcome = match answer.status {
            200 => Outcome::Done,
            _ if never_ran => Outcome::Full,
            // The node rejected the request as invalid. This must not count against its health, or malformed requests could make a healthy
            // node an outlier. The protocol does not promise that the request never ran, so it may have.
            400..=499 => Outcome::Cancelled,
            _ => Outcome::Error,
        };
        let report = answer.headers.first("x-load-report").filter(|_| self.has_queue_length);
        let elsewhere = answer.headers.first("x-delta").and_then(|text| text.trim().parse::<f64>().ok());
        AttemptReport {
            outcome,
            waiting: report.and_then(queue_length),
            elsewhere: elsewhere.filter(|units| units.is_finite() && *units >= 0.0),
            body: if outcome == Outcome::Done { answer.body } else { Bytes::new() },
        }
    }
}

/// Returns the queue length of a load report such as `inflight=7,queue=2,util=0.61`. If any value is not valid, the whole report is
/// ignored.
fn queue_length(report: &str) -> Option<u32> {
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

/// Returns the head of an answer to a client. `length` is that of the body in bytes; `closes` says that the connection closes after it.
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
