//! The points that a Graphite receiver has read from plaintext lines and pickled batches, by path and time.

use std::collections::{BTreeMap, HashMap};

use serde_pickle::{DeOptions, Value};

use super::Protocol;

/// Maximum size of a batch, bytes.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Size of the length prefix of a pickled batch, bytes.
const LENGTH_BYTES: usize = 4;

/// The points read by a receiver.
#[derive(Clone, Debug, Default)]
pub struct Points {
    /// Values by path and time; the time is in Unix s.
    pub values: HashMap<String, BTreeMap<u64, f64>>,
    /// Number of points received again with a different value.
    pub conflicting: u64,
    /// Number of lines, batches and points that could not be parsed.
    pub malformed: u64,
    /// Number of accepted connections.
    pub connections: u64,
}

impl Points {
    /// The sum of all values of a path.
    pub fn sum(&self, path: &str) -> f64 {
        self.values.get(path).map_or(0.0, |times| times.values().sum())
    }

    /// Adds the points of another receiver. A point with the same path and time counts once.
    pub fn merge(&mut self, other: &Points) {
        for (path, times) in &other.values {
            for (time, value) in times {
                self.insert(path, *time, *value);
            }
        }
        self.malformed += other.malformed;
        self.conflicting += other.conflicting;
    }

    fn insert(&mut self, path: &str, time: u64, value: f64) {
        let previous = self.values.entry(path.to_owned()).or_default().insert(time, value);
        self.conflicting += u64::from(previous.is_some_and(|previous| previous != value));
    }

    /// Removes all complete lines or batches from the front of `input` and adds their points.
    pub(super) fn read(&mut self, protocol: Protocol, input: &mut Vec<u8>) {
        match protocol {
            Protocol::Plaintext => self.read_lines(input),
            Protocol::Pickle => self.read_batches(input),
        }
    }

    fn read_lines(&mut self, input: &mut Vec<u8>) {
        while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = input.drain(..=end).collect();
            match parse_line(&line) {
                Some((path, time, value)) => self.insert(path, time, value),
                None => self.malformed += 1,
            }
        }
    }

    fn read_batches(&mut self, input: &mut Vec<u8>) {
        while let Some(head) = input.first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*head) as usize;
            if length > MAX_BATCH_BYTES {
                self.malformed += 1;
                input.clear();
                return;
            }
            let end = LENGTH_BYTES + length;
            let Some(batch) = input.get(LENGTH_BYTES..end) else { return };
            let batch = batch.to_vec();
            input.drain(..end);
            self.read_batch(&batch);
        }
    }

    /// Reads a batch: a list of `(path, (time, value))`.
    fn read_batch(&mut self, batch: &[u8]) {
        let Ok(Value::List(rows)) = serde_pickle::value_from_slice(batch, DeOptions::new()) else {
            self.malformed += 1;
            return;
        };
        for row in rows {
            let Value::Tuple(row) = row else { return self.malformed += 1 };
            let [Value::String(path), Value::Tuple(point)] = row.as_slice() else {
                return self.malformed += 1;
            };
            match point.as_slice() {
                [Value::I64(time), Value::I64(value)] => self.insert(path, *time as u64, *value as f64),
                [Value::I64(time), Value::F64(value)] => self.insert(path, *time as u64, *value),
                _ => self.malformed += 1,
            }
        }
    }
}

/// Parses a line `path value time`.
fn parse_line(line: &[u8]) -> Option<(&str, u64, f64)> {
    let text = std::str::from_utf8(line).ok()?;
    let mut words = text.trim_end().split(' ');
    let (path, value, time) = (words.next()?, words.next()?, words.next()?);
    if path.is_empty() || words.next().is_some() {
        return None;
    }
    Some((path, time.parse().ok()?, value.parse().ok()?))
}
