//! Where a field stands in a JSON text. It owns no state and judges nothing.

use serde::de::IgnoredAny;

/// Line and column of a byte of the text, from 1.
pub fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|b| **b == b'\n').count() + 1;
    let column = before.iter().rev().take_while(|b| **b != b'\n').count() + 1;
    (line, column)
}

/// Byte offset of the key that a path such as `settings.services[1].name` names, or of the element if it ends with an
/// index. If that is not there, the offset of the innermost parent that is. The text is valid JSON.
pub(super) fn of_field(text: &str, path: &str) -> usize {
    let mut cursor = Cursor { text, offset: 0 };
    let mut found = 0;
    let steps = path.split(['.', '[']).map(|step| step.trim_end_matches(']')).filter(|step| !step.is_empty());
    for step in steps {
        match cursor.enter(step) {
            Some(offset) => found = offset,
            None => break,
        }
    }
    found
}

/// Stands at the beginning of a value.
struct Cursor<'a> {
    text: &'a str,
    offset: usize,
}

impl Cursor<'_> {
    /// Goes into the member or element of this name of the value here; returns where its key, or the element, begins.
    fn enter(&mut self, step: &str) -> Option<usize> {
        self.skip_space();
        match self.take()? {
            b'{' => loop {
                self.skip_space();
                let key_at = self.offset;
                let key: String = self.parse()?;
                self.skip_space();
                self.take().filter(|byte| *byte == b':')?;
                if key == step {
                    return Some(key_at);
                }
                self.skip_value_and_comma()?;
            },
            b'[' => {
                for _ in 0..step.parse::<usize>().ok()? {
                    self.skip_value_and_comma()?;
                }
                self.skip_space();
                Some(self.offset)
            }
            _ => None,
        }
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
