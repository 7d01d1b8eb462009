//! What the platform demands of the program beside its protocol: linked dynamically against the C library, one process,
//! no calls that it refuses, no sockets but TCP and UDP over IPv4. `.ci/run` runs this with the release profile, so that
//! the program is the one that the platform starts.

mod scenario;

use std::collections::BTreeMap;

use goblin::elf::Elf;
use procfs::process::{FDTarget, Process};
use scenario::{Options, World};

#[test]
fn it_is_linked_dynamically_against_the_c_library() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_pinepoint")).expect("built");
    let elf = Elf::parse(&bytes).expect("an ELF file");
    assert!(elf.interpreter.is_some(), "no dynamic loader is asked for");
    assert!(elf.libraries.contains(&"libc.so.6"), "not linked against the C library: {:?}", elf.libraries);
}

#[test]
fn only_a_build_for_tests_can_have_its_clock_set_off() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_pinepoint")).expect("built");
    let way = b"PINEPOINT_TEST_CLOCK";
    let found = bytes.windows(way.len()).any(|window| window == way);
    assert_eq!(found, cfg!(debug_assertions));
}

/// The process itself: no children, and only descriptors that the platform knows. Returns how many of each sort.
fn look(pid: u32) -> BTreeMap<String, usize> {
    let process = Process::new(pid as i32).expect("it runs");
    for task in process.tasks().expect("its threads").flatten() {
        assert_eq!(task.children().expect("its children"), Vec::<u32>::new(), "it started a process");
    }
    let ipv4: BTreeMap<u64, &str> = [
        ("tcp", process.tcp().expect("its TCP sockets").into_iter().map(|s| s.inode).collect::<Vec<_>>()),
        ("udp", process.udp().expect("its UDP sockets").into_iter().map(|s| s.inode).collect()),
    ]
    .into_iter()
    .flat_map(|(sort, inodes)| inodes.into_iter().map(move |inode| (inode, sort)))
    .collect();
    let other: Vec<u64> = {
        let tcp6 = process.tcp6().unwrap_or_default().into_iter().map(|s| s.inode);
        tcp6.chain(process.udp6().unwrap_or_default().into_iter().map(|s| s.inode)).collect()
    };
    let unix: BTreeMap<u64, Option<std::path::PathBuf>> =
        process.unix().expect("Unix sockets").into_iter().map(|s| (s.inode, s.path)).collect();
    let mut sorts = BTreeMap::new();
    for fd in process.fd().expect("its descriptors").flatten() {
        let sort = match fd.target {
            // Inherited, or the log's pipe.
            FDTarget::Path(_) | FDTarget::Pipe(_) => "file or pipe".to_owned(),
            FDTarget::AnonInode(kind) => {
                assert!(!kind.contains("io_uring"), "io_uring is refused there");
                kind
            }
            FDTarget::Socket(inode) => {
                assert!(!other.contains(&inode), "a socket over IPv6");
                match (ipv4.get(&inode), unix.get(&inode)) {
                    (Some(sort), _) => (*sort).to_owned(),
                    // That of the signals: a pair that nobody else can open.
                    (None, Some(path)) => {
                        assert_eq!(*path, None, "a Unix socket that others can open");
                        "own pair".to_owned()
                    }
                    // Made and not connected, or closed meanwhile.
                    (None, None) => "socket".to_owned(),
                }
            }
            other => panic!("{other:?} is nothing that the platform gives"),
        };
        *sorts.entry(sort).or_default() += 1;
    }
    sorts
}

/// A whole life as the platform has it: start, load with calls, keys and a caller that leaves, reload, drain, end. What
/// it holds is looked at between.
fn life(under: Vec<String>, look: impl Fn(u32) -> BTreeMap<String, usize>) {
    let options = Options { bare: true, under, ..Options::default() };
    let mut world = World::start_with(
        Box::new(scenario::idle_gauges),
        scenario::service(Box::new(|_| Vec::new())),
        options,
    );
    world.run(
        "engine wait ATTACH *
        engine send HELLO hot 9000
        members wait HB * UP",
    );
    let idle = look(world.pid());
    assert!(idle.get("tcp") >= Some(&1), "its listener: {idle:?}");
    for n in 1..=20 {
        let rid = format!("{n:0>16}");
        world.run(&format!(
            "rpc{} send {n} write rid={n} token=t{n} est=50 mem=40|work
            engine wait RUN {rid} write|work
            engine send NEED {} {rid}|ask
            store wait CALL {rid} *|ask
            store send {rid} OK|told
            engine wait FEED {rid}|told
            engine send DONE {} {rid} complete 1|report
            rpc{} wait [1 {n} nil *",
            n % 4,
            2 * n - 1,
            2 * n,
            n % 4
        ));
        look(world.pid());
    }
    world.run(
        "rpc1 close
        node send USR1
        node wait counters *
        node send config=cut-off
        node send HUP
        node wait reload-failed *
        node send config=moved
        node send HUP
        node wait reloaded *
        engine2 wait ATTACH *
        engine2 send HELLO hot 9000
        members2 wait HB * UP",
    );
    look(world.pid());
    world.run("node send TERM\nmembers2 wait HB * OUT");
    look(world.pid());
    world.run("node wait ended *\nnode wait exit 0");
}

#[test]
fn over_a_whole_life_it_holds_only_what_the_platform_gives() {
    life(Vec::new(), look);
}

/// Calls that the platform answers with an error, by name.
const REFUSED: [&str; 11] = [
    "fork",
    "vfork",
    "execve",
    "execveat",
    "io_uring_setup",
    "io_uring_enter",
    "io_uring_register",
    "splice",
    "vmsplice",
    "tee",
    "sendfile",
];

/// The same under a system-call tracer: `apt-get install strace`, then `cargo test --release --test platform --
/// --ignored --nocapture`. Prints how often each call was made.
#[test]
#[ignore = "needs strace"]
fn over_a_whole_life_it_makes_no_call_that_the_platform_refuses() {
    let file = std::env::temp_dir().join(format!("pinepoint-calls-{}", std::process::id()));
    let words = ["strace", "-D", "-f", "-qq", "-o", file.to_str().expect("a path in UTF-8")];
    life(words.map(str::to_owned).to_vec(), |_| BTreeMap::from([("tcp".into(), 1)]));
    let trace = std::fs::read_to_string(&file).expect("the tracer wrote");
    std::fs::remove_file(&file).expect("removed");
    let mut calls: BTreeMap<&str, u32> = BTreeMap::new();
    let mut sockets: BTreeMap<String, u32> = BTreeMap::new();
    for line in trace.lines() {
        // `PID name(arguments) = result`; the second half of an interrupted line names no new call.
        let Some((name, rest)) = line.split_once(' ').and_then(|(_, call)| call.trim().split_once('('))
        else {
            continue;
        };
        if !name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'_') {
            continue;
        }
        *calls.entry(name).or_default() += 1;
        if name == "socket" || name == "socketpair" {
            let words: Vec<&str> = rest.split([',', '|']).map(str::trim).take(2).collect();
            *sockets.entry(format!("{name} {}", words.join(" "))).or_default() += 1;
        }
        if name == "clone" || name == "clone3" {
            assert!(rest.contains("CLONE_THREAD"), "it started a process: {line}");
        }
    }
    println!("calls: {calls:?}\nsockets: {sockets:?}");
    assert!(calls["sendto"] > 20 && calls["accept4"] >= 4, "the tracer saw no life: {calls:?}");
    for name in REFUSED {
        // The one that started the program itself is the tracer's.
        let most = u32::from(name == "execve");
        assert!(calls.get(name).is_none_or(|n| *n <= most), "{name}: {}", calls[name]);
    }
    for sort in sockets.keys() {
        let known =
            ["socket AF_INET SOCK_STREAM", "socket AF_INET SOCK_DGRAM", "socketpair AF_UNIX SOCK_STREAM"];
        assert!(known.contains(&sort.as_str()), "{sort}");
    }
}
