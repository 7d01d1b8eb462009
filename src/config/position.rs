//! Positions in a text, and the position of a field in a JSON text.

use serde::de::IgnoredAny;

/// A position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line, from 1.
    pub line: usize,
    /// Column in bytes, from 1; 0 at the end of an empty text, where the JSON library reports 0.
    pub column: usize,
}

impl Position {
    /// The position of the byte at this offset. An offset past the end of the text gives the position of its
    /// end.
    pub fn of_offset(text: &str, offset: usize) -> Position {
        let before = &text.as_bytes()[..offset.min(text.len())];
        let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|byte| **byte != b'\n').count() + 1;
        Position { line, column }
    }
}

/// Byte offset of the key that a path such as `settings.services[1].name` names, or of the element if the
/// path ends with an index. If the text lacks the field, the offset of its innermost parent that is present.
/// The text is valid JSON.
pub(super) fn field_offset(text: &str, path: &str) -> usize {
    let mut cursor = Cursor { text, offset: 0 };
    let mut deepest_offset = 0;
    let steps = path.split(['.', '[']).map(|step| step.trim_end_matches(']'));
    for step in steps.filter(|step| !step.is_empty()) {
        match cursor.enter(step) {
            Some(offset) => deepest_offset = offset,
            None => break,
        }
    }
    deepest_offset
}

/// A reader of a JSON text; between two steps of a path, `offset` is the beginning of a value.
struct Cursor<'a> {
    text: &'a str,
    offset: usize,
}

impl Cursor<'_> {
    /// Moves to the member or element of the value that `step` names. Returns the offset of the member's key,
    /// or of the element.
    fn enter(&mut self, step: &str) -> Option<usize> {
        self.skip_space();
        match self.take()? {
            b'{' => self.enter_member(step),
            b'[' => self.enter_element(step.parse().ok()?),
            _ => None,
        }
    }

    fn enter_member(&mut self, name: &str) -> Option<usize> {
        loop {
            self.skip_space();
            let key_offset = self.offset;
            let key: String = self.parse()?;
            self.skip_space();
            self.take().filter(|byte| *byte == b':')?;
            if key == name {
                return Some(key_offset);
            }
            self.skip_value_and_comma()?;
        }
    }

    fn enter_element(&mut self, index: usize) -> Option<usize> {
        for _ in 0..index {
            self.skip_value_and_comma()?;
        }
        self.skip_space();
        Some(self.offset)
    }

    fn skip_value_and_comma(&mut self) -> Option<()> {
        self.parse::<IgnoredAny>()?;
        self.skip_space();
        self.take().filter(|byte| *byte == b',').map(|_| ())
    }

    fn skip_space(&mut self) {
        let rest = &self.text[self.offset..];
        self.offset += rest.len() - rest.trim_start_matches([' ', '\t', '\r', '\n']).len();
    }

    fn take(&mut self) -> Option<u8> {
        let byte = *self.text.as_bytes().get(self.offset)?;
        self.offset += 1;
        Some(byte)
    }

    fn parse<T: serde::de::DeserializeOwned>(&mut self) -> Option<T> {
        let mut values = serde_json::Deserializer::from_str(&self.text[self.offset..]).into_iter::<T>();
        let value = values.next()?.ok()?;
        self.offset += values.byte_offset();
        Some(value)
    }
}
