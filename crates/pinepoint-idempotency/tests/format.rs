//! The bytes of a stored record: what an earlier build wrote is read back, and the same events still write the same bytes.

use pinepoint_idempotency::ledger::{Action, End, Event, Failure, Ledger, Opened, Rules, Try};
use pinepoint_idempotency::time::{Gap, Mark};

const TICKET: u64 = 1;

fn attempt() -> Try {
    Try {
        ticket: TICKET,
        key: b"key".to_vec(),
        caller: 300,
        digest: 0x0123_4567_89ab_cdef,
        t0_ms: 1.7e12,
        window_ms: 23_000.0,
    }
}

/// Values that the events of one key write, by how its run ends.
fn written(end: End) -> Vec<(String, Vec<u8>)> {
    let (mut ledger, _) = Ledger::open(Rules::default(), 1.7e12, Gap::Known(0.0), std::iter::empty());
    let mut out = Vec::new();
    ledger.handle(1.7e12, Event::Try(attempt()), &mut out);
    ledger.handle(1.7e12, Event::Written(1, true), &mut out);
    ledger.handle(1.7e12, Event::Ended(b"key".to_vec(), end), &mut out);
    let changes = out.into_iter().filter_map(|action| match action {
        Action::Write(_, changes) => Some(changes),
        _ => None,
    });
    changes.flatten().map(|change| (change.table, change.value.expect("a record"))).collect()
}

fn read_back(value: &[u8]) -> (Ledger, Opened) {
    let entries = [(b"key".as_slice(), value)];
    Ledger::open(Rules::default(), 1.7e12, Gap::Known(0.0), entries.into_iter())
}

/// What every record begins with: caller and digest as varints, `t0_ms` and the window as `f64`, little endian.
const HEAD: [u8; 27] = [
    172, 2, 239, 155, 175, 205, 248, 172, 209, 145, 1, 0, 0, 128, 86, 254, 188, 120, 66, 0, 0, 0, 0, 0, 118,
    214, 64,
];
const WITHOUT_OUTCOME: &[u8] = &[0];
const WITH_RESULT: &[u8] = &[1, 0, 6, b'r', b'e', b's', b'u', b'l', b't'];
const WITHOUT_RESULT: &[u8] = &[1, 1];
const NEVER_RAN: &[u8] = &[1, 2];

fn record(outcome: &[u8]) -> Vec<u8> {
    [&HEAD, outcome].concat()
}

#[test]
fn the_same_events_write_the_same_bytes_as_an_earlier_build() {
    let cases = [(End::Whole(b"result".to_vec()), WITH_RESULT), (End::Without, WITHOUT_RESULT)];
    for (end, outcome) in cases {
        let expected = [WITHOUT_OUTCOME, outcome].map(|outcome| ("ledger".to_owned(), record(outcome)));
        assert_eq!(written(end), expected);
    }
}

#[test]
fn records_of_an_earlier_build_are_read_back() {
    let cases = [
        (WITHOUT_OUTCOME, Action::Fail(TICKET, Failure::MayHaveRun)),
        (WITH_RESULT, Action::Answer(TICKET, b"result".to_vec())),
        (WITHOUT_RESULT, Action::Fail(TICKET, Failure::WithoutResult)),
        (NEVER_RAN, Action::Fail(TICKET, Failure::WithoutResult)),
    ];
    for (outcome, expected) in cases {
        let (mut ledger, opened) = read_back(&record(outcome));
        assert_eq!((opened.unreadable, opened.anew.len()), (0, 0));
        let mut out = Vec::new();
        ledger.handle(1.7e12, Event::Try(attempt()), &mut out);
        assert_eq!(out, [expected]);
    }
}

#[test]
fn a_stored_time_mark_keeps_its_bytes() {
    let mark = Mark { unix_ms: 1.7e12, boot_ms: 5000.0, boot: 300 };
    let bytes = [0, 0, 128, 86, 254, 188, 120, 66, 0, 0, 0, 0, 0, 136, 179, 64, 172, 2];
    assert_eq!(postcard::to_allocvec(&mark).as_deref(), Ok(bytes.as_slice()));
    assert_eq!(postcard::from_bytes(&bytes), Ok(mark));
}
