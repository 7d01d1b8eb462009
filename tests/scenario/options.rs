//! Options with which a scenario starts the program, and the configuration files derived from them.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};

/// Options with which a scenario starts the program.
pub struct Options {
    /// Time after which callers close idle connections, ms; 0 for never.
    pub idle_ms: u32,
    /// Memory limit, MB.
    pub memory_mb: f64,
    /// Further sections of the edge file, besides `[ajp]`.
    pub edge: String,
    /// Name of the process, escaped for JSON.
    pub name: String,
    /// Starts the program without an edge file, as the platform does.
    pub without_edge_file: bool,
    /// Wrapper program, with its arguments, under which the program is started; empty for none.
    pub wrapper: Vec<String>,
    /// Replacements in the text of the settings: old text, new text.
    pub settings: Vec<(&'static str, &'static str)>,
    /// Address on which the program listens.
    pub listen: SocketAddr,
    /// Signals sent while the program reads its configuration for the first time, and the name of the
    /// configuration that it finds when it reads it again.
    pub startup_signals: Option<(&'static [&'static str], &'static str)>,
    /// Listener that occupies the address until the program logs `address-in-use`.
    pub occupying_listener: Option<TcpListener>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            idle_ms: 0,
            memory_mb: 192.0,
            edge: String::new(),
            name: "n1".into(),
            without_edge_file: false,
            wrapper: Vec::new(),
            settings: Vec::new(),
            listen: ([127, 0, 0, 1], 0).into(),
            startup_signals: None,
            occupying_listener: None,
        }
    }
}

/// Addresses of the services that a configuration names.
pub(super) struct ServiceAddresses {
    pub(super) engine: SocketAddr,
    pub(super) members: SocketAddr,
    pub(super) store: SocketAddr,
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

impl Options {
    fn settings_text(&self) -> String {
        let text = SETTINGS.replace("IDLE", &self.idle_ms.to_string());
        self.settings.iter().fold(text, |text, (old, new)| {
            assert!(text.contains(old), "settings do not contain {old}");
            text.replace(old, new)
        })
    }

    fn config(&self, services: &ServiceAddresses) -> String {
        let (Options { name, listen, memory_mb, .. }, settings) = (self, self.settings_text());
        let ServiceAddresses { engine, members, store } = services;
        format!(
            r#"{{"name":"{name}","listen":"{listen}","engine":"{engine}","members":"{members}",
                "store":"{store}","seed":"8c1f30d27a5be964","stop_ms":3000,
                "limits":{{"cores":1,"memory_mb":{memory_mb},"sockets":256}},"settings":{settings}}}"#
        )
    }

    /// Configurations by the names that scenarios use: `first` names the first services, `moved` the moved
    /// services, and `cut-off` is the first half of `moved`.
    pub(super) fn configs(
        &self,
        first: &ServiceAddresses,
        moved: &ServiceAddresses,
    ) -> HashMap<&'static str, String> {
        let moved = self.config(moved);
        let cut_off = moved[..moved.len() / 2].to_owned();
        HashMap::from([("first", self.config(first)), ("cut-off", cut_off), ("moved", moved)])
    }

    /// Text of the edge file.
    pub(super) fn edge_file(&self) -> String {
        format!("[ajp]\nlisten = \"127.0.0.1:0\"\nsecret = \"s3\"\nmem_kb = 40.0\n{}", self.edge)
    }
}
