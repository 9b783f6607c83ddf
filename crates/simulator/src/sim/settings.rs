//! A world as the settings of its hosts.

use super::*;

/// The settings of one host of a world.
pub fn settings(world: &World, host: u32, mutant: Option<Mutant>) -> HostSettings {
    if let Some(day) = &world.scenario {
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let addresses = tackmast_scenario::HostAddresses { listen: nowhere, list: nowhere, peers: None };
        let text = day.host_file(host, &addresses, std::path::Path::new("unused"), "unused");
        return HostSettings::parse("day", &text).unwrap_or_else(|e| panic!("settings of a script: {e}"));
    }
    let text = format!(
        "host {{\n  number = {host}\n  hosts = {}\n  listen = \"127.0.0.1:0\"\n  node_list = \"127.0.0.1:1\"\n  seed = 1\n}}\n{}",
        world.hosts,
        blocks(world, mutant)
    );
    HostSettings::parse("lab", &text).unwrap_or_else(|e| panic!("the lab's own settings: {e}"))
}

/// The settings of a drawn world beside each host's own block.
pub fn blocks(world: &World, mutant: Option<Mutant>) -> String {
    let shards: Vec<String> = (0..world.nodes).map(|n| n.to_string()).collect();
    let shards = shards.join(", ");
    let capacity = f64::from(world.cores) / world.unit_s;
    let budget = "further_legs {\n  free = 3\n  share = 0.25\n  window_s = 2\n}\n";
    let (from, multiple, warm) = (world.initial_capacity, world.overload_multiple, world.warm_up_s);
    let cold = format!(
        "cold_nodes {{\n  safe_units = {}\n  from = {from}\n  warm_s = {warm}\n  window_s = {OVERLOAD_WINDOW_S}\n  multiple = {multiple}\n}}\n",
        capacity * from * multiple * OVERLOAD_WINDOW_S
    );
    let volume_hosts = world.limited_hosts.min(world.hosts);
    let configured_hosts = if mutant == Some(Mutant::LimitAlone) { 1 } else { volume_hosts };
    // A store is named since settings ask for one; the lab keeps what hosts keep itself.
    let live = format!(
        "overrides {{\n  store = \"unused\"\n  admin = \"unused\"\n}}\nplans {{\n  home = 0\n  settle_s = {PLANS_SETTLE_S}\n  node_units = 1e9\n}}\n"
    );
    let live = if world.has_plans() { live.as_str() } else { "" };
    let all: Vec<u32> = (0..world.hosts).collect();
    let museum = if world.has_plans() { format!("  through = {all:?}\n") } else { String::new() };
    let burst = 16.0 * f64::from(volume_hosts) + 20.0;
    let text = format!(
        r#"
load {{
  settle_s = 0.3
  longest_wait_s = 1
}}
units {{
  bytes = 4096
  most = 8
  mean = 2
}}
{budget}
{cold}
{live}
plan "basic" {{
  limit = {limit}
  burst = {burst}
  slack = 8
}}
plan "premium" {{
  reserve = 50
  weight = 3
}}
stream "read" {{
  slo_ms = 200
  expiry_ms = 1200
  effect = "repeatable"
}}
stream "log" {{
  slo_ms = 250
  expiry_ms = 1000
  effect = "unrepeatable"
  in_order = {order}
}}
stream "save" {{
  slo_ms = 250
  expiry_ms = 1000
  effect = "keyed"
  group = "zone"
  window_s = 2
}}
volume "museum" {{
  lun = 0
  plan = "premium"
  blocks = 100000
  extent_blocks = 64
  shards = [{shards}]
  hosts = {hosts}
{museum}  reads = "read"
  writes = "log"
}}
volume "school" {{
  lun = 1
  plan = "basic"
  blocks = 100000
  extent_blocks = 64
  shards = [{shards}]
  hosts = {configured_hosts}
  through = {through}
  reads = "read"
  writes = "save"
}}
"#,
        hosts = world.hosts,
        through = if configured_hosts == volume_hosts {
            format!("{:?}", (0..configured_hosts).collect::<Vec<u32>>())
        } else {
            "[]".into()
        },
        limit = 30.0 * f64::from(volume_hosts),
        order = mutant != Some(Mutant::OrderIgnored),
        budget = if mutant == Some(Mutant::BudgetIgnored) { "" } else { budget },
        cold = if mutant == Some(Mutant::WarmUpIgnored) { "" } else { &cold },
    );
    // Each line of an attribute that is set has its value.
    let line = |l: &str| {
        let name = l.split('=').next().unwrap_or("").trim();
        world.set.get(name).map_or_else(|| l.to_owned(), |x| format!("  {name} = {x}"))
    };
    text.lines().map(line).collect::<Vec<_>>().join("\n") + "\n"
}
