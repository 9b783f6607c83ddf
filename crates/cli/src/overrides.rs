//! `tackmast override`: operators' overrides of nodes, each of which ends by itself.

mod print;

use crate::admin_calls::{call_each, Hosts};
use std::process::ExitCode;
use tackmast_admin::Call;
use tackmast_host_core::AdminRequest;
use tackmast_overrides::{Kind, OverrideId, OverrideRequest, Target};

/// Arguments of `tackmast override`.
#[derive(clap::Subcommand)]
pub(crate) enum OverrideCommand {
    /// Overrides one node or a set of nodes for a time.
    ///
    /// TARGET is an address and port, an address, a prefix such as 10.1.0.0/16, shard:N or zone:N. The narrower target takes
    /// precedence; of two targets of one width, the later override does. No override makes a host send to a node that
    /// drains or has left, or more than slow start allows to a node that is warming up.
    Set {
        /// The nodes that are overridden.
        target: Target,
        /// What the override does.
        #[command(flatten)]
        kind: KindArguments,
        /// How long the override is in force, such as 30s, 10m or 2h.
        #[arg(long = "for", value_name = "TIME")]
        lasts: humantime::Duration,
        /// Why; shown to everyone who lists overrides.
        #[arg(long)]
        reason: String,
        /// Who sets the override.
        #[arg(long, env = "USER")]
        who: String,
        /// Sets the override even where a shard would be left without a node, or too much of a zone would be out.
        #[arg(long)]
        force: bool,
        /// Only shows what would change.
        #[arg(long)]
        dry_run: bool,
        /// Sets the override only if nothing has changed since this version, as shown by `list`.
        #[arg(long, value_name = "VERSION")]
        if_version: Option<u64>,
        /// The hosts that are called.
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Removes an override before its end.
    Clear {
        /// Number of the override, as shown by `list`.
        id: u64,
        /// Who removes the override.
        #[arg(long, env = "USER")]
        who: String,
        /// The hosts that are called.
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Lists the overrides in force.
    List {
        /// The hosts that are called.
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Shows which overrides apply to a node, why, which others they replace, and the time left.
    Explain {
        /// Address and port of the node.
        node: std::net::SocketAddr,
        /// The hosts that are called.
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Shows the last lines of the audit log.
    Audit {
        /// Largest number of lines that are shown.
        #[arg(long = "most", default_value_t = 50)]
        max_lines: usize,
        /// The hosts that are called.
        #[command(flatten)]
        hosts: Hosts,
    },
}

/// What an override does.
#[derive(clap::Args)]
#[group(required = true, multiple = false)]
pub(crate) struct KindArguments {
    /// Takes the nodes out of service: they receive no new requests.
    #[arg(long)]
    out: bool,
    /// Keeps the nodes in service whatever their health.
    #[arg(long)]
    pin: bool,
    /// Fraction of the load that the nodes would otherwise receive, above 0 and up to 1.
    #[arg(long, value_name = "FRACTION")]
    weight: Option<f64>,
}

/// Calls the hosts, and prints their answers.
pub(crate) fn run(command: OverrideCommand) -> ExitCode {
    let (hosts, call) = match command {
        OverrideCommand::Set { target, kind, lasts, reason, who, force, dry_run, if_version, hosts } => {
            let kind = match kind.weight {
                Some(weight) => Kind::Weight(weight),
                None if kind.out => Kind::OutOfService,
                None => Kind::Pinned,
            };
            let override_request =
                OverrideRequest { target, kind, reason, who, seconds: lasts.as_secs_f64(), origin: None };
            (hosts, Call::AdminRequest(AdminRequest::Set { override_request, force, dry_run, if_version }))
        }
        OverrideCommand::Clear { id, who, hosts } => {
            (hosts, Call::AdminRequest(AdminRequest::Clear { id: OverrideId(id), who }))
        }
        OverrideCommand::List { hosts } => (hosts, Call::AdminRequest(AdminRequest::List)),
        OverrideCommand::Explain { node, hosts } => {
            (hosts, Call::AdminRequest(AdminRequest::Explain { address: node }))
        }
        OverrideCommand::Audit { max_lines, hosts } => (hosts, Call::Audit { max_lines }),
    };
    call_each(&hosts, &call, print::answer)
}
