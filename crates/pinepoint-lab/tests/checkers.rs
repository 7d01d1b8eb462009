//! Tests of the test tool's own checks: the routers detect the violations of deliberately faulty servers, and
//! the fault proxy blocks and resumes a stream.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use pinepoint_lab::fault_proxy::{Direction, Endpoint, FaultProxy};
use pinepoint_lab::load::RequestClass;
use pinepoint_lab::routers::{Routers, Workload};
use pinepoint_lab::simulated_engine::EngineControl;
use rmpv::Value;

/// Timeout of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn wait_until(event: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {event}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Starts a server that sends one answer for each error that `answer` returns for the body of a request.
fn faulty_server(answer: impl Fn(&str) -> Vec<Value> + Send + Sync + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("listener has an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                while let Ok(message) = rmpv::decode::read_value(&mut stream) {
                    let parts = message.as_array().expect("the message is a request");
                    let body = parts[3].as_array().expect("the request has parameters")[1]
                        .as_slice()
                        .expect("the request has a body");
                    for error in answer(&String::from_utf8_lossy(body)) {
                        let result = Value::from("result");
                        let reply = Value::Array(vec![1.into(), parts[1].clone(), error, result]);
                        let mut bytes = Vec::new();
                        rmpv::encode::write_value(&mut bytes, &reply).expect("the reply can be encoded");
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
fn correct_answers_cause_no_violations() {
    let address = faulty_server(|body| vec![if body.contains("n7") { busy() } else { Value::Nil }]);
    let routers = Routers::start(workload(false), vec![address], vec![EngineControl::default()])
        .expect("routers start");
    wait_until("a hundred requests are served", || routers.stats().all().served >= 100);
    routers.set_rate(0.0);
    wait_until("no request is in flight", || routers.stats().in_flight == 0);
    let all = routers.stats().all();
    let violations = routers.stats().violations.clone();
    assert!(violations.is_empty(), "{violations:?}");
    assert_eq!(all.requests, all.served + all.rejected + all.failed + all.lost, "{all:?}");
    assert!(all.rejected >= 1 && all.attempts > all.requests, "{all:?}");
    assert!(all.weight_served > 0.0 && all.weight_served <= all.weight_requested, "{all:?}");
}

#[test]
fn detects_second_answer() {
    let address = faulty_server(|_| vec![Value::Nil, Value::Nil]);
    let routers = Routers::start(workload(false), vec![address], vec![EngineControl::default()])
        .expect("routers start");
    wait_until("a broken rule", || {
        routers.stats().violations.iter().any(|rule| rule.contains("second answer"))
    });
}

#[test]
fn detects_missing_answer_unless_server_is_excused() {
    let silent = || faulty_server(|_| Vec::new());
    let routers = Routers::start(workload(false), vec![silent()], vec![EngineControl::default()])
        .expect("routers start");
    let excused = Routers::start(workload(false), vec![silent()], vec![EngineControl::default()])
        .expect("routers start");
    excused.stats().excused.insert(0);
    wait_until("a broken rule", || routers.stats().violations.iter().any(|rule| rule.contains("no answer")));
    wait_until("requests are lost", || excused.stats().all().lost > 0);
    assert!(excused.stats().violations.is_empty());
}

#[test]
fn detects_busy_for_executed_key() {
    let control = EngineControl::default();
    let engine = control.clone();
    let address = faulty_server(move |body| {
        *engine.state().started.entry(body.to_owned()).or_default() += 1;
        vec![busy()]
    });
    let routers = Routers::start(workload(true), vec![address], vec![control]).expect("routers start");
    wait_until("a broken rule", || routers.stats().violations.iter().any(|rule| rule.contains("Busy sent")));
}

#[test]
fn blocked_stream_resumes_without_loss() {
    let store = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let proxy = FaultProxy::start(Vec::new(), 1).expect("proxy starts");
    let (member_end, store_end) = (Endpoint::Member(0), Endpoint::Store);
    let store_address = store.local_addr().expect("listener has an address");
    let proxy_address =
        proxy.stream(member_end, store_end, store_address, || true).expect("open a stream route");
    let mut client = TcpStream::connect(proxy_address).expect("connect to the proxy");
    client.write_all(b"a").expect("send the first byte");
    let (mut server, _) = store.accept().expect("accept the forwarded stream");
    server.set_read_timeout(Some(Duration::from_millis(500))).expect("set the read timeout");
    let mut first = [0];
    server.read_exact(&mut first).expect("the first byte arrives");
    proxy.faults().blocked.insert(Direction::new(member_end, store_end));
    client.write_all(b"bcd").expect("send while the direction is blocked");
    let mut forward = [0; 3];
    assert!(server.read(&mut forward).is_err(), "data passed a blocked direction");
    server.write_all(b"back").expect("send in the other direction");
    let mut back = [0; 4];
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the read timeout");
    client.read_exact(&mut back).expect("the other direction is open");
    proxy.faults().blocked.clear();
    server.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the read timeout");
    server.read_exact(&mut forward).expect("the delayed bytes arrive");
    assert_eq!((&forward, &back), (b"bcd", b"back"));
    drop(client);
    assert_eq!(
        server.read(&mut forward).expect("read the end of the stream"),
        0,
        "end of the stream not forwarded"
    );
}
