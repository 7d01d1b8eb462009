use super::*;

fn edge(text: &str) -> String {
    parse_toml::<Edge>(Path::new("edge.toml"), text).map_or_else(|e| e.to_string(), |_| "taken".into())
}

#[test]
fn an_edge_file_is_refused_with_its_line_and_field() {
    assert_eq!(edge(""), "taken");
    assert_eq!(
        edge("[ajp]\nlisten = \"127.0.0.1:8009\"\nmem_kb = 4e3\n"),
        "edge.toml:3:10: ajp.mem_kb: 4000 is not above 0 and below 2000"
    );
    let unknown = edge("\n[log]\nlevels = \"info\"\n");
    assert!(unknown.starts_with("edge.toml:3:1: log.levels: unknown field `levels`"), "{unknown}");
    let level = edge("[log]\nlevel = \"loud\"");
    assert!(
        level.starts_with("edge.toml:2:9: log.level: \"loud\" is not a log level: expected error,"),
        "{level}"
    );
    let cut = edge("[ajp\n");
    assert!(cut.starts_with("edge.toml:1:5: "), "{cut}");
}
