//! collectd's plain-text protocol: one command per line, and an answer to each.

use super::received::{Notification, Received, Value};

/// Severity `failure`, as numbered in the binary protocol.
const FAILURE: u64 = 1;
/// Severity `warning`.
const WARNING: u64 = 2;
/// Severity `okay`.
const OKAY: u64 = 4;

/// Executes a command and returns the answer.
pub(super) fn execute(received: &mut Received, line: &str) -> String {
    let words = split_words(line.trim_end());
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let answer = match words.as_slice() {
        ["PUTVAL", name, .., values] if name.split('/').count() == 3 => put_value(received, name, values),
        ["PUTNOTIF", options @ ..] => put_notification(received, options),
        _ => {
            received.rejected += 1;
            "-1 Unknown command"
        }
    };
    answer.to_owned()
}

fn put_value(received: &mut Received, name: &str, values: &str) -> &'static str {
    let Some((time_s, values)) = parse_values(name, values) else {
        received.rejected += 1;
        return "-1 Parsing the values string failed.";
    };
    if received.insert(name.to_owned(), time_s, values) {
        "0 Success: 1 value has been dispatched."
    } else {
        "-1 Dispatching values failed: value too old"
    }
}

/// Parses `time:value:...` of a series; the time is in s.
fn parse_values(name: &str, text: &str) -> Option<(f64, Vec<Value>)> {
    let is_derive = name.contains("/derive");
    let mut numbers = text.split(':');
    let time_s = numbers.next()?.parse().ok()?;
    let values: Option<Vec<Value>> = numbers
        .map(|number| match number {
            "U" => Some(Value::Gauge(f64::NAN)),
            _ if is_derive => number.parse().ok().map(Value::Derive),
            _ => number.parse().ok().map(Value::Gauge),
        })
        .collect();
    let values = values.filter(|values| !values.is_empty())?;
    Some((time_s, values))
}

fn put_notification(received: &mut Received, options: &[&str]) -> &'static str {
    let option = |name: &str| options.iter().find_map(|word| word.strip_prefix(name));
    let severity = match option("severity=") {
        Some("failure") => FAILURE,
        Some("warning") => WARNING,
        _ => OKAY,
    };
    received.notifications.push(Notification {
        severity,
        type_instance: option("type_instance=").unwrap_or_default().to_owned(),
        message: option("message=").unwrap_or_default().to_owned(),
    });
    "0 Success"
}

/// Splits a line into words. A word may be quoted or have the form `name="value"`.
fn split_words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (word, length) = first_word(rest);
        words.push(word);
        rest = rest[length..].trim_start();
    }
    words
}

/// Returns the first word of a text without quotes, and its length in the text.
fn first_word(text: &str) -> (String, usize) {
    let (mut word, mut is_quoted, mut is_escaped) = (String::new(), false, false);
    for (at, char) in text.char_indices() {
        match char {
            _ if is_escaped => {
                word.push(char);
                is_escaped = false;
            }
            '\\' if is_quoted => is_escaped = true,
            '"' => is_quoted = !is_quoted,
            ' ' if !is_quoted => return (word, at),
            _ => word.push(char),
        }
    }
    (word, text.len())
}
