//! The checks of the test tool can fail: servers that are wrong on purpose break its rules, and a blocked stream stands.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use pinepoint_lab::fault_proxy::{Direction, Endpoint, FaultProxy};
use pinepoint_lab::load::RequestClass;
use pinepoint_lab::routers::{Routers, Workload};
use pinepoint_lab::simulated_engine::EngineControl;
use rmpv::Value;

/// How long anything is waited for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}: not in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A server that answers each request with the errors that `answer` returns for its body, each in an answer of its own.
fn wrong_server(answer: impl Fn(&str) -> Vec<Value> + Send + Sync + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                while let Ok(message) = rmpv::decode::read_value(&mut stream) {
                    let parts = message.as_array().expect("a request");
                    let body = parts[3].as_array().expect("its parameters")[1].as_slice().expect("a body");
                    for error in answer(&String::from_utf8_lossy(body)) {
                        let result = Value::from("result");
                        let reply = Value::Array(vec![1.into(), parts[1].clone(), error, result]);
                        let mut bytes = Vec::new();
                        rmpv::encode::write_value(&mut bytes, &reply).expect("encoded");
                        let _ = stream.write_all(&bytes);
                    }
                }
            });
        }
    });
    address
}

fn workload(keyed: bool) -> Workload {
    let name = if keyed { "thesis-submit" } else { "quick-match" };
    let classes = vec![RequestClass { name, share: 1.0, work_ms: 5.0, keyed, calls: false }];
    Workload { classes, rate: 50.0, routers: 2, retry_keyed: false, seed: 3 }
}

fn busy() -> Value {
    Value::Array(vec!["Busy".into()])
}

#[test]
fn right_answers_break_no_rule_and_the_sums_come_out() {
    let address = wrong_server(|body| vec![if body.contains("n7") { busy() } else { Value::Nil }]);
    let routers =
        Routers::start(workload(false), vec![address], vec![EngineControl::default()]).expect("started");
    wait_until("a hundred are served", || routers.stats().all().served >= 100);
    routers.set_rate(0.0);
    wait_until("all have ended", || routers.stats().in_flight == 0);
    let all = routers.stats().all();
    let broken = routers.stats().violations.clone();
    assert!(broken.is_empty(), "{broken:?}");
    assert_eq!(all.requests, all.served + all.rejected + all.failed + all.lost, "{all:?}");
    assert!(all.rejected >= 1 && all.attempts > all.requests, "{all:?}");
    assert!(all.weight_served > 0.0 && all.weight_served <= all.weight_requested, "{all:?}");
}

#[test]
fn a_second_answer_is_seen() {
    let address = wrong_server(|_| vec![Value::Nil, Value::Nil]);
    let routers =
        Routers::start(workload(false), vec![address], vec![EngineControl::default()]).expect("started");
    wait_until("a broken rule", || {
        routers.stats().violations.iter().any(|rule| rule.contains("second answer"))
    });
}

#[test]
fn no_answer_is_seen_unless_a_script_stopped_who_owes_it() {
    let silent = || wrong_server(|_| Vec::new());
    let routers =
        Routers::start(workload(false), vec![silent()], vec![EngineControl::default()]).expect("started");
    let excused =
        Routers::start(workload(false), vec![silent()], vec![EngineControl::default()]).expect("started");
    excused.stats().excused.insert(0);
    wait_until("a broken rule", || routers.stats().violations.iter().any(|rule| rule.contains("no answer")));
    wait_until("some are lost", || excused.stats().all().lost > 0);
    assert!(excused.stats().violations.is_empty());
}

#[test]
fn busy_told_of_a_key_that_has_run_is_seen() {
    let control = EngineControl::default();
    let engine = control.clone();
    let address = wrong_server(move |body| {
        *engine.state().started.entry(body.to_owned()).or_default() += 1;
        vec![busy()]
    });
    let routers = Routers::start(workload(true), vec![address], vec![control]).expect("started");
    wait_until("a broken rule", || routers.stats().violations.iter().any(|rule| rule.contains("Busy sent")));
}

#[test]
fn a_stream_that_is_cut_stands_and_comes_whole_once_it_is_healed() {
    let store = TcpListener::bind("127.0.0.1:0").expect("a port");
    let proxy = FaultProxy::start(Vec::new(), 1).expect("a switch");
    let (one, other) = (Endpoint::Member(0), Endpoint::Store);
    let far = store.local_addr().expect("bound");
    let at = proxy.stream(one, other, far, || true).expect("a way");
    let mut near = TcpStream::connect(at).expect("connected");
    near.write_all(b"a").expect("sent");
    let (mut served, _) = store.accept().expect("accepted");
    served.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
    let mut first = [0];
    served.read_exact(&mut first).expect("it comes");
    proxy.faults().blocked.insert(Direction::new(one, other));
    near.write_all(b"bcd").expect("sent");
    let mut got = [0; 3];
    assert!(served.read(&mut got).is_err(), "nothing goes over a way that is cut");
    served.write_all(b"back").expect("sent");
    let mut back = [0; 4];
    near.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    near.read_exact(&mut back).expect("the other direction goes");
    proxy.faults().blocked.clear();
    served.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    served.read_exact(&mut got).expect("it comes");
    assert_eq!((&got, &back), (b"bcd", b"back"));
    drop(near);
    assert_eq!(served.read(&mut got).expect("its end"), 0, "and its end is told");
}
