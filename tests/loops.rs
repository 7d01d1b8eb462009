//! Both control loops, tested through the controller: step response, clamps and anti-windup.

mod common;

use common::*;
use pinepoint::admission::*;

/// A server whose two cores always have work.
struct BusyServer {
    server: TestServer,
    next: u32,
    running: Vec<u32>,
}

impl BusyServer {
    fn new() -> Self {
        let mut config = settings();
        config.classes[0] =
            Class { latency_objective_ms: 900_000.0, timeout_ms: 1_000_000.0, ..Class::default() };
        let mut busy_server = BusyServer { server: TestServer::new(config), next: 0, running: Vec::new() };
        busy_server.arrive(5.0);
        busy_server.arrive(5.0);
        busy_server
    }

    /// Sends the next arrival; returns whether it is rejected.
    fn arrive(&mut self, read_delay_ms: f64) -> bool {
        self.next += 1;
        let deadline_ms = Some(self.server.now + 1_000_000.0);
        let actions = self.server.arrive(Request { read_delay_ms, deadline_ms, ..request(self.next, 0) });
        self.record_starts(&actions);
        rejected(&actions, self.next)
    }

    fn record_starts(&mut self, actions: &[Action]) {
        self.running.extend(started_ids(actions));
    }

    /// Sends an arrival every 20 ms and ends a run every 100 ms, for `ms`. Returns the share of rejected
    /// arrivals.
    fn serve_demand(&mut self, ms: f64, read_delay_ms: f64) -> f64 {
        let until = self.server.now + ms;
        let (mut rejections, mut count) = (0.0, 0.0);
        while self.server.now < until {
            for _ in 0..5 {
                count += 1.0;
                rejections += f64::from(u8::from(self.arrive(read_delay_ms)));
                let actions = self.server.advance(20.0, 1.0, 4.0);
                self.record_starts(&actions);
            }
            let id = self.running.remove(0);
            let actions = self.server.handle(Event::RunEnded { id, outcome: Outcome::Done });
            self.record_starts(&actions);
        }
        rejections / count
    }
}

#[test]
fn rejections_rise_to_clamp_while_cores_are_busy() {
    let mut busy_server = BusyServer::new();
    let early = busy_server.serve_demand(600.0, 5.0);
    let later = busy_server.serve_demand(4_000.0, 5.0);
    busy_server.serve_demand(60_000.0, 5.0);
    let last = busy_server.serve_demand(4_000.0, 5.0);
    assert!(early < 0.1, "cores are busy for half a second by chance, yet the share rejected is {early}");
    assert!(
        later > early + 0.05 && last > later + 0.3,
        "rejections have to rise after seconds of busy cores: {later}, then {last}"
    );
    assert!(last > 0.75, "the integral reaches the clamp, and only idle cores take arrivals: {last}");
}

#[test]
fn rejections_end_soon_after_cores_idle() {
    let mut busy_server = BusyServer::new();
    busy_server.serve_demand(300_000.0, 5.0);
    busy_server.server.advance(400.0, 0.0, 0.0);
    let after = busy_server.serve_demand(500.0, 5.0);
    assert!(after < 0.1, "minutes at the clamp must not wind up the integral: {after}");
}

#[test]
fn read_delay_raises_rejections_at_saturation() {
    let rejected_share = |read_delay_ms: f64| {
        let mut busy_server = BusyServer::new();
        busy_server.serve_demand(200.0, 5.0);
        busy_server.serve_demand(2_000.0, read_delay_ms)
    };
    assert!(
        rejected_share(2000.0) > rejected_share(5.0) + 0.3,
        "shares rejected: {} and {}",
        rejected_share(2000.0),
        rejected_share(5.0)
    );
}

#[test]
fn starts_wait_for_idle_core() {
    let mut server = BusyServer::new().server;
    for id in 10..13 {
        assert!(!started(&server.arrive(Request { deadline_ms: Some(1_000_000.0), ..request(id, 0) }), id));
    }
    let starts = |actions: &[Action]| started_ids(actions).count();
    assert_eq!(
        starts(&server.advance(1_000.0, 1.0, 2.0)),
        0,
        "no start without an idle core, however much start credit is saved"
    );
    assert_eq!(starts(&server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done })), 1);
    assert_eq!(starts(&server.handle(Event::RunEnded { id: 2, outcome: Outcome::Done })), 1);
}
