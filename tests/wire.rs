//! The line protocol, tested through the binary: complete replies to valid input, one error line for invalid
//! input.

use std::io::Write;
use std::process::{Command, Stdio};

const ENLIST: &str = r#"{"t":"Enlist","server":3,"rngSeed":9,"info":{"specifics":{"cores":2,"heapKb":9000.0,
"runFactor":4.0,"gauges":["cpu_busy","runnable"],"signal":"weight","unheardOf":[1]},
"services":[{"name":"look","promiseMs":800.0,"deadlineMs":2000.0,"effect":"read_like","worth":1.0}]}}"#;

fn enlist() -> String {
    format!("{}\n", ENLIST.replace('\n', ""))
}

/// Runs the binary on this input; returns its standard output, its standard error, and whether it succeeded.
fn run(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pinepoint-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the binary");
    // The binary may stop at the first error, before it has read all input.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    let output = child.wait_with_output().expect("wait for the binary");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (text(output.stdout), text(output.stderr), output.status.success())
}

fn batch(number: u32, events: &str) -> String {
    format!("{{\"t\":\"Round\",\"atTimeMs\":10.0,\"batch\":{number}}}\n{events}{{\"t\":\"YourTurn\"}}\n")
}

fn inbound(fields: &str) -> String {
    format!("{{\"t\":\"Inbound\",\"server\":3,{fields}}}\n")
}

#[test]
fn answers_empty_batch_with_its_number() {
    assert_eq!(run(&batch(7, "")), ("{\"t\":\"Yield\",\"batch\":7}\n".into(), String::new(), true));
}

#[test]
fn admits_request_on_idle_server() {
    let request = inbound(r#""txn":5,"profile":"look","deadlineMs":900.0,"memKb":9.5,"novel":{"a":1}"#);
    let (output, error, ok) = run(&(batch(1, &enlist()) + &batch(2, &request)));
    assert!(output.contains(r#"{"t":"Admit","server":3,"txn":5}"#), "{output}");
    assert_eq!(output.lines().last(), Some(r#"{"t":"Yield","batch":2}"#));
    assert_eq!((error.as_str(), ok), ("", true));
}

#[test]
fn bad_input_gives_one_line_naming_message_and_field() {
    let unusable = enlist().replace("\"cores\":2", "\"cores\":0");
    let settings = |from: &str, to: &str| batch(1, &enlist().replace(from, to));
    let weight = "\"signal\":\"weight\"";
    let cases = [
        (
            settings("\"cores\":2", "\"cores\":\"two\""),
            "Enlist: field specifics.cores is missing or not a number",
        ),
        (settings("\"heapKb\":9000.0", "\"heapKb\":-1"), "memory_kb is not a number from 0"),
        (
            settings("read_like", "sometimes"),
            "Enlist: field services[0].effect is missing or not one of read_like, idempotency_key, non_idempotent",
        ),
        (
            settings(weight, "\"signal\":\"smoke\""),
            "Enlist: field specifics.signal is missing or not one of level, credit, weight, silent",
        ),
        (settings(weight, "\"signal\":3"), "Enlist: field specifics.signal is missing or not text"),
        (
            settings(weight, "\"preemption\":\"hold\""),
            "Enlist: field specifics.preemption is missing or not one of drop, pause, silent",
        ),
        (
            settings(weight, "\"classCalls\":true"),
            "Enlist: field specifics.classCalls is missing or not a list",
        ),
        ("{\"t\":\n".to_owned(), "malformed JSON"),
        ("[1]\n".to_owned(), "not a JSON object"),
        ("{\"a\":1}\n".to_owned(), "field t is missing"),
        ("{\"t\":\"Round\",\"batch\":1}\n".to_owned(), "Round: field atTimeMs"),
        ("{\"t\":\"YourTurn\"}\n".to_owned(), "expected Round, found YourTurn"),
        (batch(1, &(enlist() + "{\"t\":\"Mystery\",\"server\":3}\n")), "unknown message Mystery"),
        (batch(1, "{\"t\":\"Withdrawn\",\"server\":8,\"txn\":1}\n"), "Withdrawn: field server names unknown"),
        (batch(1, &(enlist() + &inbound(r#""txn":1,"profile":"else""#))), "Inbound: field profile names"),
        (batch(1, &(enlist() + &inbound(r#""profile":"look""#))), "Inbound: field txn is missing"),
        (batch(1, &(enlist() + &inbound(r#""txn":-4,"profile":"look""#))), "Inbound: field txn"),
        (batch(1, &(enlist() + &inbound(r#""txn":1,"profile":"look","memKb":"big""#))), "field memKb"),
        (batch(1, "{\"t\":\"Enlist\",\"server\":3,\"info\":{}}\n"), "Enlist: field rngSeed is missing"),
        (batch(1, &unusable), "Enlist: field info is unusable"),
        ("{\"t\":\"Round\",\"atTimeMs\":1.0,\"batch\":4}\n".to_owned(), "batch 4 is cut off"),
    ];
    for (input, expected) in cases {
        let (output, error, ok) = run(&(batch(0, "") + &input));
        assert!(error.contains(expected) && !error.contains("panicked"), "{expected}: {error}");
        assert_eq!(error.lines().count(), 1, "{expected}: {error}");
        assert!(!ok, "{expected}");
        assert_eq!(output, "{\"t\":\"Yield\",\"batch\":0}\n", "an incomplete reply was written: {expected}");
    }
}

#[test]
fn detached_server_may_enlist_again_in_same_batch() {
    let detach_and_enlist = "{\"t\":\"Detach\",\"server\":3}\n".to_owned() + &enlist();
    let (output, error, ok) = run(&(batch(1, &enlist()) + &batch(2, &detach_and_enlist)));
    assert_eq!((error.as_str(), ok), ("", true));
    assert_eq!(output.matches("ReportHealth").count(), 2);
}
