//! Names of metrics as receivers see them.
//!
//! Names of hosts, classes and prefixes come from configurations. They are sanitized and bounded here, so
//! that no name can be mistaken for the syntax of a receiver's protocol.

use xxhash_rust::xxh3::xxh3_64;

use crate::schema::{MetricDescriptor, Schema, Scope};

/// The longest component of a name, bytes.
pub const MAX_COMPONENT_BYTES: usize = 64;
/// Bytes of the suffix that keeps changed components distinct: an underscore and eight hexadecimal digits.
const HASH_SUFFIX_BYTES: usize = 9;

/// Turns a text into a component of a name, which has only letters, digits, hyphens and underscores.
///
/// A valid component is returned unchanged. In any other, invalid characters become underscores, the length
/// is bounded by [`MAX_COMPONENT_BYTES`], and a hash of the original is appended so that different names stay
/// different.
pub fn sanitize(component: &str) -> String {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !component.is_empty() && component.len() <= MAX_COMPONENT_BYTES && component.chars().all(is_valid) {
        return component.to_owned();
    }
    let replaced = component.chars().map(|c| if is_valid(c) { c } else { '_' });
    let bounded: String = replaced.take(MAX_COMPONENT_BYTES - HASH_SUFFIX_BYTES).collect();
    format!("{bounded}_{:08x}", xxh3_64(component.as_bytes()) as u32)
}

/// Several components with dots between them, such as a prefix, each sanitized; empty components are left
/// out.
pub fn sanitize_dotted(components: &str) -> String {
    let components = components.split('.').filter(|component| !component.is_empty());
    components.map(sanitize).collect::<Vec<_>>().join(".")
}

/// How the metrics of a process are named at Graphite.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricNaming {
    /// The prefix of all paths, with dots between its components; may be empty.
    pub prefix: String,
    /// The name of this host.
    pub host: String,
    /// Whether class and host become tags after a name that is the same on all hosts.
    pub tags: bool,
}

impl MetricNaming {
    /// The path of each point of the schema, in order, all of them different.
    ///
    /// Untagged `PREFIX.HOST.class.CLASS.STAT`, `PREFIX.HOST.node.STAT` and so on; tagged
    /// `PREFIX.class.STAT;class=CLASS;host=HOST` (Graphite's "Tag Support", tags in the order of their
    /// names).
    pub fn paths(&self, schema: &Schema) -> Vec<String> {
        let (prefix, host) = (sanitize_dotted(&self.prefix), sanitize(&self.host));
        let head = if prefix.is_empty() { String::new() } else { format!("{prefix}.") };
        let classes: Vec<String> = schema.classes().iter().map(|class| sanitize(class)).collect();
        let path = |point: usize| {
            let MetricDescriptor { scope, stat, .. } = schema.describe(point);
            let area = scope.area();
            let class = match scope {
                Scope::Class(class) => Some(classes[class].as_str()),
                _ => None,
            };
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
