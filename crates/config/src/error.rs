//! One thing wrong with a file of settings.

/// Where an error is in a file of settings, the value found there, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {place}: {problem}")]
pub struct ConfigError {
    /// Name of the file.
    pub file: String,
    /// Line in it, from 1; 0: the file could not be read.
    pub line: usize,
    /// Block, its label and the attribute's name.
    pub place: String,
    /// The value found and what was expected.
    pub problem: String,
}
