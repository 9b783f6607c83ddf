//! Small numbers for the texts of the wire.

use std::collections::HashMap;

/// Text of the wire to a small number and back; each text is kept once.
#[derive(Default)]
pub(crate) struct Names {
    numbers: HashMap<String, u32>,
    texts: Vec<String>,
}

impl Names {
    /// The number of a text; a new text gets the next one.
    pub(crate) fn number(&mut self, text: &str) -> u32 {
        if let Some(number) = self.numbers.get(text) {
            return *number;
        }
        let number = self.texts.len() as u32;
        self.numbers.insert(text.to_owned(), number);
        self.texts.push(text.to_owned());
        number
    }

    /// The number of a text that was seen before.
    pub(crate) fn known(&self, text: &str) -> Option<u32> {
        self.numbers.get(text).copied()
    }

    /// The text of a number that was given out.
    pub(crate) fn text(&self, number: u32) -> &str {
        &self.texts[number as usize]
    }
}
