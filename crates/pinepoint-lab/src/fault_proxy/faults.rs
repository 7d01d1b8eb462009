//! The faults that are injected, and what they mean for a datagram or a piece of a stream.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Who is at an end of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// The process of this number.
    Member(usize),
    /// The store that all share.
    Store,
    /// The list service.
    List,
    /// The routers. They are outside: partitions do not affect them.
    Routers,
}

/// One direction of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// Who sends.
    pub from: Endpoint,
    /// Who receives.
    pub to: Endpoint,
}

impl Direction {
    /// From the first endpoint to the second.
    pub fn new(from: Endpoint, to: Endpoint) -> Direction {
        Direction { from, to }
    }

    /// The other direction of the same path.
    pub(super) fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// The faults that are injected now. Shares are from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of all datagrams that is lost.
    pub loss: f64,
    /// Share that is lost of what these endpoints are sent, if it is larger.
    pub receive_loss: BTreeMap<Endpoint, f64>,
    /// Share of the datagrams that is duplicated.
    pub duplication: f64,
    /// Most delay, ms: drawn uniformly for each datagram, so that they are reordered.
    pub delay_ms: u64,
    /// Directions in which nothing goes.
    pub blocked: BTreeSet<Direction>,
    /// Partition of each endpoint; those of different partitions do not reach each other. Who is not listed is in 0.
    pub partition: BTreeMap<Endpoint, usize>,
}

impl Faults {
    /// Whether anything goes in this direction.
    pub(super) fn allows(&self, direction: Direction) -> bool {
        let Direction { from, to } = direction;
        let is_outside = from == Endpoint::Routers || to == Endpoint::Routers;
        let same_partition = self.partition_of(from) == self.partition_of(to);
        (is_outside || same_partition) && !self.blocked.contains(&direction)
    }

    fn partition_of(&self, endpoint: Endpoint) -> usize {
        self.partition.get(&endpoint).copied().unwrap_or(0)
    }

    /// Draws whether something to this endpoint is lost.
    pub(super) fn draw_loss(&self, to: Endpoint, rng: &mut Pcg64Mcg) -> bool {
        let receive_loss = self.receive_loss.get(&to).copied().unwrap_or(0.0);
        rng.random::<f64>() < self.loss.max(receive_loss)
    }

    /// Draws how often a datagram is sent: once, or twice if it is duplicated.
    pub(super) fn draw_copies(&self, rng: &mut Pcg64Mcg) -> usize {
        if rng.random::<f64>() < self.duplication { 2 } else { 1 }
    }

    /// Draws a delay.
    pub(super) fn draw_delay(&self, rng: &mut Pcg64Mcg) -> Duration {
        Duration::from_millis(rng.random_range(0..=self.delay_ms))
    }
}
