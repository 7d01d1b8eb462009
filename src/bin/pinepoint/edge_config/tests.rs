use super::*;

/// The error for this text of an edge file, or `accepted`.
fn parse(text: &str) -> String {
    parse_toml::<Edge>(Path::new("edge.toml"), text).map_or_else(|e| e.to_string(), |_| "accepted".into())
}

#[test]
fn rejects_invalid_edge_file_with_position_and_field() {
    assert_eq!(parse(""), "accepted");
    assert_eq!(
        parse("[ajp]\nlisten = \"127.0.0.1:8009\"\nmem_kb = 4e3\n"),
        "edge.toml:3:10: ajp.mem_kb: 4000 is not above 0 and below 2000"
    );
    let unknown = parse("\n[log]\nlevels = \"info\"\n");
    assert!(unknown.starts_with("edge.toml:3:1: log.levels: unknown field `levels`"), "{unknown}");
    let level = parse("[log]\nlevel = \"loud\"");
    assert!(
        level.starts_with("edge.toml:2:9: log.level: \"loud\" is not a log level: expected error,"),
        "{level}"
    );
    let truncated = parse("[ajp\n");
    assert!(truncated.starts_with("edge.toml:1:5: "), "{truncated}");
}
