//! A day of the bench as a script: the same nodes, volumes, plans, traffic classes and kinds of faults, as far as both sides have
//! them. A comment in the script tells what is not carried over.

mod bench_day;
mod faults;

use bench_day::{BenchDay, Class, Kind, Server, Tier, Volume};

/// Bytes of a unit.
const UNIT_BYTES: f64 = 4096.0;
/// Bytes of a block.
const BLOCK_BYTES: f64 = 512.0;
/// Mean seconds between surges of a volume, as the bench's page tells it.
const SURGE_INTERVAL_S: f64 = 30.0;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;
/// Microseconds per millisecond.
const US_PER_MS: f64 = 1e3;
/// First lines of an imported script.
const HEADER: &str = "# From a bench day. Not carried over: the spread of work within a size, the zipf of keys, slots beside cores,\n\
                      # connection caps, clients' own shares of the hosts. Sizes are even up to a most that gives the same mean.\n\n";

/// Why a day of the bench can't be imported.
#[derive(Debug, thiserror::Error)]
pub enum BenchImportError {
    /// The text is no day of the bench with volumes.
    #[error("{0}; expected a bench day of volumes")]
    Json(#[source] serde_json::Error),
    /// The day has no tier of servers.
    #[error("tiers: none; expected one")]
    NoTier,
    /// No traffic class writes.
    #[error("classes: none writes; expected one")]
    NoWriteClass,
    /// No traffic class reads.
    #[error("classes: none reads; expected one")]
    NoReadClass,
    /// A volume names a plan that the day does not have.
    #[error("volume {volume}: plan {plan}")]
    UnknownPlan {
        /// Index of the volume.
        volume: usize,
        /// Index of the plan.
        plan: usize,
    },
    /// A server is of a kind that the tier does not have.
    #[error("servers: a kind that is not among the kinds")]
    UnknownKind,
}

fn seconds(microseconds: f64) -> f64 {
    microseconds / US_PER_S
}

/// The script of a bench day.
pub fn import_bench_day(text: &str, seed: u64) -> Result<String, BenchImportError> {
    let day: BenchDay = serde_json::from_str(text).map_err(BenchImportError::Json)?;
    let tier = day.tiers.first().ok_or(BenchImportError::NoTier)?;
    let mut script = HEADER.to_owned();
    script += &general_blocks(&day, seed);
    script += &slow_start_block(&day, tier);
    for (plan, tenant) in day.family.plans.iter().zip(&day.tenants) {
        script += &format!(
            "plan \"{}\" {{\n  limit = {}\n  burst = {}\n  slack = {}\n  reserve = {}\n  weight = {}\n}}\n\n",
            tenant.name, plan.limit, plan.limit_burst, plan.slack, plan.reservation, plan.weight
        );
    }
    day.classes.iter().for_each(|class| script += &traffic_class_block(class));
    let classes = VolumeClasses::of(&day)?;
    for (index, volume) in day.family.volumes.iter().enumerate() {
        script += &volume_block(&day, index, volume, &classes)?;
        script += &traffic_block(&day, index, volume, &classes);
    }
    for server in day.servers.iter().filter(|server| server.is_up) {
        let kind = tier.kinds.get(server.kind).ok_or(BenchImportError::UnknownKind)?;
        script += &nodes_block(&day, tier, server, kind);
    }
    script += &format!("list {{\n  late_s = {:.2}\n}}\n\n", seconds(day.discovery.notice));
    script += &faults::fault_blocks(&day);
    Ok(script)
}

/// The blocks that the scenario and all its hosts have once.
fn general_blocks(day: &BenchDay, seed: u64) -> String {
    let drain_grace_ms = seconds(day.drain_grace) * 1e3;
    let mut blocks = format!(
        "day {{\n  seconds = {:.1}\n  hosts = {}\n  seed = {seed}\n  drain_grace_ms = {drain_grace_ms}\n}}\n\n",
        seconds(day.length),
        day.balancers.len()
    );
    blocks += &format!("host_extra {{\n  tick_ms = {}\n}}\n\n", day.clock_resolution / US_PER_MS);
    blocks += &format!(
        "load {{\n  most_legs = {}\n  longest_wait_s = {}\n  drain_grace_ms = {drain_grace_ms}\n}}\n\n",
        day.attempts.max_attempts,
        seconds(day.clients.max_retry_after)
    );
    blocks += &format!(
        "units {{\n  bytes = {UNIT_BYTES}\n  most = {}\n  mean = {:.3}\n}}\n\n",
        day.family.max_units, day.family.mean_units
    );
    if let Some(budget) = &day.budget {
        blocks += &format!(
            "further_legs {{\n  free = {}\n  share = {}\n  window_s = {}\n}}\n\n",
            budget.free,
            budget.share,
            seconds(budget.window)
        );
    }
    blocks
}

/// The block `cold_nodes`. A node that warms up bears, without risk, the multiple of what the weakest kind can do when it starts.
fn slow_start_block(day: &BenchDay, tier: &Tier) -> String {
    let units_per_s = day.servers.iter().filter_map(|server| {
        let kind = tier.kinds.get(server.kind)?;
        Some(f64::from(kind.cores) * server.speed * US_PER_S / day.family.unit_work)
    });
    let weakest = units_per_s.fold(f64::MAX, f64::min);
    let window_s = seconds(day.overload_window);
    let safe_units = weakest * tier.stated_initial_capacity * day.overload_multiple * window_s;
    format!(
        "cold_nodes {{\n  safe_units = {safe_units:.2}\n  from = {}\n  warm_s = {}\n  window_s = {window_s}\n  multiple = {}\n}}\n\n",
        tier.stated_initial_capacity,
        seconds(tier.stated_warm_up),
        day.overload_multiple
    )
}

fn traffic_class_block(class: &Class) -> String {
    let effect = match class.effect.as_str() {
        "safe" => "effect = \"repeatable\"".to_owned(),
        "unsafe" => "effect = \"unrepeatable\"".to_owned(),
        _ => {
            let group = if class.group == "cell" { "shard" } else { &class.group };
            let window_s = seconds(class.window);
            format!("effect = \"keyed\"\n  group = \"{group}\"\n  window_s = {window_s}")
        }
    };
    let (objective_ms, deadline_ms) = (class.latency_objective / US_PER_MS, class.deadline / US_PER_MS);
    format!(
        "stream \"{}\" {{\n  slo_ms = {objective_ms}\n  expiry_ms = {deadline_ms}\n  {effect}\n}}\n\n",
        class.name
    )
}

/// Which traffic classes requests of a volume have, and how large they are.
struct VolumeClasses<'a> {
    write: &'a Class,
    read: &'a Class,
    /// The class of large reads, and from how many blocks on a read is large.
    large_read: Option<(&'a Class, f64)>,
    /// Blocks of the largest request.
    max_blocks: f64,
    /// Sum of the shares of classes that read.
    read_share: f64,
}

impl VolumeClasses<'_> {
    fn of(day: &BenchDay) -> Result<VolumeClasses<'_>, BenchImportError> {
        let reads: Vec<&Class> = day.classes.iter().filter(|class| !class.write).collect();
        let write = day.classes.iter().find(|class| class.write).ok_or(BenchImportError::NoWriteClass)?;
        let read = reads.first().ok_or(BenchImportError::NoReadClass)?;
        let blocks_per_unit = UNIT_BYTES / BLOCK_BYTES;
        let max_blocks = ((2.0 * day.family.mean_units - 1.0) * blocks_per_unit + 1.0).round().max(2.0);
        let read_share: f64 = reads.iter().map(|class| class.share).sum();
        let min_large_blocks =
            |class: &Class| (max_blocks * (1.0 - class.share / read_share)).round().max(1.0);
        let large_read = reads.get(1).map(|class| (*class, min_large_blocks(class)));
        Ok(VolumeClasses { write, read, large_read, max_blocks, read_share })
    }
}

fn volume_block(
    day: &BenchDay,
    index: usize,
    volume: &Volume,
    classes: &VolumeClasses,
) -> Result<String, BenchImportError> {
    let unknown_plan = BenchImportError::UnknownPlan { volume: index, plan: volume.plan };
    let plan = day.tenants.get(volume.plan).ok_or(unknown_plan)?;
    let mut block = format!(
        "volume \"v{index}\" {{\n  lun = {index}\n  plan = \"{}\"\n  blocks = 8192\n  extent_blocks = 64\n  shards = {:?}\n  \
         hosts = {}\n  reads = \"{}\"\n  writes = \"{}\"\n",
        plan.name,
        volume.nodes,
        volume.hosts.min(day.balancers.len() as u32),
        classes.read.name,
        classes.write.name
    );
    if let Some((class, min_blocks)) = classes.large_read {
        block += &format!("  large_reads = \"{}\"\n  large_from_blocks = {min_blocks}\n", class.name);
    }
    Ok(block + "}\n\n")
}

fn traffic_block(day: &BenchDay, index: usize, volume: &Volume, classes: &VolumeClasses) -> String {
    let host_count = day.balancers.len() as u32;
    let offsets = 0..volume.hosts.min(host_count);
    let hosts: Vec<u32> = offsets.map(|offset| (volume.first_host + offset) % host_count).collect();
    let units_per_s = day.family.plans.get(volume.plan).map_or(0.0, |plan| volume.rate_share * plan.rate);
    let total_share = day.classes.iter().map(|class| class.share).sum::<f64>();
    let mut block = format!(
        "traffic \"v{index}\" {{\n  volume = \"v{index}\"\n  hosts = {hosts:?}\n  sessions = 1\n  rate = {:.3}\n  reads = {:.3}\n  \
         blocks = [1, {}]\n  retries = {}\n  moves_s = {:.1}\n",
        units_per_s / day.family.mean_units,
        classes.read_share / total_share,
        classes.max_blocks,
        day.clients.retries,
        day.family.primary_change_interval_s
    );
    if volume.surge_multiple > 0.0 {
        let (multiple, length_s) = (volume.surge_multiple, volume.surge_length);
        block += &format!("  surges = [{multiple:.1}, {length_s:.1}, {SURGE_INTERVAL_S}]\n");
    }
    block + "}\n\n"
}

fn nodes_block(day: &BenchDay, tier: &Tier, server: &Server, kind: &Kind) -> String {
    format!(
        "nodes \"n{}\" {{\n  shards = [{}]\n  cores = {}\n  speed = {}\n  unit_ms = {:.3}\n  queue = {}\n  cold_from = {:.3}\n  \
         warm_s = {}\n  fall_multiple = {}\n  fall_s = {}\n  put_off = {:.3}\n  flush_s = {:.3}\n  pause_ms = {:.1}\n  \
         pause_every_s = {:.2}\n  saved = {:.3}\n  remembers = {}\n  drops = {}\n  report_ms = {}\n}}\n\n",
        server.cell,
        server.cell,
        kind.cores,
        server.speed,
        day.family.unit_work / US_PER_MS,
        kind.queue,
        kind.initial_capacity,
        seconds(kind.warm_up),
        day.overload_multiple,
        seconds(day.overload_window),
        day.family.write_back_fraction,
        seconds(day.family.flush_interval),
        kind.pause / US_PER_MS,
        seconds(kind.pause_interval),
        day.family.cache_savings,
        day.family.cached_keys,
        kind.drops_cancelled,
        (tier.report_period / US_PER_MS).round() as u64
    )
}
