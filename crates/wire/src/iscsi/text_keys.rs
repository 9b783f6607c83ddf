//! Text keys of login and text units (RFC 7143, section 6.1).

use crate::WireError;
use bytes::{BufMut, Bytes, BytesMut};

/// A text key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextKey {
    /// The key's name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// Reads `key=value` pairs, each ended by a zero byte.
pub fn read_keys(data: &[u8]) -> Result<Vec<TextKey>, WireError> {
    let text = std::str::from_utf8(data).map_err(|_| WireError::Text { field: "text keys" })?;
    text.split('\0').filter(|pair| !pair.is_empty()).map(read_key).collect()
}

fn read_key(pair: &str) -> Result<TextKey, WireError> {
    match pair.split_once('=') {
        Some((name, value)) if !name.is_empty() => {
            Ok(TextKey { name: name.to_owned(), value: value.to_owned() })
        }
        _ => Err(WireError::unexpected("text key", pair.len() as u64, "key=value")),
    }
}

/// The bytes of pairs of a key and its value.
pub fn write_keys<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Bytes {
    let mut out = BytesMut::new();
    for (key, value) in pairs {
        out.put_slice(key.as_bytes());
        out.put_u8(b'=');
        out.put_slice(value.as_bytes());
        out.put_u8(0);
    }
    out.freeze()
}
