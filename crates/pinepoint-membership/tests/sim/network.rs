//! The simulated network and its faults.

use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Fraction of all datagrams that are lost.
    pub loss: f64,
    /// Partition of each member. Empty for a network without partitions. No datagram passes between
    /// partitions.
    pub partitions: Vec<usize>,
    /// Links that lose all datagrams from the first member to the second.
    pub cut_links: Vec<(usize, usize)>,
    /// Per member, fraction of the datagrams sent to it that are lost.
    pub receive_loss: BTreeMap<usize, f64>,
    /// Fraction of all datagrams that are delivered twice.
    pub duplication: f64,
    /// Maximum delay of a datagram, ms.
    pub max_delay_ms: f64,
    /// Fault of the datagram of this number, counted from the last [`super::Simulation::clear_records`].
    pub datagram_fault: Option<(u64, DatagramFault)>,
}

/// Fault of one datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DatagramFault {
    /// The datagram is lost.
    Dropped,
    /// The datagram is delivered so many periods later.
    Delayed(f64),
}

impl Network {
    /// Whether all datagrams from one member to another are lost.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        let partition = |member: usize| self.partitions.get(member).copied().unwrap_or(0);
        partition(from) != partition(to) || self.cut_links.contains(&(from, to))
    }

    /// Fraction of the datagrams sent to this member that are lost.
    pub fn loss_towards(&self, to: usize) -> f64 {
        self.receive_loss.get(&to).copied().unwrap_or(0.0).max(self.loss)
    }
}
