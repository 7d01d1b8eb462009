//! The on-disk format, version 1: segment files that an earlier build of the program wrote
//! (`tests/fixtures/v1`) open with exactly the entries that were written, and the same writes still produce
//! the same bytes.

mod drive;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use drive::OpenStore;
use pinepoint_store::format::Change;
use pinepoint_store::store::{Action, Options};

const NOW: f64 = 1.7e12;

/// Small segments, so that the fixture has several.
fn options() -> Options {
    Options { segment_bytes: 2048, disk_bytes: 16 * 1024, memory_bytes: 64 * 1024, max_lazy_delay_ms: 5.0 }
}

fn fixture_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/v1")
}

/// Bytes of all segment files of a directory, by file name.
fn segment_files(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let paths = std::fs::read_dir(directory)
        .expect("the directory is readable")
        .map(|entry| entry.expect("the directory entry is readable").path());
    let segments = paths.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
    let files = segments.map(|path| {
        let name = path
            .file_name()
            .expect("the path has a file name")
            .to_str()
            .expect("the file name is ASCII")
            .to_owned();
        (name, std::fs::read(path).expect("the file is readable"))
    });
    files.collect()
}

fn change(table: &str, key: &str, value: Option<&[u8]>, expires_at_ms: f64) -> Change {
    Change {
        table: table.into(),
        key: key.as_bytes().to_vec(),
        value: value.map(<[u8]>::to_vec),
        expires_at_ms,
    }
}

/// The batches that the fixture was written from: changes in two tables, with overwritten, removed and
/// expiring entries.
fn batches() -> Vec<Vec<Change>> {
    let later = NOW + 1e9;
    let filler = |n: u8| change("a", &format!("filler-{}", n % 9), Some(&[n; 300]), later);
    let mut batches = vec![
        vec![change("a", "stays", Some(b"first"), later), change("b", "stays", Some(b"other table"), later)],
        vec![change("a", "removed", Some(b"x"), later), change("a", "empty", Some(b""), later)],
        vec![
            change("b", "overwritten", Some(b"old"), later),
            change("b", "expired", Some(b"y"), NOW + 1000.0),
        ],
        vec![change("a", "removed", None, later)],
        vec![],
    ];
    batches.extend((0..12).map(|n| vec![filler(n)]));
    batches
        .push(vec![change("b", "overwritten", Some(b"new"), later), change("b", "", Some(&[0, 255]), later)]);
    batches.push(vec![change("a", "stays", Some(b"second"), later)]);
    batches
}

/// Expected entries by table and key, at a time when the entry with the key `expired` has expired.
fn expected() -> Vec<(&'static str, &'static [u8], Vec<u8>)> {
    vec![
        ("a", b"empty", Vec::new()),
        ("a", b"filler-0", vec![9; 300]),
        ("a", b"filler-1", vec![10; 300]),
        ("a", b"filler-2", vec![11; 300]),
        ("a", b"filler-3", vec![3; 300]),
        ("a", b"filler-4", vec![4; 300]),
        ("a", b"filler-5", vec![5; 300]),
        ("a", b"filler-6", vec![6; 300]),
        ("a", b"filler-7", vec![7; 300]),
        ("a", b"filler-8", vec![8; 300]),
        ("a", b"stays", b"second".to_vec()),
        ("b", b"", vec![0, 255]),
        ("b", b"overwritten", b"new".to_vec()),
        ("b", b"stays", b"other table".to_vec()),
    ]
}

/// A directory for a store, removed when dropped.
struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    fn new(name: &str) -> TemporaryDirectory {
        let directory = std::env::temp_dir().join(format!("pinepoint-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("the directory is created");
        TemporaryDirectory(directory)
    }

    fn copy_of_fixture(name: &str) -> TemporaryDirectory {
        let copy = TemporaryDirectory::new(name);
        for (name, bytes) in segment_files(&fixture_directory()) {
            std::fs::write(copy.0.join(name), bytes).expect("the fixture is copied");
        }
        copy
    }

    fn open(&self, now: f64) -> OpenStore {
        let open = OpenStore::new(&self.0, options(), now);
        assert_eq!(open.actions, [Action::Opened]);
        open
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Table, key and value of all entries that have not expired.
fn entries(open: &OpenStore, now: f64) -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let mut found = Vec::new();
    for table in ["a", "b"] {
        let entries = open.store.entries(now, table);
        found.extend(entries.map(|(key, value)| (table, key.to_vec(), value.to_vec())));
    }
    found
}

#[test]
fn opens_segment_files_of_earlier_build() {
    let mut expected: Vec<_> =
        expected().into_iter().map(|(table, key, value)| (table, key.to_vec(), value)).collect();
    let copy = TemporaryDirectory::copy_of_fixture("format-after");
    assert_eq!(entries(&copy.open(NOW + 2000.0), NOW + 2000.0), expected);
    let copy = TemporaryDirectory::copy_of_fixture("format-before");
    let mut open = copy.open(NOW);
    expected.push(("b", b"expired".to_vec(), b"y".to_vec()));
    expected.sort();
    assert_eq!(entries(&open, NOW), expected);
    // A new batch is added to the existing entries, and all of them are found after the next opening.
    open.put(std::iter::once((1, vec![change("b", "new", Some(b"z"), NOW + 1e9)])));
    assert_eq!(open.actions, [Action::Opened, Action::Complete { ticket: 1, result: Ok(()) }]);
    drop(open);
    expected.push(("b", b"new".to_vec(), b"z".to_vec()));
    expected.sort();
    assert_eq!(entries(&copy.open(NOW), NOW), expected);
}

#[test]
fn same_writes_produce_same_bytes_as_earlier_build() {
    let directory = TemporaryDirectory::new("format-written");
    let mut open = directory.open(NOW);
    for (ticket, changes) in (1..).zip(batches()) {
        open.put(std::iter::once((ticket, changes)));
        assert_eq!(open.actions.pop(), Some(Action::Complete { ticket, result: Ok(()) }));
    }
    let written = segment_files(&directory.0);
    let fixture = segment_files(&fixture_directory());
    assert!(fixture.len() > 1, "the fixture needs several segments");
    assert!(written == fixture, "the bytes differ from those of format version 1");
}
