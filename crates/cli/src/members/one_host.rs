//! The membership view of one host, as text.

use crate::time_format::duration;
use std::fmt::Write;
use tackmast_host_core::{MembersStatus, PeerStatus, SiteStatus};

/// The state of a site whose hosts are reachable, as hosts report it.
const SITE_REACHABLE: &str = "there";

/// The whole view.
pub(super) fn text(view: &MembersStatus) -> String {
    let mut text = String::new();
    let Some(host) = view.host else { return "this host has no membership block in its settings\n".into() };
    write_summary(&mut text, host, view);
    if view.displaced {
        _ = writeln!(
            text,
            "another generation of this host's number is running: this host uses nothing that hosts share"
        );
    }
    if view.taken_over > 0 {
        let count = view.taken_over;
        _ = writeln!(text, "took its number back from a later generation that does not run: {count} times");
    }
    view.sites.iter().for_each(|site| write_site(&mut text, site));
    view.peers.iter().for_each(|peer| write_peer(&mut text, peer));
    for (lun, own, lent, borrowed, need) in &view.quota_leases {
        _ = writeln!(
            text,
            "LUN {lun}: owns {own:.3} of the limit, lent {lent:.3}, borrowed {borrowed:.3}, needs {need:.3}"
        );
    }
    text
}

fn write_summary(text: &mut String, host: u32, view: &MembersStatus) {
    let site = view.site.map_or(String::new(), |site| format!(" of site {site}"));
    _ = writeln!(
        text,
        "host {host}{site} at {}: {} hosts alive; digest {:08x}, unchanged for {}",
        view.address,
        view.alive_hosts,
        view.digest,
        duration(view.unchanged_s)
    );
    _ = writeln!(
        text,
        "{} datagrams sent ({} bytes), {} accepted, {} dropped; local health score {}, paused {} times, suspected by peers {} times",
        view.sent, view.sent_bytes, view.received, view.dropped, view.local_health, view.pauses, view.accused
    );
    _ = writeln!(
        text,
        "{} suspicions started, {} refuted, {} hosts found dead, {} updates about hosts beyond the configured number, {} changes damped for flapping",
        view.suspected, view.refuted, view.found_dead, view.out_of_range, view.damped
    );
}

fn write_site(text: &mut String, site: &SiteStatus) {
    let SiteStatus { state, alive, suspect, dead, left, .. } = site;
    let name = site_name(site.site);
    _ = writeln!(text, "{name:<12} {state:<20} {alive} alive, {suspect} suspect, {dead} dead, {left} left");
}

fn write_peer(text: &mut String, peer: &PeerStatus) {
    let site = peer.site.map_or("-".to_owned(), |site| site.to_string());
    let flaps = if peer.flaps { ", flapping" } else { "" };
    let since = duration(peer.since_s);
    let PeerStatus { host, health, address, .. } = peer;
    _ = writeln!(text, "{host:>6}  site {site:<4} {health:<8} {address:<24} for {since}{flaps}");
}

/// The part of the view whose changes are printed.
pub(super) fn watched_text(view: &MembersStatus) -> String {
    let mut text = format!(
        "{} hosts alive, local health score {}, displaced {}\n",
        view.alive_hosts, view.local_health, view.displaced
    );
    let is_degraded = |site: &&SiteStatus| site.state != SITE_REACHABLE || site.suspect + site.dead > 0;
    for site in view.sites.iter().filter(is_degraded) {
        let SiteStatus { state, alive, suspect, dead, .. } = site;
        let name = site_name(site.site);
        _ = writeln!(text, "{name} {state}: {alive} alive, {suspect} suspect, {dead} dead");
    }
    for peer in view.peers.iter().filter(|peer| peer.health != "alive") {
        _ = writeln!(text, "host {} {}", peer.host, peer.health);
    }
    text
}

/// The name of a site in the output.
pub(super) fn site_name(site: Option<u32>) -> String {
    site.map_or("no site".to_owned(), |site| format!("site {site}"))
}
