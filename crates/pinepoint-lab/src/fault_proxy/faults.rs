//! The injected faults, and their effect on a datagram or a piece of a stream.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// An end of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// The process with this index.
    Member(usize),
    /// The store that all processes share.
    Store,
    /// The service registry.
    Registry,
    /// The routers. They are outside the fleet, and partitions do not affect them.
    Routers,
}

/// One direction of a network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// The sending endpoint.
    pub from: Endpoint,
    /// The receiving endpoint.
    pub to: Endpoint,
}

impl Direction {
    /// The direction from the first endpoint to the second.
    pub fn new(from: Endpoint, to: Endpoint) -> Direction {
        Direction { from, to }
    }

    /// The other direction of the same path.
    pub(super) fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// The faults to inject. Shares are from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of all traffic that is lost.
    pub loss: f64,
    /// Share of the traffic to these endpoints that is lost, if larger than `loss`.
    pub receive_loss: BTreeMap<Endpoint, f64>,
    /// Share of the datagrams that is duplicated.
    pub duplication: f64,
    /// Maximum delay, ms. Each datagram or piece of a stream has a delay drawn uniformly up to it, which
    /// reorders datagrams.
    pub delay_ms: u64,
    /// Directions in which nothing is forwarded.
    pub blocked: BTreeSet<Direction>,
    /// Partition of each endpoint. Endpoints in different partitions do not reach each other; endpoints that
    /// are not listed are in partition 0.
    pub partition: BTreeMap<Endpoint, usize>,
}

impl Faults {
    /// Whether traffic is forwarded in this direction.
    pub(super) fn allows(&self, direction: Direction) -> bool {
        let Direction { from, to } = direction;
        let is_outside = from == Endpoint::Routers || to == Endpoint::Routers;
        let same_partition = self.partition_of(from) == self.partition_of(to);
        (is_outside || same_partition) && !self.blocked.contains(&direction)
    }

    fn partition_of(&self, endpoint: Endpoint) -> usize {
        self.partition.get(&endpoint).copied().unwrap_or(0)
    }

    /// Draws whether a datagram or a piece of a stream to this endpoint is lost.
    pub(super) fn draw_loss(&self, to: Endpoint, rng: &mut Pcg64Mcg) -> bool {
        let receive_loss = self.receive_loss.get(&to).copied().unwrap_or(0.0);
        rng.random::<f64>() < self.loss.max(receive_loss)
    }

    /// Draws the number of copies of a datagram: 1, or 2 if it is duplicated.
    pub(super) fn draw_copies(&self, rng: &mut Pcg64Mcg) -> usize {
        if rng.random::<f64>() < self.duplication { 2 } else { 1 }
    }

    /// Draws a delay.
    pub(super) fn draw_delay(&self, rng: &mut Pcg64Mcg) -> Duration {
        Duration::from_millis(rng.random_range(0..=self.delay_ms))
    }
}
