//! The command line as scripts use it: the printed text and the exit status.

use std::path::PathBuf;
use std::process::{Command, Output};

/// A temporary directory for one test, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("pinepoint-command-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        TempDir(path)
    }

    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program until it exits; `config` is the value of RELAY_CONFIG.
fn pinepoint(arguments: &[&str], config: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pinepoint"));
    command.args(arguments).env_remove("RELAY_CONFIG");
    command.envs(config.map(|config| ("RELAY_CONFIG", config)));
    command.output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

const CONFIG: &str = r#"{"name":"n1","listen":"127.0.0.1:0","engine":"127.0.0.1:1","members":"127.0.0.1:2",
"store":"127.0.0.1:3","seed":"8c1f","stop_ms":3000,"limits":{"memory_mb":32,"sockets":256},
"settings":{"services":[{"name":"look"}]}}"#;

#[test]
fn prints_help_and_version() {
    let help = pinepoint(&["--help"], None);
    assert_eq!(help.status.code(), Some(0));
    let printed = text(&help.stdout);
    for word in ["serve", "check", "--edge <FILE>", "SIGTERM"] {
        assert!(printed.contains(word), "{word} is missing in {printed}");
    }
    assert_eq!(text(&pinepoint(&["--version"], None).stdout), "pinepoint 0.1.0\n");
    assert_eq!(pinepoint(&["--verbose"], None).status.code(), Some(2));
}

/// The names of the subcommands that a help text lists.
fn commands_in_help(arguments: &[&str]) -> Vec<String> {
    let help = text(&pinepoint(arguments, None).stdout);
    let commands = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    commands
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.strip_prefix("  "))
        // The continuation of a wrapped text is indented further.
        .filter(|line| !line.starts_with(' '))
        .filter_map(|line| line.split(' ').next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn help_lists_all_commands() {
    assert_eq!(commands_in_help(&["--help"]), ["serve", "check", "ask", "fleet", "help"]);
    assert_eq!(commands_in_help(&["fleet", "--help"]), ["view", "watch", "help"]);
    assert_eq!(commands_in_help(&["ask", "--help"]), [""; 0]);
    let help = text(&pinepoint(&["ask", "--help"], None).stdout);
    for command in ["PING", "INFO", "LAMEDUCK", "REJOIN"] {
        assert!(help.contains(command), "{command} is missing in {help}");
    }
}

#[test]
fn start_without_configuration_names_missing_variable() {
    for arguments in [&[][..], &["serve"]] {
        let output = pinepoint(arguments, None);
        assert_eq!(output.status.code(), Some(2));
        let logged = text(&output.stderr);
        assert!(
            logged.contains("message=not-started error=\"RELAY_CONFIG is not set: it must be"),
            "{logged}"
        );
    }
}

#[test]
fn check_accepts_valid_files() {
    let directory = TempDir::new("good");
    let (edge, config) = (directory.write_file("edge.toml", ""), directory.write_file("c.json", CONFIG));
    for (arguments, named) in [
        (&["check", "--edge", &edge, &config][..], None),
        (&["check", "--edge", &edge], Some(config.as_str())),
    ] {
        let output = pinepoint(arguments, named);
        assert_eq!(text(&output.stdout), format!("{edge}: good\n{config}: good\n"));
        assert_eq!(output.status.code(), Some(0));
    }
}

#[test]
fn check_reports_position_and_field_of_errors_in_both_files() {
    let directory = TempDir::new("bad");
    let edge = directory.write_file("edge.toml", "[ajp]\nlisten = \"127.0.0.1:8009\"\nmem_kb = 0.0\n");
    let config = directory.write_file("c.json", &CONFIG.replace("3000", "\"3 s\""));
    let output = pinepoint(&["check", "--edge", &edge, &config], None);
    assert_eq!(output.status.code(), Some(2));
    let printed = text(&output.stdout);
    let lines: Vec<&str> = printed.lines().collect();
    assert_eq!(lines[0], format!("{edge}:3:10: ajp.mem_kb: 0 is not above 0 and below 2000"));
    assert_eq!(lines[1], format!("{config}:2:51: stop_ms: invalid type: string \"3 s\", expected f64"));
    let json = pinepoint(&["check", "--json", "--edge", &edge], None);
    let result: serde_json::Value = serde_json::from_slice(&json.stdout).expect("one object");
    assert_eq!((result["good"].as_bool(), result["line"].as_u64()), (Some(false), Some(3)));
    assert_eq!((result["field"].as_str(), json.status.code()), (Some("ajp.mem_kb"), Some(2)));
    // A start rejects the same file with the same text.
    let serve = pinepoint(&["serve", "--edge", &edge], Some(&config));
    assert_eq!(serve.status.code(), Some(2));
    assert!(text(&serve.stderr).contains("ajp.mem_kb: 0 is not above 0 and below 2000"));
}

#[test]
fn check_fails_for_missing_file_and_without_files() {
    let output = pinepoint(&["check", "/nonexistent/c.json"], None);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stdout).starts_with("/nonexistent/c.json: cannot be read: "));
    assert_eq!(pinepoint(&["check"], None).status.code(), Some(2));
}
