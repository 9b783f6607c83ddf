//! Tests of membership: twelve hosts on loopback find each other, detect one that stops, and share operators' overrides.

use bytes::Bytes;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_config::HostSettings;
use tackmast_host::Host;
use tackmast_host_core::{AdminRequest, AdminResponse, MembersStatus};
use tackmast_overrides::{Kind, Override, OverrideId, OverrideRequest};

const HOSTS: u32 = 12;

fn settings(dir: &Path, host: u32, seed: Option<SocketAddr>) -> HostSettings {
    let seeds = seed.map(|address| format!("\"{address}\"")).unwrap_or_default();
    let text = format!(
        r#"
host {{
  number = {host}
  hosts = {HOSTS}
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
}}
units {{
  bytes = 4096
  most = 8
  mean = 2
}}
plan "p" {{ }}
stream "s" {{
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}}
volume "v" {{
  lun = 0
  plan = "p"
  blocks = 1000
  extent_blocks = 64
  shards = [0]
  hosts = 1
  reads = "s"
  writes = "s"
}}
overrides {{
  store = {store:?}
  admin = {admin:?}
}}
membership {{
  listen = "127.0.0.1:0"
  fleet = "test"
  seeds = [{seeds}]
  admit = ["127.0.0.0/8"]
  period_ms = 100
}}
"#,
        store = dir.join(format!("{host}.redb")),
        admin = admin_socket(dir, host),
    );
    HostSettings::parse("test", &text).unwrap()
}

fn admin_socket(dir: &Path, host: u32) -> PathBuf {
    dir.join(format!("{host}.admin"))
}

fn call(dir: &Path, host: u32, request: AdminRequest) -> AdminResponse {
    match tackmast_admin::call(&admin_socket(dir, host), &Call::AdminRequest(request), Duration::from_secs(5))
    {
        Ok(Answer::AdminResponse(response)) => *response,
        other => panic!("host {host}: {other:?}"),
    }
}

fn members(dir: &Path, host: u32) -> MembersStatus {
    match call(dir, host, AdminRequest::Members) {
        AdminResponse::Members(status) => *status,
        other => panic!("{other:?}"),
    }
}

fn overrides(dir: &Path, host: u32) -> Vec<Override> {
    match call(dir, host, AdminRequest::List) {
        AdminResponse::List { overrides, .. } => overrides.into_iter().map(|(record, _)| record).collect(),
        other => panic!("{other:?}"),
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "not within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Twelve hosts find each other and drop datagrams that are malformed or of another fleet. An override set at one host must be in force
/// at all. Once cleared at another, it must be gone from all and must not return, even with a host that was down meanwhile and has it in
/// its store.
#[test]
fn hosts_find_each_other_and_share_overrides() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path();
    let first = Host::start(settings(dir, 0, None)).unwrap();
    let seed = first.peers;
    let mut hosts: Vec<Option<Host>> = vec![Some(first)];
    hosts.extend((1..HOSTS).map(|host| Some(Host::start(settings(dir, host, seed)).unwrap())));
    wait_until("all hosts know all", || (0..HOSTS).all(|host| members(dir, host).alive_hosts == HOSTS));

    // A malformed datagram and one of another fleet are dropped and counted.
    let outsider = UdpSocket::bind("127.0.0.1:0").unwrap();
    let body = tackmast_wire::peer::Body::Probe(tackmast_wire::peer::ProbeMessage::Ping { seq: 1 });
    let sender = tackmast_wire::peer::MemberUpdate {
        slot: 3,
        generation: u64::MAX,
        incarnation: 0,
        health: tackmast_wire::peer::Health::Alive,
        address: seed.unwrap(),
        site: None,
        suspected_by: None,
    };
    let other_fleet = tackmast_wire::peer::Datagram { fleet: "other".into(), sender, body, updates: vec![] };
    for bytes in [Bytes::from_static(b"hello"), other_fleet.to_bytes()] {
        outsider.send_to(&bytes, seed.unwrap()).unwrap();
    }
    wait_until("the datagrams are counted as dropped", || members(dir, 0).dropped >= 2);

    // An override that is set at one host must be in force at all.
    let override_request = OverrideRequest {
        target: "zone:7".parse().unwrap(),
        kind: Kind::Weight(0.5),
        reason: "test".into(),
        who: "ann".into(),
        seconds: 600.0,
        origin: None,
    };
    let set = AdminRequest::Set { override_request, force: false, dry_run: false, if_version: None };
    assert!(matches!(call(dir, 4, set), AdminResponse::Set { .. }));
    wait_until("the override is in force at all hosts", || {
        (0..HOSTS).all(|host| overrides(dir, host).len() == 1)
    });
    let received = overrides(dir, 9).remove(0);
    assert_eq!((received.who.as_str(), received.origin.map(|origin| origin.slot)), ("ann", Some(4)));

    // One host stops without a leave and is found dead. The override is cleared at another host meanwhile.
    hosts[7].take().unwrap().stop();
    wait_until("the stopped host is found dead", || members(dir, 0).alive_hosts == HOSTS - 1);
    let id: OverrideId = overrides(dir, 2)[0].id;
    assert!(matches!(
        call(dir, 2, AdminRequest::Clear { id, who: "bob".into() }),
        AdminResponse::Cleared { .. }
    ));
    wait_until("the override is cleared at all hosts", || {
        (0..HOSTS).filter(|host| *host != 7).all(|host| overrides(dir, host).is_empty())
    });
    // Threads of the stopped host may still hold its store open, so its next start uses a copy. It starts with the stored override, and
    // must learn that it was cleared.
    let restored = dir.join("restored");
    std::fs::create_dir(&restored).unwrap();
    std::fs::copy(dir.join("7.redb"), restored.join("7.redb")).unwrap();
    hosts[7] = Some(Host::start(settings(&restored, 7, seed)).unwrap());
    wait_until("the host is back and the override is not", || {
        members(dir, 0).alive_hosts == HOSTS && overrides(&restored, 7).is_empty()
    });
    std::thread::sleep(Duration::from_millis(500));
    let is_cleared = (0..HOSTS).filter(|host| *host != 7).all(|host| overrides(dir, host).is_empty());
    assert!(is_cleared && overrides(&restored, 7).is_empty(), "a cleared override came back");
    hosts.into_iter().flatten().for_each(Host::stop);
}
