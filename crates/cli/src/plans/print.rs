//! Answers to `tackmast plan`, as text.

use super::error::PlanError;
use hcl::{Block, Body};
use tackmast_host_core::PlanStatus;
use tackmast_plans::{Catalogue, Plan};

/// Prints the plans of a host as HCL, with its state in comments.
pub(super) fn status(status: &PlanStatus) -> Result<(), PlanError> {
    println!(
        "# version {}, change {}; host {} takes changes",
        status.catalogue.version, status.number, status.home
    );
    if status.stale {
        println!("# this host could not find out whether there is a newer version");
    }
    if status.in_force_s > 0.0 {
        println!("# hosts may apply the change before for {:.1} s more", status.in_force_s);
    }
    let outdated = status.reported_changes.iter().filter(|(_, number)| **number < status.number);
    let outdated: Vec<String> = outdated.map(|(host, number)| format!("{host} by {number}")).collect();
    if !outdated.is_empty() {
        println!("# hosts that last said they go by an older one: {}", outdated.join(", "));
    }
    print!("{}", hcl::to_string(&catalogue_body(&status.catalogue))?);
    Ok(())
}

fn catalogue_body(catalogue: &Catalogue) -> Body {
    let plans = catalogue.plans.iter().map(|(name, plan)| plan_block(name, plan));
    let volumes = catalogue.volumes.iter().map(|(name, volume)| {
        Block::builder("volume")
            .add_label(name.as_str())
            .add_attribute(("plan", volume.plan.as_str()))
            .build()
    });
    Body::builder().add_blocks(plans).add_blocks(volumes).build()
}

fn plan_block(name: &str, plan: &Plan) -> Block {
    let rates =
        [("limit", plan.limit), ("burst", plan.burst), ("slack", plan.slack), ("reserve", plan.reserve)];
    Block::builder("plan")
        .add_label(name)
        .add_attributes(rates)
        .add_attributes(plan.floor.map(|floor| ("floor", floor)))
        .add_attribute(("weight", plan.weight))
        .build()
}
