//! The configuration file at the start of the process: which files are rejected, and the position and text of
//! each error.

use std::path::Path;

use pinepoint::config::Config;

const VALID: &str = r#"{"name":"n1","listen":"127.0.0.1:0","engine":"127.0.0.1:1",
 "members":"127.0.0.1:2","store":"127.0.0.1:3","seed":"8c1f","stop_ms":3000,
 "limits":{"cores":1,"memory_mb":32,"sockets":256},
 "settings":{"services":[{"name":"look"}, {"name":"write",
  "deadlineMs":900}],
  "specifics":{"cores":4}}}"#;

/// The error of `Config::parse` for this text, or `accepted`.
fn parse(text: &str) -> String {
    Config::parse(Path::new("c.json"), text).map_or_else(|e| e.to_string(), |_| "accepted".into())
}

#[test]
fn rejects_invalid_configuration_with_position_and_field() {
    assert_eq!(parse(VALID), "accepted");
    // A part of the valid file, its replacement, and the error that follows.
    let cases = [
        ("\"stop_ms\":3000", "\"stop_ms\":-1", "c.json:2:62: stop_ms: -1 is not a number above 0"),
        ("8c1f", "wxyz", "c.json:2:48: seed: \"wxyz\" is not 1 to 16 hexadecimal digits"),
        (
            "\"cores\":4",
            "\"cores\":\"4\"",
            "c.json:6:16: settings.specifics.cores: field specifics.cores is missing or not a number",
        ),
        (
            "\"deadlineMs\":900",
            "\"deadlineMs\":-5",
            "c.json:5:3: settings.services[1].deadlineMs: field services[1].deadlineMs is missing or not a number \
             above 0",
        ),
        ("\"cores\":4", "\"cores\":0", "c.json:4:2: settings: a server needs at least one core"),
        ("127.0.0.1:1", "nowhere", "c.json:1:54: engine: invalid socket address syntax"),
        ("256", "\"many\"", "c.json:3:52: limits.sockets: invalid type: string \"many\", expected usize"),
        (" \"settings\":", " \"setting\":", "c.json:6:27: missing field `settings`"),
    ];
    for (old, new, expected) in cases {
        assert_eq!(parse(&VALID.replace(old, new)), expected);
    }
    assert!(parse(&VALID[..50]).starts_with("c.json:1:50: "), "{}", parse(&VALID[..50]));
    assert_eq!(parse(""), "c.json:1:0: EOF while parsing a value");
    let twice = format!("{VALID}{VALID}");
    assert!(parse(&twice).contains("has text after its JSON value"), "{}", parse(&twice));
}
