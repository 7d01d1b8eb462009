//! A directory of segment files that serves [`DiskRequest`]s on a thread of its own, so that a slow disk
//! blocks no other thread.
//!
//! This module owns the directory, its lock file and the open segment file. The store decides what is
//! written.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use async_channel::{Receiver, Sender, bounded};
use rustix::fs::{FlockOperation, flock};
use thiserror::Error;

use crate::disk::{DiskError, DiskRequest, DiskResponse};

/// Extension of segment files; their stem is the segment number as 16 hexadecimal digits.
const SEGMENT_EXTENSION: &str = ".log";
/// Name of the lock file.
const LOCK_FILE_NAME: &str = "lock";

/// Why a directory cannot be opened.
#[derive(Debug, Error)]
pub enum OpenError {
    /// Another process, or another [`SegmentDirectory`] of this process, holds the lock.
    #[error("store directory {} is locked by another process or another store of this process", .0.display())]
    InUse(PathBuf),
    /// An I/O error while opening.
    #[error("cannot open store directory {}: {_1}", .0.display())]
    Io(PathBuf, io::Error),
}

/// A locked directory with its worker thread. The thread ends and releases the lock once this value is
/// dropped and the request in progress is finished.
#[derive(Debug)]
pub struct SegmentDirectory {
    /// Sends requests, one at a time.
    pub requests: Sender<DiskRequest>,
    /// Receives the responses, in the order of the requests.
    pub responses: Receiver<Result<DiskResponse, DiskError>>,
}

impl SegmentDirectory {
    /// Creates the directory if it is missing, locks it and starts the worker thread.
    ///
    /// # Errors
    /// [`OpenError::InUse`] while another process, or another `SegmentDirectory` of this process, holds the
    /// lock.
    pub fn open(path: &Path) -> Result<SegmentDirectory, OpenError> {
        let io_error = |error| OpenError::Io(path.to_owned(), error);
        fs::create_dir_all(path).map_err(io_error)?;
        let lock = lock_directory(path)?;
        let handle = File::open(path).map_err(io_error)?;
        let worker = DirectoryWorker { path: path.to_owned(), handle, open_segment: None, _lock: lock };
        let (requests, request_receiver) = bounded(1);
        let (response_sender, responses) = bounded(1);
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || worker.run(&request_receiver, &response_sender))
            .map_err(io_error)?;
        Ok(SegmentDirectory { requests, responses })
    }
}

fn lock_directory(path: &Path) -> Result<File, OpenError> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path.join(LOCK_FILE_NAME))
        .map_err(|error| OpenError::Io(path.to_owned(), error))?;
    match flock(&lock, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(lock),
        Err(rustix::io::Errno::WOULDBLOCK) => Err(OpenError::InUse(path.to_owned())),
        Err(error) => Err(OpenError::Io(path.to_owned(), error.into())),
    }
}

/// The state of the worker thread.
struct DirectoryWorker {
    path: PathBuf,
    /// Handle of the directory, for syncing it.
    handle: File,
    /// Number and file of the segment that was created, appended to or synced last.
    open_segment: Option<(u64, File)>,
    /// The locked file: closing it when the worker ends releases the lock.
    _lock: File,
}

impl DirectoryWorker {
    /// Serves requests until either channel is closed.
    fn run(mut self, requests: &Receiver<DiskRequest>, responses: &Sender<Result<DiskResponse, DiskError>>) {
        while let Ok(request) = requests.recv_blocking() {
            let response = self.serve(request).map_err(|error| disk_error(&error));
            if responses.send_blocking(response).is_err() {
                return;
            }
        }
    }

    fn serve(&mut self, request: DiskRequest) -> io::Result<DiskResponse> {
        match request {
            DiskRequest::List => return self.list().map(DiskResponse::Segments),
            DiskRequest::Read(number) => {
                return fs::read(self.segment_path(number)).map(DiskResponse::Contents);
            }
            DiskRequest::Create { segment, bytes } => self.create(segment, &bytes)?,
            DiskRequest::Append { segment, offset, bytes } => {
                self.open_segment(segment)?.write_all_at(&bytes, offset)?;
            }
            DiskRequest::Sync(number) => self.open_segment(number)?.sync_data()?,
            DiskRequest::Remove(number) => self.remove(number)?,
        }
        Ok(DiskResponse::Done)
    }

    fn list(&self) -> io::Result<Vec<u64>> {
        let mut numbers = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name();
            let digits = name.to_str().and_then(|name| name.strip_suffix(SEGMENT_EXTENSION));
            numbers.extend(digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()));
        }
        Ok(numbers)
    }

    fn create(&mut self, number: u64, bytes: &[u8]) -> io::Result<()> {
        let path = self.segment_path(number);
        let mut file = OpenOptions::new().create(true).truncate(true).write(true).open(path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        self.handle.sync_all()?;
        self.open_segment = Some((number, file));
        Ok(())
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        if self.open_segment.as_ref().is_some_and(|(open, _)| *open == number) {
            self.open_segment = None;
        }
        fs::remove_file(self.segment_path(number))?;
        self.handle.sync_all()
    }

    /// Returns the file of a segment, and opens it unless it is open already.
    fn open_segment(&mut self, number: u64) -> io::Result<&File> {
        if self.open_segment.as_ref().is_none_or(|(open, _)| *open != number) {
            let file = OpenOptions::new().write(true).open(self.segment_path(number))?;
            self.open_segment = Some((number, file));
        }
        self.open_segment.as_ref().map(|(_, file)| file).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn segment_path(&self, number: u64) -> PathBuf {
        self.path.join(format!("{number:016x}{SEGMENT_EXTENSION}"))
    }
}

fn disk_error(error: &io::Error) -> DiskError {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    match error.kind() {
        StorageFull | QuotaExceeded | FileTooLarge => DiskError::Full,
        _ => DiskError::Failed,
    }
}
