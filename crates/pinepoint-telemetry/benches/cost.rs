//! What telemetry costs: a event, a cut, the bytes of an interval in each protocol, the decisions of a delivery.

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
    let class = Class { aim_ms: 900.0, aim_stretch: 0.0, worth: 1.0, late_worth: 0.2, worth_without: 0.3 };
    Accounts::new(schema(), vec![class; 3], true)
}

/// The facts of a request that makes one call.
fn life(n: u32) -> [RequestEvent; 7] {
    let ms = f64::from(n % 977);
    let kinds = [
        RequestEventKind::Received {
            protocol: Protocol::Rpc,
            retry: false,
            hint_ms: Some(ms),
            read_delay_ms: 0.1,
        },
        RequestEventKind::Decided(Decision::Run),
        RequestEventKind::RunStarted { queue_wait_ms: ms },
        RequestEventKind::CallStarted,
        RequestEventKind::CallEnded { end: CallOutcome::Done, called_ms: ms / 4.0 },
        RequestEventKind::RunEnded { end: RunOutcome::Complete, ran_ms: ms * 2.0 },
        RequestEventKind::Answered {
            answer: Answer::Served { deduplicated: false, degraded: false },
            hint_ms: Some(ms),
            took_ms: ms * 3.0,
        },
    ];
    kinds.map(|kind| RequestEvent { id: n, class: n as usize % 3, kind })
}

/// Seven facts, a request's whole life.
#[divan::bench]
fn facts_of_one_request(bencher: Bencher) {
    let mut accounts = accounts();
    let mut n = 0;
    bencher.bench_local(|| {
        n += 1;
        life(n).iter().for_each(|event| accounts.note(black_box(event)));
    });
}

fn busy() -> Accounts {
    let mut accounts = accounts();
    (0..3000).for_each(|n| life(n).iter().for_each(|event| accounts.note(event)));
    accounts
}

/// A snapshot after 3,000 requests, the counting of which is not measured.
#[divan::bench]
fn cut_of_a_busy_interval(bencher: Bencher) {
    bencher.with_inputs(busy).bench_local_values(|mut accounts| accounts.cut());
}

fn snapshot(slot_s: u64) -> Snapshot {
    let (totals, dists) = busy().cut();
    let gauges = vec![1.5; schema().gauges()].into();
    Snapshot { slot_s, slots: 1, span_ms: (0.0, 10_000.0), totals, gauges, dists }
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

/// From an interval to its receipts, with so many receivers.
#[divan::bench(args = [1, 3, 10])]
fn decisions_for_an_interval(bencher: Bencher, receivers: usize) {
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
    let paths: Rc<[String]> =
        MetricNaming { prefix: "pinepoint".into(), host: "n1".into(), tags: false }.paths(&schema).into();
    let names: Vec<String> = (0..receivers).map(|n| format!("10.0.0.{n}:2003")).collect();
    let base = vec![0.0; schema.counts()].into();
    let mut delivery = Delivery::new(config, &names, paths, base, 1);
    let (model, mut now) = (snapshot(0), 0.0);
    bencher.bench_local(|| {
        now += 10_000.0;
        let (mut events, mut out) =
            (vec![Event::IntervalEnded(Snapshot { slot_s: now as u64, ..model.clone() })], Vec::new());
        while let Some(event) = events.pop() {
            delivery.handle(now, event, &mut out);
            for action in out.drain(..) {
                match action {
                    Action::Connect { connection } => events.push(Event::Connected { connection }),
                    Action::Send { connection, sequence, .. } => {
                        events.push(Event::Acknowledged { connection, up_to: sequence, closed: false });
                    }
                    _ => {}
                }
            }
        }
        // What was held back for its spread.
        delivery.handle(now + 1.0, Event::Tick, &mut out);
        for action in out.drain(..) {
            if let Action::Send { connection, sequence, .. } = action {
                events.push(Event::Acknowledged { connection, up_to: sequence, closed: false });
            }
        }
        events.drain(..).for_each(|event| delivery.handle(now + 1.0, event, &mut Vec::new()));
    });
    assert!(delivery.stats().backlog_intervals <= 1, "{:?}", delivery.stats());
}

/// A ring of ten, and the order of one path on it.
#[divan::bench]
fn ring_of_ten(bencher: Bencher) {
    let names: Vec<String> = (0..10).map(|n| format!("10.0.0.{n}:2003")).collect();
    bencher.bench_local(|| {
        HashRing::new(names.iter().enumerate().map(|(slot, name)| (slot as u8, name.as_str())))
    });
}

#[divan::bench]
fn preference_of_a_path(bencher: Bencher) {
    let names: Vec<String> = (0..10).map(|n| format!("10.0.0.{n}:2003")).collect();
    let ring = HashRing::new(names.iter().enumerate().map(|(slot, name)| (slot as u8, name.as_str())));
    bencher.bench_local(|| ring.preference(black_box("pinepoint.n1.class.report-view.total.p99_ms")));
}
