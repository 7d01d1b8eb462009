//! What the measurement page of the store shows, on a real directory: batches a second that share a sync or not, the time of an opening by
//! entries, bytes an entry. `cargo bench -p pinepoint-store --bench measure -- commit --dir DIR`

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
enum What {
    /// Durable batches a second, by how many wait at once
    Commit,
    /// Time of an opening, and bytes an entry on disk and in memory, by entries
    Open,
}

#[derive(Parser)]
struct Cli {
    what: What,
    /// Where its files go
    #[arg(long)]
    dir: PathBuf,
    /// Batches of each run
    #[arg(long, default_value_t = 4096)]
    batches: u64,
    /// Turns
    #[arg(long, default_value_t = 5)]
    turns: usize,
    /// That cargo passes along.
    #[arg(long, hide = true)]
    bench: bool,
}

const NOW: f64 = 1e12;

fn options() -> Options {
    Options { segment_bytes: 4 << 20, disk_bytes: 4 << 30, memory_bytes: 2 << 30, ..Options::default() }
}

/// Writes the entries of these numbers, all of which wait at once.
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
    println!("| batches that wait at once | a second, median of {} turns | to one at a time |", cli.turns);
    let at_once = [1_u64, 8, 64, 512];
    let mut rates = vec![Vec::new(); at_once.len()];
    for turn in 0..cli.turns {
        for (at, n) in at_once.iter().enumerate() {
            let dir = directory(&cli.dir, &format!("{turn}-{n}"));
            let mut open = OpenStore::new(&dir, options(), NOW);
            // One at a time is slow: fewer are enough.
            let batches = if *n == 1 { cli.batches / 16 } else { cli.batches };
            let began = Instant::now();
            (0..batches / n).for_each(|round| put(&mut open, round * n..(round + 1) * n));
            rates[at].push(batches as f64 / began.elapsed().as_secs_f64());
            drop(open);
            let _ = std::fs::remove_dir_all(&dir);
        }
    }
    let middle = |mut all: Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let rates: Vec<f64> = rates.into_iter().map(middle).collect();
    for (n, rate) in at_once.iter().zip(&rates) {
        println!("| {n} | {rate:.0} | {:.1} |", rate / rates[0]);
    }
}

fn open(cli: &Cli) {
    println!("| entries | opening, ms, median of {} | bytes an entry on disk | in memory |", cli.turns);
    for entries in [10_000_u64, 100_000, 1_000_000] {
        let dir = directory(&cli.dir, &format!("open-{entries}"));
        let mut store = OpenStore::new(&dir, options(), NOW);
        (0..entries / 1000).for_each(|round| put(&mut store, round * 1000..(round + 1) * 1000));
        let (disk, memory) = (store.store.disk_bytes(), store.store.memory_bytes());
        drop(store);
        let mut took = Vec::new();
        for _ in 0..cli.turns {
            // The lock first: it is given up a moment after.
            while matches!(SegmentDirectory::open(&dir).map(drop), Err(OpenError::InUse(_))) {
                std::thread::yield_now();
            }
            let began = Instant::now();
            let open = OpenStore::new(&dir, options(), NOW);
            took.push(began.elapsed().as_secs_f64() * 1000.0);
            assert!(open.store.get(NOW, "ledger", &(entries - 1).to_be_bytes()).is_some());
        }
        took.sort_by(f64::total_cmp);
        let each = |bytes: f64| bytes / entries as f64;
        println!(
            "| {entries} | {:.1} | {:.0} | {:.0} |",
            took[took.len() / 2],
            each(disk as f64),
            each(memory as f64)
        );
        let _ = std::fs::remove_dir_all(&dir);
    }
}

fn main() {
    let cli = Cli::parse();
    match cli.what {
        What::Commit => commit(&cli),
        What::Open => open(&cli),
    }
}
