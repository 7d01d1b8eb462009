//! The cost of telemetry: counting an event, ending an interval, encoding it for each protocol, and
//! delivering it.

use std::rc::Rc;

use divan::{Bencher, black_box};
use pinepoint_events::{Answer, CallOutcome, Decision, Protocol, RequestEvent, RequestEventKind, RunOutcome};
use pinepoint_telemetry::accounts::{Accounts, Class};
use pinepoint_telemetry::circuit_breaker;
use pinepoint_telemetry::collectd::{Credentials, PacketSecurity, ValueLists};
use pinepoint_telemetry::config::Types;
use pinepoint_telemetry::delivery::{AckMode, Action, Delivery, DeliveryConfig, Event, MinProgress};
use pinepoint_telemetry::graphite::{Encoding, PointWriter};
use pinepoint_telemetry::hash_ring::HashRing;
use pinepoint_telemetry::metric_names::MetricNaming;
use pinepoint_telemetry::schema::Schema;
use pinepoint_telemetry::snapshot::{Interval, Snapshot, Temporality};
use pinepoint_telemetry::spool::Bounds;

fn main() {
    divan::main();
}

fn schema() -> Rc<Schema> {
    let names = ["quick-match", "report-view", "thesis-submit"].map(str::to_owned);
    let node: Vec<&'static str> = (0..31).map(|n| &*format!("counter{n}").leak()).collect();
    let module: Vec<&'static str> = (0..13).map(|n| &*format!("figure{n}").leak()).collect();
    Rc::new(Schema::new(&names, &node, &module))
}

fn accounts() -> Accounts {
    let class = Class {
        latency_objective_ms: 900.0,
        objective_per_work: 0.0,
        weight: 1.0,
        late_weight: 0.2,
        weight_without_call: 0.3,
    };
    Accounts::new(schema(), vec![class; 3], true)
}

/// The events of a request with one downstream call.
fn request_events(n: u32) -> [RequestEvent; 7] {
    let ms = f64::from(n % 977);
    let kinds = [
        RequestEventKind::Received {
            protocol: Protocol::Rpc,
            retry: false,
            work_hint_ms: Some(ms),
            read_delay_ms: 0.1,
        },
        RequestEventKind::Decided(Decision::Run),
        RequestEventKind::RunStarted { queue_wait_ms: ms },
        RequestEventKind::CallStarted,
        RequestEventKind::CallEnded { outcome: CallOutcome::Done, duration_ms: ms / 4.0 },
        RequestEventKind::RunEnded { outcome: RunOutcome::Complete, duration_ms: ms * 2.0 },
        RequestEventKind::Answered {
            answer: Answer::Served { deduplicated: false, degraded: false },
            work_hint_ms: Some(ms),
            took_ms: ms * 3.0,
        },
    ];
    kinds.map(|kind| RequestEvent { id: n, class: n as usize % 3, kind })
}

/// All seven events of a request.
#[divan::bench]
fn events_of_one_request(bencher: Bencher) {
    let mut accounts = accounts();
    let mut n = 0;
    bencher.bench_local(|| {
        n += 1;
        request_events(n).iter().for_each(|event| accounts.record(black_box(event)));
    });
}

fn busy() -> Accounts {
    let mut accounts = accounts();
    (0..3000).for_each(|n| request_events(n).iter().for_each(|event| accounts.record(event)));
    accounts
}

/// Ending an interval after 3,000 requests; counting the requests is not measured.
#[divan::bench]
fn cut_of_a_busy_interval(bencher: Bencher) {
    bencher.with_inputs(busy).bench_local_values(|mut accounts| accounts.end_interval());
}

fn snapshot(slot_s: u64) -> Snapshot {
    let (totals, distributions) = busy().end_interval();
    let gauges = vec![1.5; schema().gauges()].into();
    Snapshot { slot_s, slots: 1, span_ms: (0.0, 10_000.0), totals, gauges, distributions }
}

fn interval() -> Interval {
    let previous_totals = vec![0.0; schema().counts()].into();
    Interval { snapshot: snapshot(1_764_576_000), previous_totals }
}

#[divan::bench(args = [Encoding::Plaintext, Encoding::Pickle])]
fn bytes_for_graphite(bencher: Bencher, encoding: &Encoding) {
    let (schema, interval) = (schema(), interval());
    let paths = MetricNaming { prefix: "pinepoint".into(), host: "n1".into(), tags: false }.paths(&schema);
    let (encoding, temporality) = (*encoding, Temporality::Delta);
    let writer = PointWriter { encoding, temporality, schema: &schema, paths: &paths };
    bencher.bench_local(|| {
        let mut out = Vec::new();
        writer.write(&mut out, &interval, 0..schema.points());
        out
    });
}

#[divan::bench(args = ["none", "signed", "encrypted"])]
fn bytes_for_collectd(bencher: Bencher, name: &str) {
    let secret = || Credentials { user: "pine".into(), password: "point".into() };
    let security = match name {
        "signed" => PacketSecurity::Signed(secret()),
        "encrypted" => PacketSecurity::Encrypted(secret()),
        _ => PacketSecurity::None,
    };
    let (schema, interval) = (schema(), interval());
    let lists = ValueLists::new(&schema, "n1", 10_000.0, Types::Standard);
    bencher.bench_local(|| {
        let packets = lists.packets(&schema, &interval, 0..lists.len(), &security);
        packets.into_iter().map(|packet| security.seal(packet, [7; 16])).collect::<Vec<_>>()
    });
}

/// A delivery to receivers that acknowledge each message, without delays.
fn delivery(receivers: usize) -> Delivery {
    let config = DeliveryConfig {
        spool: Bounds { bytes: 1 << 20, age_ms: 1e9, window: 16 },
        circuit_breaker: circuit_breaker::Config::default(),
        ack_mode: AckMode::Inline,
        replication: 1,
        ack_interval_ms: 60_000.0,
        connect_timeout_ms: 3000.0,
        ack_timeout_ms: 15_000.0,
        min_progress: MinProgress { bytes: 256, period_ms: 5000.0 },
        max_lag_ms: 60_000.0,
        max_reconnect_pause_ms: 0.0,
        max_send_delay_ms: 0.0,
    };
    let schema = schema();
    let naming = MetricNaming { prefix: "pinepoint".into(), host: "n1".into(), tags: false };
    let base_totals = vec![0.0; schema.counts()].into();
    Delivery::new(config, &receiver_names(receivers), naming.paths(&schema).into(), base_totals, 1)
}

fn receiver_names(receivers: usize) -> Vec<String> {
    (0..receivers).map(|n| format!("10.0.0.{n}:2003")).collect()
}

/// Handles an event and the resulting actions: connections are established and messages acknowledged at once.
fn handle(delivery: &mut Delivery, now: f64, event: Event) {
    let mut events = vec![event];
    let mut actions = Vec::new();
    while let Some(event) = events.pop() {
        delivery.handle(now, event, &mut actions);
        events.extend(actions.drain(..).filter_map(answer));
    }
}

/// The event that answers an action.
fn answer(action: Action) -> Option<Event> {
    match action {
        Action::Connect { connection } => Some(Event::Connected { connection }),
        Action::Send { connection, sequence, .. } => {
            Some(Event::Acknowledged { connection, up_to: sequence, closed: false })
        }
        _ => None,
    }
}

/// From the end of an interval to its acknowledgements, with this number of receivers.
#[divan::bench(args = [1, 3, 10])]
fn decisions_for_an_interval(bencher: Bencher, receivers: usize) {
    let mut delivery = delivery(receivers);
    let (model, mut now) = (snapshot(0), 0.0);
    bencher.bench_local(|| {
        now += 10_000.0;
        let snapshot = Snapshot { slot_s: now as u64, ..model.clone() };
        handle(&mut delivery, now, Event::IntervalEnded(snapshot));
        // Sends the interval that was delayed.
        handle(&mut delivery, now + 1.0, Event::Tick);
    });
    assert!(delivery.stats().backlog_intervals <= 1, "{:?}", delivery.stats());
}

/// Building a ring of ten receivers.
#[divan::bench]
fn ring_of_ten(bencher: Bencher) {
    let names = receiver_names(10);
    bencher.bench_local(|| {
        HashRing::new(names.iter().enumerate().map(|(slot, name)| (slot as u8, name.as_str())))
    });
}

/// The order in which one path prefers ten receivers.
#[divan::bench]
fn preference_of_a_path(bencher: Bencher) {
    let names = receiver_names(10);
    let ring = HashRing::new(names.iter().enumerate().map(|(slot, name)| (slot as u8, name.as_str())));
    bencher.bench_local(|| ring.preference(black_box("pinepoint.n1.class.report-view.total.p99_ms")));
}
