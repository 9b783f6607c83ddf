//! An HCL document of blocks. Its errors name the file, the line, the place, the value and what was expected.

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

/// Reads the text of a file. `expected` describes the file in the error if it can't be read.
pub fn read_text(path: &Path, expected: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|error| ConfigError {
        file: path.display().to_string(),
        line: 0,
        place: "file".to_owned(),
        problem: format!("{error}; expected {expected}"),
    })
}

/// The place of a value in a document.
#[derive(Clone, Debug)]
pub struct Place<'a> {
    /// The kind of the block, which is its first word.
    pub kind: &'a str,
    /// The label of the block; empty if it has none.
    pub label: &'a str,
    /// The name of the attribute; empty for the block as a whole.
    pub name: &'a str,
}

/// A block that has a label.
pub struct LabelledBlock<T> {
    /// The label of the block.
    pub label: String,
    /// The attributes of the block, deserialized.
    pub value: T,
}

/// The number of labels that each block of a kind has.
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
    /// Parses a text. `file` is its name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigError> {
        let body = hcl::edit::parser::parse_body(text).map_err(|error| ConfigError {
            file: file.to_owned(),
            line: error.location().line(),
            place: "HCL".to_owned(),
            problem: format!("{}; expected an HCL document", error.message()),
        })?;
        Ok(Document { file: file.to_owned(), text: text.to_owned(), body })
    }

    /// Returns an error about a value. Its line is that of the attribute, else that of the block, else the first.
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

    /// Checks that the kind of each block is in `known`, and that each attribute is in a block.
    pub fn require_known_blocks(&self, known: &[&str]) -> Result<(), ConfigError> {
        let expected = known.join(", ");
        for structure in self.body.iter() {
            match structure {
                Structure::Attribute(attribute) => {
                    let problem = format!("is outside a block; expected it in one of {expected}");
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

    /// Returns the text with spaces in place of all blocks of other kinds, so that the rest keeps its line numbers.
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

    /// Returns whether there is a block of this kind.
    pub fn has_block(&self, kind: &str) -> bool {
        self.body.blocks().any(|block| block.ident.as_str() == kind)
    }

    /// Returns all blocks of a kind whose blocks have one label, in the order of the text. Two blocks with the same label are
    /// an error.
    pub fn labelled_blocks<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<Vec<LabelledBlock<T>>, ConfigError> {
        self.blocks(kind, Labels::One)
    }

    /// Returns the only block of a kind without labels, or `None` if it is missing.
    pub(crate) fn optional_block<T: DeserializeOwned>(&self, kind: &str) -> Result<Option<T>, ConfigError> {
        Ok(self.blocks(kind, Labels::None)?.pop().map(|block| block.value))
    }

    /// Returns the only block of a kind without labels, or its default if it is missing.
    pub fn block_or_default<T: DeserializeOwned + Default>(&self, kind: &str) -> Result<T, ConfigError> {
        Ok(self.optional_block(kind)?.unwrap_or_default())
    }

    /// Returns the only block of a kind without labels. A missing block is an error.
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
                let problem = "appears twice; expected it once".to_owned();
                return Err(self.error_at(block.ident.span(), block_place(block), problem));
            }
            found.push(LabelledBlock { label, value: self.deserialize(block)? });
        }
        Ok(found)
    }

    /// Returns the label of a block; empty if blocks of its kind have none. Another number of labels is an error.
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

    /// Returns an error of the deserializer, with the place of the attribute that it is about.
    fn deserialize_error(&self, block: &Block, path: &str, message: String) -> ConfigError {
        let key = path.split(['.', '[']).next().unwrap_or("");
        // If the path ends at the block, the message may still name the attribute.
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

/// Returns the kind and the labels of a block.
fn block_place(block: &Block) -> String {
    let labels: Vec<&str> = block.labels.iter().map(|label| label.as_str()).collect();
    format!("{} {}", block.ident.as_str(), labels.join(" ")).trim_end().to_owned()
}
