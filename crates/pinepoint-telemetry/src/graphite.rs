//! Graphite's protocols: plaintext lines and pickled batches ("Feeding In Your Data", Graphite
//! documentation).
//!
//! This module encodes points into bytes and does no I/O.

use serde::Serialize;

use crate::schema::{MetricKind, Schema, Statistic};
use crate::snapshot::{Interval, Temporality};

/// The encoding of points.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// `PATH VALUE TIME` and a line feed.
    Plaintext,
    /// A length of four bytes, then a pickled list of `(path, (time, value))`.
    Pickle,
}

/// Maximum number of points in a pickled batch: a receiver reads a complete batch into memory.
const PICKLE_BATCH_POINTS: usize = 500;
/// Maximum size of a datagram, bytes: it fits into one Ethernet frame over IPv6.
const MAX_DATAGRAM_BYTES: usize = 1432;

/// A point as it is written.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Point<'a> {
    path: &'a str,
    /// Timestamp, Unix s.
    time_s: u64,
    value: Value,
}

/// The value of a point: counters have no fraction.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(untagged)]
enum Value {
    Integer(i64),
    Real(f64),
}

/// Encodes points of intervals of one schema.
#[derive(Clone, Copy, Debug)]
pub struct PointWriter<'a> {
    /// The encoding.
    pub encoding: Encoding,
    /// How counters and sums are reported.
    pub temporality: Temporality,
    /// The schema of the intervals.
    pub schema: &'a Schema,
    /// The path of each point of the schema, in order.
    pub paths: &'a [String],
}

impl PointWriter<'_> {
    /// Appends these points of an interval to `out`. Points without a value in the interval are left out.
    pub fn write(&self, out: &mut Vec<u8>, interval: &Interval, points: impl IntoIterator<Item = usize>) {
        let points = points.into_iter().filter_map(|point| self.point(interval, point));
        match self.encoding {
            Encoding::Plaintext => points.for_each(|point| write_line(out, point)),
            Encoding::Pickle => {
                let points: Vec<Point<'_>> = points.collect();
                points.chunks(PICKLE_BATCH_POINTS).for_each(|batch| write_pickle(out, batch));
            }
        }
    }

    fn point(&self, interval: &Interval, point: usize) -> Option<Point<'_>> {
        let value = interval.value(self.schema, self.temporality, point)?;
        let value = match self.schema.kind(point) {
            MetricKind::Counter | MetricKind::Statistic(Statistic::Count) => Value::Integer(value as i64),
            _ => Value::Real(value),
        };
        Some(Point { path: self.paths.get(point)?, time_s: interval.snapshot.slot_s, value })
    }
}

/// Appends a health check to `out`: a point whose only purpose is to be acknowledged.
pub fn write_probe(out: &mut Vec<u8>, encoding: Encoding, path: &str, time_s: u64) {
    let point = Point { path, time_s, value: Value::Integer(1) };
    match encoding {
        Encoding::Plaintext => write_line(out, point),
        Encoding::Pickle => write_pickle(out, &[point]),
    }
}

fn write_line(out: &mut Vec<u8>, point: Point<'_>) {
    let Point { path, time_s, value } = point;
    let line = match value {
        Value::Integer(n) => format!("{path} {n} {time_s}\n"),
        // The shortest text that is parsed as the same number, never with an exponent.
        Value::Real(n) => format!("{path} {n} {time_s}\n"),
    };
    out.extend_from_slice(line.as_bytes());
}

fn write_pickle(out: &mut Vec<u8>, batch: &[Point<'_>]) {
    let rows: Vec<(&str, (u64, Value))> =
        batch.iter().map(|point| (point.path, (point.time_s, point.value))).collect();
    // Protocol 2, which Python 2 reads as well. Serializing text and numbers cannot fail.
    let options = serde_pickle::SerOptions::new().proto_v2();
    if let Ok(bytes) = serde_pickle::to_vec(&rows, options) {
        out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        out.extend_from_slice(&bytes);
    }
}

/// Splits plaintext into datagrams of complete lines. A line longer than a datagram is sent alone.
pub fn datagrams(lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = lines;
    std::iter::from_fn(move || {
        let (datagram, left) = rest.split_at(datagram_end(rest));
        rest = left;
        (!datagram.is_empty()).then_some(datagram)
    })
}

/// The length of the first datagram of these lines, bytes.
fn datagram_end(lines: &[u8]) -> usize {
    if lines.len() <= MAX_DATAGRAM_BYTES {
        return lines.len();
    }
    let is_line_feed = |byte: &u8| *byte == b'\n';
    let last_that_fits = lines[..MAX_DATAGRAM_BYTES].iter().rposition(is_line_feed);
    let line_feed = last_that_fits.or_else(|| lines.iter().position(is_line_feed));
    line_feed.map_or(lines.len(), |index| index + 1)
}

#[cfg(test)]
mod tests;
