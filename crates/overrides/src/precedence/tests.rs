//! Tests which override of a node applies.

use super::*;

/// Several overrides name the same node. An operator must be able to tell from the table of precedence which one applies.
#[test]
fn the_narrower_target_applies_and_of_equal_targets_the_later_override() {
    use Kind::{OutOfService as Out, Pinned as Pin, Weight};
    let listed = Service::Listed;
    // The overrides in the order in which they are set, and the expected effect on 10.1.2.3:9000 in zone 1 with shard 5.
    type Case<'a> = (&'a str, &'a [(&'a str, Kind)], Service, f64);
    let cases: &[Case] = &[
        ("none", &[], listed, 1.0),
        ("another node", &[("10.1.2.4:9000", Out)], listed, 1.0),
        ("another port", &[("10.1.2.3:9001", Out)], listed, 1.0),
        ("its address", &[("10.1.2.3:9000", Out)], Service::Out, 1.0),
        ("its address, any port", &[("10.1.2.3", Out)], Service::Out, 1.0),
        ("its prefix", &[("10.1.0.0/16", Out)], Service::Out, 1.0),
        ("another prefix", &[("10.2.0.0/16", Out)], listed, 1.0),
        ("all addresses", &[("0.0.0.0/0", Out)], Service::Out, 1.0),
        ("the other family", &[("::/0", Out)], listed, 1.0),
        ("its shard", &[("shard:5", Out)], Service::Out, 1.0),
        ("its zone", &[("zone:1", Out)], Service::Out, 1.0),
        ("address over prefix", &[("10.1.2.3:9000", Pin), ("10.1.2.3", Out)], Service::Pinned, 1.0),
        ("longer prefix", &[("10.1.2.0/24", Pin), ("10.1.0.0/16", Out)], Service::Pinned, 1.0),
        ("prefix over shard", &[("0.0.0.0/0", Pin), ("shard:5", Out)], Service::Pinned, 1.0),
        ("shard over zone", &[("shard:5", Pin), ("zone:1", Out)], Service::Pinned, 1.0),
        ("later", &[("zone:1", Out), ("zone:1", Pin)], Service::Pinned, 1.0),
        ("later, the other way", &[("zone:1", Pin), ("zone:1", Out)], Service::Out, 1.0),
        (
            "weight apart from service",
            &[("zone:1", Weight(0.5)), ("10.1.2.3:9000", Pin)],
            Service::Pinned,
            0.5,
        ),
        ("narrow weight", &[("10.1.2.3:9000", Weight(0.2)), ("zone:1", Weight(0.5))], listed, 0.2),
        ("later weight", &[("zone:1", Weight(0.2)), ("zone:1", Weight(0.5))], listed, 0.5),
    ];
    let facts =
        NodeFacts { address: "10.1.2.3:9000".parse().unwrap(), zone: 1, shard: 5, listed: NodeState::Ready };
    for (name, set, service, weight) in cases {
        let mut index = TargetIndex::default();
        let mut all = BTreeMap::new();
        for (i, (target, kind)) in set.iter().enumerate() {
            let record = Override {
                id: OverrideId(i as u64),
                target: target.parse().unwrap(),
                kind: *kind,
                reason: String::new(),
                who: String::new(),
                set_us: 0,
                ends_us: 0,
                origin: None,
            };
            index.add(&record);
            all.insert(record.id, record);
        }
        let (found, applies) = effect_on(&index, &all, &facts);
        assert_eq!((found.service, found.weight), (*service, *weight), "{name}");
        // Each override that names the node applies, or is superseded by one that does.
        let named = index.naming(&facts).count();
        let applied = usize::from(applies.service.is_some()) + usize::from(applies.weight.is_some());
        assert_eq!(superseded(&index, &all, &facts).len() + applied, named, "{name}");
        for record in all.values() {
            index.remove(record);
        }
        assert_eq!(index.naming(&facts).count(), 0, "{name}");
    }
}
