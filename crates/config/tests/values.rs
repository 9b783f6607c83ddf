//! Tests the values that are read from a host's settings: the defaults of what `minimal.hcl` omits, and the fields in
//! `complete.hcl` whose names in HCL differ from their names in Rust.

use tackmast::interface::{DedupScope, Effect, TimeDelta};
use tackmast_config::{Bounds, HostSettings, LargeReads, Load};

fn minimal() -> HostSettings {
    HostSettings::parse("minimal.hcl", include_str!("minimal.hcl")).expect("valid settings")
}

fn complete() -> HostSettings {
    HostSettings::parse("complete.hcl", include_str!("complete.hcl")).expect("valid settings")
}

/// Guards the defaults of omitted values: a changed default would change the behaviour of existing hosts after an update.
#[test]
fn defaults_of_host_and_bounds() {
    let settings = minimal();
    let host = &settings.host;
    assert_eq!(host.target, "iqn.2026-12.org.tackmast:pool");
    assert_eq!((host.clock_resolution_ms, host.answer_lead_ms), (2.0, 20.0));
    assert_eq!((host.listen_nbd, host.seed, host.site), (None, None, None));
    assert_eq!(host.saved_list, None);
    let bounds = Bounds {
        sessions: 4096,
        window: 128,
        requests: 65_536,
        bytes: 1_073_741_824,
        command_bytes: 1_048_576,
        first_burst: 65_536,
        segment: 262_144,
        burst: 262_144,
        parts: 16,
        nodes: 4096,
        links: 2,
        link_queue: 256,
        link_bytes: 65_536,
        connect_ms: 250,
        client_stall_ms: 10_000,
        link_silence_ms: 5_000,
        login_ms: 5_000,
        drain_ms: 5_000,
    };
    assert_eq!(settings.bounds, bounds);
}

/// Guards the defaults of load, overrides and slow start in the same way.
#[test]
fn defaults_of_load_overrides_and_slow_start() {
    let settings = minimal();
    let load = Load {
        max_attempts: 4,
        longest_wait_s: 2.0,
        settle_s: 1.0,
        drain_grace_ms: 250.0,
        reports_peer_service: true,
    };
    assert_eq!(settings.load, load);
    assert_eq!(settings.retry_budget, None);
    let overrides = settings.overrides.expect("the block exists");
    assert_eq!((overrides.max_overrides, overrides.max_zone_fraction), (20_000, 0.5));
    assert_eq!(settings.slow_start.expect("the block exists").saved, 1.0);
}

/// Guards the defaults of the blocks that hosts share in the same way.
#[test]
fn defaults_of_membership_consensus_and_plan_changes() {
    let settings = minimal();
    let membership = settings.membership.expect("the block exists");
    assert_eq!((membership.period_ms, membership.term_s, membership.leave_s), (500.0, 2.0, 60.0));
    assert_eq!((membership.drift, membership.advertise, membership.left_file), (0.001, None, None));
    assert!(membership.seeds.is_empty());
    let consensus = settings.consensus.expect("the block exists");
    assert_eq!((consensus.heartbeat_interval_ms, consensus.election_timeout_ms), (100.0, 1000.0));
    assert_eq!((consensus.lease_s, consensus.drift), (5.0, 0.001));
    let plans = settings.plans_live.expect("the block exists");
    assert_eq!((plans.home, plans.settle_s), (0, 5.0));
    assert!(plans.bears.is_empty());
}

/// Guards the defaults of traffic classes, plans and volumes in the same way.
#[test]
fn defaults_of_traffic_classes_plans_and_volumes() {
    let settings = minimal();
    let traffic_class = &settings.traffic_classes[0];
    assert_eq!((traffic_class.in_order, traffic_class.order_blocks), (false, None));
    let plan = &settings.plans[0];
    assert_eq!((plan.limit, plan.burst, plan.slack), (0.0, 0.0, 0.0));
    assert_eq!((plan.reserve, plan.weight, plan.floor), (0.0, 1.0, None));
    let volume = &settings.volumes[0];
    assert_eq!((volume.block_bytes, volume.large), (512, None));
}

/// Guards fields whose names in HCL differ from their names in Rust. Each name must set its own field.
#[test]
fn fields_are_set_by_their_names_in_hcl() {
    let settings = complete();
    assert_eq!(settings.host.clock_resolution_ms, 1.0);
    assert_eq!(settings.bounds.requests, 2000);
    assert_eq!((settings.units.max_per_request, settings.units.mean_per_request), (8.0, 2.0));
    assert_eq!(settings.load.max_attempts, 5);
    let slow_start = settings.slow_start.expect("the block exists");
    assert_eq!((slow_start.ramp_s, slow_start.from, slow_start.saved), (30.0, 0.1, 0.5));
    let overrides = settings.overrides.expect("the block exists");
    assert_eq!((overrides.max_overrides, overrides.max_zone_fraction), (100, 0.25));
    let consensus = settings.consensus.expect("the block exists");
    assert_eq!((consensus.heartbeat_interval_ms, consensus.election_timeout_ms), (50.0, 300.0));
}

/// Guards the indices into which the names in blocks are converted. With a wrong index, a volume would have the limit of
/// another plan.
#[test]
fn volumes_refer_to_plans_and_traffic_classes_by_index() {
    let settings = complete();
    let [small, large, once] = &settings.traffic_classes[..] else { panic!("three traffic classes") };
    assert_eq!(small.latency_objective, TimeDelta::from_secs(0.2));
    assert_eq!(small.deadline, TimeDelta::from_secs(1.0));
    let by_key = Effect::IdempotentByKey { scope: DedupScope::Zone, window: TimeDelta::from_secs(60.0) };
    assert_eq!(
        (small.effect, large.effect, once.effect),
        (by_key, Effect::Idempotent, Effect::NonIdempotent)
    );
    let volume = &settings.volumes[0];
    assert_eq!((volume.plan, volume.reads, volume.writes), (0, 0, 2));
    assert_eq!(volume.large, Some(LargeReads { min_blocks: 32, traffic_class: 1 }));
}
