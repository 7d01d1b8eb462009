//! A small embedded store: named tables of keys and values with expiry times, kept in memory and in a
//! segmented write-ahead log.
//!
//! Guarantees:
//! - Batches are atomic. After a crash the tables hold the effects of all batches up to some batch, and of no
//!   later one.
//! - A batch that was acknowledged as [durable](store::Durability::Durable) survives a power loss; one
//!   acknowledged as [written](store::Durability::Written) survives the end of the process.
//! - Corruption of synced data is detected and located, and the store then refuses to open.
//! - After a failed sync all changes since the last successful sync are rolled back, and the store accepts no
//!   more writes.
//! - Memory and disk use are bounded; a batch that would exceed a bound is rejected without any effect.
//!
//! Not guaranteed: corruption of the last batches in the last segment cannot be distinguished from a crash
//! during their write, and a disk that acknowledges a sync without performing it is not detected.
//!
//! Modules: [`store`] is a state machine without I/O or a clock (events and the current time go in, actions
//! come out); [`mod@format`] is the on-disk format; [`disk`] defines the requests that the store sends to a
//! disk, and [`directory`] serves them from a directory of files.
//!
//! ```
//! use pinepoint_store::disk::{DiskRequest, DiskResponse};
//! use pinepoint_store::store::{Action, Event, Options, Store};
//!
//! let mut out = Vec::new();
//! let mut store = Store::open(Options::default(), 0.0, &mut out);
//! assert_eq!(out, [Action::Disk(DiskRequest::List)]);
//! out.clear();
//! store.handle(0.0, Event::DiskCompleted(Ok(DiskResponse::Segments(Vec::new()))), &mut out);
//! assert!(matches!(out[0], Action::Disk(DiskRequest::Create { segment: 1, .. })));
//! store.handle(0.0, Event::DiskCompleted(Ok(DiskResponse::Done)), &mut out);
//! assert_eq!(out.last(), Some(&Action::Opened));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod directory;
pub mod disk;
pub mod format;
pub mod store;
