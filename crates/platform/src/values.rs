//! Reads named values from JSON. An error names the path of the value and what was expected, and shows the value where that helps.
//! A missing value (`None`) is an error like a value of another type, unless a function says otherwise.

use serde_json::{Map, Value};
use std::fmt;
use tackmast::interface::TimeDelta;

/// Maximum number of characters of a value that an error shows.
const MAX_SHOWN_CHARS: usize = 60;

/// An error for a value that its field does not allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The path of the value, such as `settings.request_classes[0].target`; empty for the whole document.
    pub path: String,
    /// The value, its beginning, or what is wrong with it; `None` where the message does not show it.
    pub found: Option<String>,
    /// What was expected instead.
    pub expected: String,
}

impl FieldError {
    /// Creates an error that does not show the value.
    pub fn new(path: &str, expected: impl Into<String>) -> Self {
        FieldError { path: path.to_owned(), found: None, expected: expected.into() }
    }

    /// Creates an error that shows the value.
    pub fn with_found(path: &str, found: impl Into<String>, expected: impl Into<String>) -> Self {
        FieldError { path: path.to_owned(), found: Some(found.into()), expected: expected.into() }
    }

    /// Returns the error with `parent` in front of its path, as seen from the enclosing document.
    pub fn within(mut self, parent: &str) -> Self {
        self.path = match self.path.is_empty() {
            true => parent.to_owned(),
            false => format!("{parent}.{}", self.path),
        };
        self
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        if let Some(found) = &self.found {
            write!(formatter, "{found}; ")?;
        }
        write!(formatter, "expected {}", self.expected)
    }
}

impl std::error::Error for FieldError {}

/// Reads a number.
pub fn number(value: Option<&Value>, name: &str) -> Result<f64, FieldError> {
    value.and_then(Value::as_f64).ok_or_else(|| FieldError::new(name, "a number"))
}

/// Reads an integer that fits 64 bits with a sign.
pub fn integer(value: Option<&Value>, name: &str) -> Result<i64, FieldError> {
    value.and_then(Value::as_i64).ok_or_else(|| FieldError::new(name, "a whole number"))
}

/// Reads an integer from 0 that fits 32 bits.
pub fn index(value: Option<&Value>, name: &str) -> Result<u32, FieldError> {
    let number = value.and_then(Value::as_u64).and_then(|number| u32::try_from(number).ok());
    number.ok_or_else(|| FieldError::new(name, "a whole number from 0"))
}

/// Reads a string.
pub fn text<'a>(value: Option<&'a Value>, name: &str) -> Result<&'a str, FieldError> {
    value.and_then(Value::as_str).ok_or_else(|| FieldError::new(name, "text"))
}

/// Reads an array.
pub fn array<'a>(value: Option<&'a Value>, name: &str) -> Result<&'a Vec<Value>, FieldError> {
    value.and_then(Value::as_array).ok_or_else(|| FieldError::new(name, "an array"))
}

/// Reads an object.
pub fn object<'a>(value: Option<&'a Value>, name: &str) -> Result<&'a Map<String, Value>, FieldError> {
    value.and_then(Value::as_object).ok_or_else(|| FieldError::new(name, "an object"))
}

/// Reads a number that may be absent or null, which gives `absent`.
pub(crate) fn number_or(map: &Map<String, Value>, name: &str, absent: f64) -> Result<f64, FieldError> {
    match map.get(name) {
        None | Some(Value::Null) => Ok(absent),
        found => number(found, name),
    }
}

/// Reads a duration in seconds; it is zero where the field is absent or null.
pub(crate) fn time_delta(map: &Map<String, Value>, name: &str) -> Result<TimeDelta, FieldError> {
    Ok(TimeDelta::from_secs(number_or(map, name, 0.0)?))
}

/// Returns a value as an error shows it: as JSON, and shortened if it is long. A missing value is `nothing`.
pub fn shown(value: Option<&Value>) -> String {
    let text = value.map_or("nothing".to_owned(), Value::to_string);
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}
