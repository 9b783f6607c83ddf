//! The commands by which `tackmast node` and scenarios inject faults.

use tackmast_emulators::node::Fault;

/// A developer types commands. Each is read as its fault; `on` may be left out, and further words are ignored.
#[test]
fn commands_are_read_as_faults() {
    let cases = [
        ("slow 5", Fault::Slow(5.0)),
        ("neighbour 0.5", Fault::Neighbour(0.5)),
        ("errors 0.1", Fault::Errors(0.1)),
        ("heavy 0.01 20", Fault::Heavy(0.01, 20.0)),
        ("pause 1.5", Fault::Pause(1.5)),
        ("silent", Fault::Silent(true)),
        ("silent off", Fault::Silent(false)),
        ("deaf on", Fault::Deaf(true)),
        (" drip  on ", Fault::Drip(true)),
        ("reset-answers 0.1", Fault::ResetAnswers(0.1)),
        ("cut-answers 0.1", Fault::CutAnswers(0.1)),
        ("garbage 0.1", Fault::Garbage(0.1)),
        ("reset", Fault::Reset),
        ("restart 2", Fault::Restart(2.0)),
        ("die now", Fault::Die),
        ("well", Fault::Well),
    ];
    for (text, expected) in cases {
        assert_eq!(text.parse(), Ok(expected), "{text}");
    }
}

/// A developer mistypes a command. The error repeats it and names all commands.
#[test]
fn unknown_command_is_refused_with_all_commands() {
    for text in ["", "sloow 5", "slow", "slow -1", "slow inf", "heavy 1", "silent maybe", "Reset"] {
        let expected = format!(
            "{text:?}; expected slow X, neighbour X, errors X, heavy X TIMES, pause S, silent on|off, \
             deaf on|off, drip on|off, reset-answers X, cut-answers X, garbage X, reset, restart S, die or well"
        );
        assert_eq!(text.parse::<Fault>().unwrap_err().to_string(), expected);
    }
}
