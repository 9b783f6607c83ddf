//! Requests drawn from a file, and the errors of wrong files.

use tackmast_workload::{Arrival, Workload};

const WORKLOAD: &str = r#"
load {
  seconds = 20
  seed = 3
}
flow "readers" {
  volume = "museum"
  rate = 200
  writes = 0.25
  blocks = [1, 8]
  large = [10, 64]
  span = 1000
  surges = [[5, 5, 3]]
  busiest = [0.5, 2]
}
flow "savers" {
  volume = "school"
  rate = 50
  writes = 1
  blocks = [4, 4]
  span = 100
}
"#;

/// A file with two flows, one of which has a surge, large requests and a busiest host, is played for four hosts. The requests are in
/// order, the same each time, and as many of each kind as the file says.
#[test]
fn arrivals_are_as_the_file_says() {
    let workload = Workload::parse("l.hcl", WORKLOAD).unwrap();
    let all: Vec<Arrival> = workload.arrivals(4).collect();
    assert_eq!(all, workload.arrivals(4).collect::<Vec<_>>());
    assert!(all.windows(2).all(|pair| pair[0].at_us <= pair[1].at_us));
    let count = |is_counted: &dyn Fn(&Arrival) -> bool| {
        all.iter().filter(|arrival| is_counted(arrival)).count() as f64
    };
    // What is counted, of how many, and the least and greatest fraction of them.
    let readers = count(&|arrival| arrival.flow == 0);
    for (name, found, of, low, high) in [
        ("readers", readers, 200.0 * 30.0, 0.95, 1.05),
        ("savers", count(&|arrival| arrival.flow == 1), 1000.0, 0.9, 1.1),
        (
            "surge",
            count(&|arrival| arrival.flow == 0 && (5_000_000..10_000_000).contains(&arrival.at_us)),
            3000.0,
            0.95,
            1.05,
        ),
        ("writes", count(&|arrival| arrival.flow == 0 && arrival.write), readers, 0.22, 0.28),
        ("large", count(&|arrival| arrival.blocks == 64), readers, 0.006, 0.014),
        (
            "busiest",
            count(&|arrival| arrival.flow == 0 && arrival.host == (arrival.at_us / 2_000_000) as u32 % 4),
            readers,
            0.6,
            0.65,
        ),
        (
            "outside",
            count(&|arrival| arrival.block + u64::from(arrival.blocks) > [1000, 100][arrival.flow]),
            1.0,
            0.0,
            0.0,
        ),
    ] {
        assert!((low..=high).contains(&(found / of)), "{name}: {found} of {of}");
    }
}

/// A number in a file is out of its bounds, or a name is mistyped. The error names the file, the line, what was found and what was
/// expected.
#[test]
fn wrong_file_is_refused_with_its_place() {
    for (from, to, expected) in [
        (
            "rate = 200",
            "rate = 0",
            "l.hcl:8: flow \"readers\" rate: 0; expected a number from 0.001 to 1000000",
        ),
        ("seconds = 20", "seconds = -1", "l.hcl:3: load seconds: -1; expected a number above 0, up to 86400"),
        (
            "span = 100\n",
            "span = 3\n",
            "l.hcl:21: flow \"savers\" span: 3; expected a number from 4 to 1000000000000000",
        ),
    ] {
        let text = WORKLOAD.replacen(from, to, 1);
        assert_eq!(Workload::parse("l.hcl", &text).unwrap_err().to_string(), expected);
    }
    assert!(Workload::parse("l.hcl", &WORKLOAD.replace("writes", "wrotes")).is_err());
}
