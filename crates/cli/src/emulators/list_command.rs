//! The commands that change an emulated endpoint list.

use super::error::InvalidListCommand;
use std::str::FromStr;
use tackmast_emulators::list::{ListFault, NodeList};
use tackmast_wire::list::{Entry, State};

/// A change of an emulated endpoint list.
#[derive(Debug)]
pub(super) enum ListCommand {
    /// Lists a node as ready.
    Put(Entry),
    /// Changes the state of a listed node.
    SetState {
        /// Address of the node.
        address: String,
        /// Its state from now on.
        state: State,
    },
    /// Injects a fault into the list itself.
    Fault(ListFault),
}

impl ListCommand {
    /// Changes the list.
    pub(super) fn apply(self, list: &NodeList) {
        match self {
            ListCommand::Put(entry) => list.put([entry]),
            ListCommand::SetState { address, state } => list.set_state(&address, state),
            ListCommand::Fault(fault) => list.set(&fault),
        }
    }
}

impl FromStr for ListCommand {
    type Err = InvalidListCommand;

    /// Parses a command such as `put 127.0.0.1:9000 0 1`, `drain 127.0.0.1:9000` or `silent on`.
    fn from_str(line: &str) -> Result<ListCommand, InvalidListCommand> {
        parse(&line.split_whitespace().collect::<Vec<_>>())
            .ok_or_else(|| InvalidListCommand { line: line.to_owned() })
    }
}

fn parse(parts: &[&str]) -> Option<ListCommand> {
    let set_state = |address: &str, state| ListCommand::SetState { address: address.to_owned(), state };
    Some(match parts {
        ["put", address, shard, zone, ..] => ListCommand::Put(Entry {
            address: (*address).to_owned(),
            state: State::Ready,
            shard: shard.parse().ok()?,
            zone: zone.parse().ok()?,
            started_us: 0,
        }),
        ["drain", address] => set_state(address, State::Draining),
        ["gone", address] => set_state(address, State::Gone),
        ["late", seconds] => {
            let seconds: f64 = seconds.parse().ok()?;
            let is_valid = seconds.is_finite() && seconds >= 0.0;
            ListCommand::Fault(ListFault::Late(is_valid.then_some(seconds)?))
        }
        ["fails", switch] => ListCommand::Fault(ListFault::Fails(parse_switch(switch)?)),
        ["silent", switch] => ListCommand::Fault(ListFault::Silent(parse_switch(switch)?)),
        ["reset"] => ListCommand::Fault(ListFault::Reset),
        _ => return None,
    })
}

fn parse_switch(text: &str) -> Option<bool> {
    match text {
        "on" => Some(true),
        "off" => Some(false),
        _ => None,
    }
}
