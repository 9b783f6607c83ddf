//! An HCL document of blocks, whose errors name file, line, place, value and what was expected.

use crate::ConfigError;
use hcl::edit::structure::{Block, Body, Structure};
use hcl::edit::Span as _;
use serde::de::DeserializeOwned;
use std::fmt::Display;
use std::ops::Range;
use std::path::Path;

/// A parsed document of blocks, each with at most one label.
pub struct Document {
    file: String,
    text: String,
    body: Body,
}

/// The text of a file; `expected` is what an error says the file should be.
pub fn read_text(path: &Path, expected: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|error| ConfigError {
        file: path.display().to_string(),
        line: 0,
        place: "file".to_owned(),
        problem: format!("{error}; expected {expected}"),
    })
}

/// Where a value stands.
#[derive(Clone, Debug)]
pub struct Place<'a> {
    /// The block's kind, its first word.
    pub kind: &'a str,
    /// The block's label; empty: it has none.
    pub label: &'a str,
    /// The attribute's name; empty: the block as a whole.
    pub name: &'a str,
}

/// A block's label and the values in it.
pub struct LabelledBlock<T> {
    /// The label.
    pub label: String,
    /// The block's attributes.
    pub value: T,
}

/// How many labels blocks of a kind have.
#[derive(Clone, Copy)]
enum Labels {
    None,
    One,
}

impl Labels {
    fn count(self) -> usize {
        match self {
            Labels::None => 0,
            Labels::One => 1,
        }
    }
}

impl Document {
    /// Parses a text; `file` is what errors call it.
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigError> {
        let body = hcl::edit::parser::parse_body(text).map_err(|error| ConfigError {
            file: file.to_owned(),
            line: error.location().line(),
            place: "HCL".to_owned(),
            problem: format!("{}; expected an HCL document", error.message()),
        })?;
        Ok(Document { file: file.to_owned(), text: text.to_owned(), body })
    }

    /// An error about a value: it names the nearest line that can be found for the place.
    pub fn error_for(&self, place: &Place, found: impl Display, expected: &str) -> ConfigError {
        let block = self.body.blocks().find(|block| {
            let label = block.labels.first().map_or("", |label| label.as_str());
            block.ident.as_str() == place.kind && label == place.label
        });
        let attribute =
            block.and_then(|block| block.body.attributes().find(|a| a.key.as_str() == place.name));
        let span = attribute.and_then(|a| a.span()).or_else(|| block.and_then(|block| block.ident.span()));
        let label = if place.label.is_empty() { String::new() } else { format!(" \"{}\"", place.label) };
        let at = format!("{}{label} {}", place.kind, place.name);
        self.error_at(span, at.trim_end().to_owned(), format!("{found}; expected {expected}"))
    }

    /// Every block's kind must be among `known`, and attributes must be in blocks.
    pub fn require_known_blocks(&self, known: &[&str]) -> Result<(), ConfigError> {
        let expected = known.join(", ");
        for structure in self.body.iter() {
            match structure {
                Structure::Attribute(attribute) => {
                    let problem = format!("stands outside a block; expected it in one of {expected}");
                    return Err(self.error_at(attribute.span(), attribute.key.to_string(), problem));
                }
                Structure::Block(block) if !known.contains(&block.ident.as_str()) => {
                    let problem = format!("unknown block; expected one of {expected}");
                    return Err(self.error_at(block.ident.span(), block.ident.to_string(), problem));
                }
                Structure::Block(_) => {}
            }
        }
        Ok(())
    }

    /// The text with only the blocks of these kinds left in it, each on the lines where it stands.
    pub fn text_of_blocks(&self, kinds: &[&str]) -> String {
        let mut bytes = self.text.clone().into_bytes();
        for block in self.body.blocks().filter(|block| !kinds.contains(&block.ident.as_str())) {
            let (Some(ident), Some(whole)) = (block.ident.span(), block.span()) else { continue };
            let end = whole.end.min(bytes.len());
            for byte in bytes[ident.start.min(end)..end].iter_mut().filter(|byte| **byte != b'\n') {
                *byte = b' ';
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Whether there is a block of this kind.
    pub fn has_block(&self, kind: &str) -> bool {
        self.body.blocks().any(|block| block.ident.as_str() == kind)
    }

    /// All blocks of a kind whose blocks have a label each, in the order written. No label may be there twice.
    pub fn labelled_blocks<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<Vec<LabelledBlock<T>>, ConfigError> {
        self.blocks(kind, Labels::One)
    }

    /// The one block of a kind without a label, if it is there.
    pub(crate) fn optional_block<T: DeserializeOwned>(&self, kind: &str) -> Result<Option<T>, ConfigError> {
        Ok(self.blocks(kind, Labels::None)?.pop().map(|block| block.value))
    }

    /// The one block of a kind; where there is none, the default.
    pub fn block_or_default<T: DeserializeOwned + Default>(&self, kind: &str) -> Result<T, ConfigError> {
        Ok(self.optional_block(kind)?.unwrap_or_default())
    }

    /// The one block of a kind, which must be there.
    pub fn block<T: DeserializeOwned>(&self, kind: &str) -> Result<T, ConfigError> {
        let missing = || self.error_at(None, kind.to_owned(), "missing; expected one such block".to_owned());
        self.optional_block(kind)?.ok_or_else(missing)
    }

    fn blocks<T: DeserializeOwned>(
        &self,
        kind: &str,
        labels: Labels,
    ) -> Result<Vec<LabelledBlock<T>>, ConfigError> {
        let mut found: Vec<LabelledBlock<T>> = Vec::new();
        for block in self.body.blocks().filter(|block| block.ident.as_str() == kind) {
            let label = self.label(block, labels)?;
            if found.iter().any(|earlier| earlier.label == label) {
                let problem = "stands twice; expected it once".to_owned();
                return Err(self.error_at(block.ident.span(), block_place(block), problem));
            }
            found.push(LabelledBlock { label, value: self.deserialize(block)? });
        }
        Ok(found)
    }

    /// The block's label, empty where it has none.
    fn label(&self, block: &Block, labels: Labels) -> Result<String, ConfigError> {
        let (count, expected) = (block.labels.len(), labels.count());
        if count != expected {
            let problem = format!("{count} labels; expected {expected}");
            return Err(self.error_at(block.ident.span(), block_place(block), problem));
        }
        Ok(block.labels.first().map_or("", |label| label.as_str()).to_owned())
    }

    fn deserialize<T: DeserializeOwned>(&self, block: &Block) -> Result<T, ConfigError> {
        let body: hcl::Body = block.body.clone().into();
        let values: serde_json::Value = hcl::from_body(body).map_err(|error| {
            let problem = format!("{error}; expected plain values");
            self.error_at(block.ident.span(), block_place(block), problem)
        })?;
        serde_path_to_error::deserialize(values).map_err(|error| {
            let (path, message) = (error.path().to_string(), error.inner().to_string());
            self.deserialize_error(block, &path, message)
        })
    }

    /// An error of the deserializer at the attribute that it is about.
    fn deserialize_error(&self, block: &Block, path: &str, message: String) -> ConfigError {
        let key = path.split(['.', '[']).next().unwrap_or("");
        // Where the path stops at the block, the message may still name the key.
        let is_named = |name: &str| name == key || message.contains(&format!("`{name}`"));
        let attribute = block.body.attributes().find(|a| is_named(a.key.as_str()));
        let span = attribute.and_then(|a| a.span()).or_else(|| block.ident.span());
        let place = match attribute {
            Some(attribute) => format!("{} {}", block_place(block), attribute.key.as_str()),
            None => block_place(block),
        };
        self.error_at(span, place, message)
    }

    fn error_at(&self, span: Option<Range<usize>>, place: String, problem: String) -> ConfigError {
        ConfigError { file: self.file.clone(), line: self.line_at(span), place, problem }
    }

    fn line_at(&self, span: Option<Range<usize>>) -> usize {
        let start = span.map_or(0, |span| span.start).min(self.text.len());
        1 + self.text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count()
    }
}

/// The block's kind and labels.
fn block_place(block: &Block) -> String {
    let labels: Vec<&str> = block.labels.iter().map(|label| label.as_str()).collect();
    format!("{} {}", block.ident.as_str(), labels.join(" ")).trim_end().to_owned()
}
