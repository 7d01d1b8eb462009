//! The language of scenarios, for the tests of one process and for the test cluster: lines of
//! `ACTOR VERB WORDS`, variables that are captured from received text, and patterns. This module owns the
//! parsing of a line; its users define the actors and verbs.
//!
//! Empty lines and comments, which begin with `#`, are skipped. `$name` stands for the text captured under
//! that name.
//!
//! ```
//! use pinepoint_lab::script::{Bindings, matches, steps};
//!
//! let step = steps("  # a comment\n  n1 wait n2 lost").next().expect("a step");
//! assert_eq!((step.actor, step.verb, step.words), ("n1", "wait", "n2 lost"));
//! let mut bindings = Bindings::default();
//! bindings.capture("RUN $r *", "RUN 17 write");
//! assert_eq!(bindings.substitute("DONE $r"), "DONE 17");
//! assert!(matches("RUN * write", "RUN 17 write"));
//! ```

use std::collections::HashMap;

/// One line of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step<'a> {
    /// The line as written.
    pub line: &'a str,
    /// The actor: the first word.
    pub actor: &'a str,
    /// What the actor does: the second word; empty if the line has only one word.
    pub verb: &'a str,
    /// The rest of the line.
    pub words: &'a str,
}

/// The steps of a scenario.
pub fn steps(scenario: &str) -> impl Iterator<Item = Step<'_>> {
    let lines = scenario.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines.map(|line| {
        let mut parts = line.splitn(3, ' ');
        let (actor, verb) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        Step { line, actor, verb, words: parts.next().unwrap_or("") }
    })
}

/// Values of variables by name; names begin with `$`.
#[derive(Clone, Debug, Default)]
pub struct Bindings(HashMap<String, String>);

impl Bindings {
    /// The text with each known variable replaced by its value.
    pub fn substitute(&self, text: &str) -> String {
        self.0.iter().fold(text.to_owned(), |text, (name, value)| text.replace(name, value))
    }

    /// Captures each variable of the pattern from the word at the same position of the text. Returns the
    /// pattern with `*` in place of the variables.
    pub fn capture(&mut self, pattern: &str, text: &str) -> String {
        let mut words = Vec::new();
        for (position, word) in pattern.split(' ').enumerate() {
            if word.starts_with('$') {
                let value = text.split(' ').nth(position).unwrap_or_default();
                self.0.insert(word.to_owned(), value.to_owned());
            }
            words.push(if word.starts_with('$') { "*" } else { word });
        }
        words.join(" ")
    }
}

/// Whether the text matches the pattern, in which `*` stands for any characters or none.
pub fn matches(pattern: &str, text: &str) -> bool {
    match pattern.split_once('*') {
        None => pattern == text,
        Some((head, rest)) => text.strip_prefix(head).is_some_and(|after| {
            (0..=after.len())
                .any(|position| after.is_char_boundary(position) && matches(rest, &after[position..]))
        }),
    }
}
