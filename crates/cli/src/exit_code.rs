//! The exit codes of the commands, which scripts read.

use std::process::ExitCode;

/// The command ran, and found a failure or got no good answer from some host.
const NEGATIVE_RESULT: u8 = 1;
/// The command could not do its work.
const COMMAND_FAILED: u8 = 2;

/// The exit code of a command that ran, by whether its result is good.
pub(crate) fn of_result(is_good: bool) -> ExitCode {
    if is_good {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(NEGATIVE_RESULT)
    }
}

/// The exit code of a command that could not do its work.
pub(crate) fn of_error() -> ExitCode {
    ExitCode::from(COMMAND_FAILED)
}
