//! Faults of a node, and the commands that inject them.

use std::str::FromStr;

/// A fault that can be injected into a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The node is so many times slower.
    Slow(f64),
    /// Another program takes this fraction of the machine.
    Neighbour(f64),
    /// This fraction of attempts fails at once.
    Errors(f64),
    /// This fraction of attempts costs so many times the work.
    Heavy(f64, f64),
    /// The node does nothing for so many seconds.
    Pause(f64),
    /// The node receives everything and answers nothing, without closing a connection.
    Silent(bool),
    /// The node stops reading.
    Deaf(bool),
    /// The node sends one byte at a time.
    Drip(bool),
    /// The connection is reset within this fraction of answers.
    ResetAnswers(f64),
    /// The connection falls silent within this fraction of answers.
    CutAnswers(f64),
    /// This fraction of answers is replaced by bytes that are no frame.
    Garbage(f64),
    /// All connections are reset now.
    Reset,
    /// The process dies, and starts again after so many seconds; it has to warm up then.
    Restart(f64),
    /// The process dies.
    Die,
    /// All faults are over.
    Well,
}

/// A text that is no fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{text:?}; expected slow X, neighbour X, errors X, heavy X TIMES, pause S, silent on|off, \
     deaf on|off, drip on|off, reset-answers X, cut-answers X, garbage X, reset, restart S, die or well"
)]
pub struct InvalidFault {
    /// The text.
    pub text: String,
}

impl FromStr for Fault {
    type Err = InvalidFault;

    /// Parses a command such as `slow 5`, `heavy 0.01 20`, `silent on`, `reset` or `well`.
    fn from_str(text: &str) -> Result<Fault, InvalidFault> {
        parse(&text.split_whitespace().collect::<Vec<_>>())
            .ok_or_else(|| InvalidFault { text: text.to_owned() })
    }
}

fn parse(parts: &[&str]) -> Option<Fault> {
    let (command, arguments) = parts.split_first()?;
    Some(match *command {
        "slow" => Fault::Slow(amount(arguments, 0)?),
        "neighbour" => Fault::Neighbour(amount(arguments, 0)?),
        "errors" => Fault::Errors(amount(arguments, 0)?),
        "heavy" => Fault::Heavy(amount(arguments, 0)?, amount(arguments, 1)?),
        "pause" => Fault::Pause(amount(arguments, 0)?),
        "silent" => Fault::Silent(switch(arguments)?),
        "deaf" => Fault::Deaf(switch(arguments)?),
        "drip" => Fault::Drip(switch(arguments)?),
        "reset-answers" => Fault::ResetAnswers(amount(arguments, 0)?),
        "cut-answers" => Fault::CutAnswers(amount(arguments, 0)?),
        "garbage" => Fault::Garbage(amount(arguments, 0)?),
        "reset" => Fault::Reset,
        "restart" => Fault::Restart(amount(arguments, 0)?),
        "die" => Fault::Die,
        "well" => Fault::Well,
        _ => return None,
    })
}

fn amount(arguments: &[&str], position: usize) -> Option<f64> {
    let amount = arguments.get(position)?.parse::<f64>().ok()?;
    (amount.is_finite() && amount >= 0.0).then_some(amount)
}

/// `on`, which may be left out, or `off`.
fn switch(arguments: &[&str]) -> Option<bool> {
    match arguments.first() {
        None | Some(&"on") => Some(true),
        Some(&"off") => Some(false),
        Some(_) => None,
    }
}

/// Faults of a node's sockets.
#[derive(Clone, Copy, Default)]
pub(super) struct SocketFaults {
    /// Nothing is answered.
    pub(super) silent: bool,
    /// Nothing is read.
    pub(super) deaf: bool,
    /// One byte is sent at a time.
    pub(super) drip: bool,
    /// Fraction of answers within which the connection is reset.
    pub(super) reset_fraction: f64,
    /// Fraction of answers within which the connection falls silent.
    pub(super) cut_fraction: f64,
    /// Fraction of answers that are replaced by garbage.
    pub(super) garbage_fraction: f64,
}
