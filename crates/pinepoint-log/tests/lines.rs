//! A line of the log in both formats, as its reader receives it.

use std::os::fd::OwnedFd;

use pinepoint_log::{LineFormat, MakeNonBlockingWriter, Options, subscriber};

/// What is written while `body` runs under a log of this format.
fn written(format: LineFormat, body: impl FnOnce()) -> String {
    let (mut reader, writer) = std::io::pipe().expect("a pipe");
    let fd: OwnedFd = writer.into();
    let to = MakeNonBlockingWriter(move || std::fs::File::from(fd.try_clone().expect("cloned")));
    let options = Options { format, ..Options::default() };
    tracing::subscriber::with_default(subscriber(&options, to), body);
    let mut text = vec![0; 4096];
    let n = std::io::Read::read(&mut reader, &mut text).expect("read");
    String::from_utf8(text[..n].to_vec()).expect("text")
}

#[test]
fn text() {
    let line = written(LineFormat::Text, || tracing::info!(conn = 7, reason = "a b", "conn-ended"));
    assert!(line.starts_with("ts="), "{line}");
    assert!(line.contains(" level=info target=lines "), "{line}");
    assert!(line.ends_with(" message=conn-ended conn=7 reason=\"a b\"\n"), "{line}");
}

#[test]
fn json() {
    let line = written(LineFormat::Json, || tracing::warn!(conn = 7, reason = "a \"b\"\n", "conn-ended"));
    let value: serde_json::Value = serde_json::from_str(&line).expect("one object a line");
    assert_eq!(value["message"], "conn-ended");
    assert_eq!(value["conn"], 7);
    assert_eq!(value["reason"], "a \"b\"\n");
    assert_eq!(value["level"], "WARN");
}
