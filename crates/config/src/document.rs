//! An HCL document whose errors name file, line, place, value and what was expected.

use hcl::edit::{structure, Span};
use serde::de::DeserializeOwned;

/// One thing wrong with a file of settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {place}: {problem}")]
pub struct ConfigError {
    pub file: String,
    pub line: usize,
    pub place: String,
    pub problem: String,
}

/// A parsed document of blocks, each with at most one label.
pub struct Document {
    file: String,
    text: String,
    body: structure::Body,
}

/// Where a value stands.
#[derive(Clone, Debug)]
pub struct Place<'a> {
    pub kind: &'a str,
    pub label: &'a str,
    pub name: &'a str,
}

/// A block's label, its index among all blocks, and what stands in it.
pub struct Found<T> {
    pub label: String,
    pub value: T,
}

impl Document {
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigError> {
        let error = |line, problem| ConfigError { file: file.into(), line, place: "HCL".into(), problem };
        let body = hcl::edit::parser::parse_body(text).map_err(|e| {
            let what = e.message().to_owned();
            error(e.location().line(), format!("{what}; expected an HCL document"))
        })?;
        Ok(Document { file: file.to_owned(), text: text.to_owned(), body })
    }

    fn line_at(&self, span: Option<std::ops::Range<usize>>) -> usize {
        let until = span.map_or(0, |s| s.start).min(self.text.len());
        1 + self.text.as_bytes()[..until].iter().filter(|b| **b == b'\n').count()
    }

    fn error_at(&self, span: Option<std::ops::Range<usize>>, place: String, problem: String) -> ConfigError {
        ConfigError { file: self.file.clone(), line: self.line_at(span), place, problem }
    }

    /// An error about a value: it names the nearest line that can be found for the place.
    pub fn wrong(&self, place: &Place, found: impl std::fmt::Display, expected: &str) -> ConfigError {
        let block = self.body.blocks().find(|b| {
            let label = b.labels.first().map_or("", |l| l.as_str());
            b.ident.as_str() == place.kind && label == place.label
        });
        let attribute = block.and_then(|b| b.body.attributes().find(|a| a.key.as_str() == place.name));
        let span = attribute.and_then(|a| a.span()).or_else(|| block.and_then(|b| b.ident.span()));
        let label = if place.label.is_empty() { String::new() } else { format!(" \"{}\"", place.label) };
        let at = format!("{}{label} {}", place.kind, place.name);
        self.error_at(span, at.trim_end().to_owned(), format!("{found}; expected {expected}"))
    }

    /// Every block kind must be among `known`; attributes belong in blocks.
    pub fn only(&self, known: &[&str]) -> Result<(), ConfigError> {
        let expected = known.join(", ");
        for s in self.body.iter() {
            match s {
                structure::Structure::Attribute(a) => {
                    let problem = format!("stands outside a block; expected it in one of {expected}");
                    return Err(self.error_at(a.span(), a.key.to_string(), problem));
                }
                structure::Structure::Block(b) if !known.contains(&b.ident.as_str()) => {
                    let problem = format!("unknown block; expected one of {expected}");
                    return Err(self.error_at(b.ident.span(), b.ident.to_string(), problem));
                }
                structure::Structure::Block(_) => {}
            }
        }
        Ok(())
    }

    /// The text with only the blocks of these kinds left in it, each on the lines where it stands.
    pub fn only_text(&self, kinds: &[&str]) -> String {
        let mut out = self.text.clone().into_bytes();
        for b in self.body.blocks().filter(|b| !kinds.contains(&b.ident.as_str())) {
            let (Some(ident), Some(whole)) = (b.ident.span(), b.span()) else { continue };
            let until = whole.end.min(out.len());
            for byte in out[ident.start.min(until)..until].iter_mut().filter(|b| **b != b'\n') {
                *byte = b' ';
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }

    /// Whether there is a block of this kind.
    pub fn has(&self, kind: &str) -> bool {
        self.body.blocks().any(|b| b.ident.as_str() == kind)
    }

    /// All blocks of a kind, in the order written. Labels must differ where they are wanted.
    pub fn blocks<T: DeserializeOwned>(
        &self,
        kind: &str,
        labelled: bool,
    ) -> Result<Vec<Found<T>>, ConfigError> {
        let mut found: Vec<Found<T>> = Vec::new();
        for b in self.body.blocks().filter(|b| b.ident.as_str() == kind) {
            let labels: Vec<&str> = b.labels.iter().map(|l| l.as_str()).collect();
            let place = || format!("{kind} {}", labels.join(" ")).trim_end().to_owned();
            if labels.len() != usize::from(labelled) {
                let problem = format!("{} labels; expected {}", labels.len(), usize::from(labelled));
                return Err(self.error_at(b.ident.span(), place(), problem));
            }
            let label = labels.first().copied().unwrap_or("").to_owned();
            if found.iter().any(|f| f.label == label) {
                let problem = "stands twice; expected it once".to_owned();
                return Err(self.error_at(b.ident.span(), place(), problem));
            }
            let body: hcl::Body = b.body.clone().into();
            let plain: serde_json::Value = hcl::from_body(body)
                .map_err(|e| self.error_at(b.ident.span(), place(), format!("{e}; expected plain values")))?;
            let value = serde_path_to_error::deserialize(plain).map_err(|e| {
                let (path, message) = (e.path().to_string(), e.inner().to_string());
                let key = path.split(['.', '[']).next().unwrap_or("");
                // Where the path stops at the block, the message may still name the key.
                let names = |k: &str| k == key || message.contains(&format!("`{k}`"));
                let culprit = b.body.attributes().find(|a| names(a.key.as_str()));
                let span = culprit.and_then(|a| a.span()).or_else(|| b.ident.span());
                let at = culprit.map_or_else(place, |a| format!("{} {}", place(), a.key.as_str()));
                self.error_at(span, at, message)
            })?;
            found.push(Found { label, value });
        }
        Ok(found)
    }

    /// The one block of a kind; where there is none, the default.
    pub fn block_or<T: DeserializeOwned + Default>(&self, kind: &str) -> Result<T, ConfigError> {
        Ok(self.blocks(kind, false)?.pop().map_or_else(T::default, |f| f.value))
    }

    /// The one block of a kind, which must be there.
    pub fn block<T: DeserializeOwned>(&self, kind: &str) -> Result<T, ConfigError> {
        let none = || self.error_at(None, kind.to_owned(), "missing; expected one such block".to_owned());
        Ok(self.blocks(kind, false)?.pop().ok_or_else(none)?.value)
    }
}
