//! What is sent where, when, and what is known to have been taken: the decisions of one destination, whatever its
//! protocol. Events and the time go in, actions come out. It must never do I/O, read a clock or know a wire.
//!
//! The state of an interval is, for each of its points, the set of receivers that took it and the set of those on
//! whose connection it is under way. What is to be sent follows from that, from the ring and from which receivers
//! are in service, computed anew each time: failing over, returning, joining and leaving have no case of their own.

use std::collections::VecDeque;
use std::rc::Rc;

use pinepoint_events::reason_codes;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use crate::circuit::{self, Circuit, Service};
use crate::ring::{self, Ring};
use crate::snapshot::{Interval, Snapshot};
use crate::spool::{Bounds, Marks, Spool};

reason_codes! {
    /// Why a connection to a receiver is over.
    Break {
        /// It could not be made.
        Refused = "refused",
        /// It was not made in time.
        ConnectLate = "connect-late",
        /// The receiver closed it, and what it had not read is in doubt.
        Closed = "closed",
        /// It was reset.
        Reset = "reset",
        /// Hardly a byte was taken in all that time.
        NoProgress = "no-progress",
        /// The receipt did not come in time.
        NoReceipt = "no-receipt",
        /// What came was no receipt.
        BadReply = "bad-reply",
        /// The receiver is no longer one of this destination.
        Removed = "removed",
        /// Others wait for what only this one owes.
        Lagging = "lagging",
    }
}

/// How a receiver shows that it took something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipts {
    /// By closing the connection in order once it was asked to.
    OnClose,
    /// On the open connection, by itself.
    ByItself,
}

/// How a destination is served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Bounds of the spool.
    pub spool: Bounds,
    /// Backoff and circuit of each receiver.
    pub circuit: circuit::Rules,
    /// How receivers acknowledge.
    pub receipts: Receipts,
    /// Receivers that each point is to be taken by.
    pub copies: u32,
    /// Time for which a connection is used before its receipt is asked for, ms.
    pub receipt_ms: f64,
    /// Wait for a connection, ms.
    pub connect_wait_ms: f64,
    /// Wait for a receipt, ms.
    pub receipt_wait_ms: f64,
    /// Least progress of what is to be written: bytes, in so many ms.
    pub progress: (usize, f64),
    /// Time for which a receiver may be the only one that others wait for, ms.
    pub lag_ms: f64,
    /// Longest pause between a connection that was closed in order and the next, ms: of hundreds that have a backlog
    /// for one receiver, not all come again at once.
    pub pace_ms: f64,
    /// An interval is sent this long after its end at the latest, ms, so that not all processes send at once.
    pub spread_ms: f64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An interval ended.
    Interval(Snapshot),
    /// A connection is made.
    Opened {
        /// To this receiver.
        receiver: u8,
        /// Under this number.
        link: u64,
    },
    /// Bytes were taken off it.
    Moved {
        /// The receiver.
        receiver: u8,
        /// The connection.
        link: u64,
        /// So many.
        bytes: usize,
        /// So many are left.
        left: usize,
    },
    /// A receiver took all that was sent on a connection up to this number.
    Taken {
        /// The receiver.
        receiver: u8,
        /// The connection.
        link: u64,
        /// The last that it took.
        upto: u64,
        /// The connection is over with that.
        over: bool,
    },
    /// A connection is over, and what was not taken on it is in doubt.
    Broken {
        /// The receiver.
        receiver: u8,
        /// The connection.
        link: u64,
        /// Why.
        why: Break,
    },
    /// These are the receivers from now on, by name.
    Receivers(Vec<String>),
    /// The process is about to end: all that is left goes out at once.
    Leave,
    /// Time has passed.
    Time,
}

/// What is sent.
#[derive(Clone, Debug)]
pub enum Load {
    /// A point that tells nothing but that it arrived.
    Probe,
    /// Points of an interval.
    Points(Rc<Interval>, Rc<[u16]>),
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Make a connection.
    Open {
        /// To this receiver.
        receiver: u8,
        /// Under this number.
        link: u64,
    },
    /// Send something.
    Send {
        /// The receiver.
        receiver: u8,
        /// The connection.
        link: u64,
        /// The number of this on its connection, from 1.
        send: u64,
        /// What.
        load: Load,
    },
    /// Ask for the receipt of all that was sent.
    Finish {
        /// The receiver.
        receiver: u8,
        /// The connection.
        link: u64,
    },
    /// Give a connection up.
    Abandon {
        /// The receiver.
        receiver: u8,
        /// The connection.
        link: u64,
    },
    /// Tell the operators.
    Tell(Notice),
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A connection is over.
    Ended {
        /// The receiver.
        receiver: String,
        /// Why.
        why: Break,
        /// Points in doubt with it, which are sent again.
        doubt: usize,
    },
    /// A receiver is out of service.
    Lost {
        /// The receiver.
        receiver: String,
        /// Why.
        why: Break,
    },
    /// It is back in service.
    Back {
        /// The receiver.
        receiver: String,
    },
    /// Intervals were dropped for their age.
    Dropped {
        /// So many since the start.
        intervals: u64,
    },
}

/// Figures of the delivery itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Intervals merged into another, since the start.
    pub merged: u64,
    /// Intervals dropped, since the start.
    pub dropped: u64,
    /// Points sent, since the start.
    pub sent: u64,
    /// Of these, those that were in doubt when their connection broke.
    pub doubted: u64,
    /// Receipts, since the start.
    pub receipts: u64,
    /// Connections that broke or were given up, since the start.
    pub breaks: u64,
    /// Intervals in the spool.
    pub backlog: usize,
    /// Bytes in the spool.
    pub backlog_bytes: usize,
    /// Receivers out of service.
    pub down: usize,
}

impl Figures {
    /// Those of two deliveries to the same receivers, taken together.
    pub fn plus(self, other: Figures) -> Figures {
        Figures {
            merged: self.merged + other.merged,
            dropped: self.dropped + other.dropped,
            sent: self.sent + other.sent,
            doubted: self.doubted + other.doubted,
            receipts: self.receipts + other.receipts,
            breaks: self.breaks + other.breaks,
            backlog: self.backlog + other.backlog,
            backlog_bytes: self.backlog_bytes + other.backlog_bytes,
            down: self.down.max(other.down),
        }
    }
}

#[derive(Debug)]
struct Sent {
    send: u64,
    at_ms: f64,
    /// Nothing for a probe.
    points: Option<(u64, Rc<[u16]>)>,
}

#[derive(Debug)]
struct Link {
    number: u64,
    began_ms: f64,
    open: bool,
    probe: bool,
    asked_ms: Option<f64>,
    last_send: u64,
    sent: VecDeque<Sent>,
    /// Something is to be written; since when progress is measured, and what was moved since.
    unwritten: Option<(f64, usize)>,
}

#[derive(Debug)]
struct Receiver {
    name: String,
    circuit: Circuit,
    link: Option<Link>,
    /// Intervals that may be under way until the next receipt.
    grant: usize,
    /// Something waits for it.
    wanted: bool,
    /// No connection before this time, ms.
    resume_ms: f64,
    behind_ms: Option<f64>,
}

/// The delivery of one destination.
#[derive(Debug)]
pub struct Delivery {
    rules: Rules,
    random: Pcg64Mcg,
    spool: Spool,
    paths: Rc<[String]>,
    places: Vec<f64>,
    preferences: Vec<Box<[u8]>>,
    /// By slot; a slot without a receiver is free.
    receivers: Vec<Option<Receiver>>,
    /// The newest interval is not sent before this time, ms.
    hold: Option<(u64, f64)>,
    leaving: bool,
    links: u64,
    figures: Figures,
}

impl Delivery {
    /// A destination with these receivers, at most [`ring::MOST`]. `paths` names the points, in order; `base` are the
    /// totals that the first interval counts from.
    pub fn new(rules: Rules, receivers: &[String], paths: Rc<[String]>, base: Rc<[f64]>, seed: u64) -> Self {
        let mut delivery = Delivery {
            rules,
            random: Pcg64Mcg::new(u128::from(seed)),
            spool: Spool::new(rules.spool, base),
            places: paths.iter().map(|path| ring::place(path)).collect(),
            paths,
            preferences: Vec::new(),
            receivers: Vec::new(),
            hold: None,
            leaving: false,
            links: 0,
            figures: Figures::default(),
        };
        delivery.set_receivers(receivers, &mut Vec::new());
        delivery
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Interval(snapshot) => self.interval(now, snapshot, out),
            Event::Opened { receiver, link } => {
                if let Some(link) = self.link(receiver, link) {
                    link.open = true;
                    link.began_ms = now;
                }
            }
            Event::Moved { receiver, link, bytes, left } => {
                if let Some(link) = self.link(receiver, link) {
                    let (since, moved) = link.unwritten.unwrap_or((now, 0));
                    link.unwritten = (left > 0).then_some((since, moved + bytes));
                }
            }
            Event::Taken { receiver, link, upto, over } => self.taken(now, receiver, link, upto, over, out),
            Event::Broken { receiver, link, why } => {
                if self.link(receiver, link).is_some() {
                    self.broke(now, receiver, why, out);
                }
            }
            Event::Receivers(names) => self.set_receivers(&names, out),
            Event::Leave => {
                self.leaving = true;
                self.hold = None;
                for receiver in self.receivers.iter_mut().flatten() {
                    // The last chance: also those out of service are tried once, at once.
                    receiver.circuit = Circuit::new(self.rules.circuit);
                    receiver.grant = self.rules.spool.window;
                    receiver.resume_ms = f64::NEG_INFINITY;
                }
            }
            Event::Time => {}
        }
        self.drive(now, out);
    }

    /// Whether everything was taken.
    pub fn is_done(&self) -> bool {
        self.spool.is_empty()
    }

    /// Figures of the delivery.
    pub fn figures(&self) -> Figures {
        let (merged, dropped) = self.spool.lost();
        let (backlog, backlog_bytes) = self.spool.size();
        let out = |receiver: &&Receiver| receiver.circuit.service() == Service::Out;
        let down = self.receivers.iter().flatten().filter(out).count();
        Figures { merged, dropped, backlog, backlog_bytes, down, ..self.figures }
    }

    /// The name of a receiver.
    pub fn name(&self, receiver: u8) -> Option<&str> {
        Some(self.receivers.get(usize::from(receiver))?.as_ref()?.name.as_str())
    }

    /// When it has to be told the time even if nothing happens, ms.
    pub fn next_due(&self) -> Option<f64> {
        let rules = &self.rules;
        let of_link = |link: &Link| {
            let opening = (!link.open).then_some(link.began_ms + rules.connect_wait_ms);
            let asked = link.asked_ms.map(|asked| asked + rules.receipt_wait_ms);
            let progress = link.unwritten.map(|(since, _)| since + rules.progress.1);
            let first = link.sent.front().map(|sent| match rules.receipts {
                Receipts::OnClose => link.began_ms + rules.receipt_ms,
                Receipts::ByItself => sent.at_ms + rules.receipt_wait_ms,
            });
            let first = first.filter(|_| link.open && link.asked_ms.is_none());
            [opening, asked, progress, first].into_iter().flatten().min_by(f64::total_cmp)
        };
        let of_receiver = |receiver: &Receiver| match &receiver.link {
            Some(link) => of_link(link),
            None if receiver.wanted || receiver.circuit.service() == Service::Out => {
                Some(receiver.circuit.retry_ms().max(receiver.resume_ms).max(0.0))
            }
            None => None,
        };
        let lag = |receiver: &Receiver| receiver.behind_ms.map(|since| since + rules.lag_ms);
        let receivers = self.receivers.iter().flatten();
        let due = receivers.flat_map(|receiver| [of_receiver(receiver), lag(receiver)]).flatten();
        due.chain(self.hold.map(|(_, until)| until)).min_by(f64::total_cmp)
    }

    // ---- events ----

    fn interval(&mut self, now: f64, snapshot: Snapshot, out: &mut Vec<Action>) {
        let dropped = self.spool.lost().1;
        let number = self.spool.push(now, snapshot);
        let pause_ms = self.rules.spread_ms * share(&mut self.random);
        self.hold = (!self.leaving).then_some((number, now + pause_ms));
        let intervals = self.spool.lost().1;
        if intervals > dropped {
            out.push(Action::Tell(Notice::Dropped { intervals }));
        }
    }

    fn taken(&mut self, now: f64, at: u8, number: u64, upto: u64, over: bool, out: &mut Vec<Action>) {
        let Some(link) = self.link(at, number) else { return };
        let probe = std::mem::replace(&mut link.probe, false);
        let n = link.sent.iter().take_while(|sent| sent.send <= upto).count();
        let taken: Vec<Sent> = link.sent.drain(..n).collect();
        let early = over && !link.sent.is_empty();
        if taken.is_empty() && !over {
            return;
        }
        self.figures.receipts += 1;
        let bit = 1_u32 << at;
        for (number, points) in taken.into_iter().filter_map(|sent| sent.points) {
            let Some(marks) = self.spool.marks(number, self.paths.len()) else { continue };
            for point in points.iter().map(|point| usize::from(*point)) {
                marks.flying[point] &= !bit;
                marks.taken[point] |= bit;
            }
        }
        if early {
            // It closed without having read all: what is left is in doubt.
            return self.broke(now, at, Break::Closed, out);
        }
        let pause_ms = if self.leaving { 0.0 } else { self.rules.pace_ms * share(&mut self.random) };
        let Some(receiver) = self.receivers[usize::from(at)].as_mut() else { return };
        if over {
            receiver.link = None;
            receiver.resume_ms = now + pause_ms;
        }
        if receiver.circuit.succeeded(now) {
            receiver.grant = 1;
            out.push(Action::Tell(Notice::Back { receiver: receiver.name.clone() }));
        } else if !probe {
            receiver.grant = (receiver.grant * 2).min(self.rules.spool.window);
        }
    }

    /// A connection is over, and all that was not taken on it in doubt.
    fn broke(&mut self, now: f64, at: u8, why: Break, out: &mut Vec<Action>) {
        let Some(receiver) = self.receivers[usize::from(at)].as_mut() else { return };
        let Some(link) = receiver.link.take() else { return };
        let bit = 1_u32 << at;
        let mut doubt = 0;
        for (number, points) in link.sent.into_iter().filter_map(|sent| sent.points) {
            doubt += points.len();
            let Some(marks) = self.spool.marks(number, self.paths.len()) else { continue };
            points.iter().for_each(|point| marks.flying[usize::from(*point)] &= !bit);
        }
        self.figures.breaks += 1;
        self.figures.doubted += doubt as u64;
        receiver.grant = 1;
        let name = receiver.name.clone();
        let lost = why != Break::Removed && receiver.circuit.failed(now, &mut self.random);
        out.push(Action::Tell(Notice::Ended { receiver: name.clone(), why, doubt }));
        if lost {
            out.push(Action::Tell(Notice::Lost { receiver: name, why }));
        }
    }

    fn give_up(&mut self, now: f64, at: u8, why: Break, out: &mut Vec<Action>) {
        let link = self.receivers[usize::from(at)].as_ref().and_then(|receiver| receiver.link.as_ref());
        if let Some(link) = link {
            out.push(Action::Abandon { receiver: at, link: link.number });
            self.broke(now, at, why, out);
        }
    }

    fn set_receivers(&mut self, names: &[String], out: &mut Vec<Action>) {
        for at in 0..self.receivers.len() {
            let gone = self.receivers[at].as_ref().is_some_and(|receiver| !names.contains(&receiver.name));
            if gone {
                self.give_up(0.0, at as u8, Break::Removed, out);
                self.receivers[at] = None;
            }
        }
        for name in names.iter().take(ring::MOST) {
            if self.receivers.iter().flatten().any(|receiver| receiver.name == *name) {
                continue;
            }
            let receiver = Receiver {
                name: name.clone(),
                circuit: Circuit::new(self.rules.circuit),
                link: None,
                grant: self.rules.spool.window,
                wanted: false,
                resume_ms: f64::NEG_INFINITY,
                behind_ms: None,
            };
            let at = self.free_slot();
            self.receivers[at] = Some(receiver);
        }
        let named = self.receivers.iter().enumerate();
        let named = named.filter_map(|(at, receiver)| Some((at as u8, receiver.as_ref()?.name.as_str())));
        let ring = Ring::new(named);
        self.preferences = self.paths.iter().map(|path| ring.preference(path)).collect();
    }

    /// A slot that no point knows, or failing that any free one: its bits are cleared.
    fn free_slot(&mut self) -> usize {
        let known = self.spool.all_marks().fold(0, |known, marks| {
            marks.taken.iter().chain(&marks.flying).fold(known, |known, set| known | set)
        });
        let free: Vec<usize> =
            (0..ring::MOST).filter(|at| !matches!(self.receivers.get(*at), Some(Some(_)))).collect();
        let at = free.iter().copied().find(|at| known & (1 << at) == 0).or(free.first().copied());
        let at = at.unwrap_or(ring::MOST - 1);
        for marks in self.spool.all_marks() {
            marks.taken.iter_mut().chain(&mut marks.flying).for_each(|set| *set &= !(1 << at));
        }
        if self.receivers.len() <= at {
            self.receivers.resize_with(at + 1, || None);
        }
        at
    }

    // ---- what follows ----

    fn drive(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.hold.is_some_and(|(_, until)| now >= until) {
            self.hold = None;
        }
        self.deadlines(now, out);
        let copies = self.rules.copies.min(self.in_service()).max(1);
        self.spool.settle(|marks| marks.taken.iter().all(|taken| taken.count_ones() >= copies));
        for at in 0..self.receivers.len() {
            if self.receivers[at].is_some() {
                self.serve(now, at as u8, out);
            }
        }
        self.watch_lag(now, out);
    }

    fn deadlines(&mut self, now: f64, out: &mut Vec<Action>) {
        let rules = self.rules;
        for at in 0..self.receivers.len() {
            let Some(link) = self.receivers[at].as_mut().and_then(|receiver| receiver.link.as_mut()) else {
                continue;
            };
            let stuck = link
                .unwritten
                .is_some_and(|(since, moved)| now >= since + rules.progress.1 && moved < rules.progress.0);
            let overdue = |since: f64| now >= since + rules.receipt_wait_ms;
            let first = link.sent.front().filter(|_| rules.receipts == Receipts::ByItself);
            let why = if !link.open {
                (now >= link.began_ms + rules.connect_wait_ms).then_some(Break::ConnectLate)
            } else if stuck {
                Some(Break::NoProgress)
            } else if link.asked_ms.is_some_and(overdue) || first.is_some_and(|sent| overdue(sent.at_ms)) {
                Some(Break::NoReceipt)
            } else {
                None
            };
            if let Some((since, moved)) = link.unwritten
                && now >= since + rules.progress.1
            {
                // Enough for this while; what is left is measured anew, and so is the wait for its receipt.
                link.unwritten = Some((now, 0));
                link.asked_ms = link.asked_ms.map(|asked| if moved > 0 { now } else { asked });
            }
            if let Some(why) = why {
                self.give_up(now, at as u8, why, out);
            }
        }
    }

    fn serve(&mut self, now: f64, at: u8, out: &mut Vec<Action>) {
        let Some(receiver) = self.receivers[usize::from(at)].as_ref() else { return };
        let out_of_service = receiver.circuit.service() == Service::Out;
        let (state, grant) = (receiver.link.as_ref().map(|link| (link.open, link.asked_ms)), receiver.grant);
        match state {
            None => {
                let wanted = !out_of_service && self.work(now, at, 1).is_some();
                let Some(receiver) = self.receivers[usize::from(at)].as_mut() else { return };
                receiver.wanted = wanted;
                if (wanted || out_of_service) && now >= receiver.circuit.retry_ms().max(receiver.resume_ms) {
                    self.links += 1;
                    receiver.link = Some(Link {
                        number: self.links,
                        began_ms: now,
                        open: false,
                        probe: out_of_service,
                        asked_ms: None,
                        last_send: 0,
                        sent: VecDeque::new(),
                        unwritten: None,
                    });
                    out.push(Action::Open { receiver: at, link: self.links });
                }
            }
            Some((true, None)) if out_of_service => self.send(now, at, None, out),
            Some((true, None)) => {
                while let Some(work) = self.work(now, at, grant) {
                    self.send(now, at, Some(work), out);
                }
                self.finish(now, at, grant, out);
            }
            Some(_) => {}
        }
    }

    /// Asks for the receipt where it is time.
    fn finish(&mut self, now: f64, at: u8, grant: usize, out: &mut Vec<Action>) {
        let (rules, leaving) = (self.rules, self.leaving);
        let Some(link) = self.receivers[usize::from(at)].as_mut().and_then(|r| r.link.as_mut()) else {
            return;
        };
        let full = intervals(link).count() >= grant;
        let old = now >= link.began_ms + rules.receipt_ms;
        if rules.receipts == Receipts::OnClose && !link.sent.is_empty() && (full || old || leaving) {
            link.asked_ms = Some(now);
            out.push(Action::Finish { receiver: at, link: link.number });
        }
    }

    /// Sends points of one interval, or else a probe, whose receipt is asked for at once.
    fn send(&mut self, now: f64, at: u8, work: Option<(u64, Rc<[u16]>)>, out: &mut Vec<Action>) {
        let load = match &work {
            None => Load::Probe,
            Some((number, points)) => {
                let Some(interval) = self.spool.interval(*number) else { return };
                let Some(marks) = self.spool.marks(*number, self.paths.len()) else { return };
                points.iter().for_each(|point| marks.flying[usize::from(*point)] |= 1 << at);
                self.figures.sent += points.len() as u64;
                Load::Points(Rc::new(interval), points.clone())
            }
        };
        let Some(link) = self.receivers[usize::from(at)].as_mut().and_then(|r| r.link.as_mut()) else {
            return;
        };
        if work.is_none() && !link.sent.is_empty() {
            return;
        }
        link.last_send += 1;
        link.unwritten = link.unwritten.or(Some((now, 0)));
        link.sent.push_back(Sent { send: link.last_send, at_ms: now, points: work });
        let (number, send) = (link.number, link.last_send);
        out.push(Action::Send { receiver: at, link: number, send, load });
        if matches!(link.sent.back(), Some(Sent { points: None, .. }))
            && self.rules.receipts == Receipts::OnClose
        {
            link.asked_ms = Some(now);
            out.push(Action::Finish { receiver: at, link: number });
        }
    }

    /// The oldest interval of which points are to be sent to this receiver now, and these.
    fn work(&self, now: f64, at: u8, grant: usize) -> Option<(u64, Rc<[u16]>)> {
        let receiver = self.receivers[usize::from(at)].as_ref()?;
        let under_way: Vec<u64> = receiver.link.iter().flat_map(intervals).collect();
        let held = |number: u64| self.hold.is_some_and(|(newest, _)| newest == number);
        let may = |number: &u64| !held(*number) && (under_way.contains(number) || under_way.len() < grant);
        for entry in self.spool.window().filter(|entry| may(&entry.number)) {
            let points = (0..self.paths.len())
                .filter(|point| self.targets(now, *point, entry.marks.as_ref()) & (1 << at) != 0);
            let points: Rc<[u16]> = points.map(|point| point as u16).collect();
            if !points.is_empty() {
                return Some((entry.number, points));
            }
        }
        None
    }

    /// The receivers that a point is to be sent to now, a bit each: the first on the ring that are in service and
    /// have it neither taken nor under way, as many as copies are wanting. One that has just come back counts only
    /// for the paths that it has taken back, unless there is no other.
    fn targets(&self, now: f64, point: usize, marks: Option<&Marks>) -> u32 {
        let known = marks.map_or(0, |marks| marks.taken[point] | marks.flying[point]);
        let mut wanting = self.rules.copies.max(1).saturating_sub(known.count_ones());
        let mut targets = 0;
        for least_share in [self.places[point], 0.0] {
            for at in &self.preferences[point] {
                if wanting == 0 {
                    return targets;
                }
                let Some(receiver) = &self.receivers[usize::from(*at)] else { continue };
                let serves =
                    receiver.circuit.service() == Service::In && receiver.circuit.share(now) >= least_share;
                if serves && (known | targets) & (1 << at) == 0 {
                    targets |= 1 << at;
                    wanting -= 1;
                }
            }
        }
        targets
    }

    /// One that alone holds the window up while others have nothing to do goes out of service, so that they get on.
    fn watch_lag(&mut self, now: f64, out: &mut Vec<Action>) {
        let owes = |link: &Link, number: u64| intervals(link).any(|n| n == number);
        let Some(oldest) = self.spool.window().next().map(|entry| entry.number) else {
            self.receivers.iter_mut().flatten().for_each(|receiver| receiver.behind_ms = None);
            return;
        };
        let full = self.spool.size().0 > self.rules.spool.window;
        let in_service = |receiver: &&Receiver| receiver.circuit.service() == Service::In;
        let idle = |receiver: &Receiver| {
            !receiver.wanted && receiver.link.as_ref().is_none_or(|l| l.sent.is_empty())
        };
        let others_wait = self.receivers.iter().flatten().filter(in_service).any(idle);
        for receiver in self.receivers.iter_mut().flatten() {
            let owing = receiver.wanted || receiver.link.as_ref().is_some_and(|link| owes(link, oldest));
            let behind = full && others_wait && owing && receiver.circuit.service() == Service::In;
            receiver.behind_ms = behind.then(|| receiver.behind_ms.unwrap_or(now));
        }
        for at in 0..self.receivers.len() {
            let Some(receiver) = self.receivers[at].as_mut() else { continue };
            if receiver.behind_ms.is_none_or(|since| now < since + self.rules.lag_ms) {
                continue;
            }
            receiver.behind_ms = None;
            receiver.circuit.tire();
            if receiver.link.is_some() {
                self.give_up(now, at as u8, Break::Lagging, out);
            } else if receiver.circuit.failed(now, &mut self.random) {
                out.push(Action::Tell(Notice::Lost { receiver: receiver.name.clone(), why: Break::Lagging }));
            }
        }
    }

    fn in_service(&self) -> u32 {
        let is_in = |receiver: &&Receiver| receiver.circuit.service() == Service::In;
        self.receivers.iter().flatten().filter(is_in).count() as u32
    }

    fn link(&mut self, receiver: u8, number: u64) -> Option<&mut Link> {
        let link = self.receivers.get_mut(usize::from(receiver))?.as_mut()?.link.as_mut()?;
        (link.number == number).then_some(link)
    }
}

/// A random share, 0 to 1.
fn share(random: &mut Pcg64Mcg) -> f64 {
    f64::from(random.next_u32()) / f64::from(u32::MAX)
}

/// The intervals under way on a connection.
fn intervals(link: &Link) -> impl Iterator<Item = u64> {
    let mut seen = Vec::new();
    for (number, _) in link.sent.iter().filter_map(|sent| sent.points.as_ref()) {
        if !seen.contains(number) {
            seen.push(*number);
        }
    }
    seen.into_iter()
}
