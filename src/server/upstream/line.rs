//! The line protocol of engine and store. A line consists of words of printable ASCII and ends with CR LF.
//! Some lines are followed by a body, whose length is the last word of the line. This module parses and
//! writes bytes; it does no I/O and knows no command.

/// Maximum length of a received line, bytes, including CR LF.
const MAX_LINE_BYTES: usize = 512;
/// Maximum length of a received body, bytes. The protocol limits results to 4 KiB, and sets no limit for
/// replies.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Prefix of a remark: a line that may contain any bytes.
const REMARK: &[u8] = b"NOTE ";

/// The words of a line, and its body.
#[derive(Debug, PartialEq)]
pub(super) struct Line {
    /// The words; there is at least one.
    pub(super) words: Vec<String>,
    /// The bytes of the body; empty if the line has no body.
    pub(super) body: Vec<u8>,
}

/// Why received bytes are rejected. The text is the reason code in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum LineError {
    /// The line is longer than the limit.
    #[error("line-too-long")]
    TooLong,
    /// The line is not words of printable ASCII that end with CR LF, or not a message of the protocol.
    #[error("malformed-line")]
    Malformed,
    /// The length of the body is not a number, or is above the limit.
    #[error("bad-length")]
    BadLength,
}

/// Removes one complete line with its body from the front of `input`; `None` if the line or body is not
/// complete yet. `has_body` decides from the words whether the last word is the length of a body.
pub(super) fn take_line(
    input: &mut Vec<u8>,
    has_body: fn(&[String]) -> bool,
) -> Result<Option<Line>, LineError> {
    let Some(end) = input.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if input.len() >= MAX_LINE_BYTES { Err(LineError::TooLong) } else { Ok(None) };
    };
    let words = split_words(&input[..end])?;
    let mut used = end + 1;
    let mut body = Vec::new();
    if has_body(&words) {
        let length = body_length(&words)?;
        let Some(rest) = input.get(used..used + length + 2) else { return Ok(None) };
        if &rest[length..] != b"\r\n" {
            return Err(LineError::Malformed);
        }
        body = rest[..length].to_vec();
        used += length + 2;
    }
    input.drain(..used);
    Ok(Some(Line { words, body }))
}

/// Splits a line, without its line feed, into words.
fn split_words(line: &[u8]) -> Result<Vec<String>, LineError> {
    let text = line.strip_suffix(b"\r").ok_or(LineError::Malformed)?;
    // The content of a remark is not interpreted, so invalid bytes in a remark must not end the connection.
    let is_readable = text.starts_with(REMARK) || text.iter().all(|byte| (b' '..=b'~').contains(byte));
    if text.is_empty() || !is_readable {
        return Err(LineError::Malformed);
    }
    let words = text.split(|byte| *byte == b' ');
    Ok(words.map(|word| String::from_utf8_lossy(word).into_owned()).collect())
}

fn body_length(words: &[String]) -> Result<usize, LineError> {
    let length = words.last().and_then(|word| parse_digits(word)).ok_or(LineError::BadLength)?;
    usize::try_from(length).ok().filter(|length| *length <= MAX_BODY_BYTES).ok_or(LineError::BadLength)
}

/// Parses a number that consists of digits only, without a sign.
pub(super) fn parse_digits(word: &str) -> Option<u64> {
    word.bytes().all(|byte| byte.is_ascii_digit()).then(|| word.parse().ok()).flatten()
}

/// Parses a finite decimal number.
pub(super) fn parse_finite(word: &str) -> Result<f64, LineError> {
    word.parse().ok().filter(|value: &f64| value.is_finite()).ok_or(LineError::Malformed)
}

/// Appends a line without a body.
pub(super) fn write_line(out: &mut Vec<u8>, line: &str) {
    out.extend_from_slice(line.as_bytes());
    out.extend_from_slice(b"\r\n");
}

/// Appends a line with the length of `body` as its last word, and the body.
pub(super) fn write_line_with_body(out: &mut Vec<u8>, head: &str, body: &[u8]) {
    write_line(out, &format!("{head} {}", body.len()));
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}
