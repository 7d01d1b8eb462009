//! What the platform demands of the program beside its protocol: linked dynamically against the C library, one process,
//! no calls that it refuses, no sockets but TCP and UDP over IPv4. `.ci/run` runs this with the release profile, so that
//! the program is the one that the platform starts.

mod scenario;

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

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

/// Open descriptors by kind.
type DescriptorCounts = BTreeMap<String, usize>;

/// The sockets of the network namespace of a process, by inode.
struct SocketTable {
    ipv4: BTreeMap<u64, &'static str>,
    ipv6: BTreeSet<u64>,
    /// With the paths of those that are bound to one.
    unix: BTreeMap<u64, Option<PathBuf>>,
}

impl SocketTable {
    fn of(process: &Process) -> SocketTable {
        let tcp = process.tcp().expect("its TCP sockets").into_iter().map(|socket| (socket.inode, "tcp"));
        let udp = process.udp().expect("its UDP sockets").into_iter().map(|socket| (socket.inode, "udp"));
        let tcp6 = process.tcp6().unwrap_or_default().into_iter().map(|socket| socket.inode);
        let udp6 = process.udp6().unwrap_or_default().into_iter().map(|socket| socket.inode);
        let unix = process.unix().expect("Unix sockets").into_iter();
        SocketTable {
            ipv4: tcp.chain(udp).collect(),
            ipv6: tcp6.chain(udp6).collect(),
            unix: unix.map(|socket| (socket.inode, socket.path)).collect(),
        }
    }

    /// The kind of a socket, which has to be one that the platform gives.
    fn kind(&self, inode: u64) -> &'static str {
        assert!(!self.ipv6.contains(&inode), "a socket over IPv6");
        if let Some(kind) = self.ipv4.get(&inode) {
            return kind;
        }
        match self.unix.get(&inode) {
            // That of the signals: a pair that nobody else can open.
            Some(path) => {
                assert_eq!(*path, None, "a Unix socket that others can open");
                "own pair"
            }
            // Created and not connected, or closed meanwhile.
            None => "socket",
        }
    }
}

/// Checks that the process has no children, and only descriptors that the platform knows.
fn check_process(pid: u32) -> DescriptorCounts {
    let process = Process::new(pid as i32).expect("it runs");
    for task in process.tasks().expect("its threads").flatten() {
        assert_eq!(task.children().expect("its children"), Vec::<u32>::new(), "it started a process");
    }
    let sockets = SocketTable::of(&process);
    let mut counts = DescriptorCounts::new();
    for descriptor in process.fd().expect("its descriptors").flatten() {
        let kind = match descriptor.target {
            // Inherited, or the log's pipe.
            FDTarget::Path(_) | FDTarget::Pipe(_) => "file or pipe".to_owned(),
            FDTarget::AnonInode(kind) => {
                assert!(!kind.contains("io_uring"), "io_uring is refused there");
                kind
            }
            FDTarget::Socket(inode) => sockets.kind(inode).to_owned(),
            other => panic!("{other:?} is nothing that the platform gives"),
        };
        *counts.entry(kind).or_default() += 1;
    }
    counts
}

/// A whole life as the platform has it: start, load with calls, keys and a caller that leaves, reload, drain, end. The
/// process is checked in between. `wrapper` is a program that the process runs under, with its arguments.
fn run_whole_life(wrapper: Vec<String>, check: impl Fn(u32) -> DescriptorCounts) {
    let options = Options { without_edge_file: true, wrapper, ..Options::default() };
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
    let idle = check(world.pid());
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
        check(world.pid());
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
    check(world.pid());
    world.run("node send TERM\nmembers2 wait HB * OUT");
    check(world.pid());
    world.run("node wait ended *\nnode wait exit 0");
}

#[test]
fn over_a_whole_life_it_holds_only_what_the_platform_gives() {
    run_whole_life(Vec::new(), check_process);
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
    run_whole_life(words.map(str::to_owned).to_vec(), |_| BTreeMap::from([("tcp".into(), 1)]));
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
