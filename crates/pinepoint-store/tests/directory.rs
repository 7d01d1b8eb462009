//! The store on a real directory: the lock keeps a second opener out, and a process that is killed at any
//! moment loses no batch that was acknowledged as durable.

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
fn reopens_with_durable_entries_and_rejects_second_open() {
    let directory = TemporaryDirectory::new("again");
    let mut opened = open(&directory.0);
    for n in 0..300 {
        put(&mut opened, n, &format!("k{}", n % 40), n);
        assert_eq!(opened.actions.pop(), Some(Action::Complete { ticket: n, result: Ok(()) }));
    }
    assert!(matches!(SegmentDirectory::open(&directory.0), Err(OpenError::InUse(_))));
    drop(opened);
    let opened = open(&directory.0);
    for n in 260..300 {
        assert_eq!(get(&opened, &format!("k{}", n % 40)), Some(n));
    }
}

/// Not a test of its own: the child process of the next test, which kills it.
#[test]
fn child_writes_until_killed() {
    let Some(dir) = std::env::var_os("STORE_TEST_DIR") else { return };
    let mut opened = open(Path::new(&dir));
    let first = get(&opened, "n").map_or(0, |n| n + 1);
    for n in first.. {
        put(&mut opened, n, "n", n);
        println!("durable {n}");
    }
}

#[test]
fn killed_process_loses_no_durable_batch() {
    let directory = TemporaryDirectory::new("killed");
    let mut last_durable = None;
    for round in 0..12 {
        let test_program = std::env::current_exe().expect("path of this test program");
        let mut child = Command::new(test_program)
            .args(["--exact", "--nocapture", "child_writes_until_killed"])
            .env("STORE_TEST_DIR", &directory.0)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the child starts");
        let mut lines = BufReader::new(child.stdout.take().expect("the child's output")).lines();
        let parse_durable = |line: String| line.strip_prefix("durable ").and_then(|n| n.parse::<u64>().ok());
        let mut reported =
            lines.by_ref().map_while(Result::ok).filter_map(parse_durable).take(20 + 7 * round);
        last_durable = reported.by_ref().last().max(last_durable);
        child.kill().expect("the child is killed");
        // Batches that the child reported before it was killed have to be there too.
        last_durable = lines.map_while(Result::ok).filter_map(parse_durable).last().max(last_durable);
        child.wait().expect("the child ends");
        let opened = open(&directory.0);
        assert_eq!(opened.store.close_reason(), None);
        assert!(
            get(&opened, "n") >= last_durable,
            "round {round}: found {:?}, but {last_durable:?} was reported as durable",
            get(&opened, "n")
        );
    }
    assert!(last_durable > Some(500), "only {last_durable:?} was reported as durable");
}
