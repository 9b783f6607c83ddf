//! The settings file of one host.

use super::scenario_block::ScenarioBlock;
use super::Script;
use crate::peer_addresses::PeerAddresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Stands for an address that is not known yet.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Where one host process listens, and where it finds the others.
pub struct HostAddresses<'a> {
    /// Where the host listens for clients.
    pub listen: SocketAddr,
    /// Where the endpoint list is.
    pub list: SocketAddr,
    /// Its addresses in the membership protocol, if it takes part.
    pub peers: Option<&'a PeerAddresses>,
}

impl Script {
    /// The settings file of one host; its store and admin socket are in `directory` and begin with `file_stem`.
    pub fn host_file(
        &self,
        host: u32,
        addresses: &HostAddresses,
        directory: &Path,
        file_stem: &str,
    ) -> String {
        let mut extra = format!(
            "  answer_lead_ms = {}\n  tick_ms = {}\n",
            self.settings.host.answer_lead_ms, self.settings.host.clock_resolution_ms
        );
        if let Some(site) = self.scenario.site_of(host) {
            extra += &format!("  site = {site}\n");
        }
        let path = |extension: &str| directory.join(format!("{file_stem}.{extension}"));
        let overrides = overrides_block(&path("redb"), &path("admin"));
        let membership = addresses
            .peers
            .map_or(String::new(), |peers| membership_block(peers, &path("left"), self.scenario.period_ms));
        let (listen, list) = (Some(addresses.listen), Some(addresses.list));
        let host_text = host_text(&self.host_blocks, &extra, host, &self.scenario, listen, list);
        format!("{host_text}\n{overrides}{membership}")
    }
}

/// The admin socket of a host.
pub(crate) fn admin_socket(directory: &Path, host: u32) -> PathBuf {
    directory.join(format!("host-{host}.admin"))
}

fn overrides_block(store: &Path, admin: &Path) -> String {
    let (store, admin) = (store.display().to_string(), admin.display().to_string());
    format!("overrides {{\n  store = {store:?}\n  admin = {admin:?}\n}}\n")
}

/// The block `membership` for settings that are only checked.
pub(super) fn placeholder_membership_block(period_ms: f64) -> String {
    let peers = PeerAddresses { listen: UNKNOWN_ADDRESS, advertise: None, seeds: Vec::new() };
    membership_block(&peers, Path::new(""), period_ms)
}

fn membership_block(peers: &PeerAddresses, left_file: &Path, period_ms: f64) -> String {
    let seeds: Vec<String> = peers.seeds.iter().map(|seed| format!("{:?}", seed.to_string())).collect();
    let advertise = peers.advertise.map_or(String::new(), |address| format!("  advertise = \"{address}\"\n"));
    format!(
        "membership {{\n  listen = \"{}\"\n{advertise}  fleet = \"day\"\n  seeds = [{}]\n  admit = [\"127.0.0.0/8\"]\n  \
         period_ms = {period_ms}\n  term_s = 1\n  leave_s = 10\n  left_file = {:?}\n}}\n",
        peers.listen,
        seeds.join(", "),
        left_file.display().to_string()
    )
}

/// The block `host`, and after it the blocks that all hosts share.
pub(super) fn host_text(
    shared_blocks: &str,
    extra: &str,
    host: u32,
    scenario: &ScenarioBlock,
    listen: Option<SocketAddr>,
    list: Option<SocketAddr>,
) -> String {
    let (listen, list) = (listen.unwrap_or(UNKNOWN_ADDRESS), list.unwrap_or(UNKNOWN_ADDRESS));
    let (host_count, seed) = (scenario.hosts, scenario.seed + u64::from(host));
    format!(
        "host {{\n  number = {host}\n  hosts = {host_count}\n  listen = \"{listen}\"\n  node_list = \"{list}\"\n  \
         seed = {seed}\n{extra}}}\n{shared_blocks}"
    )
}
