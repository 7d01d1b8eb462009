//! Both loops seen through the controller: step response, clamps and anti-windup.

mod common;

use common::*;
use pinepoint::admission::*;

/// Two cores that are never out of work, unless told so.
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

    /// Whether the next arrival is refused.
    fn arrive(&mut self, queued_ms: f64) -> bool {
        self.next += 1;
        let deadline_ms = Some(self.server.now + 1_000_000.0);
        let actions = self.server.arrive(Request { queued_ms, deadline_ms, ..request(self.next, 0) });
        self.record_starts(&actions);
        rejected(&actions, self.next)
    }

    fn record_starts(&mut self, actions: &[Action]) {
        self.running.extend(actions.iter().filter_map(|a| match a {
            Action::StartRun { id } => Some(*id),
            _ => None,
        }));
    }

    /// Arrivals every 20 ms, a run ends every 100 ms; the part of the arrivals that is refused.
    fn serve_demand(&mut self, ms: f64, queued_ms: f64) -> f64 {
        let until = self.server.now + ms;
        let (mut rejections, mut count) = (0.0, 0.0);
        while self.server.now < until {
            for _ in 0..5 {
                count += 1.0;
                rejections += f64::from(u8::from(self.arrive(queued_ms)));
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
fn refusals_rise_while_the_cores_stay_busy_up_to_the_clamp() {
    let mut busy_server = BusyServer::new();
    let early = busy_server.serve_demand(600.0, 5.0);
    let later = busy_server.serve_demand(4_000.0, 5.0);
    busy_server.serve_demand(60_000.0, 5.0);
    let last = busy_server.serve_demand(4_000.0, 5.0);
    assert!(early < 0.1, "a busy half second is chance: {early}");
    assert!(later > early + 0.05 && last > later + 0.3, "a busy spell is not: {later}, then {last}");
    assert!(last > 0.75, "the integral reaches the clamp; only a free core still takes what comes: {last}");
}

#[test]
fn refusals_end_soon_after_the_cores_idle_however_long_they_were_busy() {
    let mut busy_server = BusyServer::new();
    busy_server.serve_demand(300_000.0, 5.0);
    busy_server.server.advance(400.0, 0.0, 0.0);
    let after = busy_server.serve_demand(500.0, 5.0);
    assert!(after < 0.1, "minutes at the clamp leave no debt: {after}");
}

#[test]
fn an_unread_wait_speaks_beyond_the_saturated_gauge() {
    let part = |queued_ms: f64| {
        let mut busy_server = BusyServer::new();
        busy_server.serve_demand(200.0, 5.0);
        busy_server.serve_demand(2_000.0, queued_ms)
    };
    assert!(part(2000.0) > part(5.0) + 0.3, "{} and {}", part(2000.0), part(5.0));
}

#[test]
fn starts_wait_for_a_free_core_and_follow_at_once() {
    let mut server = BusyServer::new().server;
    for id in 10..13 {
        assert!(!started(&server.arrive(Request { deadline_ms: Some(1_000_000.0), ..request(id, 0) }), id));
    }
    let starts = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::StartRun { .. })).count();
    assert_eq!(starts(&server.advance(1_000.0, 1.0, 2.0)), 0, "whatever the start loop has saved");
    assert_eq!(starts(&server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done })), 1);
    assert_eq!(starts(&server.handle(Event::RunEnded { id: 2, outcome: Outcome::Done })), 1);
}
