//! The configuration file at the first start: what is refused, and where the fault is said to be.

use std::path::Path;

use pinepoint::config::Config;

const GOOD: &str = r#"{"name":"n1","listen":"127.0.0.1:0","engine":"127.0.0.1:1",
 "members":"127.0.0.1:2","store":"127.0.0.1:3","seed":"8c1f","stop_ms":3000,
 "limits":{"cores":1,"memory_mb":32,"sockets":256},
 "settings":{"services":[{"name":"look"}, {"name":"write",
  "deadlineMs":900}],
  "specifics":{"cores":4}}}"#;

/// What `Config::parse` makes of a text: its error, or `taken`.
fn parse(text: &str) -> String {
    Config::parse(Path::new("c.json"), text).map_or_else(|e| e.to_string(), |_| "taken".into())
}

#[test]
fn a_configuration_is_refused_with_its_line_and_field() {
    assert_eq!(parse(GOOD), "taken");
    // What of the good file is replaced by what, and the error.
    let cases = [
        ("\"stop_ms\":3000", "\"stop_ms\":-1", "c.json:2:62: stop_ms: is not a number above 0"),
        ("8c1f", "wxyz", "c.json:2:48: seed: is not up to 16 hexadecimal digits"),
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
    for (old, new, wanted) in cases {
        assert_eq!(parse(&GOOD.replace(old, new)), wanted);
    }
    assert!(parse(&GOOD[..50]).starts_with("c.json:1:50: "), "{}", parse(&GOOD[..50]));
    assert_eq!(parse(""), "c.json:1:0: EOF while parsing a value");
    let twice = format!("{GOOD}{GOOD}");
    assert!(parse(&twice).contains("goes on after its end"), "{}", parse(&twice));
}
