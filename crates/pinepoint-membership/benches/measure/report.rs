//! Parallel runs over seeds, and statistics for the printed rows.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of concurrent simulations.
pub static JOBS: AtomicU64 = AtomicU64::new(1);

/// Runs each seed below `seeds`, several concurrently, and shows progress on standard error. The results are
/// in no particular order.
pub fn run_seeds<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(0);
    let results = Mutex::new(Vec::new());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds {
                return;
            }
            let result = run(seed);
            let mut results = results.lock().expect("no thread panicked");
            results.push(result);
            eprint!("\r{} of {seeds} ", results.len());
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..JOBS.load(Ordering::Relaxed) {
            scope.spawn(work);
        }
    });
    eprint!("\r");
    results.into_inner().expect("no thread panicked")
}

/// Median, 99th percentile and maximum, as text.
pub fn percentiles(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let rank = |fraction: f64| ((values.len() as f64 * fraction).ceil() as usize).max(1) - 1;
    let text = |value: Option<&f64>| value.map_or("-".into(), |value| format!("{value:.1}"));
    let (median, p99) = (values.get(rank(0.5)), values.get(rank(0.99)));
    format!("{} / {} / {}", text(median), text(p99), text(values.last()))
}

/// The median of at least one value.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
