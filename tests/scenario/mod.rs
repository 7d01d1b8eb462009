//! The node's scenarios, and the stand-ins they speak through. A scenario is lines of `ACTOR VERB WORDS` (the language is
//! the laboratory's, `pinepoint_lab::script`); every actor has an inbox of text lines.
//!
//! | verb | meaning |
//! | --- | --- |
//! | `send` | send what the words say (below) |
//! | `expect` | the next line of the inbox matches the words; `*` stands for anything, a new `$name` for a word that it names from then on |
//! | `wait` | the same, passing over lines that do not match |
//! | `close` | close the actor's connection, of a service's the one on which the word was named, or the latest |
//! | `shut` | end the writing half of a client's connection |
//! | `never` | no line of the inbox matches the words: for a process that has ended |
//!
//! Actors: `node` (the program: `send TERM` is a signal, `send config=...` replaces its configuration, `send clock=N` sets
//! its clock N ms ahead; its log lines from the message on, `exit N`), `engine`, `store`, `members` (stand-ins for the services), `engine2`,
//! `store2`, `members2` (where `config=moved` puts them), and any name that begins with `rpc` or `ajp` (a client
//! that connects when it is first named; its last line is `closed`, or `reset` if answers may have been lost). `engine` and `store` send the words as a line, on the connection where
//! its first word was named; `|` parts off a body, whose length is added.
//! `rpc send ID CLASS name=value ...|BODY` sends a request (`rid` is padded, `t0` counts from now, and `t0=bN` from an
//! instant that is the same for the whole test); `ajp send
//! PATH name=value ...|BODY` a Forward Request, whose body goes along unless `body=later`. `hex=...` sends raw bytes. Of a client,
//! `cut=N ...` sends the first N bytes of what the words say, and `rest` the others; `queue ...` keeps the bytes, which go
//! out in one piece with those of the next `send`.

#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pinepoint_lab::script::{Names, matches, steps};

/// An event that does not come within this time does not come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Connections by the request that was last named on each; the latest stands under no name.
type Streams = Arc<Mutex<HashMap<String, TcpStream>>>;

pub struct Actor {
    inbox: Receiver<String>,
    streams: Streams,
    /// Bytes that go out later.
    kept: Vec<u8>,
}

impl Actor {
    fn new(inbox: Receiver<String>, streams: Streams) -> Self {
        Actor { inbox, streams, kept: Vec::new() }
    }
}

/// A stream that remembers whether it was reset.
struct Ear {
    stream: TcpStream,
    was_reset: bool,
}

impl Read for Ear {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        let read = self.stream.read(bytes);
        self.was_reset |= read.as_ref().is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset);
        read
    }
}

type Input = BufReader<Ear>;

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

thread_local! {
    static BASE_MS: u64 = now_ms();
}

/// An instant that is the same for the whole test: each has a thread of its own.
fn base_ms() -> u64 {
    BASE_MS.with(|ms| *ms)
}

// ---- stand-ins ----

fn line(input: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    input.read_line(&mut text).ok().filter(|n| *n > 0)?;
    Some(text.trim_end().to_owned())
}

/// Reads one line, with its body after `|` where the last word is a length.
fn line_and_body(input: &mut impl BufRead) -> Option<String> {
    let text = line(input)?;
    let (head, length) = text.rsplit_once(' ').unwrap_or((&text, ""));
    if !["RUN", "FEED", "CALL"].contains(&text.split(' ').next()?) {
        return Some(text);
    }
    let mut body = vec![0; length.parse::<usize>().ok()? + 2];
    input.read_exact(&mut body).ok()?;
    Some(format!("{head}|{}", String::from_utf8_lossy(&body[..body.len() - 2])))
}

pub type Answer = Box<dyn FnMut(&str) -> Vec<String> + Send>;

/// A service. `answer` has each line first: what it returns is sent back, and lines that it answers do not reach
/// the inbox.
pub fn service(answer: Answer) -> (Actor, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (sender, inbox) = channel();
    let (streams, answer) = (Streams::default(), Arc::new(Mutex::new(answer)));
    let shared = streams.clone();
    std::thread::spawn(move || {
        for accepted in listener.incoming().flatten() {
            let (sender, shared, answer) = (sender.clone(), shared.clone(), answer.clone());
            let name = move |name: &str, stream: &TcpStream| {
                let stream = stream.try_clone().expect("cloned");
                shared.lock().expect("not poisoned").insert(name.to_owned(), stream);
            };
            name("", &accepted);
            std::thread::spawn(move || {
                let mut input = BufReader::new(accepted);
                while let Some(text) = line_and_body(&mut input) {
                    name(text.split(' ').nth(1).unwrap_or_default(), input.get_ref());
                    let replies = answer.lock().expect("not poisoned")(&text);
                    if replies.is_empty() && sender.send(text).is_err() {
                        return;
                    }
                    let bytes: Vec<u8> = replies.iter().flat_map(|reply| wire_line(reply)).collect();
                    let _ = input.get_mut().write_all(&bytes);
                }
                let _ = sender.send("closed".into());
            });
        }
    });
    (Actor::new(inbox, streams), address)
}

/// A service that is down: nothing listens at its address, which is nobody else's meanwhile.
pub fn down() -> (Actor, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.2:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (Actor::new(channel().1, Streams::default()), address)
}

/// A line on the wire: after `|` comes a body, whose length is its last word.
fn wire_line(text: &str) -> Vec<u8> {
    let text = match text.split_once('|') {
        Some((head, body)) => format!("{head} {}\r\n{body}\r\n", body.len()),
        None => format!("{text}\r\n"),
    };
    text.into_bytes()
}

/// The gauges of an idle engine, for every question after them.
pub fn idle_gauges(text: &str) -> Vec<String> {
    text.strip_prefix("STAT ").map(|tag| format!("STATS {tag} 0.1 0 0.1 3")).into_iter().collect()
}

/// A service that takes datagrams; `read` makes lines of each.
fn datagrams(read: fn(&[u8]) -> Vec<String>) -> (Actor, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("bound");
    let (sender, inbox) = channel();
    std::thread::spawn(move || {
        let mut packet = [0; 2048];
        loop {
            // A signal to the test process may interrupt it.
            let Ok(n) = socket.recv(&mut packet) else { continue };
            if read(&packet[..n]).into_iter().any(|text| sender.send(text).is_err()) {
                return;
            }
        }
    });
    (Actor::new(inbox, Streams::default()), address)
}

// ---- clients ----

/// Starts a reader that puts what `read` makes of the stream into the inbox, and `closed` or `reset` at its end.
fn client(address: SocketAddr, read: fn(&mut Input) -> Option<String>) -> Actor {
    let stream = TcpStream::connect(address).expect("the program listens");
    let ear = Ear { stream: stream.try_clone().expect("cloned"), was_reset: false };
    let mut input = BufReader::new(ear);
    let (sender, inbox) = channel();
    std::thread::spawn(move || {
        while let Some(text) = read(&mut input) {
            if sender.send(text).is_err() {
                return;
            }
        }
        let _ = sender.send(if input.get_ref().was_reset { "reset" } else { "closed" }.into());
    });
    Actor::new(inbox, Arc::new(Mutex::new(HashMap::from([(String::new(), stream)]))))
}

fn exact<const N: usize>(input: &mut impl Read) -> Option<[u8; N]> {
    let mut bytes = [0; N];
    input.read_exact(&mut bytes).ok()?;
    Some(bytes)
}

fn bytes_of(input: &mut impl Read, n: usize) -> Option<String> {
    let mut bytes = vec![0; n];
    input.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// One MessagePack value as text: arrays in brackets, maps as `name=value`.
fn value(input: &mut impl Read) -> Option<String> {
    let [tag] = exact::<1>(input)?;
    let row = |input: &mut _, n: u8| -> Option<String> {
        let items: Option<Vec<String>> = (0..n).map(|_| value(input)).collect();
        Some(items?.join(" "))
    };
    Some(match tag {
        0..=0x7f => tag.to_string(),
        0x80..=0x8f => {
            let pairs: Option<Vec<String>> =
                (0..tag & 15).map(|_| Some(format!("{}={}", value(input)?, value(input)?))).collect();
            pairs?.join(" ")
        }
        0x90..=0x9f => format!("[{}]", row(input, tag & 15)?),
        0xa0..=0xbf => bytes_of(input, usize::from(tag & 31))?,
        0xc0 => "nil".into(),
        0xc2 | 0xc3 => (tag == 0xc3).to_string(),
        0xc4 | 0xd9 => {
            let [n] = exact(input)?;
            bytes_of(input, usize::from(n))?
        }
        0xc5 | 0xda => {
            let n = u16::from_be_bytes(exact(input)?);
            bytes_of(input, usize::from(n))?
        }
        0xcc => u8::from_be_bytes(exact(input)?).to_string(),
        0xcd => u16::from_be_bytes(exact(input)?).to_string(),
        0xce => u32::from_be_bytes(exact(input)?).to_string(),
        other => panic!("unexpected type {other:#x} from the program"),
    })
}

fn rpc_message(input: &mut Input) -> Option<String> {
    value(input)
}

fn string(out: &mut Vec<u8>, text: &str) {
    out.extend([0xd9, text.len() as u8]);
    out.extend(text.as_bytes());
}

/// `ID CLASS name=value ...|BODY` as a request, or `ping`/`abort` as such.
pub fn rpc_request(words: &str) -> Vec<u8> {
    let (head, body) = words.split_once('|').unwrap_or((words, ""));
    let mut words = head.split_whitespace();
    let id: u32 = words.next().and_then(|w| w.parse().ok()).expect("a message id");
    let class = words.next().expect("a class");
    let number = [&[0xce], &id.to_be_bytes()[..]].concat();
    let mut out = Vec::new();
    if class == "abort" {
        out.extend([0x93, 2]);
        string(&mut out, class);
        out.push(0x91);
        out.extend(number);
        return out;
    }
    out.extend([0x94, 0]);
    out.extend(number);
    string(&mut out, class);
    let mut fields: Vec<(String, String)> = Vec::new();
    for (name, value) in words.filter_map(|w| w.split_once('=')) {
        let value = match name {
            "rid" => format!("{value:0>16}"),
            "t0" => match value.strip_prefix('b') {
                Some(after) => base_ms() as i64 + after.parse::<i64>().expect("an offset"),
                None => now_ms() as i64 + value.parse::<i64>().expect("an offset"),
            }
            .to_string(),
            _ => value.to_owned(),
        };
        fields.push((name.to_owned(), value));
    }
    if class != "ping" && !fields.iter().any(|(name, _)| name == "t0") {
        fields.push(("t0".into(), now_ms().to_string()));
    }
    out.extend([if class == "ping" { 0x91 } else { 0x92 }, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        string(&mut out, &name);
        string(&mut out, &value);
    }
    if class != "ping" {
        out.push(0xc5);
        out.extend((body.len() as u16).to_be_bytes());
        out.extend(body.as_bytes());
    }
    out
}

fn ajp_string(input: &mut &[u8]) -> Option<String> {
    let n = usize::from(u16::from_be_bytes(exact(input)?));
    let text = bytes_of(input, n)?;
    exact::<1>(input)?;
    Some(text)
}

/// One packet of the program as text: `status 200 Name=value ...`, `data ...`, `end 1`, `get N`, `cpong`.
fn ajp_packet(input: &mut Input) -> Option<String> {
    let [a, b, high, low] = exact::<4>(input)?;
    assert_eq!([a, b], *b"AB", "the mark of a container's packet");
    let length = u16::from_be_bytes([high, low]);
    assert!(length <= 8188, "a packet of at most 8 KiB");
    let mut payload = vec![0; usize::from(length)];
    input.read_exact(&mut payload).ok()?;
    let (code, mut rest) = payload.split_first().expect("a code");
    Some(match code {
        3 => {
            let n = u16::from_be_bytes(exact(&mut rest)?);
            assert_eq!(usize::from(n), rest.len());
            format!("data {}", String::from_utf8_lossy(rest))
        }
        4 => {
            let mut text = format!("status {}", u16::from_be_bytes(exact(&mut rest)?));
            ajp_string(&mut rest)?;
            for _ in 0..u16::from_be_bytes(exact(&mut rest)?) {
                let name = if rest.starts_with(&[0xa0, 3]) {
                    rest = &rest[2..];
                    "Content-Length".to_owned()
                } else {
                    ajp_string(&mut rest)?
                };
                text += &format!(" {name}={}", ajp_string(&mut rest)?);
            }
            assert!(rest.is_empty(), "nothing after the headers");
            text
        }
        5 => format!("end {}", rest[0]),
        6 => format!("get {}", u16::from_be_bytes(exact(&mut rest)?)),
        9 => "cpong".into(),
        other => panic!("unexpected code {other} from the program"),
    })
}

fn ajp_wrap(payload: &[u8]) -> Vec<u8> {
    [&[0x12, 0x34], &(payload.len() as u16).to_be_bytes()[..], payload].concat()
}

/// A body packet; an empty one ends the body.
pub fn ajp_body(body: &str) -> Vec<u8> {
    let data = [&(body.len() as u16).to_be_bytes()[..], body.as_bytes()].concat();
    ajp_wrap(if body.is_empty() { &[] } else { &data })
}

/// `PATH name=value ...|BODY` as a Forward Request; `ping`, `shutdown` and `data|BODY` as such.
pub fn ajp_request(words: &str) -> Vec<u8> {
    let (head, body) = words.split_once('|').unwrap_or((words, ""));
    let mut words = head.split_whitespace();
    let path = words.next().expect("a path");
    match path {
        "ping" => return ajp_wrap(&[10]),
        "shutdown" => return ajp_wrap(&[7]),
        "data" => return ajp_body(body),
        _ => {}
    }
    let mut headers: Vec<(&str, &str)> = words.filter_map(|w| w.split_once('=')).collect();
    let mut option = |name: &str| {
        let at = headers.iter().position(|(n, _)| *n == name)?;
        Some(headers.remove(at).1)
    };
    let (later, secret, method) = (option("body").is_some(), option("secret"), option("method"));
    let length = body.len().to_string();
    let sized = later || headers.iter().any(|(n, _)| *n == "transfer-encoding");
    if !sized {
        headers.push(("content-length", &length));
    }
    let text = |text: &str| [&(text.len() as u16).to_be_bytes()[..], text.as_bytes(), &[0]].concat();
    let mut out = vec![2, method.map_or(4, |m| m.parse().expect("a method's code"))];
    for word in ["HTTP/1.1", path, "127.0.0.1", "", "portal"] {
        out.extend(text(word));
    }
    out.extend([0x1f, 0x90, 0]);
    out.extend((headers.len() as u16).to_be_bytes());
    for (name, value) in headers {
        if name == "content-length" {
            out.extend([0xa0, 8])
        } else {
            out.extend(text(name))
        }
        out.extend(text(value));
    }
    out.extend([0x05]);
    out.extend(text("a=b"));
    if let Some(secret) = secret {
        out.push(0x0c);
        out.extend(text(secret));
    }
    out.push(0xff);
    let mut bytes = ajp_wrap(&out);
    if !sized && !body.is_empty() {
        bytes.extend(ajp_body(body));
    }
    bytes
}

/// The bytes of what an actor sends.
fn bytes(actor: &str, words: &str) -> Vec<u8> {
    match (words.strip_prefix("hex="), &actor[..3]) {
        (Some(hex), _) => (0..hex.len() / 2)
            .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hexadecimal"))
            .collect(),
        (_, "rpc") => rpc_request(words),
        (_, "ajp") => ajp_request(words),
        _ => wire_line(words),
    }
}

// ---- the program ----

/// Sends a signal to a process.
fn signal(name: &str, pid: u32) {
    let sent = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
    assert!(sent.is_ok_and(|status| status.success()), "no {name} to {pid}");
}

/// What a scenario may choose.
pub struct Options {
    /// Callers close idle connections after that time; 0 for never.
    pub idle_ms: u32,
    /// Limit of memory.
    pub memory_mb: f64,
    /// Sections of the edge file beside that of AJP.
    pub edge: String,
    /// The comparer's name, as JSON has it.
    pub name: String,
    /// As the platform starts it: without an edge file.
    pub bare: bool,
    /// What it is started under: a program and its words.
    pub under: Vec<String>,
    /// Text of the settings that is replaced by other text.
    pub settings: Vec<(&'static str, &'static str)>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Signals that come while it reads its configuration for the first time, and the name of the configuration that is
    /// there when it reads it again.
    pub early: Option<(&'static [&'static str], &'static str)>,
    /// Has the address, until the program has said that it finds it in use.
    pub blocked: Option<TcpListener>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            idle_ms: 0,
            memory_mb: 192.0,
            edge: String::new(),
            name: "n1".into(),
            bare: false,
            under: Vec::new(),
            settings: Vec::new(),
            listen: ([127, 0, 0, 1], 0).into(),
            early: None,
            blocked: None,
        }
    }
}

pub struct World {
    actors: HashMap<String, Actor>,
    pub listen: SocketAddr,
    pub ajp: SocketAddr,
    child: Arc<Mutex<Child>>,
    /// While it is held, nobody reads the program's log.
    pub log_gate: Arc<Mutex<()>>,
    names: Names,
    /// The configurations by the names that scenarios give them, and where the program reads its own.
    configs: HashMap<&'static str, String>,
    config: std::path::PathBuf,
    edge: std::path::PathBuf,
    folder: Folder,
}

struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const SETTINGS: &str = r#"{"services":[
 {"name":"look","effect":"read_like","promiseMs":3000,"deadlineMs":9000,"worth":1},
 {"name":"brief","effect":"read_like","promiseMs":900,"deadlineMs":1500,"worth":1},
 {"name":"write","effect":"idempotency_key","keyTtlMs":20000,"promiseMs":3000,"deadlineMs":9000,"worth":3}],
 "contract":{"answerSlackMs":100,"drainGraceMs":2000,"fallMultiple":8,"tipAfterMs":3000},
 "ceilings":{"retryAfter":true,"maxRetryAfterMs":1000},
 "specifics":{"cores":4,"heapKb":30000,"runFactor":4,"keyKb":5,"preemption":"drop","signal":"weight",
 "registryFollows":true,"callerIdleMs":IDLE,"classCalls":[true,false,true],"worthWithout":[0,0.3,0],"callsOut":8,"callsOverMs":5000,"lingerMs":200,
 "gauges":["cpu_busy","runnable","mem_used","sockets"]}}"#;

static FOLDERS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);

impl World {
    /// Starts the program among its stand-ins. `engine` and `store` have each line first.
    pub fn start(engine: Answer, store: Answer) -> World {
        World::start_with(engine, service(store), Options::default())
    }

    /// The same with a store that is made elsewhere, and these options.
    pub fn start_with(engine: Answer, store: (Actor, SocketAddr), options: Options) -> World {
        let Options {
            idle_ms,
            memory_mb,
            name,
            edge: more,
            bare,
            under,
            settings: replaced,
            listen,
            early,
            blocked,
        } = options;
        let listen = blocked.as_ref().map_or(listen, |other| other.local_addr().expect("bound"));
        let settings =
            replaced.iter().fold(SETTINGS.replace("IDLE", &idle_ms.to_string()), |text, (old, new)| {
                assert!(text.contains(old), "no {old} in the settings");
                text.replace(old, new)
            });
        let mut actors = HashMap::new();
        let mut add = |name: &str, (actor, address): (Actor, SocketAddr)| {
            actors.insert(name.to_owned(), actor);
            address
        };
        let (engine, store) = (add("engine", service(engine)), add("store", store));
        let members = add("members", datagrams(|packet| vec![String::from_utf8_lossy(packet).into_owned()]));
        let quiet = || service(Box::new(|_| Vec::new()));
        let (engine2, store2) = (add("engine2", service(Box::new(idle_gauges))), add("store2", quiet()));
        let members2 =
            add("members2", datagrams(|packet| vec![String::from_utf8_lossy(packet).into_owned()]));
        let number = FOLDERS.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("pinepoint-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder of its own");
        let (config, edge) = (folder.join("config.json"), folder.join("edge.toml"));
        let text = |engine, members, store| {
            format!(
                r#"{{"name":"{name}","listen":"{listen}","engine":"{engine}","members":"{members}",
                "store":"{store}","seed":"8c1f30d27a5be964","stop_ms":3000,
                "limits":{{"cores":1,"memory_mb":{memory_mb},"sockets":256}},"settings":{settings}}}"#
            )
        };
        let (first, moved) = (text(engine, members, store), text(engine2, members2, store2));
        let cut_off = moved[..moved.len() / 2].to_owned();
        let configs = HashMap::from([("first", first.clone()), ("cut-off", cut_off), ("moved", moved)]);
        if early.is_some() {
            // Whoever reads a pipe waits for what is written to it.
            assert!(Command::new("mkfifo").arg(&config).status().is_ok_and(|status| status.success()));
        } else {
            std::fs::write(&config, &first).expect("written");
        }
        let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\nsecret = \"s3\"\nmem_kb = 40.0\n";
        std::fs::write(&edge, format!("{ajp}{more}")).expect("written");
        let program = [under.as_slice(), &[env!("CARGO_BIN_EXE_pinepoint").to_owned()]].concat();
        let mut child = Command::new(&program[0])
            .args(&program[1..])
            .args((!bare).then(|| [std::path::Path::new("--edge"), &edge]).into_iter().flatten())
            .env("RELAY_CONFIG", &config)
            .env("PINEPOINT_TEST_CLOCK", folder.join("clock"))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("piped"));
        if let Some((signals, then)) = early {
            // Opened when the program has begun to read.
            let mut pipe = std::fs::File::options().write(true).open(&config).expect("read by the program");
            signals.iter().for_each(|name| signal(name, child.id()));
            std::fs::remove_file(&config).expect("removed");
            std::fs::write(&config, &configs[then]).expect("written");
            pipe.write_all(first.as_bytes()).expect("written");
        }
        let child = Arc::new(Mutex::new(child));
        let (sender, inbox) = channel();
        let (waiting, log_gate) = (child.clone(), Arc::new(Mutex::new(())));
        let gate = log_gate.clone();
        std::thread::spawn(move || read_log(log, &sender, &waiting, &gate));
        actors.insert("node".into(), Actor::new(inbox, Streams::default()));
        let nowhere = listen;
        let mut world = World {
            actors,
            listen: nowhere,
            ajp: nowhere,
            child,
            log_gate,
            names: Names::default(),
            configs,
            config,
            edge,
            folder: Folder(folder),
        };
        if let Some(other) = blocked {
            world.wait("node", "address-in-use *");
            drop(other);
        }
        let address = |text: String| text.rsplit_once('=').and_then(|(_, a)| a.parse().ok()).expect(&text);
        if !bare {
            world.ajp = address(world.wait("node", "ajp listen=*"));
        }
        world.listen = address(world.wait("node", "started *"));
        world
    }

    /// The folder of this world, removed at its end.
    pub fn folder(&self) -> &std::path::Path {
        &self.folder.0
    }

    /// The program's process.
    pub fn pid(&self) -> u32 {
        self.child.lock().expect("not poisoned").id()
    }

    /// The text of a configuration.
    pub fn config(&self, name: &str) -> &str {
        &self.configs[name]
    }

    /// Replaces the configuration.
    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.config, text).expect("written");
    }

    /// Replaces the edge file.
    pub fn write_edge(&self, text: &str) {
        std::fs::write(&self.edge, text).expect("written");
    }

    fn take(&mut self, actor: &str, wanted: &str) -> String {
        self.take_until(Instant::now() + PATIENCE, actor, wanted)
    }

    fn take_until(&mut self, until: Instant, actor: &str, wanted: &str) -> String {
        let actor_of = self.actors.get(actor).unwrap_or_else(|| panic!("no actor {actor}"));
        let got = actor_of.inbox.recv_timeout(until.saturating_duration_since(Instant::now()));
        got.unwrap_or_else(|_| panic!("{actor}: nothing came, expected {wanted}"))
    }

    pub fn wait(&mut self, actor: &str, wanted: &str) -> String {
        // What chatters on without the line that is waited for must not be waited for without end.
        let until = Instant::now() + PATIENCE;
        loop {
            let got = self.take_until(until, actor, wanted);
            if matches(wanted, &got) {
                return got;
            }
        }
    }

    fn send(&mut self, actor: &str, words: &str) {
        if let Some(name) = words.strip_prefix("config=") {
            std::fs::write(&self.config, &self.configs[name]).expect("written");
            return;
        }
        if let Some(ahead) = words.strip_prefix("clock=") {
            std::fs::write(self.folder.0.join("clock"), ahead).expect("written");
            // The program looks at it again after a millisecond, and its core looks around every 50 ms while it leaves:
            // a program that was stopped finds all of it due in the instant in which it goes on.
            std::thread::sleep(Duration::from_millis(60));
            return;
        }
        if actor == "node" {
            signal(words, self.pid());
            return;
        }
        let actor_of = self.actors.get_mut(actor).unwrap_or_else(|| panic!("no actor {actor}"));
        if words == "rest" {
            let rest = std::mem::take(&mut actor_of.kept);
            return self.stream(actor, "").write_all(&rest).expect("sent");
        }
        let (cut, words) = match words.strip_prefix("cut=").and_then(|rest| rest.split_once(' ')) {
            Some((n, words)) => (n.parse().ok(), words),
            None => (None, words),
        };
        let made = bytes(actor, words);
        let mut whole = std::mem::take(&mut actor_of.kept);
        whole.extend(made);
        if let Some(n) = cut {
            actor_of.kept = whole.split_off(n);
        }
        let name = words.split(' ').next().unwrap_or_default();
        self.stream(actor, name).write_all(&whole).expect("sent");
    }

    /// The connection on which this was named, or the latest.
    fn stream(&self, actor: &str, name: &str) -> TcpStream {
        let streams = self.actors[actor].streams.lock().expect("not poisoned");
        let stream = streams.get(name).or(streams.get("")).expect("connected");
        stream.try_clone().expect("cloned")
    }

    /// Runs a scenario.
    pub fn run(&mut self, scenario: &str) {
        for step in steps(scenario) {
            let (actor, verb) = (step.actor, step.verb);
            let words = self.names.put_in(step.words);
            let words = words.as_str();
            if !self.actors.contains_key(actor) {
                let new = match &actor[..3] {
                    "rpc" => client(self.listen, rpc_message),
                    "ajp" => client(self.ajp, ajp_packet),
                    _ => panic!("no actor {actor}"),
                };
                self.actors.insert(actor.to_owned(), new);
            }
            match verb {
                "send" => self.send(actor, words),
                "expect" => {
                    let got = self.take(actor, words);
                    let pattern = self.names.learn(words, &got);
                    assert!(matches(&pattern, &got), "{}\n     got {got}", step.line);
                }
                "wait" => {
                    self.wait(actor, words);
                }
                "close" => {
                    let _ = self.stream(actor, words).shutdown(Shutdown::Both);
                }
                "shut" => {
                    let _ = self.stream(actor, words).shutdown(Shutdown::Write);
                }
                // Without words what was kept back is forgotten.
                "queue" if words.is_empty() => {
                    self.actors.get_mut(actor).expect("made above").kept.clear();
                }
                "queue" => {
                    let made = bytes(actor, words);
                    self.actors.get_mut(actor).expect("made above").kept.extend(made);
                }
                "never" => {
                    let came: Vec<String> = self.actors[actor].inbox.try_iter().collect();
                    assert!(!came.iter().any(|text| matches(words, text)), "{}\n     in {came:?}", step.line);
                }
                _ => panic!("no verb {verb}"),
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.child.lock().map(|mut child| child.kill());
    }
}

fn read_log(mut log: impl BufRead, sender: &Sender<String>, child: &Mutex<Child>, gate: &Mutex<()>) {
    while let Some(text) = line(&mut log) {
        drop(gate.lock());
        // Time, level and place are nobody's business here.
        let text = text.split_once(" message=").map_or(text.as_str(), |(_, told)| told).to_owned();
        let _ = sender.send(text);
    }
    let code = child.lock().expect("not poisoned").wait().ok().and_then(|status| status.code());
    let _ = sender.send(format!("exit {}", code.map_or("killed".into(), |c| c.to_string())));
}
