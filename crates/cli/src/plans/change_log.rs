//! `tackmast plan log`: the changes of plans, printed or verified.

use super::error::PlanError;
use crate::time_format::timestamp;
use std::path::Path;
use tackmast_host_core::PlanResponse;
use tackmast_plans::{ChangeLog, Fleet, LogHead};

/// Reads what `plan log --json` has printed.
pub(super) fn read(file: &Path) -> Result<PlanResponse, PlanError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| PlanError::UnreadableLog { path: file.to_owned(), source })?;
    serde_json::from_str(&text).map_err(|source| PlanError::NoLog { path: file.to_owned(), source })
}

/// Verifies that each entry follows from the one before, and prints the newest.
pub(super) fn verify(text: &str, fleet: &Fleet) -> Result<(), PlanError> {
    // Reading a store leaves out a last line without its end; here the whole log was sent.
    if !text.ends_with('\n') {
        return Err(PlanError::CutLog);
    }
    let log = ChangeLog::from_bytes(text.as_bytes(), fleet)?;
    let LogHead { number, digest } = log.head();
    println!("{} changes verified, up to {number}; digest {digest}", log.entries.len());
    Ok(())
}

/// Prints each change, with the values that it changed.
pub(super) fn print(text: &str, fleet: &Fleet) -> Result<(), PlanError> {
    let log = ChangeLog::from_bytes(text.as_bytes(), fleet)?;
    let mut catalogue = log.checkpoint.catalogue.clone();
    for entry in &log.entries {
        let change = &entry.change;
        println!("{:>6}  {}  {:<10} {}", entry.number, timestamp(entry.at_us), change.who, change.why);
        let next = catalogue.apply(change, fleet)?.catalogue;
        catalogue.diff(&next).iter().for_each(|line| println!("        {line}"));
        catalogue = next;
    }
    Ok(())
}
