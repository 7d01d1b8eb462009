use pinepoint_events::{FailureReason, Protocol, RejectReason};

use super::*;
use crate::schema::Scope;

fn accounts(weight_by_work: bool) -> Accounts {
    let schema = Schema::new(&["look".into(), "write".into()], &[], &[]);
    let class = Class {
        latency_objective_ms: 900.0,
        objective_per_work: 0.0,
        weight: 1.0,
        late_weight: 0.2,
        weight_without_call: 0.3,
    };
    Accounts::new(Rc::new(schema), vec![class, Class { weight: 3.0, ..class }], weight_by_work)
}

fn event(class: usize, kind: RequestEventKind) -> RequestEvent {
    RequestEvent { id: 1, class, kind }
}

fn received(work_hint_ms: Option<f64>) -> RequestEventKind {
    RequestEventKind::Received { protocol: Protocol::Rpc, retry: true, work_hint_ms, read_delay_ms: 0.0 }
}

fn served(took_ms: f64, degraded: bool, work_hint_ms: Option<f64>) -> RequestEventKind {
    RequestEventKind::Answered {
        answer: Answer::Served { deduplicated: false, degraded },
        work_hint_ms,
        took_ms,
    }
}

#[test]
fn weight_served_depends_on_lateness_and_degradation() {
    let mut accounts = accounts(false);
    for kind in [served(900.0, false, None), served(901.0, false, None), served(5.0, true, None)] {
        accounts.record(&event(1, received(None)));
        accounts.record(&event(1, kind));
    }
    let total = |counter| accounts.totals[accounts.schema.class_counter(1, counter)];
    assert_eq!(
        (
            total(ClassCounter::WeightReceived),
            total(ClassCounter::ServedWithinObjective),
            total(ClassCounter::ServedLate)
        ),
        (9.0, 2.0, 1.0)
    );
    assert!((total(ClassCounter::WeightServed) - (3.0 + 0.6 + 0.9)).abs() < 1e-9);
}

#[test]
fn weight_by_work_uses_mean_hint_for_requests_without_one() {
    let mut accounts = accounts(true);
    for hint in [Some(100.0), Some(300.0), None] {
        accounts.record(&event(0, received(hint)));
    }
    let weight_received = accounts.totals[accounts.schema.class_counter(0, ClassCounter::WeightReceived)];
    assert!((weight_received - 0.6).abs() < 1e-9, "{weight_received}");
}

#[test]
fn accounting_error_shows_missed_and_duplicate_events() {
    let mut accounts = accounts(false);
    let ends = [
        served(10.0, false, None),
        RequestEventKind::Answered {
            answer: Answer::Rejected(RejectReason::Stalled),
            work_hint_ms: None,
            took_ms: 1.0,
        },
        RequestEventKind::Answered {
            answer: Answer::Failed(FailureReason::RunFailed),
            work_hint_ms: None,
            took_ms: 1.0,
        },
        RequestEventKind::DeadlineExceeded { reason: FailureReason::DeadlineExceeded, took_ms: 1.0 },
        RequestEventKind::CallerGone { took_ms: 1.0 },
    ];
    for kind in ends {
        accounts.record(&event(0, received(None)));
        accounts.record(&event(0, kind));
    }
    accounts.record(&event(1, received(None)));
    let state = CoreState { open: vec![0, 1], ..CoreState::default() };
    assert_eq!(accounts.accounting_error(&state), 0.0);
    assert_eq!(
        accounts.accounting_error(&CoreState { open: vec![0, 0], ..CoreState::default() }),
        1.0,
        "the end of a request was missed"
    );
    accounts.record(&event(1, RequestEventKind::CallerGone { took_ms: 1.0 }));
    assert_eq!(
        accounts.accounting_error(&state),
        1.0,
        "the request ended, and the core still counts it as open"
    );
    accounts.record(&event(7, received(None)));
    assert_eq!(accounts.accounting_error(&state), 1.0, "an event of an unknown class is ignored");
}

#[test]
fn added_classes_keep_counts_and_share_series_by_name() {
    let mut accounts = accounts(false);
    let total = |accounts: &Accounts, name: &str, stat: &str| {
        let (totals, _) = accounts.clone().end_interval();
        let is_named = |point: &usize| {
            let metric = accounts.schema.describe(*point);
            let of_class =
                |class| metric.scope == Scope::Class(class) && accounts.schema.classes()[class] == name;
            metric.stat == stat && (0..accounts.schema.classes().len()).any(of_class)
        };
        totals[(0..accounts.schema.counts()).find(is_named).expect("a metric")]
    };
    accounts.record(&event(0, received(None)));
    accounts.record(&event(1, received(None)));
    accounts.set(accounts.schema.log_lines_left_out(), &[7]);
    let names = ["look".into(), "write".into(), "more".into()];
    let schema = Rc::new(accounts.schema.with_classes(&names));
    let class = accounts.classes[0];
    let heavier = Class { weight: 5.0, ..class };
    accounts.set_classes(schema, vec![class, class, heavier, heavier], vec![0, 1, 2, 1], false);
    for class in [0, 2, 2, 3] {
        accounts.record(&event(class, received(None)));
        accounts.record(&event(class, RequestEventKind::RunStarted { queue_wait_ms: 1.0 }));
    }
    let reads = ["look", "write", "more"].map(|name| total(&accounts, name, "read"));
    assert_eq!(reads, [2.0, 2.0, 2.0]);
    assert_eq!(total(&accounts, "write", "worth_asked"), 3.0 + 5.0, "each class counts by its own weight");
    assert_eq!(accounts.totals[accounts.schema.log_lines_left_out()], 7.0);
    let state = CoreState { open: vec![2, 1, 2, 1], ..CoreState::default() };
    assert_eq!((accounts.open_by_class(&state), accounts.accounting_error(&state)), (vec![2, 2, 2], 0.0));
}

#[test]
fn end_of_interval_keeps_totals_and_clears_distributions() {
    let mut accounts = accounts(false);
    accounts.record(&event(0, RequestEventKind::RunStarted { queue_wait_ms: 12.0 }));
    let (totals, distributions) = accounts.end_interval();
    assert_eq!(totals[accounts.schema.class_counter(0, ClassCounter::RunsStarted)], 1.0);
    assert_ne!(distributions[0], Distribution::default());
    let (totals, distributions) = accounts.end_interval();
    assert_eq!(totals[accounts.schema.class_counter(0, ClassCounter::RunsStarted)], 1.0);
    assert_eq!(distributions[0], Distribution::default());
}
