//! Checks that the counts of the program are right at fake receivers that fail: in the end they equal the
//! requests that were sent.

mod scenario;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pinepoint_lab::collectd::{Collectd, Received, SecurityLevel};
use pinepoint_lab::graphite::{Graphite, GraphiteUdp, Mode, Points, Protocol};
use scenario::{Options, World};

/// An engine that completes every run at once, except runs with the body `slow`.
fn engine() -> scenario::Answer {
    let mut notice = 0;
    Box::new(move |text| {
        let words: Vec<&str> = text.split([' ', '|']).collect();
        match words.as_slice() {
            ["ATTACH", _] => vec!["HELLO hot 9000".into()],
            ["RUN", _, _, "slow"] => vec!["NOTE 0 begun".into()],
            ["RUN", rid, ..] => {
                notice += 1;
                vec![format!("DONE {notice} {rid} complete 1|report")]
            }
            ["HALT", rid] => {
                notice += 1;
                vec![format!("DONE {notice} {rid} cancelled 1|")]
            }
            ["STAT", tag] => vec![format!("STATS {tag} 0.1 0 0.1 3")],
            _ => vec!["NOTE 0 read".into()],
        }
    })
}

fn start(edge: &str) -> World {
    start_as("n1", edge)
}

fn start_as(name: &str, edge: &str) -> World {
    let edge = format!("[telemetry]\nevery_s = 1\nlast_ms = 1000\n{edge}");
    let store = scenario::service(Box::new(|_| Vec::new()));
    let options = Options { edge, name: name.into(), ..Options::default() };
    let mut world = World::start_with(engine(), store, options);
    world.run("members wait HB * UP");
    world
}

/// Requests with known outcomes, and the counters that the program has to report for them in the end.
struct Workload {
    sent: u32,
    expected: BTreeMap<&'static str, u32>,
}

impl Workload {
    fn new() -> Workload {
        Workload { sent: 0, expected: BTreeMap::new() }
    }

    fn expect(&mut self, name: &'static str, n: u32) {
        *self.expected.entry(name).or_default() += n;
    }

    /// Sends one round of requests: served reads and writes over both frontends, a retry, a request past its
    /// deadline, a request that its caller cancels, and a request with an invalid arrival time.
    fn round(&mut self, world: &mut World) {
        self.sent += 1;
        let n = self.sent;
        world.run(&format!(
            "rpc{n} send 1 look rid={n}1|paper
             rpc{n} expect [1 1 nil *
             rpc{n} send 2 write rid={n}2 token=k{n}|paper
             rpc{n} expect [1 2 nil *
             rpc{n} send 3 write rid={n}3 token=k{n} again=1|paper
             rpc{n} expect [1 3 nil *
             rpc{n} send 4 look rid={n}4 t0=-9999999|x
             rpc{n} expect [1 4 [Failed *
             rpc{n} send 5 look rid={n}5|slow
             rpc{n} send 6 ping
             rpc{n} expect [1 6 nil *
             rpc{n} send 5 abort
             rpc{n} send 7 look rid={n}6 t0=-8990|paper
             rpc{n} expect [1 7 [Busy *
             ajp{n} send /look secret=s3|paper
             ajp{n} expect status 200 *
             ajp{n} wait end 1"
        ));
        self.expect("class.look.read", 5);
        self.expect("class.look.served_in_aim", 2);
        self.expect("class.look.failed.bad-time", 1);
        self.expect("class.look.refused.too-late", 1);
        self.expect("class.look.gone", 1);
        self.expect("class.write.read", 2);
        self.expect("class.write.read_again", 1);
        self.expect("class.write.served_in_aim", 2);
        self.expect("class.write.reused", 1);
        self.expect("class.write.runs", 1);
        self.expect("class.write.worth_served", 6);
        self.expect("class.look.run_end.complete", 2);
        self.expect("class.write.total.count", 2);
    }

    fn check(&self, points: &Points, path: impl Fn(&str) -> String) {
        assert_eq!((points.malformed, points.conflicting), (0, 0));
        for (name, n) in &self.expected {
            // If a request is missing, the other counters of the class show how it was counted.
            let head = path(name.rsplit_once('.').map_or(name, |(head, _)| head));
            let others: Vec<_> = points.values.keys().filter(|path| path.starts_with(&head)).collect();
            let others: Vec<_> = others
                .into_iter()
                .map(|path| (path, points.sum(path)))
                .filter(|(_, sum)| *sum > 0.0)
                .collect();
            let sum: f64 = alternatives(name).iter().map(|name| points.sum(&path(name))).sum();
            assert_eq!(sum, f64::from(*n), "{name}; counters with the same prefix: {others:?}");
        }
        let errors = points.values.get(&path("telemetry.law_off")).expect("reported");
        assert!(errors.values().all(|error| *error == 0.0), "{errors:?}");
    }
}

/// The metrics that count the same requests as this one together: a request that arrives 10 ms before its
/// deadline is rejected when it is received or, on a slow machine, after a short time in the queue.
fn alternatives(name: &str) -> Vec<String> {
    let mut names = vec![name.to_owned()];
    if name.contains("too-late") {
        names.push(name.replace("too-late", "given-up"));
    }
    names
}

/// Shuts the program down gracefully and waits for its exit.
fn shut_down(world: &mut World) {
    world.run("node send TERM\nnode wait ended *\nnode wait exit 0");
}

fn wait_for(expected: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(Instant::now() < until, "timeout while waiting for {expected}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn untagged(name: &str) -> String {
    format!("pinepoint.n1.{name}")
}

#[test]
fn plaintext_counts_include_last_interval() {
    let graphite = Graphite::start(Protocol::Plaintext).expect("the receiver listens");
    let mut world = start(&format!("[graphite]\naddress = \"{}\"\nreceipt_s = 2\n", graphite.address()));
    let mut workload = Workload::new();
    workload.round(&mut world);
    wait_for("the first interval", || graphite.points().sum(&untagged("class.look.read")) >= 4.0);
    workload.round(&mut world);
    workload.round(&mut world);
    shut_down(&mut world);
    workload.check(&graphite.points(), untagged);
}

#[test]
fn pickle_sends_each_tagged_path_to_one_of_two_receivers() {
    let receivers: Vec<Graphite> =
        (0..2).map(|_| Graphite::start(Protocol::Pickle).expect("the receiver listens")).collect();
    let mut world = start(&format!(
        "[graphite]\nreceivers = [\"{}\", \"{}\"]\nprotocol = \"pickle\"\ntags = true\nprefix = \"sko.edge\"\n",
        receivers[0].address(),
        receivers[1].address()
    ));
    let mut workload = Workload::new();
    workload.round(&mut world);
    wait_for("points at both receivers", || receivers.iter().all(|r| r.points().values.len() > 20));
    workload.round(&mut world);
    shut_down(&mut world);
    let (mut all, second) = (receivers[0].points(), receivers[1].points());
    let shared = all.values.keys().filter(|path| second.values.contains_key(*path)).count();
    assert_eq!(shared, 0, "no path is stored at both receivers");
    all.merge(&second);
    let tagged = |name: &str| match name.split('.').collect::<Vec<_>>().as_slice() {
        ["class", class, stat @ ..] => format!("sko.edge.class.{};class={class};host=n1", stat.join(".")),
        _ => format!("sko.edge.{name};host=n1"),
    };
    workload.check(&all, tagged);
}

#[test]
fn restart_and_reset_of_receiver_lose_no_counts() {
    let graphite = Graphite::start(Protocol::Plaintext).expect("the receiver listens");
    let mut world = start(&format!("[graphite]\naddress = \"{}\"\nreceipt_s = 1\n", graphite.address()));
    let mut workload = Workload::new();
    workload.round(&mut world);
    graphite.set_mode(Mode::ResetAfter(1234));
    wait_for("a reset", || graphite.points().connections >= 2);
    workload.round(&mut world);
    graphite.set_mode(Mode::Normal);
    wait_for("the counts after the reset", || graphite.points().sum(&untagged("class.look.read")) >= 10.0);
    graphite.stop();
    workload.round(&mut world);
    world.run("node wait receiver-lost to=graphite *");
    graphite.restart().expect("the receiver listens");
    world.run("node wait receiver-back to=graphite *");
    wait_for("the counts after the outage", || graphite.points().sum(&untagged("class.look.read")) >= 15.0);
    shut_down(&mut world);
    workload.check(&graphite.points(), untagged);
}

/// The receiver is stalled for the whole run: requests are answered as usual, the exit is not delayed, and
/// the lost intervals are logged.
#[test]
fn stalled_receiver_delays_neither_requests_nor_exit() {
    let graphite = Graphite::start(Protocol::Plaintext).expect("the receiver listens");
    graphite.set_mode(Mode::Stalled);
    let mut world = start(&format!("[graphite]\naddress = \"{}\"\nreceipt_s = 1\n", graphite.address()));
    let mut workload = Workload::new();
    workload.round(&mut world);
    wait_for("a connection", || graphite.points().connections >= 1);
    workload.round(&mut world);
    world.run("node send TERM\nnode wait telemetry-lost-at-exit to=graphite *\nnode wait exit 0");
    assert!(graphite.points().values.is_empty());
}

#[test]
fn sighup_applies_receivers_of_edge_file() {
    let (old, new) = (
        Graphite::start(Protocol::Plaintext).expect("the receiver listens"),
        Graphite::start(Protocol::Plaintext).expect("the receiver listens"),
    );
    let section = |address| format!("[graphite]\naddress = \"{address}\"\n");
    let mut world = start(&section(old.address()));
    let mut workload = Workload::new();
    workload.round(&mut world);
    wait_for("the counts at the old receiver", || old.points().sum(&untagged("class.look.read")) >= 5.0);
    world.write_edge("[graphite]\naddress = \"nowhere\"\n");
    world.run("node send HUP\nnode wait edge-reload-failed receivers=kept *");
    world.write_edge(&section(new.address()));
    world.run("node send HUP\nnode wait edge-reloaded*");
    workload.round(&mut world);
    wait_for("the counts at the new receiver", || new.points().sum(&untagged("class.look.read")) >= 5.0);
    shut_down(&mut world);
    let mut all = old.points();
    all.merge(&new.points());
    workload.check(&all, untagged);
}

#[test]
fn udp_sends_running_totals() {
    let graphite = GraphiteUdp::start().expect("the receiver listens");
    let mut world = start(&format!("[graphite]\naddress = \"{}\"\nprotocol = \"udp\"\n", graphite.address()));
    let mut workload = Workload::new();
    workload.round(&mut world);
    workload.round(&mut world);
    shut_down(&mut world);
    let points = graphite.points();
    let last = |name: &str| points.values[&untagged(name)].values().next_back().copied();
    assert_eq!(last("class.look.read"), Some(10.0));
    assert_eq!(last("class.write.reused"), Some(2.0));
}

/// A host name and a prefix that contain the syntax of Graphite's protocol.
#[test]
fn names_with_protocol_syntax_are_sanitized() {
    let graphite = Graphite::start(Protocol::Plaintext).expect("the receiver listens");
    let edge = format!("[graphite]\naddress = \"{}\"\nprefix = \"a b.c;d=e\\nf 1 2\"\n", graphite.address());
    let mut world = start_as("n1.x y;z=\\n/../", &edge);
    let mut workload = Workload::new();
    workload.round(&mut world);
    shut_down(&mut world);
    let points = graphite.points();
    let path =
        points.values.keys().find(|path| path.ends_with(".class.look.read")).expect("reported").clone();
    let head = path.strip_suffix("class.look.read").expect("just found");
    assert_eq!(path.split('.').count(), 6, "{path}");
    workload.check(&points, |name| format!("{head}{name}"));
}

fn collectd_edge(collectd: &Collectd, settings: &str) -> String {
    format!("[collectd]\naddress = \"{}\"\n{settings}\n", collectd.address())
}

fn check_collectd(workload: &Workload, received: &Received) {
    assert_eq!(received.rejected, 0);
    for (name, n) in
        workload.expected.iter().filter(|(name, _)| !name.contains("worth") && !name.contains("total"))
    {
        let (class, stat) =
            name.strip_prefix("class.").and_then(|name| name.split_once('.')).expect("of a class");
        let series = format!("n1/pinepoint-{class}/derive-{}", stat.replace('.', "-"));
        let others = alternatives(&series)
            .into_iter()
            .skip(1)
            .filter_map(|series| received.last(&series))
            .sum::<f64>();
        assert_eq!(received.last(&series).map(|sum| sum + others), Some(f64::from(*n)), "{series}");
    }
    assert_eq!(received.last("n1/pinepoint-telemetry/gauge-law_off"), Some(0.0));
}

#[test]
fn collectd_network_totals_make_up_for_lost_datagrams() {
    let collectd = Collectd::network(SecurityLevel::None, 7).expect("the receiver listens");
    let mut world = start(&collectd_edge(&collectd, ""));
    let mut workload = Workload::new();
    collectd.drop_datagrams(500);
    workload.round(&mut world);
    wait_for("values that were not lost", || !collectd.received().values.is_empty());
    collectd.drop_datagrams(0);
    workload.round(&mut world);
    shut_down(&mut world);
    let received = collectd.received();
    check_collectd(&workload, &received);
    assert_eq!(received.interval_s, 1.0);
    assert!(received.notifications.iter().any(|n| n.severity == 2 && n.type_instance == "drain"));
}

#[test]
fn collectd_accepts_sealed_packets_only_with_right_password() {
    let secret = || ("pine".to_owned(), "point".to_owned());
    for security in ["sign", "encrypt"] {
        let security_level = || match security {
            "sign" => SecurityLevel::Sign(secret().0, secret().1),
            _ => SecurityLevel::Encrypt(secret().0, secret().1),
        };
        let settings = |password: &str| {
            format!(
                "security = \"{security}\"\nusername = \"pine\"\npassword = \"{password}\"\ntypes = \"own\""
            )
        };
        let right = Collectd::network(security_level(), 1).expect("the receiver listens");
        let mut world = start(&collectd_edge(&right, &settings("point")));
        let mut workload = Workload::new();
        workload.round(&mut world);
        shut_down(&mut world);
        check_collectd(&workload, &right.received());
        let hold = &right.received().values["n1/pinepoint-look/pinepoint_dist-hold"];
        assert_eq!(hold.last().expect("reported").1.len(), 7, "a list of several values");
        let wrong = Collectd::network(security_level(), 1).expect("the receiver listens");
        let mut world = start(&collectd_edge(&wrong, &settings("wrong")));
        workload.round(&mut world);
        shut_down(&mut world);
        let received = wrong.received();
        assert!(
            received.rejected > 0 && received.values.is_empty(),
            "{security}: {} packets rejected",
            received.rejected
        );
    }
}

#[test]
fn collectd_text_catches_up_after_stall() {
    let folder = std::env::temp_dir().join(format!("pinepoint-collectd-{}", std::process::id()));
    let collectd = Collectd::text_at(&folder).expect("the receiver listens");
    let mut world = start(&collectd_edge(&collectd, "protocol = \"text\""));
    let mut workload = Workload::new();
    workload.round(&mut world);
    wait_for("a first value", || collectd.received().last("n1/pinepoint-look/derive-read") == Some(5.0));
    collectd.stall(true);
    workload.round(&mut world);
    std::thread::sleep(Duration::from_secs(2));
    collectd.stall(false);
    workload.round(&mut world);
    shut_down(&mut world);
    let received = collectd.received();
    check_collectd(&workload, &received);
    assert_eq!(received.stale, 0);
}

/// The Graphite receiver is down from the start and comes up later; the collectd receiver never comes up.
#[test]
fn receiver_down_from_start_gets_all_counts_once_up() {
    let (graphite_address, down_address) = (scenario::down().1, scenario::down().1);
    let mut world = start(&format!(
        "[graphite]\naddress = \"{graphite_address}\"\n[collectd]\naddress = \"{down_address}\"\n"
    ));
    let mut workload = Workload::new();
    workload.round(&mut world);
    world.run("node wait receiver-lost *");
    let graphite = Graphite::start_at(graphite_address, Protocol::Plaintext).expect("the receiver listens");
    world.run("node wait receiver-back to=graphite *");
    workload.round(&mut world);
    wait_for("the counts after the outage", || graphite.points().sum(&untagged("class.look.read")) >= 10.0);
    shut_down(&mut world);
    workload.check(&graphite.points(), untagged);
}

/// Replaces the class `brief` by the class `extra`.
fn change_classes(world: &mut World) {
    let brief = r#" {"name":"brief","effect":"read_like","promiseMs":900,"deadlineMs":1500,"worth":1},"#;
    let extra = brief.replace("brief", "extra");
    let first = world.config("first").to_owned();
    assert!(first.contains(brief));
    world.write_config(&first.replace(brief, &extra));
    world.run("node send HUP\nnode wait reloaded *");
}

/// Sends one request of the class that a reload added.
fn send_extra(workload: &mut Workload, world: &mut World) {
    workload.sent += 1;
    let n = workload.sent;
    world.run(&format!("rpc{n} send 1 extra rid={n}1|paper\nrpc{n} expect [1 1 nil *"));
    workload.expect("class.extra.read", 1);
    workload.expect("class.extra.served_in_aim", 1);
    workload.expect("class.extra.run_end.complete", 1);
    workload.expect("class.extra.total.count", 1);
}

#[test]
fn reload_adds_series_for_new_class_and_keeps_others() {
    let graphite = Graphite::start(Protocol::Plaintext).expect("the receiver listens");
    let mut world = start(&format!("[graphite]\naddress = \"{}\"\nreceipt_s = 1\n", graphite.address()));
    let mut workload = Workload::new();
    workload.round(&mut world);
    wait_for("the first interval", || graphite.points().sum(&untagged("class.look.read")) >= 5.0);
    // The classes change in the middle of an interval, while an earlier interval is not acknowledged yet.
    graphite.stop();
    workload.round(&mut world);
    world.run("node wait receiver-lost to=graphite *");
    change_classes(&mut world);
    send_extra(&mut workload, &mut world);
    workload.round(&mut world);
    graphite.restart().expect("the receiver listens");
    wait_for("the counts after the outage", || graphite.points().sum(&untagged("class.look.read")) >= 15.0);
    wait_for("the counts of the new class", || graphite.points().sum(&untagged("class.extra.read")) >= 1.0);
    world.run("node send USR1\nnode wait counters * reloads=1 *");
    shut_down(&mut world);
    let points = graphite.points();
    workload.check(&points, untagged);
    assert_eq!(points.sum(&untagged("node.reloads")), 1.0);
    let sent = &points.values[&untagged("telemetry.graphite.points_sent")];
    assert!(
        sent.values().all(|sent| *sent >= 0.0),
        "counters of the delivery continue after the reload: {sent:?}"
    );
}

#[test]
fn reload_keeps_collectd_series_of_all_classes() {
    let collectd = Collectd::network(SecurityLevel::None, 7).expect("the receiver listens");
    let mut world = start(&collectd_edge(&collectd, ""));
    let mut workload = Workload::new();
    workload.round(&mut world);
    wait_for("the first interval", || collectd.received().last("n1/pinepoint-look/derive-read") == Some(5.0));
    change_classes(&mut world);
    send_extra(&mut workload, &mut world);
    workload.round(&mut world);
    shut_down(&mut world);
    check_collectd(&workload, &collectd.received());
}
