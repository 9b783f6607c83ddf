//! A value of a script that can't be used.

use tackmast_config::{ConfigError, Document, Place};

/// A value that a script gives to a key, and what is expected there.
#[derive(Debug)]
pub(super) struct InvalidValue {
    key: &'static str,
    found: String,
    expected: String,
}

impl InvalidValue {
    pub(super) fn new(key: &'static str, found: impl Into<String>, expected: impl Into<String>) -> Self {
        InvalidValue { key, found: found.into(), expected: expected.into() }
    }

    /// The error with the file and the line of the block that holds the value.
    pub(super) fn in_block(self, document: &Document, kind: &str, label: &str) -> ConfigError {
        document.error_for(&Place { kind, label, name: self.key }, self.found, &self.expected)
    }
}
