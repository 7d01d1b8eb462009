//! The node's scenarios, and the stubs they speak through: a program under test ([`World`]), stub services around it
//! ([`stubs`]), and clients of its two fronts ([`rpc`], [`ajp`]). A scenario is lines of `ACTOR VERB WORDS` (the language is
//! that of `pinepoint_lab::script`); every actor has an inbox of text lines.
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
//! its clock N ms ahead; its log lines from the message on, `exit N`), `engine`, `store`, `members` (the stub services), `engine2`,
//! `store2`, `members2` (where `config=moved` puts them), and any name that begins with `rpc` or `ajp` (a client
//! that connects when it is first named; its last line is `closed`, or `reset` if answers may have been lost). `engine` and `store` send the words as a line, on the connection where
//! its first word was named; `|` parts off a body, whose length is added.
//! `rpc send ID CLASS name=value ...|BODY` sends a request (`rid` is padded, `t0` counts from now, and `t0=bN` from an
//! instant that is the same for the whole test); `ajp send
//! PATH name=value ...|BODY` a Forward Request, whose body goes along unless `body=later`. `hex=...` sends raw bytes. Of a client,
//! `cut=N ...` sends the first N bytes of what the words say, and `rest` the others; `queue ...` keeps the bytes, which go
//! out in one piece with those of the next `send`.

// Each test file uses a part of it.
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

/// The steps until the program is attached to its engine and reports itself as up.
pub const ENGINE_UP: &str = "
engine expect ATTACH 0
engine send HELLO hot 5000
members wait HB n1 UP";

/// Now, Unix ms.
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
