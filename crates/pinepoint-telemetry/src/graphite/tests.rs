use serde_pickle::Value;

use super::*;
use crate::metric_names::MetricNaming;
use crate::snapshot::Snapshot;

fn interval(schema: &Schema) -> Interval {
    let totals = (0..schema.counts()).map(|n| n as f64 * 3.0 + 0.25).collect();
    let previous_totals = (0..schema.counts()).map(|n| n as f64 + 0.25).collect();
    let gauges = (0..schema.gauges()).map(|n| n as f64 / 8.0).collect();
    let distributions =
        (0..schema.distributions()).map(|_| crate::distribution::Distribution::default()).collect();
    let snapshot = Snapshot {
        slot_s: 1_764_576_000,
        slots: 1,
        span_ms: (1000.0, 11_000.0),
        totals,
        gauges,
        distributions,
    };
    Interval { snapshot, previous_totals }
}

fn schema() -> (Schema, Vec<String>) {
    let schema = Schema::new(&["look".into()], &["pings"], &["hung"]);
    let paths = MetricNaming { prefix: "p".into(), host: "n1".into(), tags: false }.paths(&schema);
    (schema, paths)
}

fn written(encoding: Encoding) -> Vec<u8> {
    let (schema, paths) = schema();
    let mut out = Vec::new();
    let writer = PointWriter { encoding, temporality: Temporality::Delta, schema: &schema, paths: &paths };
    writer.write(&mut out, &interval(&schema), 0..schema.points());
    out
}

#[test]
fn writes_plaintext_lines() {
    let text = String::from_utf8(written(Encoding::Plaintext)).expect("text");
    assert!(text.contains("p.n1.class.look.read_again 2 1764576000\n"), "{text}");
    assert!(text.contains("p.n1.class.look.worth_served 24 1764576000\n"));
    assert!(text.contains("p.n1.class.look.open 0 1764576000\n"));
    assert!(text.contains("p.n1.state.held 0.125 1764576000\n"));
    assert!(text.contains("p.n1.telemetry.span_s 10 1764576000\n"));
    assert!(text.contains("p.n1.class.look.hold.count 0 1764576000\n"));
    assert!(!text.contains("hold.p99_ms"), "an empty distribution has no quantile");
    assert!(text.lines().all(|line| line.split(' ').count() == 3));
}

/// Decodes the batches like a receiver, without the types that they were encoded from.
#[test]
fn pickled_batches_equal_plaintext_lines() {
    let bytes = written(Encoding::Pickle);
    let (mut rest, mut points) = (bytes.as_slice(), Vec::new());
    while let Some((head, tail)) = rest.split_first_chunk::<4>() {
        let (batch, tail) = tail.split_at(u32::from_be_bytes(*head) as usize);
        rest = tail;
        assert_eq!(batch[..2], [0x80, 2], "protocol 2");
        let Value::List(rows) = serde_pickle::value_from_slice(batch, Default::default()).expect("a pickle")
        else {
            panic!("the batch is not a list");
        };
        points.extend(rows);
    }
    assert!(rest.is_empty());
    let text = String::from_utf8(written(Encoding::Plaintext)).expect("text");
    assert_eq!(points.len(), text.lines().count());
    for (point, line) in points.iter().zip(text.lines()) {
        let Value::Tuple(row) = point else { panic!("the point is not a tuple") };
        let [Value::String(path), Value::Tuple(time_and_value)] = row.as_slice() else {
            panic!("the point is not a path and a tuple")
        };
        let value = match &time_and_value[1] {
            Value::I64(n) => n.to_string(),
            Value::F64(n) => n.to_string(),
            other => panic!("{other:?}"),
        };
        assert_eq!(time_and_value[0], Value::I64(1_764_576_000));
        assert_eq!(format!("{path} {value} 1764576000"), line);
    }
}

#[test]
fn datagrams_contain_complete_lines() {
    let lines = written(Encoding::Plaintext);
    let parts: Vec<&[u8]> = datagrams(&lines).collect();
    assert!(parts.len() > 2);
    assert!(parts.iter().all(|part| part.len() <= MAX_DATAGRAM_BYTES && part.ends_with(b"\n")));
    assert_eq!(parts.concat(), lines);
    let long = [vec![b'x'; 3000], vec![b'\n'], b"a 1 2\n".to_vec()].concat();
    assert_eq!(datagrams(&long).map(<[u8]>::len).collect::<Vec<_>>(), [3001, 6]);
    assert_eq!(datagrams(b"").count(), 0);
}

#[test]
fn cumulative_temporality_writes_totals() {
    let (schema, paths) = schema();
    let mut out = Vec::new();
    let (encoding, temporality) = (Encoding::Plaintext, Temporality::Cumulative);
    let writer = PointWriter { encoding, temporality, schema: &schema, paths: &paths };
    writer.write(&mut out, &interval(&schema), [1]);
    assert_eq!(String::from_utf8_lossy(&out), "p.n1.class.look.read_again 3 1764576000\n");
}
