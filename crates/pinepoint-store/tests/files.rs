//! The store over a real directory: a second process is kept out, and a process that is killed at any moment has lost nothing that
//! it was told is durable.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

use pinepoint_store::files::{Files, OpenError};
use pinepoint_store::log::Change;
use pinepoint_store::store::{Action, Durability, Event, Rules, Store};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("pinepoint-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Open {
    store: Store,
    files: Files,
    answers: Vec<Action>,
}

impl Open {
    fn new(dir: &Path) -> Open {
        // Whoever had it gives its lock up when its thread hears that nobody asks any more.
        let files = loop {
            match Files::open(dir) {
                Ok(files) => break files,
                Err(OpenError::InUse(_)) => std::thread::yield_now(),
                Err(error) => panic!("{error}"),
            }
        };
        let mut out = Vec::new();
        let rules = Rules { segment_bytes: 4096, disk_bytes: 64 * 1024, ..Rules::default() };
        let store = Store::open(rules, 0.0, &mut out);
        let mut open = Open { store, files, answers: Vec::new() };
        open.carry_out(out);
        open
    }

    fn carry_out(&mut self, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                let Action::Disk(request) = action else {
                    self.answers.push(action);
                    continue;
                };
                self.files.requests.send_blocking(request).expect("the thread runs");
                let answer = self.files.answers.recv_blocking().expect("the thread answers");
                self.store.handle(now(), Event::Disk(answer), &mut next);
            }
            actions = next;
        }
    }

    fn put(&mut self, ticket: u64, key: &str, value: u64) {
        let (key, value) = (key.as_bytes().to_vec(), Some(value.to_le_bytes().to_vec()));
        let change = Change { table: "a".into(), key, value, end_ms: now() + 1e9 };
        let mut out = Vec::new();
        self.store.handle(now(), Event::Write(ticket, vec![change], Durability::Durable), &mut out);
        self.carry_out(out);
    }

    fn get(&self, key: &str) -> Option<u64> {
        let value = self.store.get(now(), "a", key.as_bytes())?;
        Some(u64::from_le_bytes(value.try_into().expect("eight bytes")))
    }
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64() * 1000.0
}

#[test]
fn what_was_durable_is_there_again_and_a_second_opening_is_refused() {
    let folder = Folder::new("again");
    let mut open = Open::new(&folder.0);
    for n in 0..300 {
        open.put(n, &format!("k{}", n % 40), n);
        assert_eq!(open.answers.pop(), Some(Action::Answer(n, Ok(()))));
    }
    assert!(matches!(Files::open(&folder.0), Err(OpenError::InUse(_))));
    drop(open);
    let open = Open::new(&folder.0);
    for n in 260..300 {
        assert_eq!(open.get(&format!("k{}", n % 40)), Some(n));
    }
}

/// Not a test of its own: what the next one kills.
#[test]
fn writes_until_it_is_killed() {
    let Some(dir) = std::env::var_os("STORE_TEST_DIR") else { return };
    let mut open = Open::new(Path::new(&dir));
    let first = open.get("n").map_or(0, |n| n + 1);
    for n in first.. {
        open.put(n, "n", n);
        println!("durable {n}");
    }
}

#[test]
fn a_process_that_is_killed_has_lost_nothing_that_was_durable() {
    let folder = Folder::new("killed");
    let mut known = None;
    for round in 0..12 {
        let own = std::env::current_exe().expect("this program");
        let mut child = Command::new(own)
            .args(["--exact", "--nocapture", "writes_until_it_is_killed"])
            .env("STORE_TEST_DIR", &folder.0)
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
        let open = Open::new(&folder.0);
        assert_eq!(open.store.shut(), None);
        assert!(open.get("n") >= known, "round {round}: {:?} is there, {known:?} was durable", open.get("n"));
    }
    assert!(known > Some(500), "{known:?}");
}
