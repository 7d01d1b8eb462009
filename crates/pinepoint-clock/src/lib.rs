//! The clock of all crates of the workspace: non-decreasing Unix milliseconds as `f64`, settable in tests. No
//! other code reads a system clock.
//!
//! ```
//! let clock = pinepoint_clock::Clock::fixed(1_000.0);
//! clock.set(2_500.0);
//! assert_eq!(clock.now(), 2_500.0);
//! clock.set(1.0);
//! assert_eq!(clock.now(), 2_500.0, "the clock never goes back");
//! ```
//!
//! Tests of several processes can give each process its own clock offset: the environment variable
//! `PINEPOINT_TEST_CLOCK` contains the path of a file with the offset in milliseconds. Release builds ignore
//! the variable.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

#[cfg(debug_assertions)]
mod test_offset;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;

/// Maximum time that [`Clock::until`] waits, ms: one day.
const MAX_WAIT_MS: f64 = 86_400_000.0;

/// A handle on a clock; clones share it.
#[derive(Clone, Debug)]
pub struct Clock {
    state: Rc<Cell<State>>,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// A clock that stands still.
    Fixed {
        /// The current time, Unix ms.
        now_ms: f64,
    },
    /// A clock that follows the system's Unix clock.
    System {
        /// The last returned time, Unix ms.
        last_ms: f64,
        /// When that time was returned, on the monotonic clock.
        read_at: Instant,
    },
}

impl Clock {
    /// A clock that follows the system's Unix clock.
    pub fn system() -> Self {
        Clock::with_state(State::System { last_ms: 0.0, read_at: Instant::now() })
    }

    /// A clock that stands at `ms` (Unix ms) until it is set.
    pub fn fixed(ms: f64) -> Self {
        Clock::with_state(State::Fixed { now_ms: ms })
    }

    fn with_state(state: State) -> Self {
        Clock { state: Rc::new(Cell::new(state)) }
    }

    /// Sets a fixed clock to `ms` (Unix ms), unless its current time is later. Has no effect on a system
    /// clock.
    pub fn set(&self, ms: f64) {
        if let State::Fixed { now_ms } = self.state.get() {
            self.state.set(State::Fixed { now_ms: ms.max(now_ms) });
        }
    }

    /// The current time, Unix ms. After the system's clock was set back, a system clock continues from the
    /// last returned time at the pace of the monotonic clock. Its time never goes back and never stands
    /// still, so that timers continue to fire.
    pub fn now(&self) -> f64 {
        let (last_ms, read_at) = match self.state.get() {
            State::Fixed { now_ms } => return now_ms,
            State::System { last_ms, read_at } => (last_ms, read_at),
        };
        let unix_ms = unix_ms();
        let now_ms = if unix_ms >= last_ms { unix_ms } else { last_ms + as_ms(read_at.elapsed()) };
        self.state.set(State::System { last_ms: now_ms, read_at: Instant::now() });
        now_ms
    }

    /// Waits until `ms` (Unix ms), but at most one day.
    pub async fn until(&self, ms: f64) {
        let wait_ms = (ms - self.now()).clamp(0.0, MAX_WAIT_MS);
        Timer::at(Instant::now() + Duration::from_secs_f64(wait_ms / 1000.0)).await;
    }

    /// Waits for `ms` milliseconds.
    pub async fn pause(&self, ms: f64) {
        self.until(self.now() + ms).await;
    }
}

/// The system's Unix clock, ms.
fn unix_ms() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let unix_ms = as_ms(since_epoch);
    #[cfg(debug_assertions)]
    let unix_ms = unix_ms + test_offset::offset_ms();
    unix_ms
}

fn as_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
