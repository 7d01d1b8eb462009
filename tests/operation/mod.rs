//! Shared by the tests of upgrades and of the management port: a deployment of the program among stub
//! services, the usual steps of an upgrade, and common checks.

// Each test file uses only some of the items.
#![allow(dead_code, unused_imports)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use pinepoint_lab::operation::client::{Client, Ending, Reply, Request};
pub use pinepoint_lab::operation::deployment::{
    Deployment, ManagementSource, Process, Setup, Signal, free_address,
};
pub use pinepoint_lab::operation::engine::{Engine, Finish};
pub use pinepoint_lab::operation::load::{Load, Plan};
pub use pinepoint_lab::operation::management::{Answer, ask_bytes, read_answer};

/// Longest time until a new process is ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest time until the management port answers.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for a report to the service registry, which receives several per second.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for anything else.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Duration of a run on an engine that ends runs by itself.
pub const RUN_TIME: Duration = Duration::from_millis(5);
/// Duration for which a test checks that something does not happen.
pub const SILENCE_PERIOD: Duration = Duration::from_millis(700);

pub fn setup() -> Setup {
    Setup::new(env!("CARGO_BIN_EXE_pinepoint"))
}

pub fn deployment() -> Deployment {
    deployment_of(setup())
}

pub fn deployment_of(setup: Setup) -> Deployment {
    Deployment::new(setup).expect("loopback addresses and a directory are available")
}

/// An engine that ends each run by itself, after [`RUN_TIME`].
pub fn quick_engine() -> Engine {
    Engine::start(Finish::After(RUN_TIME)).expect("a free port")
}

/// An engine that ends runs on command of the test.
pub fn commanded_engine() -> Engine {
    Engine::start(Finish::OnCommand).expect("a free port")
}

/// An engine that stays down until the test sets it up.
pub fn engine_down() -> Engine {
    Engine::start_down(Finish::After(RUN_TIME)).expect("a free port")
}

/// Starts a process without waiting until it is ready.
pub fn start(deployment: &Deployment, engine: Engine) -> Process {
    deployment.start(engine).expect("the program starts")
}

/// Starts a process and waits until it is ready.
pub fn start_ready(deployment: &Deployment, engine: Engine) -> Process {
    let process = start(deployment, engine);
    await_ready(&process);
    process
}

pub fn await_ready(process: &Process) {
    process.await_ready(READY_TIMEOUT).expect("the process is ready in time");
}

pub fn connect(deployment: &Deployment) -> Client {
    deployment.connect().expect("a process accepts the connection")
}

pub fn send_signal(process: &Process, signal: Signal) {
    process.signal(signal).expect("the process is running");
}

/// Sends a command to the management port, which has to answer within [`ANSWER_TIMEOUT`].
pub fn ask(process: &Process, command: &str) -> Answer {
    let answer = process.ask(command).expect("the management port answers");
    assert!(answer.took <= ANSWER_TIMEOUT, "{command} took {:?}", answer.took);
    answer
}

/// Sends a command that has to succeed.
pub fn assert_accepted(process: &Process, command: &str) {
    let answer = ask(process, command);
    assert!(answer.is_ok(), "{command}: {}", answer.head());
}

/// Sends a command that has to fail.
pub fn assert_rejected(process: &Process, command: &str) {
    let answer = ask(process, command);
    assert!(answer.is_error(), "{command}: {}", answer.head());
}

/// One metric of `INFO`.
pub fn figure(process: &Process, name: &str) -> u64 {
    let figures = ask(process, "INFO").figures().expect("an answer to INFO");
    figures.get(name).unwrap_or_else(|| panic!("no {name} in {figures:?}")).value
}

/// One counter of `INFO`, summed over all classes.
pub fn sum_of_classes(process: &Process, counter: &str) -> u64 {
    let figures = ask(process, "INFO").figures().expect("an answer to INFO");
    let of_class = |name: &String| name.starts_with("relay.calls.") && name.ends_with(&format!(".{counter}"));
    figures.iter().filter(|(name, _)| of_class(name)).map(|(_, figure)| figure.value).sum()
}

/// Waits until a condition holds, for at most [`DEFAULT_TIMEOUT`]. `what` names the condition in the panic
/// message.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    eventually_within(DEFAULT_TIMEOUT, what, &mut holds);
}

pub fn eventually_within(limit: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !holds() {
        assert!(Instant::now() < until, "timed out after {limit:?} waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends a request that has to be served; returns its result.
pub fn assert_served(client: &Client, request: &Request) -> String {
    match client.call(request) {
        Reply::Served(result) => result,
        other => panic!("{} was not served: {other:?}", request.body),
    }
}

/// Sends a request and waits until it runs on the engine of the process, which ends runs on command. Returns
/// the message id of the request.
pub fn start_run(process: &Process, client: &Client, request: &Request) -> u64 {
    let id = client.send(request).expect("sent");
    eventually("the run", || process.engine.runs_of(&request.body) == 1);
    id
}

/// Ends the run of a request, which has to be served.
pub fn finish_run(process: &Process, client: &Client, id: u64, body: &str) {
    process.engine.finish(body);
    let reply = client.wait(id);
    assert!(matches!(reply, Reply::Served(_)), "{body}: {reply:?}");
}

/// Sends SIGTERM to a process, which has to exit with success before the platform would kill it.
pub fn terminate(deployment: &Deployment, process: &mut Process) {
    send_signal(process, Signal::TERM);
    await_exit(deployment, process);
}

/// Waits for a process that was just sent SIGTERM. It has to exit with success before the platform would kill
/// it.
pub fn await_exit(deployment: &Deployment, process: &mut Process) {
    let status = process.wait_exit(deployment.stop_timeout()).expect("a child process");
    let status = status.expect("the process exits before it would be killed");
    assert!(status.success(), "{status}");
}

/// Light load from several connections. Half of the requests have effects.
pub fn light_load(deployment: &Deployment) -> Load {
    Load::start(Plan {
        address: deployment.listen,
        clients: 4,
        depth: 2,
        pause: Duration::from_millis(10),
        reconnect: false,
    })
}

/// Ends a light load. Each request has to be served, and no connection may have ended without notice.
pub fn assert_all_served(load: Load) {
    let counts = load.stop().expect("the clients end");
    assert!(counts.sent > 0, "nothing was sent");
    assert_eq!(counts.ended_without_answer(), 0, "{counts:?}");
    assert_eq!(counts.served, counts.sent, "{counts:?}");
}

/// Number of runs of a body, summed over these engines.
pub fn runs_of(body: &str, engines: &[&Engine]) -> usize {
    engines.iter().map(|engine| engine.runs_of(body)).sum()
}

/// Checks that no body was run more than once, summed over these engines.
pub fn assert_no_double_runs(engines: &[&Engine]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for engine in engines {
        for (body, count) in engine.runs() {
            *runs.entry(body).or_default() += count;
        }
    }
    let duplicates: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(duplicates.is_empty(), "run more than once: {duplicates:?}");
}

/// Checks that the service registry has received reports since this time, all of them UP.
pub fn assert_always_registered(deployment: &Deployment, since: Instant) {
    let reports = deployment.registry.reports_since(since);
    assert!(!reports.is_empty(), "no reports received");
    assert!(reports.iter().all(|report| report.up), "reported OUT");
}

/// Waits until the health checks of a connection are answered with this value.
pub fn await_health(client: &Client, healthy: bool, limit: Duration) {
    eventually_within(limit, &format!("health answer {healthy}"), || client.ping() == Reply::Health(healthy));
}

/// Waits until the service registry receives a report of this kind. Reports that arrive after the returned
/// time were sent after this report.
pub fn await_report(deployment: &Deployment, up: bool) -> Instant {
    let since = Instant::now();
    eventually_within(REPORT_TIMEOUT, &format!("a report up={up}"), || {
        deployment.registry.has_report_since(since, up)
    });
    Instant::now()
}
