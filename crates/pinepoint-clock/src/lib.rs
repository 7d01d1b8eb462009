//! The one clock. It owns the notion of "now" for every crate of the workspace: Unix milliseconds as `f64`,
//! never going back, settable in tests. It must never be bypassed: nothing else reads a system clock.
//!
//! ```
//! let clock = pinepoint_clock::Clock::fixed(1_000.0);
//! clock.set(2_500.0);
//! assert_eq!(clock.now(), 2_500.0);
//! clock.set(1.0);
//! assert_eq!(clock.now(), 2_500.0, "it never goes back");
//! ```
//!
//! Tests of several processes set their clocks off from each other by the file that `PINEPOINT_TEST_CLOCK` names, which
//! holds ms and is read again now and then. Programs built for release have no such way.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;

/// A handle on the clock; clones share it.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The last time told, and when that was on the monotonic clock; nothing there for a fixed clock.
    last: Rc<Cell<(f64, Option<Instant>)>>,
}

impl Clock {
    /// The system's Unix clock.
    pub fn system() -> Self {
        Clock { last: Rc::new(Cell::new((0.0, Some(Instant::now())))) }
    }

    /// A clock that stands at this time until it is set.
    pub fn fixed(ms: f64) -> Self {
        Clock { last: Rc::new(Cell::new((ms, None))) }
    }

    /// Moves a fixed clock; the system's is left alone.
    pub fn set(&self, ms: f64) {
        if let (last, None) = self.last.get() {
            self.last.set((ms.max(last), None));
        }
    }

    /// The time now. Where the system's clock was set back, this one goes on from where it was: the decision
    /// module takes no time that goes back, and were it to stand still, no timer would go off.
    pub fn now(&self) -> f64 {
        let (last, Some(told)) = self.last.get() else { return self.last.get().0 };
        let unix =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs_f64() * 1000.0;
        #[cfg(debug_assertions)]
        let unix = unix + set_off::by_ms();
        let now = if unix >= last { unix } else { last + told.elapsed().as_secs_f64() * 1000.0 };
        self.last.set((now, Some(Instant::now())));
        now
    }

    /// Completes at this time.
    pub async fn until(&self, ms: f64) {
        let wait = (ms - self.now()).clamp(0.0, 86_400_000.0);
        Timer::at(Instant::now() + Duration::from_secs_f64(wait / 1000.0)).await;
    }

    /// Completes this much later.
    pub async fn pause(&self, ms: f64) {
        self.until(self.now() + ms).await;
    }
}

/// Of tests only: what this process's clock is off by.
#[cfg(debug_assertions)]
mod set_off {
    use std::cell::Cell;
    use std::path::PathBuf;
    use std::time::{Duration, Instant};

    /// Between two looks at the file.
    const EVERY: Duration = Duration::from_millis(1);

    thread_local! {
        static FILE: Option<PathBuf> = std::env::var_os("PINEPOINT_TEST_CLOCK").map(PathBuf::from);
        static LAST: Cell<(Option<Instant>, f64)> = const { Cell::new((None, 0.0)) };
    }

    pub fn by_ms() -> f64 {
        FILE.with(|file| {
            let Some(file) = file else { return 0.0 };
            let (looked, ms) = LAST.get();
            if looked.is_some_and(|at| at.elapsed() < EVERY) {
                return ms;
            }
            // A file that is just being written says nothing.
            let text = std::fs::read_to_string(file).unwrap_or_default();
            let ms = text.trim().parse().unwrap_or(ms);
            LAST.set((Some(Instant::now()), ms));
            ms
        })
    }
}
