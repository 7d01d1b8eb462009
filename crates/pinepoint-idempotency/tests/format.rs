//! The format of stored records: bytes that an earlier build wrote are read back, and the same events still
//! write the same bytes.

use pinepoint_idempotency::clock::{ClockContinuity, ClockReading};
use pinepoint_idempotency::records::{
    Action, Attempt, Event, FailReason, IdempotencyRecords, Options, RecoveryReport, RunOutcome,
};

const TICKET: u64 = 1;

fn attempt() -> Attempt {
    Attempt {
        ticket: TICKET,
        key: b"key".to_vec(),
        caller: 300,
        digest: 0x0123_4567_89ab_cdef,
        first_sent_ms: 1.7e12,
        window_ms: 23_000.0,
    }
}

/// Tables and values that the events of one key write when its run ends with this outcome.
fn written_values(run_outcome: RunOutcome) -> Vec<(String, Vec<u8>)> {
    let (mut records, _) = IdempotencyRecords::open(
        Options::default(),
        1.7e12,
        ClockContinuity::Continuous { elapsed_ms: 0.0 },
        std::iter::empty(),
    );
    let mut out = Vec::new();
    records.handle(1.7e12, Event::Attempt(attempt()), &mut out);
    records.handle(1.7e12, Event::WriteCompleted { write: 1, is_durable: true }, &mut out);
    records.handle(1.7e12, Event::RunEnded { key: b"key".to_vec(), outcome: run_outcome }, &mut out);
    let changes = out.into_iter().filter_map(|action| match action {
        Action::WriteDurably { changes, .. } => Some(changes),
        _ => None,
    });
    changes.flatten().map(|change| (change.table, change.value.expect("a record"))).collect()
}

fn read_back(value: &[u8]) -> (IdempotencyRecords, RecoveryReport) {
    let entries = [(b"key".as_slice(), value)];
    IdempotencyRecords::open(
        Options::default(),
        1.7e12,
        ClockContinuity::Continuous { elapsed_ms: 0.0 },
        entries.into_iter(),
    )
}

/// The beginning of every record: caller and digest as varints, `first_sent_ms` and `window_ms` as
/// little-endian `f64`.
const RECORD_PREFIX: [u8; 27] = [
    172, 2, 239, 155, 175, 205, 248, 172, 209, 145, 1, 0, 0, 128, 86, 254, 188, 120, 66, 0, 0, 0, 0, 0, 118,
    214, 64,
];
const WITHOUT_OUTCOME: &[u8] = &[0];
const WITH_RESULT: &[u8] = &[1, 0, 6, b'r', b'e', b's', b'u', b'l', b't'];
const WITHOUT_RESULT: &[u8] = &[1, 1];
const NEVER_RAN: &[u8] = &[1, 2];

fn record(outcome: &[u8]) -> Vec<u8> {
    [&RECORD_PREFIX, outcome].concat()
}

#[test]
fn same_events_write_same_bytes_as_earlier_build() {
    let cases =
        [(RunOutcome::Completed(b"result".to_vec()), WITH_RESULT), (RunOutcome::NoResult, WITHOUT_RESULT)];
    for (run_outcome, outcome) in cases {
        let expected = [WITHOUT_OUTCOME, outcome].map(|outcome| ("ledger".to_owned(), record(outcome)));
        assert_eq!(written_values(run_outcome), expected);
    }
}

#[test]
fn reads_records_of_earlier_build() {
    let cases = [
        (WITHOUT_OUTCOME, Action::Fail { ticket: TICKET, reason: FailReason::MayHaveRun }),
        (WITH_RESULT, Action::Respond { ticket: TICKET, result: b"result".to_vec() }),
        (WITHOUT_RESULT, Action::Fail { ticket: TICKET, reason: FailReason::NoResult }),
        (NEVER_RAN, Action::Fail { ticket: TICKET, reason: FailReason::NoResult }),
    ];
    for (outcome, expected) in cases {
        let (mut records, report) = read_back(&record(outcome));
        assert_eq!((report.unreadable, report.rewritten.len()), (0, 0));
        let mut out = Vec::new();
        records.handle(1.7e12, Event::Attempt(attempt()), &mut out);
        assert_eq!(out, [expected]);
    }
}

#[test]
fn stored_clock_reading_keeps_its_bytes() {
    let reading = ClockReading { unix_ms: 1.7e12, boot_ms: 5000.0, boot_id: 300 };
    let bytes = [0, 0, 128, 86, 254, 188, 120, 66, 0, 0, 0, 0, 0, 136, 179, 64, 172, 2];
    assert_eq!(postcard::to_allocvec(&reading).as_deref(), Ok(bytes.as_slice()));
    assert_eq!(postcard::from_bytes(&bytes), Ok(reading));
}
