//! Requirements of the platform beside its protocol: the program is linked dynamically against the C library,
//! runs as one process, makes no system calls that the platform refuses, and opens only TCP and UDP sockets
//! over IPv4. `.ci/run` runs these tests with the release profile, so that they check the program that the
//! platform starts.

mod scenario;

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use goblin::elf::Elf;
use procfs::process::{FDTarget, Process};
use scenario::{Options, World};

#[test]
fn links_dynamically_against_c_library() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_pinepoint")).expect("built");
    let elf = Elf::parse(&bytes).expect("an ELF file");
    assert!(elf.interpreter.is_some(), "the program names no dynamic loader");
    assert!(elf.libraries.contains(&"libc.so.6"), "not linked against the C library: {:?}", elf.libraries);
}

#[test]
fn only_debug_builds_contain_test_clock() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_pinepoint")).expect("built");
    let variable = b"PINEPOINT_TEST_CLOCK";
    let found = bytes.windows(variable.len()).any(|window| window == variable);
    assert_eq!(found, cfg!(debug_assertions));
}

/// Number of open descriptors by kind.
type DescriptorCounts = BTreeMap<String, usize>;

/// The sockets of the network namespace of a process, by inode.
struct SocketTable {
    ipv4: BTreeMap<u64, &'static str>,
    ipv6: BTreeSet<u64>,
    /// With the path of each socket that is bound to one.
    unix: BTreeMap<u64, Option<PathBuf>>,
}

impl SocketTable {
    fn of(process: &Process) -> SocketTable {
        let tcp = process.tcp().expect("TCP sockets").into_iter().map(|socket| (socket.inode, "tcp"));
        let udp = process.udp().expect("UDP sockets").into_iter().map(|socket| (socket.inode, "udp"));
        let tcp6 = process.tcp6().unwrap_or_default().into_iter().map(|socket| socket.inode);
        let udp6 = process.udp6().unwrap_or_default().into_iter().map(|socket| socket.inode);
        let unix = process.unix().expect("Unix sockets").into_iter();
        SocketTable {
            ipv4: tcp.chain(udp).collect(),
            ipv6: tcp6.chain(udp6).collect(),
            unix: unix.map(|socket| (socket.inode, socket.path)).collect(),
        }
    }

    /// Returns the kind of a socket, which has to be one that the platform allows.
    fn kind(&self, inode: u64) -> &'static str {
        assert!(!self.ipv6.contains(&inode), "a socket over IPv6");
        if let Some(kind) = self.ipv4.get(&inode) {
            return kind;
        }
        match self.unix.get(&inode) {
            // The pair for signals, which no other process can open.
            Some(path) => {
                assert_eq!(*path, None, "a Unix socket that other processes can open");
                "own pair"
            }
            // A socket that is not connected yet, or has been closed meanwhile.
            None => "socket",
        }
    }
}

/// Checks that the process has no children, and only descriptors that the platform allows.
fn check_process(pid: u32) -> DescriptorCounts {
    let process = Process::new(pid as i32).expect("the process is running");
    for task in process.tasks().expect("threads of the process").flatten() {
        assert_eq!(
            task.children().expect("children of the thread"),
            Vec::<u32>::new(),
            "the program started a process"
        );
    }
    let sockets = SocketTable::of(&process);
    let mut counts = DescriptorCounts::new();
    for descriptor in process.fd().expect("descriptors of the process").flatten() {
        let kind = match descriptor.target {
            // Inherited descriptors, or the pipe of the log.
            FDTarget::Path(_) | FDTarget::Pipe(_) => "file or pipe".to_owned(),
            FDTarget::AnonInode(kind) => {
                assert!(!kind.contains("io_uring"), "the platform refuses io_uring");
                kind
            }
            FDTarget::Socket(inode) => sockets.kind(inode).to_owned(),
            other => panic!("the platform does not allow the descriptor {other:?}"),
        };
        *counts.entry(kind).or_default() += 1;
    }
    counts
}

/// Runs a process from start to exit as the platform does: load with calls, idempotency keys and a caller
/// that disconnects, a reload, and a drain. Calls `check` in between. `wrapper` is a program, with its
/// arguments, under which the process runs.
fn run_lifecycle(wrapper: Vec<String>, check: impl Fn(u32) -> DescriptorCounts) {
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
    assert!(idle.get("tcp") >= Some(&1), "no TCP listener: {idle:?}");
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
fn holds_only_allowed_descriptors() {
    run_lifecycle(Vec::new(), check_process);
}

/// System calls that the platform answers with an error.
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

/// Runs the lifecycle under a system call tracer: `apt-get install strace`, then `cargo test --release --test
/// platform -- --ignored --nocapture`. Prints the number of calls by name.
#[test]
#[ignore = "needs strace"]
fn makes_no_refused_system_calls() {
    let file = std::env::temp_dir().join(format!("pinepoint-calls-{}", std::process::id()));
    let words = ["strace", "-D", "-f", "-qq", "-o", file.to_str().expect("a path in UTF-8")];
    run_lifecycle(words.map(str::to_owned).to_vec(), |_| BTreeMap::from([("tcp".into(), 1)]));
    let trace = std::fs::read_to_string(&file).expect("a trace written by the tracer");
    std::fs::remove_file(&file).expect("removed");
    let mut calls: BTreeMap<&str, u32> = BTreeMap::new();
    let mut sockets: BTreeMap<String, u32> = BTreeMap::new();
    for line in trace.lines() {
        // Lines are `PID name(arguments) = result`. The second half of an interrupted line names no new call.
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
            assert!(rest.contains("CLONE_THREAD"), "the program started a process: {line}");
        }
    }
    println!("calls: {calls:?}\nsockets: {sockets:?}");
    assert!(calls["sendto"] > 20 && calls["accept4"] >= 4, "the trace has too few calls: {calls:?}");
    for name in REFUSED {
        // The tracer starts the program with one `execve`.
        let max_calls = u32::from(name == "execve");
        assert!(
            calls.get(name).is_none_or(|n| *n <= max_calls),
            "refused call {name} was made {} times, at most {max_calls} allowed",
            calls[name]
        );
    }
    for socket_kind in sockets.keys() {
        let allowed =
            ["socket AF_INET SOCK_STREAM", "socket AF_INET SOCK_DGRAM", "socketpair AF_UNIX SOCK_STREAM"];
        assert!(allowed.contains(&socket_kind.as_str()), "socket kind is not allowed: {socket_kind}");
    }
}
