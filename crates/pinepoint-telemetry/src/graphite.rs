//! Graphite's protocols: plaintext lines and pickled batches ("Feeding In Your Data", Graphite documentation). It owns
//! their bytes; it must never know a socket.

use crate::schema::{Schema, Sort};
use crate::snapshot::{Counting, Interval};

/// Which of the protocols.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `PATH VALUE TIME` and a line feed.
    Plaintext,
    /// A length of four bytes, then a pickled list of `(path, (time, value))`.
    Pickle,
}

/// Points of one pickled batch: a receiver takes a whole batch into memory.
const BATCH: usize = 500;
/// Longest datagram, bytes: what fits into one Ethernet frame over IPv6.
const DATAGRAM_MOST: usize = 1432;

/// A point on its way: path, Unix s, value.
type Point<'a> = (&'a str, u64, Number);

/// A value as it is written: counts without a fraction.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Number {
    Whole(i64),
    Real(f64),
}

fn point<'a>(
    schema: &Schema,
    paths: &'a [String],
    interval: &Interval,
    counting: Counting,
    at: usize,
) -> Option<Point<'a>> {
    let value = interval.value(schema, counting, at)?;
    let number = match schema.sort(at) {
        Sort::Count | Sort::Part(crate::schema::Part::Count) => Number::Whole(value as i64),
        _ => Number::Real(value),
    };
    Some((paths.get(at)?, interval.snapshot.slot_s, number))
}

/// Writes these points of an interval; those that have no value in it are left out.
pub fn write(
    out: &mut Vec<u8>,
    form: Form,
    schema: &Schema,
    paths: &[String],
    interval: &Interval,
    counting: Counting,
    points: impl IntoIterator<Item = usize>,
) {
    let points = points.into_iter().filter_map(|at| point(schema, paths, interval, counting, at));
    match form {
        Form::Plaintext => points.for_each(|point| line(out, point)),
        Form::Pickle => {
            let points: Vec<Point<'_>> = points.collect();
            points.chunks(BATCH).for_each(|batch| pickle(out, batch));
        }
    }
}

/// A point that tells only that it arrived.
pub fn probe(out: &mut Vec<u8>, form: Form, path: &str, now_s: u64) {
    let point = (path, now_s, Number::Whole(1));
    match form {
        Form::Plaintext => line(out, point),
        Form::Pickle => pickle(out, &[point]),
    }
}

fn line(out: &mut Vec<u8>, (path, time, number): Point<'_>) {
    let text = match number {
        Number::Whole(n) => format!("{path} {n} {time}\n"),
        // The shortest text that is read back as the same number; never in the form of an exponent.
        Number::Real(n) => format!("{path} {n} {time}\n"),
    };
    out.extend_from_slice(text.as_bytes());
}

fn pickle(out: &mut Vec<u8>, batch: &[Point<'_>]) {
    #[derive(serde::Serialize)]
    #[serde(untagged)]
    enum Value {
        Whole(i64),
        Real(f64),
    }
    let rows: Vec<(&str, (u64, Value))> = batch
        .iter()
        .map(|(path, time, number)| {
            let value = match number {
                Number::Whole(n) => Value::Whole(*n),
                Number::Real(n) => Value::Real(*n),
            };
            (*path, (*time, value))
        })
        .collect();
    // Protocol 2, which Python 2 reads as well. Text and numbers are all there is, which cannot fail.
    let options = serde_pickle::SerOptions::new().proto_v2();
    if let Ok(bytes) = serde_pickle::to_vec(&rows, options) {
        out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        out.extend_from_slice(&bytes);
    }
}

/// Parts plaintext into datagrams of whole lines.
pub fn datagrams(lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = lines;
    std::iter::from_fn(move || {
        let most = rest.len().min(DATAGRAM_MOST);
        let end = if rest.len() <= most {
            most
        } else {
            // A line that is longer than a datagram goes out alone.
            let whole = rest[..most].iter().rposition(|b| *b == b'\n');
            let at = whole.or_else(|| rest.iter().position(|b| *b == b'\n'));
            at.map_or(rest.len(), |at| at + 1)
        };
        let (datagram, left) = rest.split_at(end);
        rest = left;
        (!datagram.is_empty()).then_some(datagram)
    })
}

#[cfg(test)]
mod tests;
