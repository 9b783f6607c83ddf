//! JSON values with a name; an error says which value was wrong and what was expected.

use serde_json::{Map, Value};
use tackmast::interface::TimeDelta;

pub fn number(v: Option<&Value>, name: &str) -> Result<f64, String> {
    v.and_then(Value::as_f64).ok_or_else(|| format!("{name}: expected a number"))
}

pub fn integer(v: Option<&Value>, name: &str) -> Result<i64, String> {
    v.and_then(Value::as_i64).ok_or_else(|| format!("{name}: expected a whole number"))
}

pub fn index(v: Option<&Value>, name: &str) -> Result<u32, String> {
    let n = v.and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok());
    n.ok_or_else(|| format!("{name}: expected a whole number from 0"))
}

pub fn text<'a>(v: Option<&'a Value>, name: &str) -> Result<&'a str, String> {
    v.and_then(Value::as_str).ok_or_else(|| format!("{name}: expected text"))
}

pub fn array<'a>(v: Option<&'a Value>, name: &str) -> Result<&'a Vec<Value>, String> {
    v.and_then(Value::as_array).ok_or_else(|| format!("{name}: expected an array"))
}

pub fn object<'a>(v: Option<&'a Value>, name: &str) -> Result<&'a Map<String, Value>, String> {
    v.and_then(Value::as_object).ok_or_else(|| format!("{name}: expected an object"))
}

/// A setting that may be absent.
pub fn or(map: &Map<String, Value>, name: &str, absent: f64) -> Result<f64, String> {
    match map.get(name) {
        None | Some(Value::Null) => Ok(absent),
        found => number(found, name),
    }
}

pub fn span(map: &Map<String, Value>, name: &str) -> Result<TimeDelta, String> {
    Ok(TimeDelta::from_secs(or(map, name, 0.0)?))
}

/// The value as an error shows it: enough to find it, however long it is.
pub fn shown(v: Option<&Value>) -> String {
    let text = v.map_or("nothing".to_owned(), Value::to_string);
    match text.char_indices().nth(60) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}
