//! Benchmark for the measurement page of the store, on a real directory: batches per second with and without
//! a shared sync, and the time to open and the bytes per entry by number of entries.
//!
//! `cargo bench -p pinepoint-store --bench measure -- commit --dir DIR`

#[path = "../tests/drive/mod.rs"]
mod drive;

use std::path::{Path, PathBuf};
use std::time::Instant;

use clap::{Parser, ValueEnum};
use drive::OpenStore;
use pinepoint_store::directory::{OpenError, SegmentDirectory};
use pinepoint_store::format::Change;
use pinepoint_store::store::Options;

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Measurement {
    /// Durable batches per second, by number of batches queued at once
    Commit,
    /// Time to open, and bytes per entry on disk and in memory, by number of entries
    Open,
}

#[derive(Parser)]
struct Cli {
    what: Measurement,
    /// Directory in which the stores are created
    #[arg(long)]
    dir: PathBuf,
    /// Number of batches in each run
    #[arg(long, default_value_t = 4096)]
    batches: u64,
    /// Number of runs of which the median is taken
    #[arg(long, default_value_t = 5)]
    turns: usize,
    /// Passed by `cargo bench`; has no effect.
    #[arg(long, hide = true)]
    bench: bool,
}

const NOW: f64 = 1e12;

fn options() -> Options {
    Options { segment_bytes: 4 << 20, disk_bytes: 4 << 30, memory_bytes: 2 << 30, ..Options::default() }
}

/// Writes one batch with one entry for each of these numbers, all queued at once.
fn put(open: &mut OpenStore, numbers: std::ops::Range<u64>) {
    open.put(numbers.map(|n| {
        let (key, value) = (n.to_be_bytes().to_vec(), Some(vec![n as u8; 64]));
        (n, vec![Change { table: "ledger".into(), key, value, expires_at_ms: NOW + 1e9 }])
    }));
}

fn directory(dir: &Path, name: &str) -> PathBuf {
    let directory = dir.join(format!("pinepoint-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    directory
}

fn commit(cli: &Cli) {
    println!(
        "| batches queued at once | batches per second, median of {} turns | relative to one at a time |",
        cli.turns
    );
    let group_sizes = [1_u64, 8, 64, 512];
    let mut rates = vec![Vec::new(); group_sizes.len()];
    for turn in 0..cli.turns {
        for (index, n) in group_sizes.iter().enumerate() {
            let dir = directory(&cli.dir, &format!("{turn}-{n}"));
            let mut open = OpenStore::new(&dir, options(), NOW);
            // One batch per sync is slow, so fewer batches are enough.
            let batches = if *n == 1 { cli.batches / 16 } else { cli.batches };
            let started_at = Instant::now();
            (0..batches / n).for_each(|round| put(&mut open, round * n..(round + 1) * n));
            rates[index].push(batches as f64 / started_at.elapsed().as_secs_f64());
            drop(open);
            let _ = std::fs::remove_dir_all(&dir);
        }
    }
    let median = |mut values: Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let rates: Vec<f64> = rates.into_iter().map(median).collect();
    for (n, rate) in group_sizes.iter().zip(&rates) {
        println!("| {n} | {rate:.0} | {:.1} |", rate / rates[0]);
    }
}

fn open(cli: &Cli) {
    println!("| entries | time to open, ms, median of {} | bytes per entry on disk | in memory |", cli.turns);
    for entries in [10_000_u64, 100_000, 1_000_000] {
        let dir = directory(&cli.dir, &format!("open-{entries}"));
        let mut store = OpenStore::new(&dir, options(), NOW);
        (0..entries / 1000).for_each(|round| put(&mut store, round * 1000..(round + 1) * 1000));
        let (disk, memory) = (store.store.disk_bytes(), store.store.memory_bytes());
        drop(store);
        let mut open_ms = Vec::new();
        for _ in 0..cli.turns {
            // Waits for the lock first: the worker thread of the dropped store releases it a moment later.
            while matches!(SegmentDirectory::open(&dir).map(drop), Err(OpenError::InUse(_))) {
                std::thread::yield_now();
            }
            let started_at = Instant::now();
            let open = OpenStore::new(&dir, options(), NOW);
            open_ms.push(started_at.elapsed().as_secs_f64() * 1000.0);
            assert!(open.store.get(NOW, "ledger", &(entries - 1).to_be_bytes()).is_some());
        }
        open_ms.sort_by(f64::total_cmp);
        let per_entry = |bytes: f64| bytes / entries as f64;
        println!(
            "| {entries} | {:.1} | {:.0} | {:.0} |",
            open_ms[open_ms.len() / 2],
            per_entry(disk as f64),
            per_entry(memory as f64)
        );
        let _ = std::fs::remove_dir_all(&dir);
    }
}

fn main() {
    let cli = Cli::parse();
    match cli.what {
        Measurement::Commit => commit(&cli),
        Measurement::Open => open(&cli),
    }
}
