//! The views of several hosts side by side, and where they differ.

use super::one_host::site_name;
use super::HostAnswer;
use crate::time_format::duration;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use tackmast_host_core::MembersStatus;

/// Largest number of hosts for which a matrix is printed; the differences among more hosts are summed up.
const MAX_MATRIX_ROWS: usize = 24;
/// Largest number of lines of differences that are printed.
const MAX_LINES: usize = 20;
/// Width of a column of the matrix, in characters.
const COLUMN_WIDTH: usize = 5;

/// The opinions about one host, each with the hosts that hold it.
type Opinions = BTreeMap<String, Vec<u32>>;

/// The views of several hosts side by side.
pub(super) struct Comparison<'a> {
    answers: &'a [HostAnswer],
    /// The views of the hosts that have answered.
    views: Vec<&'a MembersStatus>,
    /// The hosts about which the others differ.
    differences: BTreeMap<u32, Opinions>,
}

impl<'a> Comparison<'a> {
    pub(super) fn new(answers: &'a [HostAnswer]) -> Self {
        let views: Vec<&MembersStatus> = answers.iter().filter_map(|answer| answer.as_ref().ok()).collect();
        let differences = differences(&views);
        Comparison { answers, views, differences }
    }

    /// Whether all hosts that have answered have the same view.
    pub(super) fn is_converged(&self) -> bool {
        self.differences.is_empty()
    }

    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        for error in self.answers.iter().filter_map(|answer| answer.as_ref().err()) {
            _ = writeln!(text, "{error}");
        }
        self.write_digests(&mut text);
        self.write_sites(&mut text);
        if self.views.len() <= MAX_MATRIX_ROWS && !self.is_converged() {
            self.write_matrix(&mut text);
        } else {
            self.write_differences(&mut text);
        }
        text
    }

    fn write_digests(&self, text: &mut String) {
        let mut digests: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        self.views.iter().for_each(|view| digests.entry(view.digest).or_default().extend(view.host));
        let unchanged_s = self.views.iter().map(|view| view.unchanged_s).fold(f64::INFINITY, f64::min);
        match digests.first_key_value() {
            None => _ = writeln!(text, "no host answered"),
            Some((digest, hosts)) if digests.len() == 1 && self.is_converged() => {
                let (count, unchanged) = (hosts.len(), duration(unchanged_s));
                _ = writeln!(
                    text,
                    "converged: {count} hosts with digest {digest:08x}, unchanged for {unchanged}"
                );
            }
            Some(_) => {
                let (digest_count, host_count) = (digests.len(), self.views.len());
                _ = writeln!(text, "not converged: {digest_count} digests among {host_count} hosts");
                for (digest, hosts) in digests.iter().take(MAX_LINES) {
                    _ = writeln!(text, "  {digest:08x}: hosts {}", ranges(hosts));
                }
            }
        }
    }

    fn write_sites(&self, text: &mut String) {
        let mut sites: BTreeMap<Option<u32>, Vec<&MembersStatus>> = BTreeMap::new();
        self.views.iter().for_each(|view| sites.entry(view.site).or_default().push(view));
        for (site, views) in &sites {
            let impaired = views.iter().filter(|view| view.local_health > 0).count();
            let (name, count) = (site_name(*site), views.len());
            _ = writeln!(
                text,
                "{name}: {count} hosts answered, {impaired} of them with impaired local health"
            );
        }
    }

    fn write_matrix(&self, text: &mut String) {
        _ = writeln!(
            text,
            "each row is a host's view of the columns: a alive, s suspect, D dead, L left, ? unknown, o itself, ! displaced; with the incarnation"
        );
        _ = write!(text, "{:>6}", "");
        for column in self.differences.keys() {
            _ = write!(text, "{column:>COLUMN_WIDTH$}");
        }
        text.push('\n');
        for view in &self.views {
            _ = write!(text, "{:>6}", view.host.unwrap_or(0));
            for column in self.differences.keys() {
                _ = write!(text, "{:>COLUMN_WIDTH$}", opinion(view, *column));
            }
            text.push('\n');
        }
    }

    fn write_differences(&self, text: &mut String) {
        for (host, opinions) in self.differences.iter().take(MAX_LINES) {
            let opinions = opinions.iter();
            let opinions: Vec<String> =
                opinions.map(|(opinion, by)| format!("{opinion} by {} ({})", by.len(), ranges(by))).collect();
            _ = writeln!(text, "host {host}: {}", opinions.join("; "));
        }
        if self.differences.len() > MAX_LINES {
            let count = self.differences.len() - MAX_LINES;
            _ = writeln!(text, "and {count} more hosts about which views differ");
        }
    }
}

/// The opinion of one host about another: a letter, and the incarnation that the host knows.
fn opinion(view: &MembersStatus, of: u32) -> String {
    if view.host == Some(of) {
        return if view.displaced { "!".into() } else { "o".into() };
    }
    let Some(peer) = view.peers.iter().find(|peer| peer.host == of) else { return "?".into() };
    let letter = match peer.health.as_str() {
        "alive" => "a",
        "suspect" => "s",
        "dead" => "D",
        _ => "L",
    };
    match peer.incarnation {
        0 => letter.to_owned(),
        incarnation => format!("{letter}{incarnation}"),
    }
}

/// The hosts about which the others differ, or which the others see otherwise than they see themselves.
fn differences(views: &[&MembersStatus]) -> BTreeMap<u32, Opinions> {
    let hosts: BTreeSet<u32> =
        views.iter().flat_map(|view| view.peers.iter().map(|peer| peer.host).chain(view.host)).collect();
    let differ = |host: u32| {
        let opinions = opinions_of(views, host);
        (opinions.len() > 1 || is_misjudged(views, host, &opinions)).then_some((host, opinions))
    };
    hosts.into_iter().filter_map(differ).collect()
}

fn opinions_of(views: &[&MembersStatus], host: u32) -> Opinions {
    let mut opinions = Opinions::new();
    for view in views.iter().filter(|view| view.host != Some(host)) {
        let peer = view.peers.iter().find(|peer| peer.host == host);
        let generation = peer.map_or(0, |peer| peer.generation);
        let text = format!("{} of generation {generation:x}", opinion(view, host));
        opinions.entry(text).or_default().extend(view.host);
    }
    opinions
}

/// Whether a host that has answered is not known to all others as alive in its generation.
fn is_misjudged(views: &[&MembersStatus], host: u32, opinions: &Opinions) -> bool {
    let own = views.iter().find(|view| view.host == Some(host) && !view.displaced);
    own.is_some_and(|own| {
        let generation = format!("{:x}", own.generation);
        opinions.keys().any(|opinion| !opinion.starts_with('a') || !opinion.ends_with(&generation))
    })
}

/// Numbers as ranges, such as `0-3, 7`.
pub(super) fn ranges(numbers: &[u32]) -> String {
    let mut sorted = numbers.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for number in sorted {
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == number => *last = number,
            _ => ranges.push((number, number)),
        }
    }
    let text = |(first, last): &(u32, u32)| {
        if first == last {
            first.to_string()
        } else {
            format!("{first}-{last}")
        }
    };
    ranges.iter().map(text).collect::<Vec<String>>().join(", ")
}
