//! A test harness for one admission controller: it keeps the time, the pending timers and a log of all
//! actions.
#![allow(dead_code)]

use pinepoint::admission::*;

/// An admission controller under test, with its clock and its timers.
pub struct TestServer {
    pub controller: AdmissionController,
    /// Current time, ms.
    pub now: f64,
    /// All actions so far.
    pub log: Vec<Action>,
    /// Pending timers: the time at which each fires, ms, and its token.
    pub timers: Vec<(f64, u32)>,
}

/// Settings with two cores, a class of reads and a class of keyed requests.
pub fn settings() -> Settings {
    Settings {
        cores: 2.0,
        memory_kb: 100_000.0,
        running_memory_factor: 4.0,
        key_kb: 10.0,
        tick_ms: 5.0,
        max_retry_after_ms: 1000.0,
        load_report: LoadReportKind::Weight,
        classes: vec![
            Class { weight: 1.0, ..Class::default() },
            Class {
                weight: 3.0,
                idempotency: Idempotency::Keyed,
                dedup_window_ms: 8000.0,
                ..Class::default()
            },
        ],
        rules: Rules { answer_slack_ms: 60.0, drain_grace_ms: 500.0, ..Rules::default() },
        gauges: vec![Gauge::BusyShare, Gauge::Runnable],
        ..Settings::default()
    }
}

pub fn request(id: u32, class: usize) -> Request {
    Request { id, class, mem_kb: 20.0, deadline_ms: None, ..Request::default() }
}

impl TestServer {
    pub fn new(settings: Settings) -> Self {
        TestServer::started_at(settings, 0.0)
    }

    /// Starts a controller at the time `now`, ms.
    pub fn started_at(settings: Settings, now: f64) -> Self {
        let mut server = TestServer {
            controller: AdmissionController::new(settings, 1).expect("valid settings"),
            now,
            log: vec![],
            timers: vec![],
        };
        server.handle(Event::Started);
        server
    }

    /// Handles one event as a batch of its own; returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        self.controller.handle(self.now, Event::BatchEnded, &mut actions);
        self.record(&actions);
        actions
    }

    /// Handles several events as one batch; returns the resulting actions.
    pub fn batch(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            self.controller.handle(self.now, event, &mut actions);
        }
        self.controller.handle(self.now, Event::BatchEnded, &mut actions);
        self.record(&actions);
        actions
    }

    fn record(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::SetTimer { after_ms, token } = action {
                self.timers.push((self.now + after_ms, *token));
            }
        }
        self.log.extend_from_slice(actions);
    }

    pub fn arrive(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::RequestArrived(request))
    }

    /// Advances the time; timers that come due fire with these gauges.
    pub fn advance(&mut self, ms: f64, busy: f64, runnable: f64) -> Vec<Action> {
        let until = self.now + ms;
        let mut all = Vec::new();
        while let Some(at) = self.timers.iter().map(|t| t.0).min_by(f64::total_cmp) {
            if at > until {
                break;
            }
            let index = self.timers.iter().position(|t| t.0 == at).expect("the minimum is one of the timers");
            let (_, token) = self.timers.remove(index);
            self.now = at;
            all.extend(self.handle(Event::TimerFired { token, gauges: vec![busy, runnable] }));
        }
        self.now = until;
        all
    }
}

/// Ids of the requests that these actions start, in order.
pub fn started_ids(actions: &[Action]) -> impl Iterator<Item = u32> {
    actions.iter().filter_map(|action| match action {
        Action::StartRun { id } => Some(*id),
        _ => None,
    })
}

pub fn started(actions: &[Action], id: u32) -> bool {
    actions.contains(&Action::StartRun { id })
}

pub fn rejected(actions: &[Action], id: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id))
}

pub fn failed(actions: &[Action], id: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i, .. } if *i == id))
}
