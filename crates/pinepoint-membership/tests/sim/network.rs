//! What the simulated network does to datagrams.

use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Fraction of all datagrams that is lost.
    pub loss: f64,
    /// Partition of each member; empty for a network that is whole. Members of different partitions do not hear each other.
    pub partitions: Vec<usize>,
    /// Links that lose everything from the first member to the second.
    pub cut_links: Vec<(usize, usize)>,
    /// Fraction that is lost of what these members are sent.
    pub receive_loss: BTreeMap<usize, f64>,
    /// Fraction that is delivered twice.
    pub duplication: f64,
    /// Largest delay, ms.
    pub max_delay_ms: f64,
    /// What becomes of the datagram of this number, counted from the last [`super::Simulation::clear_records`].
    pub datagram_fault: Option<(u64, DatagramFault)>,
}

/// What becomes of one datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DatagramFault {
    /// It is lost.
    Dropped,
    /// It is delivered so many periods later.
    Delayed(f64),
}

impl Network {
    /// Whether nothing gets from one member to another.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        let partition = |member: usize| self.partitions.get(member).copied().unwrap_or(0);
        partition(from) != partition(to) || self.cut_links.contains(&(from, to))
    }

    /// Fraction that is lost of what this member is sent.
    pub fn loss_towards(&self, to: usize) -> f64 {
        self.receive_loss.get(&to).copied().unwrap_or(0.0).max(self.loss)
    }
}
