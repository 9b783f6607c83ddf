//! What the commands' errors become at the edge of the program.

use crate::admin_calls::AdminCallError;
use crate::benchmark::BenchmarkCommandError;
use crate::emulators::EmulatorError;
use crate::io::IoError;
use crate::log::LogError;
use crate::plans::PlanError;
use crate::platform::PlatformError;
use crate::scenario::ScenarioCommandError;
use crate::serve::ServeError;
use crate::simulator::SimulatorError;

/// Why a command failed. It is printed as one line on standard error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The log could not be started.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A call over an admin socket failed.
    #[error(transparent)]
    AdminCall(#[from] AdminCallError),
    /// A host could not be run, or its settings are wrong.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A host could not be run on the operators' platform.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// An emulator could not be run.
    #[error(transparent)]
    Emulator(#[from] EmulatorError),
    /// A volume could not be used.
    #[error(transparent)]
    Io(#[from] IoError),
    /// Plans could not be shown, checked or changed.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A scenario or a trace could not be used.
    #[error(transparent)]
    Scenario(#[from] ScenarioCommandError),
    /// A run in virtual time could not be made.
    #[error(transparent)]
    Simulator(#[from] SimulatorError),
    /// A measurement could not be made.
    #[error(transparent)]
    Benchmark(#[from] BenchmarkCommandError),
}
