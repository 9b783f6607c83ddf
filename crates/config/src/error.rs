//! An error in a settings file.

/// An error in a settings file: its place, the value found there, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {place}: {problem}")]
pub struct ConfigError {
    /// The name of the file.
    pub file: String,
    /// The line, counted from 1; 0 if the file could not be read.
    pub line: usize,
    /// The kind of the block, its label and the name of the attribute, as far as there are any.
    pub place: String,
    /// The value found and what was expected.
    pub problem: String,
}
