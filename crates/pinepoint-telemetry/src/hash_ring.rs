//! A consistent-hash ring over receivers (Karger et al., "Consistent Hashing and Random Trees", 1997).
//!
//! The ring decides in which order a metric path prefers the receivers. It does not know which of them are in
//! service; the caller skips the others.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Points of each receiver on the ring: with ten receivers their shares are within about 5 % of even.
pub const POINTS_PER_RECEIVER: usize = 512;
/// Maximum number of receivers of a ring, so that a set of receivers fits into the bits of a `u32`.
pub const MAX_RECEIVERS: usize = 32;

/// A consistent-hash ring. Each receiver is identified by a slot below [`MAX_RECEIVERS`]. Its points depend
/// on its name alone, so that all processes with the same receivers agree, in whatever order the receivers
/// are configured.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    /// Hash and slot of each point, sorted by hash.
    points: Vec<(u64, u8)>,
    receivers: usize,
}

impl HashRing {
    /// Creates a ring of these receivers, given by slot and name; those past [`MAX_RECEIVERS`] are ignored.
    pub fn new<'a>(receivers: impl IntoIterator<Item = (u8, &'a str)>) -> Self {
        let mut ring = HashRing::default();
        for (slot, name) in receivers.into_iter().take(MAX_RECEIVERS) {
            ring.receivers += 1;
            let point = |n: usize| (xxh3_64(format!("{name}#{n}").as_bytes()), slot);
            ring.points.extend((0..POINTS_PER_RECEIVER).map(point));
        }
        ring.points.sort_unstable();
        ring
    }

    /// The slots of all receivers, in the order in which this path prefers them.
    pub fn preference(&self, path: &str) -> Box<[u8]> {
        let hash = xxh3_64(path.as_bytes());
        let start = self.points.partition_point(|(point, _)| *point < hash);
        let mut order = Vec::with_capacity(self.receivers);
        let mut seen = 0_u32;
        for (_, slot) in self.points[start..].iter().chain(&self.points[..start]) {
            if seen & (1 << slot) == 0 {
                seen |= 1 << slot;
                order.push(*slot);
                if order.len() == self.receivers {
                    break;
                }
            }
        }
        order.into()
    }
}

/// A hash of a path as a fraction, 0 to 1, independent of the ring. During a slow start, paths whose fraction
/// is below a rising threshold move first.
pub fn path_fraction(path: &str) -> f64 {
    // With the ring's own hash the paths of one receiver would have similar fractions.
    let hash = xxh3_64_with_seed(path.as_bytes(), 1);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

#[cfg(test)]
mod tests;
