//! Checks of a block's values against their bounds.

use crate::document::{Document, Place};
use crate::ConfigError;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// The longest time that a setting may have, in seconds: a day.
pub(crate) const DAY_S: f64 = 86_400.0;
/// The longest time that a setting may have, in milliseconds: a day.
pub(crate) const DAY_MS: f64 = DAY_S * 1e3;

/// Checks the values of one block; its errors name the line of the attribute.
pub(crate) struct BlockChecks<'a> {
    document: &'a Document,
    kind: &'a str,
    label: &'a str,
}

impl<'a> BlockChecks<'a> {
    /// Returns the checks of a block without a label.
    pub(crate) fn new(document: &'a Document, kind: &'a str) -> Self {
        BlockChecks { document, kind, label: "" }
    }

    /// Returns the checks of a block with a label.
    pub(crate) fn labelled(document: &'a Document, kind: &'a str, label: &'a str) -> Self {
        BlockChecks { document, kind, label }
    }

    /// Checks that the value is a finite number in the range.
    pub(crate) fn number(
        &self,
        name: &str,
        value: f64,
        range: RangeInclusive<f64>,
    ) -> Result<(), ConfigError> {
        if value.is_finite() && range.contains(&value) {
            return Ok(());
        }
        let expected = format!("a number from {} to {}", range.start(), range.end());
        Err(self.error(name, value, &expected))
    }

    /// Checks that the value is in the range.
    pub(crate) fn whole_number(
        &self,
        name: &str,
        value: u64,
        range: RangeInclusive<u64>,
    ) -> Result<(), ConfigError> {
        if range.contains(&value) {
            return Ok(());
        }
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        Err(self.error(name, value, &expected))
    }

    /// Returns an error about an attribute of the block.
    pub(crate) fn error(&self, name: &str, found: impl Display, expected: &str) -> ConfigError {
        let place = Place { kind: self.kind, label: self.label, name };
        self.document.error_for(&place, found, expected)
    }

    /// Returns an error about the block as a whole.
    pub(crate) fn block_error(&self, found: impl Display, expected: &str) -> ConfigError {
        self.error("", found, expected)
    }
}
