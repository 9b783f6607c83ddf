//! Files of plans.

use super::file::steps;
use tackmast_plans::{Catalogue, Plan};

/// An operator applies a file of plans. It makes a step for each difference from the plans in force, and an error names the place.
#[test]
fn file_makes_a_step_for_each_difference() {
    let mut now = Catalogue::default();
    now.plans.insert(
        "a".into(),
        Plan { limit: 1.0, burst: 9.0, slack: 1.0, reserve: 0.0, weight: 1.0, floor: None },
    );
    let volume = tackmast_plans::Volume {
        lun: 0,
        plan: "a".into(),
        blocks: 1,
        extent_blocks: 1,
        shards: vec![0],
        through: vec![0],
        reads: "s".into(),
        writes: "s".into(),
    };
    now.volumes.insert("v".into(), volume);
    let plan = |limit: u32| {
        format!("plan \"a\" {{\n limit = {limit}\n burst = 9\n slack = 1\n reserve = 0\n weight = 1\n}}\n")
    };
    // The file, what is taken away, and how many steps it makes, or a part of its error.
    for (text, remove, expected) in [
        (plan(1), vec![], Ok(0)),
        (plan(2), vec![], Ok(1)),
        (plan(1), vec!["b".to_owned()], Ok(1)),
        ("volume \"v\" {\n plan = \"b\"\n}".into(), vec![], Ok(1)),
        ("volume \"w\" {\n plan = \"b\"\n}".into(), vec![], Err("no such volume")),
        ("volume \"v\" {\n size = 3\n}".into(), vec![], Err("size")),
        ("plan \"a\" {\n limit = \"x\"\n}".into(), vec![], Err("limit")),
        ("host \"a\" { }".into(), vec![], Err("host")),
        ("plan {".into(), vec![], Err("expected an HCL document")),
    ] {
        match (steps("f.hcl", &text, &now, &remove), expected) {
            (Ok(steps), Ok(count)) => assert_eq!(steps.len(), count, "{text}"),
            (Err(error), Err(part)) => {
                let error = error.to_string();
                assert!(error.contains("f.hcl:") && error.contains(part), "{text}: {error}");
            }
            (found, _) => panic!("{text}: {found:?}"),
        }
    }
}
