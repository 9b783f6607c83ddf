//! Files of plans, as `tackmast plan show` prints and `plan apply` reads them.

use serde::Deserialize;
use std::collections::BTreeSet;
use tackmast_config::LabelledBlock;
use tackmast_config::{ConfigError, Document, Place};
use tackmast_plans::{Catalogue, Plan, Step, Volume};

/// A `volume` block.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VolumeBlock {
    /// Name of the volume's plan.
    plan: String,
}

/// The steps that lead from the plans in force to what a file says, and remove some plans.
pub(super) fn steps(
    file: &str,
    text: &str,
    current: &Catalogue,
    removed: &[String],
) -> Result<Vec<Step>, ConfigError> {
    let document = Document::parse(file, text)?;
    document.require_known_blocks(&["plan", "volume"])?;
    let mut steps = plan_steps(&document, current)?;
    steps.extend(volume_steps(&document, current)?);
    steps.extend(removed.iter().map(|name| Step::Plan { name: name.clone(), to: None }));
    Ok(steps)
}

fn plan_steps(document: &Document, current: &Catalogue) -> Result<Vec<Step>, ConfigError> {
    let plans = document.labelled_blocks::<Plan>("plan")?.into_iter();
    let changed = plans.filter(|plan| current.plans.get(&plan.label) != Some(&plan.value));
    Ok(changed.map(|plan| Step::Plan { name: plan.label, to: Some(plan.value) }).collect())
}

fn volume_steps(document: &Document, current: &Catalogue) -> Result<Vec<Step>, ConfigError> {
    let mut steps = Vec::new();
    let mut seen = BTreeSet::new();
    for LabelledBlock { label, value } in document.labelled_blocks::<VolumeBlock>("volume")? {
        let error = |found: &str, expected: &str| {
            document.error_for(&Place { kind: "volume", label: &label, name: "plan" }, found, expected)
        };
        let Some(volume) = current.volumes.get(&label) else {
            return Err(error("no such volume", "one that `plan show` names"));
        };
        if !seen.insert(label.clone()) {
            return Err(error("named twice", "one block for a volume"));
        }
        if volume.plan != value.plan {
            let changed = Volume { plan: value.plan, ..volume.clone() };
            steps.push(Step::Volume { name: label, to: Some(changed) });
        }
    }
    Ok(steps)
}
