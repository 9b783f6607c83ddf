//! What a search prints of a run that has failed, and which arguments it refuses.

use super::*;
use tackmast_simulator::Mutant;

fn arguments() -> HuntArguments {
    HuntArguments { minutes: 0.001, first: 1, hosts: 20, threads: 4, worst: None, save: None }
}

/// A maintainer gives a search values out of bounds. Each is refused by its name: a search with other values than those that were given
/// would look at other worlds than its report says.
#[test]
fn arguments_out_of_bounds_are_refused() {
    let cases = [
        (HuntArguments { minutes: 0.0, ..arguments() }, "--minutes 0; expected up to 600"),
        (HuntArguments { minutes: 601.0, ..arguments() }, "--minutes 601; expected up to 600"),
        (HuntArguments { hosts: 0, ..arguments() }, "--hosts 0; expected 1 to 300"),
        (HuntArguments { hosts: 301, ..arguments() }, "--hosts 301; expected 1 to 300"),
        (HuntArguments { threads: 0, ..arguments() }, "--threads 0; expected 1 to 64"),
        (HuntArguments { threads: 65, ..arguments() }, "--threads 65; expected 1 to 64"),
    ];
    for (arguments, expected) in cases {
        assert_eq!(run(&arguments).map_err(|error| error.to_string()), Err(expected.to_owned()));
    }
}

/// A run of which every fiftieth answer comes twice fails, and also one without a violation that leaves entries in tables and answers a
/// call late. The text names what has failed, and nothing that has not.
#[test]
fn failure_text_names_what_has_failed() {
    let world = World::generate(1, 1);
    let mut found = play(&world, Some(Mutant::AnswerTwice));
    let text = failure_text(&found);
    assert!(
        text.starts_with("invariant ") && text.contains(" violated ") && !text.contains("left"),
        "{text}"
    );
    found = play(&world, None);
    assert_eq!(failure_text(&found), "", "nothing has failed");
    found.run.stuck = 3;
    found.run.calls_late = 2;
    let expected = "3 entries left in tables at the end; 2 calls answered after their deadline";
    assert_eq!(failure_text(&found), expected);
}

/// A search finds a world whose number of hosts follows from its seed. The printed command plays that world, not the one with as many
/// hosts as `play` has by default.
#[test]
fn replay_command_plays_the_world_that_was_found() {
    let seed = 23;
    let world = World::generate(seed, arguments().host_count(seed));
    assert_eq!(replay_command(&world), "tackmast simulator play --seed 23 --hosts 4");
}
