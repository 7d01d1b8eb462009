//! A directory that answers what the store asks of a disk, on a thread of its own: a disk that stands still for a second must not
//! hold up anybody. It owns the directory, its lock and its files; it must never decide what is written.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use async_channel::{Receiver, Sender, bounded};
use rustix::fs::{FlockOperation, flock};

use crate::disk::{DiskError, Done, Request};

const ENDING: &str = ".log";
const LOCK: &str = "lock";

/// Why a directory can't be used.
#[derive(Debug)]
pub enum OpenError {
    /// Another process has it.
    InUse(PathBuf),
    /// The system does not give it.
    System(PathBuf, io::Error),
}

impl std::fmt::Display for OpenError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OpenError::InUse(dir) => write!(f, "{} is in use by another process", dir.display()),
            OpenError::System(dir, error) => write!(f, "{}: {error}", dir.display()),
        }
    }
}

impl std::error::Error for OpenError {}

/// A directory with its thread, which ends with this value.
#[derive(Debug)]
pub struct Files {
    /// What is asked, one request at a time.
    pub requests: Sender<Request>,
    /// The answers, in the same order.
    pub answers: Receiver<Result<Done, DiskError>>,
}

struct Dir {
    path: PathBuf,
    handle: File,
    /// The segment that is written.
    open: Option<(u64, File)>,
    /// Held as long as this is.
    _lock: File,
}

impl Files {
    /// Makes the directory if it is not there, locks it and starts the thread.
    pub fn open(dir: &Path) -> Result<Files, OpenError> {
        let system = |error| OpenError::System(dir.to_owned(), error);
        fs::create_dir_all(dir).map_err(system)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(dir.join(LOCK));
        let lock = lock.map_err(system)?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|error| {
            if error == rustix::io::Errno::WOULDBLOCK {
                OpenError::InUse(dir.to_owned())
            } else {
                system(error.into())
            }
        })?;
        let handle = File::open(dir).map_err(system)?;
        let (requests, asked) = bounded(1);
        let (told, answers) = bounded(1);
        let mut dir = Dir { path: dir.to_owned(), handle, open: None, _lock: lock };
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || {
                while let Ok(request) = asked.recv_blocking() {
                    let answer = dir.answer(request).map_err(kind);
                    if told.send_blocking(answer).is_err() {
                        return;
                    }
                }
            })
            .map_err(system)?;
        Ok(Files { requests, answers })
    }
}

fn kind(error: io::Error) -> DiskError {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    match error.kind() {
        StorageFull | QuotaExceeded | FileTooLarge => DiskError::Full,
        _ => DiskError::Failed,
    }
}

impl Dir {
    fn file(&self, number: u64) -> PathBuf {
        self.path.join(format!("{number:016x}{ENDING}"))
    }

    /// The segment that is written; another is opened only when it is asked for.
    fn opened(&mut self, number: u64) -> io::Result<&File> {
        if self.open.as_ref().is_none_or(|(open, _)| *open != number) {
            let file = OpenOptions::new().write(true).open(self.file(number))?;
            self.open = Some((number, file));
        }
        self.open.as_ref().map(|(_, file)| file).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn answer(&mut self, request: Request) -> io::Result<Done> {
        match request {
            Request::List => {
                let mut numbers = Vec::new();
                for entry in fs::read_dir(&self.path)? {
                    let name = entry?.file_name();
                    let digits = name.to_str().and_then(|name| name.strip_suffix(ENDING));
                    numbers.extend(digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()));
                }
                return Ok(Done::Listed(numbers));
            }
            Request::Read(number) => return Ok(Done::Bytes(fs::read(self.file(number))?)),
            Request::Create(number, bytes) => {
                let mut file =
                    OpenOptions::new().create(true).truncate(true).write(true).open(self.file(number))?;
                file.write_all(&bytes)?;
                file.sync_all()?;
                self.handle.sync_all()?;
                self.open = Some((number, file));
            }
            Request::Append(number, offset, bytes) => self.opened(number)?.write_all_at(&bytes, offset)?,
            Request::Sync(number) => self.opened(number)?.sync_data()?,
            Request::Remove(number) => {
                if self.open.as_ref().is_some_and(|(open, _)| *open == number) {
                    self.open = None;
                }
                fs::remove_file(self.file(number))?;
                self.handle.sync_all()?;
            }
        }
        Ok(Done::Well)
    }
}
