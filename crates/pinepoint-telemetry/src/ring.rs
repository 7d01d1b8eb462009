//! A consistent-hash ring over receivers (Karger et al., "Consistent Hashing and Random Trees", 1997). It owns which
//! receivers a path prefers, in order; it must never know which of them is in service.

use xxhash_rust::xxh3::xxh3_64;

/// Points of each receiver on the ring: with ten receivers the shares are within about 5 % of even.
pub const POINTS: usize = 512;
/// Most receivers of a ring.
pub const MOST: usize = 32;

/// The ring. Receivers are known by a slot below [`MOST`]; their points follow from their names alone, so that every
/// process that was told the same names agrees, in whatever order it was told.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    points: Vec<(u64, u8)>,
    receivers: usize,
}

impl Ring {
    /// A ring of these receivers: slot and name. At most [`MOST`].
    pub fn new<'a>(receivers: impl IntoIterator<Item = (u8, &'a str)>) -> Self {
        let mut ring = Ring::default();
        for (slot, name) in receivers.into_iter().take(MOST) {
            ring.receivers += 1;
            let point = |n: usize| (xxh3_64(format!("{name}#{n}").as_bytes()), slot);
            ring.points.extend((0..POINTS).map(point));
        }
        ring.points.sort_unstable();
        ring
    }

    /// All receivers in the order in which this path prefers them.
    pub fn preference(&self, path: &str) -> Box<[u8]> {
        let hash = xxh3_64(path.as_bytes());
        let start = self.points.partition_point(|(point, _)| *point < hash);
        let mut order = Vec::with_capacity(self.receivers);
        let mut met = 0_u32;
        for (_, slot) in self.points[start..].iter().chain(&self.points[..start]) {
            if met & (1 << slot) == 0 {
                met |= 1 << slot;
                order.push(*slot);
                if order.len() == self.receivers {
                    break;
                }
            }
        }
        order.into()
    }
}

/// Where a path stands among all, 0 to 1, whatever the ring: by it paths are moved in steps.
pub fn place(path: &str) -> f64 {
    // Another hash than the ring's, or the paths of one receiver would all stand together.
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(path.as_bytes(), 1);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

#[cfg(test)]
mod tests;
