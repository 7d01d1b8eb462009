//! `pinepoint fleet`: asks a running process for its view of the fleet and prints the view. The command never
//! joins the fleet.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Subcommand;
use pinepoint_membership::config;
use pinepoint_membership::io::{QueryError, query_view};
use serde_json::Value;

/// Number of attempts to fetch each page of a view.
const ATTEMPTS: u32 = 5;
/// Timeout of each attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Exit status for a view that is not settled.
const NOT_SETTLED: u8 = 3;
/// Minimum width of the column with member names.
const MIN_NAME_WIDTH: usize = "MEMBER".len();

/// The subcommands of `fleet`. Variant names, field names and doc comments are the arguments and help of the
/// command line.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Print the view once: exit status 0 if the view is settled, 3 if not, 1 if no member answers
    View {
        /// The fleet address of any member
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// The name of the fleet
        #[arg(long, value_name = "NAME", default_value_t = config::name())]
        fleet: String,
        /// Print the view as JSON
        #[arg(long)]
        json: bool,
    },
    /// Print a line for each change in the view, until the command is interrupted
    Watch {
        /// The fleet address of any member
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// The name of the fleet
        #[arg(long, value_name = "NAME", default_value_t = config::name())]
        fleet: String,
        /// Interval between two queries, ms
        #[arg(long, value_name = "MS", default_value_t = 500)]
        every: u64,
    },
}

/// Runs the command and returns the exit status.
pub fn run(command: &FleetCommand) -> ExitCode {
    match command {
        FleetCommand::View { at, fleet, json } => print_once(*at, fleet, *json),
        FleetCommand::Watch { at, fleet, every } => watch(*at, fleet, Duration::from_millis(*every)),
    }
}

fn print_once(at: SocketAddr, fleet: &str, json: bool) -> ExitCode {
    match query_view(fleet, at, ATTEMPTS, ATTEMPT_TIMEOUT) {
        Ok(view) => {
            println!("{}", if json { view.to_string() } else { table(&view) });
            if is_settled(&view) { ExitCode::SUCCESS } else { ExitCode::from(NOT_SETTLED) }
        }
        Err(error) => query_failed(at, &error),
    }
}

/// Prints the differences between successive views until the process is ended. If the first query fails, the
/// command fails; later failures are printed.
fn watch(at: SocketAddr, fleet: &str, interval: Duration) -> ExitCode {
    let mut previous: Option<Vec<String>> = None;
    loop {
        match query_view(fleet, at, ATTEMPTS, ATTEMPT_TIMEOUT) {
            Ok(view) => {
                let current = facts(&view);
                print_changes(&previous.unwrap_or_default(), &current);
                previous = Some(current);
            }
            Err(error) if previous.is_none() => return query_failed(at, &error),
            Err(error) => println!("? {error}"),
        }
        std::thread::sleep(interval);
    }
}

fn query_failed(at: SocketAddr, error: &QueryError) -> ExitCode {
    eprintln!("pinepoint: {at}: {error}");
    ExitCode::FAILURE
}

fn print_changes(previous: &[String], current: &[String]) {
    for appeared in current.iter().filter(|fact| !previous.contains(fact)) {
        println!("+ {appeared}");
    }
    for vanished in previous.iter().filter(|fact| !current.contains(fact)) {
        println!("- {vanished}");
    }
}

/// The lines that `watch` compares: one for each fact that can change.
fn facts(view: &Value) -> Vec<String> {
    let settled = format!("settled {}", view["settled"]);
    let verdicts =
        rows(&view["verdicts"]).map(|row| format!("verdict {} {}", text(&row["kind"]), text(&row["of"])));
    let members = rows(&view["members"])
        .map(|row| format!("member {} {} start {}", text(&row["name"]), text(&row["state"]), row["start"]));
    std::iter::once(settled).chain(verdicts).chain(members).collect()
}

/// The view as text: a summary line, a line for each verdict, and a table of the members.
fn table(view: &Value) -> String {
    let members: Vec<&Value> = rows(&view["members"]).collect();
    let mut lines = vec![summary_line(view, members.len())];
    lines.extend(rows(&view["verdicts"]).map(|row| format!("! {}", verdict_text(row))));
    let name_widths = members.iter().map(|row| text(&row["name"]).len());
    let width = name_widths.max().unwrap_or(0).max(MIN_NAME_WIDTH);
    lines.push(format!(
        "{:width$} {:12} {:10} {:>8} {:>6} {:>6}  START",
        "MEMBER", "ZONE", "STATE", "FOR s", "BUSY", "HOLD"
    ));
    lines.extend(members.iter().map(|row| member_line(row, width)));
    lines.join("\n")
}

fn summary_line(view: &Value, members: usize) -> String {
    let settled = if is_settled(view) { "settled" } else { "not settled" };
    let (member, digest) = (text(&view["self"]), text(&view["digest"]));
    format!("view of {member}: {settled}, digest {digest}, {members} members")
}

fn verdict_text(row: &Value) -> String {
    let subject = text(&row["of"]);
    let subject = if subject.is_empty() { String::new() } else { format!(" {subject}") };
    let held = if row["held"] == true { " (held)" } else { "" };
    let (kind, evidence) = (text(&row["kind"]), text(&row["evidence"]));
    let confidence = row["confidence"].as_f64().unwrap_or(0.0);
    format!("{kind}{subject} ({confidence:.2}){held}: {evidence}")
}

fn member_line(row: &Value, width: usize) -> String {
    let load = &row["load"][0];
    let busy = load["busy"].as_f64().map_or("-".into(), |busy| format!("{:.2}", busy / 255.0));
    let hold = load["hold_ms"].as_u64().map_or("-".into(), |ms| ms.to_string());
    format!(
        "{:width$} {:12} {:10} {:>8.1} {busy:>6} {hold:>6}  {}",
        text(&row["name"]),
        text(&row["zone"]),
        text(&row["state"]),
        row["age_ms"].as_f64().unwrap_or(0.0) / 1000.0,
        row["start"]
    )
}

fn is_settled(view: &Value) -> bool {
    view["settled"] == true
}

/// A JSON string without its quotes, or any other value as JSON.
fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn rows(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}
