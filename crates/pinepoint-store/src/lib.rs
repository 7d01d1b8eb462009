//! A small embedded store: named tables of keys and values with expiry times, kept in memory and in a segmented write-ahead
//! log.
//!
//! Guarantees:
//! - Batches are atomic. After a crash the tables are as they were after some batch, with all batches before it applied.
//! - A batch that was acknowledged as [durable](store::Durability::Durable) survives a power loss; one acknowledged as
//!   [written](store::Durability::Written) survives the end of the process.
//! - Corruption of data that had been synced is detected and located, and the store is then not opened.
//! - After a failed sync all changes since the last successful sync are rolled back, and nothing is written any more.
//! - Memory and disk use are bounded; a batch that would exceed a bound is rejected without any effect.
//!
//! Not guaranteed: corruption of the last batches in the last segment cannot be told from a crash during their write, and a
//! disk that reports a sync that it did not do is trusted.
//!
//! Modules: [`store`] is a state machine without I/O or a clock (events and the time go in, actions come out); [`mod@format`] is the
//! on-disk format; [`disk`] defines the requests that the store makes of a disk, and [`directory`] serves them from a directory
//! of files.
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
