//! Whether what operators saw of committed changes can have happened in one order: each change and read at one moment between its
//! call and its response (linearizability: Herlihy and Wing, 1990). All changes are of one object and name the version that they
//! were made on, so that one change succeeds on each version: for such a history the check is exact, and needs one pass. It knows
//! nothing of how hosts reach consensus.

#[cfg(test)]
mod tests;
mod version_bounds;

use std::collections::BTreeMap;
use version_bounds::VersionBounds;

/// The result of one call, as the operator saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The change was committed.
    Applied {
        /// The version that the change was made on.
        base: u64,
        /// The version that it made.
        version: u64,
    },
    /// The change was refused, because another change had been committed on its version.
    Conflict {
        /// The version that the change was made on.
        base: u64,
    },
    /// Nobody knows: the change may be committed, then or later.
    Unknown {
        /// The version that the change was made on.
        base: u64,
    },
    /// A read.
    Read {
        /// The version that was read.
        version: u64,
        /// A digest of all that was read.
        digest: String,
    },
}

/// One call of an operator. Times are seconds, by one clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// When it was called.
    pub called_at: f64,
    /// When its response was received.
    pub returned_at: f64,
    /// Who called it, for messages.
    pub caller: String,
    /// Its result.
    pub outcome: Outcome,
}

/// Why no order of the calls explains their results.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NotLinearizable {
    /// A change did not make the version after its own.
    #[error("{caller}: a change on version {base} made version {version}")]
    VersionSkipped {
        /// Who made the change.
        caller: String,
        /// The version that the change was made on.
        base: u64,
        /// The version that it made.
        version: u64,
    },
    /// Two changes made the same version.
    #[error("{first} and {second} both made version {version}")]
    MadeTwice {
        /// Who made the first change.
        first: String,
        /// Who made the second change.
        second: String,
        /// The version that both made.
        version: u64,
    },
    /// Two reads of a version differ.
    #[error("{first} and {second} read different things of version {version}")]
    ReadsDiffer {
        /// Who made the first read.
        first: String,
        /// Who made the second read.
        second: String,
        /// The version that both read.
        version: u64,
    },
    /// A version was read that no change can have made.
    #[error("version {version} was read, and nobody can have made it")]
    MadeByNobody {
        /// The version.
        version: u64,
    },
    /// A version must have begun before it can have begun.
    #[error("version {version}: not before {earliest:.4} s ({earliest_reason}), and by {latest:.4} s ({latest_reason})")]
    OutOfOrder {
        /// The version.
        version: u64,
        /// Seconds before which the version can't have begun.
        earliest: f64,
        /// The call that shows it.
        earliest_reason: String,
        /// Seconds by which the version must have begun.
        latest: f64,
        /// The call that shows it.
        latest_reason: String,
    },
}

/// The change that made a version.
struct Change<'a> {
    called_at: f64,
    /// Infinite where nobody was notified that the change was committed.
    returned_at: f64,
    caller: &'a str,
}

/// Looks for an order of the calls that explains their results.
pub fn check(operations: &[Operation]) -> Result<(), NotLinearizable> {
    let mut changes = committed_changes(operations)?;
    let newest_read = check_reads_match(operations)?;
    let newest_made = changes.keys().last().copied().unwrap_or(0);
    let newest = newest_read.max(newest_made);
    add_unknown_changes(operations, newest, &mut changes)?;
    bounds_of(operations, &changes).check(newest)
}

/// The changes that are known to be committed, by the version that they made.
fn committed_changes(operations: &[Operation]) -> Result<BTreeMap<u64, Change<'_>>, NotLinearizable> {
    let mut changes = BTreeMap::new();
    for operation in operations {
        let Outcome::Applied { base, version } = operation.outcome else { continue };
        let caller = operation.caller.as_str();
        if version != base + 1 {
            return Err(NotLinearizable::VersionSkipped { caller: caller.to_owned(), base, version });
        }
        let change = Change { called_at: operation.called_at, returned_at: operation.returned_at, caller };
        if let Some(other) = changes.insert(version, change) {
            let (first, second) = (other.caller.to_owned(), caller.to_owned());
            return Err(NotLinearizable::MadeTwice { first, second, version });
        }
    }
    Ok(changes)
}

/// Checks that all reads of a version are the same; returns the newest version read.
fn check_reads_match(operations: &[Operation]) -> Result<u64, NotLinearizable> {
    let mut first_reads: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    for operation in operations {
        let Outcome::Read { version, digest } = &operation.outcome else { continue };
        let (first_digest, first) = *first_reads.entry(*version).or_insert((digest, &operation.caller));
        if first_digest != digest {
            let (first, second) = (first.to_owned(), operation.caller.clone());
            return Err(NotLinearizable::ReadsDiffer { first, second, version: *version });
        }
    }
    Ok(first_reads.keys().last().copied().unwrap_or(0))
}

/// A version that is known and that no committed change made was made by a change of unknown outcome; the first of these called
/// leaves the most orders.
fn add_unknown_changes<'a>(
    operations: &'a [Operation],
    newest: u64,
    changes: &mut BTreeMap<u64, Change<'a>>,
) -> Result<(), NotLinearizable> {
    for version in 1..=newest {
        if changes.contains_key(&version) {
            continue;
        }
        let unknown = Outcome::Unknown { base: version - 1 };
        let candidates = operations.iter().filter(|operation| operation.outcome == unknown);
        let first = candidates.min_by(|one, other| one.called_at.total_cmp(&other.called_at));
        let Some(Operation { called_at, caller, .. }) = first else {
            return Err(NotLinearizable::MadeByNobody { version });
        };
        changes.insert(version, Change { called_at: *called_at, returned_at: f64::INFINITY, caller });
    }
    Ok(())
}

/// Each version begins at one moment: after its change was called and after a read of an earlier version was called; before its
/// change returned, before a read of it or a later version returned, and before a change on an earlier version was refused.
fn bounds_of(operations: &[Operation], changes: &BTreeMap<u64, Change>) -> VersionBounds {
    let mut bounds = VersionBounds::default();
    for (version, Change { called_at, returned_at, caller }) in changes {
        bounds.begins_after(*version, *called_at, format!("{caller} asked for it"));
        bounds.begins_before(*version, *returned_at, format!("{caller} was told that it holds"));
    }
    for Operation { called_at, returned_at, caller, outcome } in operations {
        match outcome {
            Outcome::Read { version, .. } => {
                bounds.begins_after(version + 1, *called_at, format!("{caller} read version {version}"));
                bounds.begins_before(*version, *returned_at, format!("{caller} read version {version}"));
            }
            Outcome::Conflict { base } => {
                bounds.begins_before(
                    base + 1,
                    *returned_at,
                    format!("{caller} was refused on version {base}"),
                );
            }
            Outcome::Applied { .. } | Outcome::Unknown { .. } => {}
        }
    }
    bounds
}
