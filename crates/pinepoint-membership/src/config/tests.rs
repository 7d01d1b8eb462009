use super::*;

fn parse(text: &str) -> Result<Config, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}

#[test]
fn rejects_invalid_values_with_expected_range() {
    let config = parse("listen = \"10.0.0.1:7400\"\nview_from = [\"10.1.0.0/16\"]").expect("a valid section");
    assert_eq!((config.name.as_str(), config.period_ms, config.seeds.len()), ("pinepoint", 1000.0, 0));
    let may_query = |ip: &str| config.may_query_view(ip.parse().expect("an address"));
    assert!(may_query("127.0.0.1") && may_query("10.1.2.3") && !may_query("10.2.0.1"));
    let long_zone = format!("listen = \"10.0.0.1:1\"\nzone = \"{}\"", "z".repeat(65));
    let many_seeds = format!("listen = \"10.0.0.1:1\"\nseeds = [{}]", "\"10.0.0.2:1\",".repeat(17));
    let cases = [
        ("listen = \"0.0.0.0:7400\"", "other members cannot reach 0.0.0.0:7400: set advertise to an address"),
        ("listen = \"10.0.0.1:1\"\nperiod_ms = 5", "period_ms is 5, but must be 50 to 60000"),
        ("listen = \"10.0.0.1:1\"\nmembers = 1", "members is 1, but must be 2 to 8192"),
        ("listen = \"10.0.0.1:1\"\nname = \"\"", "name must have 1 to 64 bytes"),
        ("listen = \"10.0.0.1:1\"\nseed = []", "unknown field `seed`"),
        (&long_zone, "zone must have at most 64 bytes"),
        (&many_seeds, "seeds has 17 addresses, but at most 16 are allowed"),
    ];
    for (text, expected) in cases {
        let error = parse(text).expect_err(text);
        assert!(error.starts_with(expected), "{text}: got {error:?}, expected {expected:?}");
    }
}
