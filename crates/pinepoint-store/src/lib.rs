//! What a comparer keeps over a power cut: named tables of keys and values that are over at some time, in a segmented log.
//!
//! What holds:
//! - A batch is there whole or not at all; the batches that are there after a crash are those up to some moment.
//! - A batch that was answered as durable is among them; one answered as written is, unless the power went.
//! - What had been synced and is not as it was is not believed: the store says where, and is not opened.
//! - After a sync that failed nothing that had not been synced before is believed, and nothing is written any more.
//! - Memory and disk are bounded; what would go beyond is refused before anything of it happened.
//!
//! What is not promised: that damage to the last group of batches is told from a crash while it was written; that a disk which
//! says that it synced did.
//!
//! [`store`] decides, on [`log`], the form on disk; [`disk`] is what it asks for, and [`files`] a directory that answers. Decisions do no I/O and read no clock.
//!
//! ```
//! use pinepoint_store::disk::{Done, Request};
//! use pinepoint_store::store::{Action, Event, Rules, Store};
//!
//! let mut out = Vec::new();
//! let mut store = Store::open(Rules::default(), 0.0, &mut out);
//! assert_eq!(out, [Action::Disk(Request::List)]);
//! out.clear();
//! store.handle(0.0, Event::Disk(Ok(Done::Listed(Vec::new()))), &mut out);
//! assert!(matches!(out[0], Action::Disk(Request::Create(1, _))));
//! store.handle(0.0, Event::Disk(Ok(Done::Well)), &mut out);
//! assert_eq!(out.last(), Some(&Action::Opened));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod disk;
pub mod files;
pub mod log;
pub mod store;
