//! `tackmast simulator compare`: the same seeds under two variants.

use super::{reference_model, SimulatorError};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tackmast_simulator::{compare, Change, Variant};

/// Arguments of `tackmast simulator compare`.
#[derive(clap::Args)]
pub(crate) struct CompareArguments {
    /// File of the first variant, the baseline.
    #[arg(value_name = "A")]
    baseline: PathBuf,
    /// File of the second variant.
    #[arg(value_name = "B")]
    candidate: PathBuf,
    /// Number of seeds.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of hosts.
    #[arg(long, default_value_t = 20)]
    hosts: u32,
    /// Number of threads.
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

/// The file of a variant.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VariantFile {
    /// Name of a reference model in place of the host core.
    #[serde(rename = "plain")]
    reference_model: Option<String>,
    /// Values in place of those generated.
    #[serde(default)]
    change: Change,
}

/// Plays the seeds under both variants, and prints medians and differences.
pub(super) fn run(arguments: &CompareArguments) -> Result<ExitCode, SimulatorError> {
    let CompareArguments { baseline, candidate, seeds, first, hosts, threads } = arguments;
    SimulatorError::require_bounds(
        (1..=100_000).contains(seeds) && (1..=300).contains(hosts),
        || format!("--seeds {seeds} --hosts {hosts}"),
        "1 to 100000 and 1 to 300",
    )?;
    let variants = (read_variant(baseline)?, read_variant(candidate)?);
    println!(
        "A is {}, B is {}; {seeds} seeds from {first} on; models, not machines",
        baseline.display(),
        candidate.display()
    );
    println!("{:<24} {:>10} {:>10} {:>10}  interval of the difference", "median", "A", "B", "B - A");
    for metric in compare(&variants.0, &variants.1, *first, *seeds, *hosts, *threads) {
        let interval = metric
            .interval
            .map_or("too few pairs".to_owned(), |(low, high)| format!("{low:.3} to {high:.3}"));
        println!(
            "{:<24} {:>10.3} {:>10.3} {:>10.3}  {interval}",
            metric.name, metric.baseline, metric.candidate, metric.difference
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn read_variant(path: &Path) -> Result<Variant, SimulatorError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| SimulatorError::File { path: path.to_owned(), source })?;
    let file: VariantFile =
        hcl::from_str(&text).map_err(|source| SimulatorError::Variant { path: path.to_owned(), source })?;
    let place = format!("{}: plain", path.display());
    let reference_model =
        file.reference_model.map(|name| reference_model::parse(&place, &name)).transpose()?;
    Ok(Variant { reference_model, change: file.change })
}
