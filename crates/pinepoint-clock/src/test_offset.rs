//! The clock offset of this process in tests of several processes. Only in debug builds.

use std::cell::Cell;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The environment variable with the path of the file that contains the offset, ms.
const FILE_VARIABLE: &str = "PINEPOINT_TEST_CLOCK";
/// How long an offset is cached before the file is read again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Clone, Copy)]
struct CachedOffset {
    read_at: Option<Instant>,
    ms: f64,
}

thread_local! {
    static FILE: Option<PathBuf> = std::env::var_os(FILE_VARIABLE).map(PathBuf::from);
    static CACHED: Cell<CachedOffset> = const { Cell::new(CachedOffset { read_at: None, ms: 0.0 }) };
}

/// The clock offset of this process, ms; 0 without a file.
pub fn offset_ms() -> f64 {
    FILE.with(|file| {
        let Some(file) = file else { return 0.0 };
        let cached = CACHED.get();
        if cached.read_at.is_some_and(|read_at| read_at.elapsed() < REFRESH_INTERVAL) {
            return cached.ms;
        }
        // The last offset stays in use if the file cannot be parsed, as while it is being replaced.
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let ms = text.trim().parse().unwrap_or(cached.ms);
        CACHED.set(CachedOffset { read_at: Some(Instant::now()), ms });
        ms
    })
}
