use super::*;

fn read(text: &str) -> Result<Config, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}

#[test]
fn what_can_not_be_is_refused_with_what_would_be_right() {
    let good = read("listen = \"10.0.0.1:7400\"\nview_from = [\"10.1.0.0/16\"]").expect("taken");
    assert_eq!((good.name.as_str(), good.period_ms, good.seeds.len()), ("pinepoint", 1000.0, 0));
    let asks = |ip: &str| good.may_query_view(ip.parse().expect("an address"));
    assert!(asks("127.0.0.1") && asks("10.1.2.3") && !asks("10.2.0.1"));
    let long_zone = format!("listen = \"10.0.0.1:1\"\nzone = \"{}\"", "z".repeat(65));
    let many_seeds = format!("listen = \"10.0.0.1:1\"\nseeds = [{}]", "\"10.0.0.2:1\",".repeat(17));
    let cases = [
        ("listen = \"0.0.0.0:7400\"", "nobody reaches 0.0.0.0:7400: advertise has to name"),
        ("listen = \"10.0.0.1:1\"\nperiod_ms = 5", "period_ms is 5 and has to be 50 to 60000"),
        ("listen = \"10.0.0.1:1\"\nmembers = 1", "members is 1 and has to be 2 to 8192"),
        ("listen = \"10.0.0.1:1\"\nname = \"\"", "name has to have 1 to 64 bytes"),
        ("listen = \"10.0.0.1:1\"\nseed = []", "unknown field `seed`"),
        (&long_zone, "zone has to have at most 64 bytes"),
        (&many_seeds, "seeds are 17 and may be 16 at most"),
    ];
    for (text, wanted) in cases {
        let error = read(text).expect_err(text);
        assert!(error.starts_with(wanted), "{error}");
    }
}
