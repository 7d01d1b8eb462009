//! Translation between the line protocol and the interface of the module. It decides nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};

use serde::Serialize;
use serde_json::{Map, Value};

use pinepoint::admission::*;
use pinepoint::config::site::Site;

/// What was wrong with the input, in one plain line.
#[derive(Debug)]
pub(crate) struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Self {
        Fault(format!("input or output failed: {e}"))
    }
}

type Object = Map<String, Value>;

/// One line of a reply.
#[derive(Serialize)]
#[serde(tag = "t")]
#[serde(rename_all_fields = "camelCase")]
enum Line<'a> {
    Admit {
        server: u64,
        txn: u32,
    },
    TurnAway {
        server: u64,
        txn: u32,
        pause_ms: f64,
        dont_retry: bool,
    },
    Error {
        server: u64,
        txn: u32,
    },
    Preempt {
        server: u64,
        txn: u32,
    },
    GoCall {
        server: u64,
        txn: u32,
        patience_ms: f64,
    },
    DoWithout {
        server: u64,
        txn: u32,
    },
    StoreKey {
        server: u64,
        txn: u32,
        for_time_ms: f64,
    },
    ReleaseKey {
        server: u64,
        txn: u32,
    },
    Echo {
        server: u64,
        txn: u32,
    },
    ReportHealth {
        server: u64,
        enable: bool,
        light: bool,
    },
    Stamp {
        server: u64,
        value: f64,
    },
    CloseIdle {
        server: u64,
        for_time_ms: f64,
    },
    After {
        server: u64,
        offset_ms: f64,
        handle: String,
    },
    #[serde(rename = "JournalLine")]
    Journal {
        server: u64,
        msg: &'a str,
    },
    Yield {
        batch: u64,
    },
}

struct Host {
    controller: AdmissionController,
    class_names: BTreeMap<String, usize>,
    tenant_names: BTreeMap<String, usize>,
}

/// Reads batches until the input ends and writes one complete reply for each.
pub(crate) fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), Fault> {
    let mut hosts: BTreeMap<u64, Host> = BTreeMap::new();
    let mut text = String::new();
    let mut reply: Vec<u8> = Vec::new();
    while read_line(&mut input, &mut text)? {
        let head = parse(&text)?;
        let kind = name_of(&head)?;
        if kind != "Round" {
            return Err(Fault(format!("expected Round, found {kind}")));
        }
        let now = number(&head, "Round", "atTimeMs")?;
        let batch = whole(&head, "Round", "batch")?;
        reply.clear();
        let mut touched: Vec<u64> = Vec::new();
        let mut pending: BTreeMap<u64, Vec<Action>> = BTreeMap::new();
        loop {
            if !read_line(&mut input, &mut text)? {
                return Err(Fault(format!("batch {batch} is cut off: input ended before YourTurn")));
            }
            let message = parse(&text)?;
            let kind = name_of(&message)?;
            if kind == "YourTurn" {
                break;
            }
            let server = whole(&message, kind, "server")?;
            let actions = pending.entry(server).or_insert_with(|| {
                touched.push(server);
                Vec::new()
            });
            if kind == "Detach" {
                actions.clear();
                if hosts.remove(&server).is_none() {
                    return Err(Fault(format!("Detach: field server names unknown server {server}")));
                }
                continue;
            }
            if kind == "Enlist" {
                let mut host = enlist(&message)?;
                host.controller.handle(now, Event::Started, actions);
                hosts.insert(server, host);
                continue;
            }
            let Some(host) = hosts.get_mut(&server) else {
                return Err(Fault(format!("{kind}: field server names unknown server {server}")));
            };
            let event = event(&message, kind, host)?;
            host.controller.handle(now, event, actions);
        }
        for server in touched {
            let Some(host) = hosts.get_mut(&server) else {
                continue;
            };
            let mut actions = pending.remove(&server).unwrap_or_default();
            host.controller.handle(now, Event::BatchEnded, &mut actions);
            for action in &actions {
                write_line(&mut reply, &line(server, action))?;
            }
        }
        write_line(&mut reply, &Line::Yield { batch })?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

fn read_line(input: &mut impl BufRead, text: &mut String) -> Result<bool, Fault> {
    loop {
        text.clear();
        if input.read_line(text)? == 0 {
            return Ok(false);
        }
        if !text.trim().is_empty() {
            return Ok(true);
        }
    }
}

fn write_line(reply: &mut Vec<u8>, line: &Line<'_>) -> Result<(), Fault> {
    serde_json::to_writer(&mut *reply, line).map_err(|e| Fault(format!("cannot write a reply: {e}")))?;
    reply.push(b'\n');
    Ok(())
}

fn parse(text: &str) -> Result<Object, Fault> {
    match serde_json::from_str(text) {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => Err(Fault("malformed line: not a JSON object".into())),
        Err(e) => Err(Fault(format!("malformed JSON: {e}"))),
    }
}

fn name_of(object: &Object) -> Result<&str, Fault> {
    object
        .get("t")
        .and_then(Value::as_str)
        .ok_or_else(|| Fault("message without a name: field t is missing or not text".into()))
}

fn bad(kind: &str, field: &str, wanted: &str) -> Fault {
    Fault(format!("{kind}: field {field} is missing or not {wanted}"))
}

fn number(object: &Object, kind: &str, field: &str) -> Result<f64, Fault> {
    object.get(field).and_then(Value::as_f64).ok_or_else(|| bad(kind, field, "a number"))
}

fn whole(object: &Object, kind: &str, field: &str) -> Result<u64, Fault> {
    object.get(field).and_then(Value::as_u64).ok_or_else(|| bad(kind, field, "a whole number"))
}

fn id_of(object: &Object, kind: &str) -> Result<u32, Fault> {
    u32::try_from(whole(object, kind, "txn")?).map_err(|_| bad(kind, "txn", "below 2^32"))
}

fn text_of<'a>(object: &'a Object, kind: &str, field: &str) -> Result<&'a str, Fault> {
    object.get(field).and_then(Value::as_str).ok_or_else(|| bad(kind, field, "text"))
}

/// A number that may be absent; present with another type is malformed.
fn optional(object: &Object, kind: &str, field: &str) -> Result<Option<f64>, Fault> {
    match object.get(field) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value.as_f64().map(Some).ok_or_else(|| bad(kind, field, "a number")),
    }
}

fn outcome(object: &Object, kind: &str) -> Result<Outcome, Fault> {
    Ok(match text_of(object, kind, "code")? {
        "done" => Outcome::Done,
        "err" => Outcome::Failed,
        "busy" => Outcome::Rejected,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::Unreachable,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NotStarted,
        other => return Err(Fault(format!("{kind}: field code has unknown value {other}"))),
    })
}

fn event(message: &Object, kind: &str, host: &Host) -> Result<Event, Fault> {
    Ok(match kind {
        "Inbound" => Event::RequestArrived(request(message, kind, host)?),
        "WoundUp" => Event::RunEnded { id: id_of(message, kind)?, outcome: outcome(message, kind)? },
        "Awaiting" => Event::CallNeeded { id: id_of(message, kind)? },
        "CallEnded" => Event::CallEnded {
            id: id_of(message, kind)?,
            outcome: outcome(message, kind)?,
            took_ms: optional(message, kind, "tookMs")?.unwrap_or(0.0),
        },
        "Withdrawn" => Event::CallerGone { id: id_of(message, kind)? },
        "Sigterm" => Event::DrainStarted { kill_ms: number(message, kind, "deadlineMs")? },
        "DeadlineHit" => {
            let handle = text_of(message, kind, "handle")?;
            let token = handle.parse().map_err(|_| bad(kind, "handle", "a handle given by this server"))?;
            let gauges = match message.get("load") {
                None => Vec::new(),
                Some(Value::Array(row)) => row
                    .iter()
                    .map(|v| v.as_f64().ok_or_else(|| bad(kind, "load", "a row of numbers")))
                    .collect::<Result<_, _>>()?,
                Some(_) => return Err(bad(kind, "load", "a row of numbers")),
            };
            Event::TimerFired { token, gauges }
        }
        other => return Err(Fault(format!("unknown message {other}"))),
    })
}

fn request(message: &Object, kind: &str, host: &Host) -> Result<Request, Fault> {
    let class = text_of(message, kind, "profile")?;
    let Some(&class) = host.class_names.get(class) else {
        return Err(Fault(format!("{kind}: field profile names unknown class {class}")));
    };
    let tenant = message.get("team").and_then(Value::as_str).and_then(|t| host.tenant_names.get(t).copied());
    let positive = |field| Ok::<_, Fault>(optional(message, kind, field)?.filter(|v| *v > 0.0));
    Ok(Request {
        id: id_of(message, kind)?,
        class,
        tenant,
        deadline_ms: positive("deadlineMs")?,
        work_hint_ms: positive("estimateMs")?,
        mem_kb: optional(message, kind, "memKb")?.unwrap_or(0.0),
        retry: message.get("repeat").and_then(Value::as_bool).unwrap_or(false),
        queued_ms: optional(message, kind, "queuedForMs")?.unwrap_or(0.0),
        duplicate_of: positive("original")?.map(|v| v as u32),
        has_subject: message.contains_key("pathKey"),
    })
}

fn enlist(message: &Object) -> Result<Host, Fault> {
    let seed = message.get("rngSeed").ok_or_else(|| bad("Enlist", "rngSeed", "a whole number"))?;
    let seed = seed
        .as_u64()
        .or_else(|| seed.as_i64().map(|v| v as u64))
        .ok_or_else(|| bad("Enlist", "rngSeed", "a whole number"))?;
    let info = message.get("info").ok_or_else(|| bad("Enlist", "info", "an object"))?;
    let site = Site::from_json(info).map_err(|e| Fault(format!("Enlist: {e}")))?;
    let controller = AdmissionController::new(site.settings, seed)
        .map_err(|e| Fault(format!("Enlist: field info is unusable: {e}")))?;
    Ok(Host { controller, class_names: site.class_names, tenant_names: site.tenant_names })
}

fn line(server: u64, action: &Action) -> Line<'_> {
    match *action {
        Action::StartRun { id } => Line::Admit { server, txn: id },
        Action::Reject { id, retry_after_ms, last, .. } => {
            Line::TurnAway { server, txn: id, pause_ms: retry_after_ms, dont_retry: last }
        }
        Action::Fail { id, .. } => Line::Error { server, txn: id },
        Action::CancelRun { id } => Line::Preempt { server, txn: id },
        Action::StartCall { id, call_timeout_ms } => {
            Line::GoCall { server, txn: id, patience_ms: call_timeout_ms }
        }
        Action::SkipCall { id } => Line::DoWithout { server, txn: id },
        Action::RetainKey { id, ttl_ms } => Line::StoreKey { server, txn: id, for_time_ms: ttl_ms },
        Action::ReleaseKey { id } => Line::ReleaseKey { server, txn: id },
        Action::ReuseResult { id } => Line::Echo { server, txn: id },
        Action::SetHealth { good, from_store } => {
            Line::ReportHealth { server, enable: good, light: from_store }
        }
        Action::ReportLoad { value } => Line::Stamp { server, value },
        Action::CloseIdleConnections { after_ms } => Line::CloseIdle { server, for_time_ms: after_ms },
        Action::SetTimer { after_ms, token } => {
            Line::After { server, offset_ms: after_ms, handle: token.to_string() }
        }
        Action::Log { ref text } => Line::Journal { server, msg: text },
    }
}
