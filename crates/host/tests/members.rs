//! A dozen hosts on loopback that know of each other: they find and miss each other, and operators' orders reach all.

use bytes::Bytes;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_config::HostSettings;
use tackmast_host::Host;
use tackmast_host_core::{AdminRequest, AdminResponse, MembersStatus};
use tackmast_overrides::{Kind, Order, Override, OverrideId};

const HOSTS: u32 = 12;

fn settings(dir: &Path, host: u32, seed: Option<SocketAddr>) -> HostSettings {
    let seeds = seed.map(|s| format!("\"{s}\"")).unwrap_or_default();
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
        admin = admin(dir, host),
    );
    HostSettings::parse("test", &text).unwrap()
}

fn admin(dir: &Path, host: u32) -> PathBuf {
    dir.join(format!("{host}.admin"))
}

fn ask(dir: &Path, host: u32, ask: AdminRequest) -> AdminResponse {
    match tackmast_admin::call(&admin(dir, host), &Call::AdminRequest(ask), Duration::from_secs(5)) {
        Ok(Answer::AdminResponse(r)) => *r,
        other => panic!("host {host}: {other:?}"),
    }
}

fn members(dir: &Path, host: u32) -> MembersStatus {
    match ask(dir, host, AdminRequest::Members) {
        AdminResponse::Members(m) => *m,
        other => panic!("{other:?}"),
    }
}

fn standing(dir: &Path, host: u32) -> Vec<Override> {
    match ask(dir, host, AdminRequest::List) {
        AdminResponse::List { standing, .. } => standing.into_iter().map(|(o, _)| o).collect(),
        other => panic!("{other:?}"),
    }
}

fn until(what: &str, is: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !is() {
        assert!(Instant::now() < end, "not within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_dozen_hosts_find_each_other_and_share_what_operators_order() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path();
    let first = Host::start(settings(dir, 0, None)).unwrap();
    let seed = first.peers;
    let mut hosts: Vec<Option<Host>> = vec![Some(first)];
    hosts.extend((1..HOSTS).map(|h| Some(Host::start(settings(dir, h, seed)).unwrap())));
    until("all know all", || (0..HOSTS).all(|h| members(dir, h).alive_hosts == HOSTS));

    // What is no datagram, and what is of another fleet, is dropped and counted.
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let body = tackmast_wire::peer::Body::Probe(tackmast_wire::peer::ProbeMessage::Ping { seq: 1 });
    let me = tackmast_wire::peer::MemberUpdate {
        slot: 3,
        generation: u64::MAX,
        incarnation: 0,
        health: tackmast_wire::peer::Health::Alive,
        address: seed.unwrap(),
        site: None,
        suspected_by: None,
    };
    let other = tackmast_wire::peer::Datagram { fleet: "other".into(), sender: me, body, updates: vec![] };
    for bytes in [Bytes::from_static(b"hello"), other.to_bytes()] {
        stranger.send_to(&bytes, seed.unwrap()).unwrap();
    }
    until("strangers are counted", || members(dir, 0).dropped >= 2);

    // An order at one host holds at all; cleared at another, it is gone at all, also at one that starts later.
    let order = Order {
        target: "zone:7".parse().unwrap(),
        kind: Kind::Weight(0.5),
        reason: "test".into(),
        who: "ann".into(),
        seconds: 600.0,
        origin: None,
    };
    let set = AdminRequest::Set { order, force: false, dry_run: false, if_version: None };
    assert!(matches!(ask(dir, 4, set), AdminResponse::Set { .. }));
    until("the order holds at all", || (0..HOSTS).all(|h| standing(dir, h).len() == 1));
    let held = standing(dir, 9).remove(0);
    assert_eq!((held.who.as_str(), held.origin.map(|o| o.slot)), ("ann", Some(4)));

    // One ends without a word: it is missed, and comes back to the order that it had kept.
    hosts[7].take().unwrap().stop();
    until("it is missed", || members(dir, 0).alive_hosts == HOSTS - 1);
    let id: OverrideId = standing(dir, 2)[0].id;
    assert!(matches!(
        ask(dir, 2, AdminRequest::Clear { id, who: "bob".into() }),
        AdminResponse::Cleared { .. }
    ));
    until("cleared at all", || (0..HOSTS).filter(|h| *h != 7).all(|h| standing(dir, h).is_empty()));
    // A process of its own would have let its files go; here its next generation has a copy of them.
    let again = dir.join("again");
    std::fs::create_dir(&again).unwrap();
    std::fs::copy(dir.join("7.redb"), again.join("7.redb")).unwrap();
    hosts[7] = Some(Host::start(settings(&again, 7, seed)).unwrap());
    until("it is back, and the order is not", || {
        members(dir, 0).alive_hosts == HOSTS && standing(&again, 7).is_empty()
    });
    std::thread::sleep(Duration::from_millis(500));
    let others = (0..HOSTS).filter(|h| *h != 7).all(|h| standing(dir, h).is_empty());
    assert!(others && standing(&again, 7).is_empty(), "what was cleared does not come back");
    hosts.into_iter().flatten().for_each(Host::stop);
}
