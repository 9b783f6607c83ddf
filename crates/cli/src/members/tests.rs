//! The views of several hosts side by side.

use super::comparison::{ranges, Comparison};
use super::*;
use tackmast_host_core::PeerStatus;

fn answer(host: u32, digest: u32, peers: &[(u32, &str, u32)]) -> HostAnswer {
    let peer = |(host, health, incarnation): &(u32, &str, u32)| PeerStatus {
        host: *host,
        health: (*health).into(),
        incarnation: *incarnation,
        generation: 7,
        ..PeerStatus::default()
    };
    let peers = peers.iter().map(peer).collect();
    Ok(MembersStatus {
        host: Some(host),
        digest,
        generation: 7,
        peers,
        unchanged_s: 3.0,
        ..Default::default()
    })
}

/// An operator compares hosts with the same view, three with different views, and three hundred of which some hold one host dead. The
/// text is one line, a matrix of opinions, or a summary.
#[test]
fn comparison_shows_which_views_differ() {
    let converged = [answer(0, 5, &[(1, "alive", 0)]), answer(1, 5, &[(0, "alive", 0)])];
    assert!(Comparison::new(&converged)
        .text()
        .starts_with("converged: 2 hosts with digest 00000005, unchanged for 3s"));
    let partitioned = [
        answer(0, 5, &[(1, "alive", 0), (2, "dead", 3)]),
        answer(1, 5, &[(0, "alive", 0), (2, "suspect", 3)]),
        answer(2, 6, &[(0, "alive", 0)]),
    ];
    let text = Comparison::new(&partitioned).text();
    assert!(text.starts_with("not converged: 2 digests among 3 hosts\n  00000005: hosts 0-1\n"), "{text}");
    let rows: Vec<Vec<&str>> =
        text.lines().rev().take(4).map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(
        rows,
        [vec!["2", "?", "o"], vec!["1", "o", "s3"], vec!["0", "a", "D3"], vec!["1", "2"]],
        "{text}"
    );
    // Of three hundred, what differs is summed up.
    let many: Vec<HostAnswer> =
        (0..300).map(|host| answer(host, 5, &[(1, if host < 100 { "dead" } else { "alive" }, 0)])).collect();
    let text = Comparison::new(&many).text();
    assert!(
        text.contains("host 1: D of generation 7 by 99 (0, 2-99); a of generation 7 by 200 (100-299)"),
        "{text}"
    );
    assert!(text.lines().count() < 40, "{text}");
}

/// Host numbers are printed as ranges wherever they follow each other.
#[test]
fn numbers_are_printed_as_ranges() {
    for (numbers, text) in
        [(vec![], ""), (vec![4], "4"), (vec![3, 1, 2, 7], "1-3, 7"), (vec![5, 5, 6], "5-6")]
    {
        assert_eq!(ranges(&numbers), text);
    }
}

/// One of two hosts does not run. The comparison names it once, by the path of its socket.
#[test]
fn host_without_an_answer_is_named_once() {
    let folder = tempfile::tempdir().unwrap();
    let socket = folder.path().join("admin");
    let path = socket.display().to_string();
    let answers = [answer(0, 5, &[]), ask_view(&socket)];
    let text = Comparison::new(&answers).text();
    assert_eq!(text.matches(&path).count(), 1, "{text}");
    assert_eq!(watched_text(&answers[1..]).matches(&path).count(), 1);
}
