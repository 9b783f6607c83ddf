//! Answers to `tackmast override`, as text.

use crate::time_format::{duration, timestamp};
use tackmast_admin::Answer;
use tackmast_host_core::AdminResponse;
use tackmast_overrides::{Explanation, Override, OverrideEffect, Preview, Service};

/// Prints an answer.
pub(super) fn answer(answer: &Answer) {
    match answer {
        Answer::Error(_) => {}
        Answer::Audit(lines) => {
            for line in lines {
                let id = line.id.map_or(String::new(), |id| id.0.to_string());
                let kind = format!("{:?}", line.kind).to_lowercase();
                println!("{}  {kind:<12} {id:>6}  {:<10} {}", timestamp(line.at_us), line.who, line.what);
            }
        }
        Answer::AdminResponse(response) => match &**response {
            AdminResponse::Cleared { id } => println!("override {} is cleared", id.0),
            AdminResponse::Set { record, preview, dry_run } => set(record, preview, *dry_run),
            AdminResponse::List { version, overrides, returning, returning_within_s } => {
                list(*version, overrides);
                if *returning > 0 {
                    println!(
                        "{returning} nodes recovering, all within {returning_within_s:.0} s of the end of their overrides"
                    );
                }
            }
            AdminResponse::Explain(explanation) => explain(explanation),
            other => println!("{other:?}"),
        },
    }
}

/// The overrides in force, with the seconds that each has left.
fn list(version: u64, overrides: &[(Override, f64)]) {
    println!("version {version}, {} in force", overrides.len());
    if !overrides.is_empty() {
        println!("{:>6}  {:<24} {:<18} {:>12}  {:<10} reason", "id", "target", "override", "left", "who");
    }
    for (record, left_s) in overrides {
        let (target, kind) = (record.target.to_string(), record.kind.to_string());
        println!(
            "{:>6}  {target:<24} {kind:<18} {:>12}  {:<10} {}",
            record.id.0,
            duration(*left_s),
            record.who,
            record.reason
        );
    }
}

fn effect_text(effect: &OverrideEffect) -> String {
    let service = match effect.service {
        Service::Listed => "as listed",
        Service::Out => "out of service",
        Service::Pinned => "pinned in service",
    };
    format!("{service}, weight {}", effect.weight)
}

fn set(record: &Override, preview: &Preview, dry_run: bool) {
    let does = if dry_run { "would change" } else { "changes" };
    let (named, changed) = (preview.named, preview.changes.len());
    println!("{} {}: matches {named} nodes, {does} {changed}", record.target, record.kind);
    for (address, before, after) in &preview.changes {
        println!("  {address:<24} {} -> {}", effect_text(before), effect_text(after));
    }
    if let Some(forced_past) = &preview.forced_past {
        println!("forced despite: {forced_past}");
    }
    if !dry_run {
        println!("override {} is in force until {}", record.id.0, timestamp(record.ends_us));
    }
}

fn explain(explanation: &Explanation) {
    let standing = effect_text(&explanation.standing);
    println!("{}: listed as {}, {standing}", explanation.address, explanation.listed);
    println!("  receives {}", explanation.given);
    if let Some(up_s) = explanation.up_s {
        let restarted_under = explanation.restarted_under();
        let restarted_under: Vec<String> = restarted_under.iter().map(|id| id.0.to_string()).collect();
        let up = duration(up_s);
        if restarted_under.is_empty() {
            println!("  up for {up}");
        } else {
            let ids = restarted_under.join(" and ");
            println!("  up for {up}: it restarted after override {ids} was set");
        }
    }
    effective("service", explanation.service_by.as_ref(), explanation.service_left_s);
    effective("weight", explanation.weight_by.as_ref(), explanation.weight_left_s);
    for (record, beaten) in &explanation.beaten {
        let (id, target, kind) = (record.id.0, &record.target, &record.kind);
        println!("  replaces override {id} on {target} {kind}: {} by {}", beaten.why, beaten.by.0);
    }
    if let Some((wait_s, share)) = explanation.returning {
        println!("  recovering: starts in {wait_s:.1} s, share {share:.2}");
    }
}

/// The override that decides on the service or the weight of a node.
fn effective(what: &str, by: Option<&Override>, left_s: Option<f64>) {
    let Some(record) = by else { return };
    let left = duration(left_s.unwrap_or(0.0));
    let (id, target, reason, who) = (record.id.0, &record.target, &record.reason, &record.who);
    println!("  {what} by override {id} on {target}: {reason} ({who}), {left} left");
}
