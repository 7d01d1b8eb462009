//! The language of scenarios, for the tests of one process and for the test cluster alike: lines of `ACTOR VERB WORDS`,
//! variables that are captured from what was received, and patterns. It owns how a line is parsed; what an actor does with
//! a verb is its user's.
//!
//! Empty lines and comments, which begin with `#`, are skipped. `$name` stands for what was captured under that name.
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
    /// Who acts.
    pub actor: &'a str,
    /// What it does; empty if the line has but one word.
    pub verb: &'a str,
    /// The rest.
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

/// Values of variables, whose names begin with `$`.
#[derive(Clone, Debug, Default)]
pub struct Bindings(HashMap<String, String>);

impl Bindings {
    /// The text with each known variable replaced by its value.
    pub fn substitute(&self, text: &str) -> String {
        self.0.iter().fold(text.to_owned(), |text, (name, value)| text.replace(name, value))
    }

    /// Captures each variable of the pattern from the word of the text in its place; returns the pattern with `*` in the
    /// place of variables.
    pub fn capture(&mut self, pattern: &str, text: &str) -> String {
        let mut words = Vec::new();
        for (at, word) in pattern.split(' ').enumerate() {
            if word.starts_with('$') {
                let value = text.split(' ').nth(at).unwrap_or_default();
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
            (0..=after.len()).any(|at| after.is_char_boundary(at) && matches(rest, &after[at..]))
        }),
    }
}
