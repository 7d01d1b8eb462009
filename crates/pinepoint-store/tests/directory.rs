//! The store over a real directory: a second process is kept out, and a process that is killed at any moment has lost nothing that
//! it was told is durable.

mod drive;

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use drive::OpenStore;
use pinepoint_store::directory::{OpenError, SegmentDirectory};
use pinepoint_store::format::Change;
use pinepoint_store::store::{Action, Options};

struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    fn new(name: &str) -> TemporaryDirectory {
        let path = std::env::temp_dir().join(format!("pinepoint-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TemporaryDirectory(path)
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const NOW: f64 = 1e12;

fn open(dir: &Path) -> OpenStore {
    OpenStore::new(dir, Options { segment_bytes: 4096, disk_bytes: 64 * 1024, ..Options::default() }, NOW)
}

fn put(open: &mut OpenStore, ticket: u64, key: &str, value: u64) {
    let (key, value) = (key.as_bytes().to_vec(), Some(value.to_le_bytes().to_vec()));
    let change = Change { table: "a".into(), key, value, expires_at_ms: NOW + 1e9 };
    open.put(std::iter::once((ticket, vec![change])));
}

fn get(open: &OpenStore, key: &str) -> Option<u64> {
    let value = open.store.get(NOW, "a", key.as_bytes())?;
    Some(u64::from_le_bytes(value.try_into().expect("eight bytes")))
}

#[test]
fn what_was_durable_is_there_again_and_a_second_opening_is_refused() {
    let directory = TemporaryDirectory::new("again");
    let mut held = open(&directory.0);
    for n in 0..300 {
        put(&mut held, n, &format!("k{}", n % 40), n);
        assert_eq!(held.actions.pop(), Some(Action::Complete { ticket: n, result: Ok(()) }));
    }
    assert!(matches!(SegmentDirectory::open(&directory.0), Err(OpenError::InUse(_))));
    drop(held);
    let held = open(&directory.0);
    for n in 260..300 {
        assert_eq!(get(&held, &format!("k{}", n % 40)), Some(n));
    }
}

/// Not a test of its own: what the next one kills.
#[test]
fn writes_until_it_is_killed() {
    let Some(dir) = std::env::var_os("STORE_TEST_DIR") else { return };
    let mut held = open(Path::new(&dir));
    let first = get(&held, "n").map_or(0, |n| n + 1);
    for n in first.. {
        put(&mut held, n, "n", n);
        println!("durable {n}");
    }
}

#[test]
fn a_process_that_is_killed_has_lost_nothing_that_was_durable() {
    let directory = TemporaryDirectory::new("killed");
    let mut known = None;
    for round in 0..12 {
        let own = std::env::current_exe().expect("this program");
        let mut child = Command::new(own)
            .args(["--exact", "--nocapture", "writes_until_it_is_killed"])
            .env("STORE_TEST_DIR", &directory.0)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let durable = |line: String| line.strip_prefix("durable ").and_then(|n| n.parse::<u64>().ok());
        let mut told = lines.by_ref().map_while(Result::ok).filter_map(durable).take(20 + 7 * round);
        known = told.by_ref().last().max(known);
        child.kill().expect("killed");
        // What it had told before is to be there too.
        known = lines.map_while(Result::ok).filter_map(durable).last().max(known);
        child.wait().expect("ended");
        let held = open(&directory.0);
        assert_eq!(held.store.close_reason(), None);
        assert!(
            get(&held, "n") >= known,
            "round {round}: {:?} is there, {known:?} was durable",
            get(&held, "n")
        );
    }
    assert!(known > Some(500), "{known:?}");
}
