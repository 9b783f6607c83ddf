//! `tackmast override` and `tackmast status`: calls over the admin sockets of one host or many.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, AdminResponse};
use tackmast_overrides::{
    Explanation, Kind, Order, Override, OverrideEffect, OverrideId, Preview, Service, Target,
};

pub const PATIENCE: Duration = Duration::from_secs(15);

#[derive(clap::Args)]
pub struct Hosts {
    /// Admin socket of a host; given several times, each is called in turn.
    #[arg(long = "host", value_name = "SOCKET", required = true)]
    pub hosts: Vec<PathBuf>,
    /// Prints the answers as JSON, a line a host.
    #[arg(long)]
    pub json: bool,
}

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

pub fn run(command: OverrideCommand) -> Result<ExitCode, String> {
    let (hosts, call) = match command {
        OverrideCommand::Set { target, kind, lasts, reason, who, force, dry_run, if_version, hosts } => {
            let kind = match kind.weight {
                Some(w) => Kind::Weight(w),
                None if kind.out => Kind::OutOfService,
                None => Kind::Pinned,
            };
            let order = Order { target, kind, reason, who, seconds: lasts.as_secs_f64(), origin: None };
            (hosts, Call::AdminRequest(AdminRequest::Set { order, force, dry_run, if_version }))
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
    each(&hosts, &call)
}

pub fn status(hosts: &Hosts) -> Result<ExitCode, String> {
    each(hosts, &Call::AdminRequest(AdminRequest::Status))
}

/// Calls every host, also after one has failed; the exit code tells whether all did as asked.
pub fn each(hosts: &Hosts, call: &Call) -> Result<ExitCode, String> {
    let mut good = true;
    for socket in &hosts.hosts {
        if hosts.hosts.len() > 1 && !hosts.json {
            println!("host {}", socket.display());
        }
        let answer = match tackmast_admin::call(socket, call, PATIENCE) {
            Ok(a) => a,
            Err(e) => {
                eprintln!("tackmast: {e}");
                good = false;
                continue;
            }
        };
        good &= match &answer {
            Answer::Error(_) => false,
            Answer::AdminResponse(r) => {
                !matches!(**r, AdminResponse::Refused(_) | AdminResponse::NotKept { .. })
            }
            Answer::Audit(_) => true,
        };
        match hosts.json {
            true => println!("{}", serde_json::to_string(&answer).map_err(|e| e.to_string())?),
            false => show(&answer),
        }
    }
    Ok(ExitCode::from(u8::from(!good)))
}

fn show(answer: &Answer) {
    match answer {
        Answer::Error(e) => eprintln!("tackmast: {e}"),
        Answer::Audit(lines) => {
            for a in lines {
                let id = a.id.map_or(String::new(), |id| id.0.to_string());
                let kind = format!("{:?}", a.kind).to_lowercase();
                println!("{}  {kind:<12} {id:>6}  {:<10} {}", time(a.at_us), a.who, a.what);
            }
        }
        Answer::AdminResponse(r) => show_reply(r),
    }
}

fn show_reply(reply: &AdminResponse) {
    match reply {
        AdminResponse::Refused(r) => eprintln!("tackmast: refused: {r}"),
        AdminResponse::NotKept { why } => eprintln!("tackmast: not kept, so it does not hold: {why}"),
        AdminResponse::Cleared { id } => println!("override {} is cleared", id.0),
        AdminResponse::Set { record, preview, dry_run } => set(record, preview, *dry_run),
        AdminResponse::List { version, standing, returning, returning_within_s } => {
            println!("version {version}, {} stand", standing.len());
            if !standing.is_empty() {
                println!(
                    "{:>6}  {:<24} {:<18} {:>12}  {:<10} reason",
                    "id", "target", "order", "left", "who"
                );
            }
            for (o, left) in standing {
                let (target, kind) = (o.target.to_string(), o.kind.to_string());
                println!(
                    "{:>6}  {target:<24} {kind:<18} {:>12}  {:<10} {}",
                    o.id.0,
                    span(*left),
                    o.who,
                    o.reason
                );
            }
            if *returning > 0 {
                println!("{returning} nodes are on their way back, all within {returning_within_s:.0} s of their ends");
            }
        }
        AdminResponse::Explain(e) => explain(e),
        AdminResponse::Members(m) => print!("{}", crate::members::one(m)),
        AdminResponse::Plan(p) => println!("{p:?}"),
        AdminResponse::Consensus(a) => println!("{a:?}"),
        AdminResponse::Status(s) => {
            println!(
                "host {}: {} commands open, {} attempts out; taken {}, done {}, rejected {}, failed {}",
                s.host, s.commands, s.attempts, s.taken, s.done, s.rejected, s.failed
            );
            println!(
                "overrides: {} stand, version {}, {} nodes on their way back",
                s.overrides, s.version, s.returning
            );
            match s.alive_hosts {
                0 => println!("members: this host hears of no other"),
                n => println!("members: {n} hosts are there"),
            }
            for (address, listed, given) in &s.nodes {
                let note = if listed == given { String::new() } else { format!(", by order {given}") };
                println!("{address:<24} {listed}{note}");
            }
        }
    }
}

fn word(s: &OverrideEffect) -> String {
    let service = match s.service {
        Service::Listed => "as listed",
        Service::Out => "out of service",
        Service::Pinned => "pinned in service",
    };
    format!("{service}, weight {}", s.weight)
}

fn set(record: &Override, preview: &Preview, dry_run: bool) {
    let does = if dry_run { "would change" } else { "changes" };
    println!(
        "{} {}: names {} nodes, {does} {}",
        record.target,
        record.kind,
        preview.named,
        preview.changes.len()
    );
    for (address, before, after) in &preview.changes {
        println!("  {address:<24} {} -> {}", word(before), word(after));
    }
    if let Some(f) = &preview.forced_past {
        println!("forced past: {f}");
    }
    if !dry_run {
        println!("override {} stands until {}", record.id.0, time(record.ends_us));
    }
}

fn explain(e: &Explanation) {
    println!("{}: listed {}, {}", e.address, e.listed, word(&e.standing));
    println!("  is given {}", e.given);
    if let Some(up) = e.up_s {
        let under: Vec<String> = e.restarted_under().iter().map(|id| id.0.to_string()).collect();
        match under.is_empty() {
            true => println!("  up for {}", span(up)),
            false => {
                println!("  up for {}: it restarted after override {} was set", span(up), under.join(" and "))
            }
        }
    }
    for (what, by, left) in
        [("service", &e.service_by, e.service_left_s), ("weight", &e.weight_by, e.weight_left_s)]
    {
        if let Some(o) = by {
            let left = span(left.unwrap_or(0.0));
            println!(
                "  {what} by override {} on {}: {} ({}), {left} left",
                o.id.0, o.target, o.reason, o.who
            );
        }
    }
    for (o, b) in &e.beaten {
        println!("  beats override {} on {} {}: {} by {}", o.id.0, o.target, o.kind, b.why, b.by.0);
    }
    if let Some((wait, share)) = e.returning {
        println!("  on its way back: its turn in {wait:.1} s, share {share:.2}");
    }
}

pub fn span(seconds: f64) -> String {
    humantime::format_duration(Duration::from_secs(seconds.max(0.0).round() as u64)).to_string()
}

pub fn time(us: u64) -> String {
    let at = UNIX_EPOCH.checked_add(Duration::from_micros(us)).unwrap_or(SystemTime::UNIX_EPOCH);
    humantime::format_rfc3339_seconds(at).to_string()
}
