//! `pinepoint fleet`: asks a running comparer for its view of the fleet and prints it. It owns the form of that; it must
//! never take part in the fleet.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Subcommand;
use pinepoint_membership::io::{QueryError, query_view};
use serde_json::Value;

/// Tries for each page of a view, and the wait of each.
const TRIES: u32 = 5;
const WAIT: Duration = Duration::from_millis(400);

#[derive(Subcommand)]
pub enum Ask {
    /// Print the view once: exit status 0 if it is settled, 3 if not, 1 if nobody answers
    View {
        /// The fleet address of any member
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// The name of its fleet
        #[arg(long, value_name = "NAME", default_value_t = pinepoint_membership::config::name())]
        fleet: String,
        /// Print it as JSON
        #[arg(long)]
        json: bool,
    },
    /// Print what changes in the view, a line for each change, until it is ended
    Watch {
        /// The fleet address of any member
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// The name of its fleet
        #[arg(long, value_name = "NAME", default_value_t = pinepoint_membership::config::name())]
        fleet: String,
        /// Between two looks, ms
        #[arg(long, value_name = "MS", default_value_t = 500)]
        every: u64,
    },
}

/// The view is not settled.
const UNSETTLED: u8 = 3;

pub fn run(question: &Ask) -> ExitCode {
    match question {
        Ask::View { at, fleet, json } => match query_view(fleet, *at, TRIES, WAIT) {
            Ok(view) => {
                println!("{}", if *json { view.to_string() } else { table(&view) });
                if view["settled"] == true { ExitCode::SUCCESS } else { ExitCode::from(UNSETTLED) }
            }
            Err(error) => failed(*at, &error),
        },
        Ask::Watch { at, fleet, every } => watch(*at, fleet, Duration::from_millis(*every)),
    }
}

fn failed(at: SocketAddr, error: &QueryError) -> ExitCode {
    eprintln!("pinepoint: {at}: {error}");
    ExitCode::FAILURE
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn rows(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

fn verdict(row: &Value) -> String {
    let of = text(&row["of"]);
    let of = if of.is_empty() { String::new() } else { format!(" {of}") };
    let held = if row["held"] == true { " (held)" } else { "" };
    format!(
        "{}{of} ({:.2}){held}: {}",
        text(&row["kind"]),
        row["confidence"].as_f64().unwrap_or(0.0),
        text(&row["evidence"])
    )
}

/// A line for the whole, one for each verdict, one for each member.
fn table(view: &Value) -> String {
    let settled = if view["settled"] == true { "settled" } else { "not settled" };
    let members: Vec<&Value> = rows(&view["members"]).collect();
    let mut lines = vec![format!(
        "view of {}: {settled}, digest {}, {} members",
        text(&view["self"]),
        text(&view["digest"]),
        members.len()
    )];
    lines.extend(rows(&view["verdicts"]).map(|row| format!("! {}", verdict(row))));
    let widest = members.iter().map(|row| text(&row["name"]).len()).max().unwrap_or(0).max(6);
    lines.push(format!(
        "{:widest$} {:12} {:10} {:>8} {:>6} {:>6}  START",
        "MEMBER", "ZONE", "STATE", "FOR s", "BUSY", "HOLD"
    ));
    for row in members {
        let load = &row["load"][0];
        let busy = load["busy"].as_f64().map_or("-".into(), |busy| format!("{:.2}", busy / 255.0));
        let hold = load["hold_ms"].as_u64().map_or("-".into(), |ms| ms.to_string());
        lines.push(format!(
            "{:widest$} {:12} {:10} {:>8.1} {busy:>6} {hold:>6}  {}",
            text(&row["name"]),
            text(&row["zone"]),
            text(&row["state"]),
            row["age_ms"].as_f64().unwrap_or(0.0) / 1000.0,
            row["start"]
        ));
    }
    lines.join("\n")
}

/// What is compared from look to look: a line for each thing that can change.
fn things(view: &Value) -> Vec<String> {
    let settled = format!("settled {}", view["settled"]);
    let verdicts =
        rows(&view["verdicts"]).map(|row| format!("verdict {} {}", text(&row["kind"]), text(&row["of"])));
    let members = rows(&view["members"])
        .map(|row| format!("member {} {} start {}", text(&row["name"]), text(&row["state"]), row["start"]));
    std::iter::once(settled).chain(verdicts).chain(members).collect()
}

fn watch(at: SocketAddr, fleet: &str, every: Duration) -> ExitCode {
    let mut before: Option<Vec<String>> = None;
    loop {
        match query_view(fleet, at, TRIES, WAIT) {
            Ok(view) => {
                let now = things(&view);
                let known = before.unwrap_or_default();
                now.iter().filter(|thing| !known.contains(thing)).for_each(|thing| println!("+ {thing}"));
                known.iter().filter(|thing| !now.contains(thing)).for_each(|thing| println!("- {thing}"));
                before = Some(now);
            }
            Err(error) if before.is_none() => return failed(at, &error),
            Err(error) => println!("? {error}"),
        }
        std::thread::sleep(every);
    }
}
