//! `tackmast override`: overrides of nodes by operators.

mod print;

use crate::admin_calls::{call_each, Hosts};
use std::process::ExitCode;
use tackmast_admin::Call;
use tackmast_host_core::AdminRequest;
use tackmast_overrides::{Kind, OverrideId, OverrideRequest, Target};

/// Arguments of `tackmast override`.
#[derive(clap::Subcommand)]
pub enum OverrideCommand {
    /// Orders something of one node or a set of them, until it ends by itself.
    ///
    /// TARGET is an address and port, an address, a prefix such as 10.1.0.0/16, shard:N or zone:N. A narrower target
    /// beats a wider one, and of two of one width the later holds. Nothing makes a host send to a node that drains
    /// or is gone, or past what a cold node bears.
    Set {
        target: Target,
        #[command(flatten)]
        kind: KindArguments,
        /// How long it holds, such as 30s, 10m or 2h.
        #[arg(long = "for", value_name = "TIME")]
        lasts: humantime::Duration,
        /// Why; everyone who looks will see it.
        #[arg(long)]
        reason: String,
        /// Who orders it.
        #[arg(long, env = "USER")]
        who: String,
        /// Also where a shard would be left without a node, or too much of a zone would be out.
        #[arg(long)]
        force: bool,
        /// Only tells what would change.
        #[arg(long)]
        dry_run: bool,
        /// Only if nothing has changed since this version, as `list` showed it.
        #[arg(long, value_name = "VERSION")]
        if_version: Option<u64>,
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Takes an override back.
    Clear {
        id: u64,
        #[arg(long, env = "USER")]
        who: String,
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Shows what stands.
    List {
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Tells what holds for a node, why, what it beats, and the time left.
    Explain {
        /// Address and port of the node.
        node: std::net::SocketAddr,
        #[command(flatten)]
        hosts: Hosts,
    },
    /// Shows the last lines of the audit trail.
    Audit {
        #[arg(long, default_value_t = 50)]
        most: usize,
        #[command(flatten)]
        hosts: Hosts,
    },
}

/// What an override does.
#[derive(clap::Args)]
#[group(required = true, multiple = false)]
pub struct KindArguments {
    /// Nothing new is sent to the nodes.
    #[arg(long)]
    out: bool,
    /// Kept in service whatever their health.
    #[arg(long)]
    pin: bool,
    /// Part of what they would be given otherwise, above 0 and up to 1.
    #[arg(long, value_name = "PART")]
    weight: Option<f64>,
}

/// Calls the hosts, and prints their answers.
pub fn run(command: OverrideCommand) -> Result<ExitCode, String> {
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
        OverrideCommand::Audit { most, hosts } => (hosts, Call::Audit { max_lines: most }),
    };
    call_each(&hosts, &call, print::answer)
}
