//! The text of a log line in both formats, as the reader of the log receives it.

use std::os::fd::OwnedFd;

use pinepoint_log::{LineFormat, MakeNonBlockingWriter, Options, subscriber};

/// Returns the log output of `body` in `format`.
fn log_output(format: LineFormat, body: impl FnOnce()) -> String {
    let (mut reader, writer) = std::io::pipe().expect("open a pipe");
    let fd: OwnedFd = writer.into();
    let make_writer =
        MakeNonBlockingWriter(move || std::fs::File::from(fd.try_clone().expect("clone the descriptor")));
    let options = Options { format, ..Options::default() };
    tracing::subscriber::with_default(subscriber(&options, make_writer), body);
    let mut buffer = vec![0; 4096];
    let length = std::io::Read::read(&mut reader, &mut buffer).expect("read the pipe");
    String::from_utf8(buffer[..length].to_vec()).expect("decode as UTF-8")
}

#[test]
fn writes_logfmt_lines() {
    let line = log_output(LineFormat::Text, || tracing::info!(conn = 7, reason = "a b", "conn-ended"));
    assert!(line.starts_with("ts="), "{line}");
    assert!(line.contains(" level=info target=lines "), "{line}");
    assert!(line.ends_with(" message=conn-ended conn=7 reason=\"a b\"\n"), "{line}");
}

#[test]
fn writes_json_lines() {
    let line = log_output(LineFormat::Json, || tracing::warn!(conn = 7, reason = "a \"b\"\n", "conn-ended"));
    let value: serde_json::Value = serde_json::from_str(&line).expect("parse the line as an object");
    assert_eq!(value["message"], "conn-ended");
    assert_eq!(value["conn"], 7);
    assert_eq!(value["reason"], "a \"b\"\n");
    assert_eq!(value["level"], "WARN");
}
