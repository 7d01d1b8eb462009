//! Names on their way out. It owns what a part of a name may hold and how long it may be: names of comparers, classes and
//! tags come from configurations and are never trusted to be a receiver's own syntax.

use xxhash_rust::xxh3::xxh3_64;

use crate::schema::{Schema, Scope};

/// Longest part of a name, bytes.
pub const PART_MOST: usize = 64;

/// A part of a name with nothing in it but letters, digits, hyphens and underscores. Whatever else it held becomes an
/// underscore. What had to be changed or cut gets a hash of the original behind it, so that two names stay two; a name
/// that is good already stays as it is.
pub fn clean(part: &str) -> String {
    let good = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !part.is_empty() && part.len() <= PART_MOST && part.chars().all(good) {
        return part.to_owned();
    }
    let kept = part.chars().map(|c| if good(c) { c } else { '_' }).take(PART_MOST - 9);
    format!("{}_{:08x}", kept.collect::<String>(), xxh3_64(part.as_bytes()) as u32)
}

/// The same for several parts with dots between them, such as a prefix; empty parts are left out.
pub fn clean_dotted(parts: &str) -> String {
    parts.split('.').filter(|part| !part.is_empty()).map(clean).collect::<Vec<_>>().join(".")
}

/// How the series of a process are named at Graphite.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Naming {
    /// What stands in front of all, with dots between its parts.
    pub prefix: String,
    /// This comparer.
    pub host: String,
    /// Class and host as tags behind a name that is the same for all.
    pub tags: bool,
}

impl Naming {
    /// The path of each point of the schema, in order, all of them different.
    ///
    /// Untagged `PREFIX.HOST.class.CLASS.STAT`, `PREFIX.HOST.node.STAT` and so on; tagged
    /// `PREFIX.class.STAT;class=CLASS;host=HOST` (Graphite's "Tag Support", tags in the order of their names).
    pub fn paths(&self, schema: &Schema) -> Vec<String> {
        let (prefix, host) = (clean_dotted(&self.prefix), clean(&self.host));
        let classes: Vec<String> = schema.classes().iter().map(|class| clean(class)).collect();
        let path = |at: usize| {
            let (scope, stat, _) = schema.point(at);
            let (area, class) = match scope {
                Scope::Class(class) => ("class", Some(classes[class].as_str())),
                Scope::Node => ("node", None),
                Scope::State => ("state", None),
                Scope::Module => ("module", None),
                Scope::Telemetry => ("telemetry", None),
            };
            let head = if prefix.is_empty() { String::new() } else { format!("{prefix}.") };
            match (self.tags, class) {
                (false, Some(class)) => format!("{head}{host}.{area}.{class}.{stat}"),
                (false, None) => format!("{head}{host}.{area}.{stat}"),
                (true, Some(class)) => format!("{head}{area}.{stat};class={class};host={host}"),
                (true, None) => format!("{head}{area}.{stat};host={host}"),
            }
        };
        (0..schema.points()).map(path).collect()
    }
}

#[cfg(test)]
mod tests;
