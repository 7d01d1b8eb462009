//! Scenarios of one program among stub services, and what they need: the program under test ([`World`]), stub
//! services around it ([`stubs`]), and clients of its two frontends ([`rpc`], [`ajp`]). A scenario consists
//! of lines `ACTOR VERB WORDS` in the language of `pinepoint_lab::script`. Each actor has an inbox of text
//! lines.
//!
//! | verb | meaning |
//! | --- | --- |
//! | `send` | send what the words encode (below) |
//! | `queue` | keep the encoded bytes of a client; the next `send` writes them in one piece with its own |
//! | `expect` | the next line of the inbox matches: `*` stands for any text, a new `$name` captures a word |
//! | `wait` | like `expect`, but skips lines that do not match |
//! | `close` | close the connection; of a service, the one on which the word was named, or the latest |
//! | `shut` | shut down the writing half of a client's connection |
//! | `never` | no line of the inbox matches the words; for a process that has ended |
//!
//! Actors:
//!
//! - `node` is the program. `send TERM` sends a signal, `send config=...` replaces its configuration, and
//!   `send clock=N` sets its clock N ms ahead. Its inbox receives its log lines, from the message on, and
//!   `exit N`.
//! - `engine`, `store` and `members` are the stub services; `engine2`, `store2` and `members2` are those to
//!   which `config=moved` points. `engine` and `store` send the words as a line, on the connection where the
//!   first word was named; `|` separates a body, whose length is added.
//! - Any name that begins with `rpc` or `ajp` is a client, which connects when it is first named. Its last
//!   line is `closed`, or `reset` if answers may have been lost.
//!
//! Words of a client:
//!
//! - `rpc send ID CLASS name=value ...|BODY` sends a request. `rid` is padded; `t0` counts from now, and
//!   `t0=bN` from an instant that is the same for the whole test.
//! - `ajp send PATH name=value ...|BODY` sends a Forward Request, with its body unless `body=later`.
//! - `hex=...` sends raw bytes.
//! - `cut=N ...` sends the first N bytes of what the words encode, and `rest` sends the remaining bytes.

// Each test file uses only some of the items.
#![allow(dead_code, unused_imports)]

mod actor;
mod ajp;
mod options;
mod rpc;
mod stubs;
mod world;

use std::time::{SystemTime, UNIX_EPOCH};

pub use actor::Actor;
pub use ajp::{ajp_body, ajp_request};
pub use options::Options;
pub use rpc::rpc_request;
pub use stubs::{Answer, down, idle_gauges, service};
pub use world::World;

/// Steps that attach the program to its engine and wait until it reports itself as up.
pub const ENGINE_UP: &str = "
engine expect ATTACH 0
engine send HELLO hot 5000
members wait HB n1 UP";

/// Current time, Unix ms.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

thread_local! {
    static BASE_MS: u64 = now_ms();
}

/// An instant that stays the same for the whole test, as each test runs on its own thread.
fn base_ms() -> u64 {
    BASE_MS.with(|ms| *ms)
}

/// A world whose engine is up; the scenario ends its runs.
pub fn up(options: Options) -> World {
    let mut world = World::start_with(Box::new(idle_gauges), service(Box::new(|_| Vec::new())), options);
    world.run(ENGINE_UP);
    world
}

/// A world whose engine ends every run at once.
pub fn up_with_instant_runs(options: Options) -> World {
    let engine = instant_engine("report".into());
    let mut world = World::start_with(engine, service(Box::new(|_| Vec::new())), options);
    world.run("members wait HB n1 UP");
    world
}

/// An engine that ends every run at once with this result.
pub fn instant_engine(result: String) -> Answer {
    let mut notice_id = 0;
    Box::new(move |text: &str| {
        let words: Vec<&str> = text.split([' ', '|']).collect();
        match words.as_slice() {
            ["ATTACH", _] => vec!["HELLO hot 9000".into()],
            ["RUN", rid, ..] => {
                notice_id += 1;
                vec![format!("DONE {notice_id} {rid} complete 1|{result}")]
            }
            ["STAT", tag] => vec![format!("STATS {tag} 0.1 0 0.1 3")],
            _ => vec!["NOTE 0 read".into()],
        }
    })
}
