use super::*;

fn graphite(text: &str) -> Result<Graphite, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}

fn collectd(text: &str) -> Result<Collectd, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}

#[test]
fn accepts_single_receiver_and_defaults_the_rest() {
    let one = graphite("address = \"127.0.0.1:2003\"").expect("valid settings");
    assert_eq!(one.receivers.names(), ["127.0.0.1:2003"]);
    assert_eq!(one, graphite("receivers = [\"127.0.0.1:2003\"]").expect("valid settings"));
    assert_eq!((one.replication.get(), one.spool.kb.get()), (1, 1024));
    assert_eq!(one.delivery_config(10_000.0).max_send_delay_ms, 2500.0);
}

#[test]
fn rejects_invalid_settings_with_expected_form() {
    let cases = [
        ("receivers = []", "0 receivers are listed, expected 1 to 32"),
        (
            "receivers = [\"localhost:2003\"]",
            "is not an address, expected an IP address and a port such as 127.0.0.1:2003",
        ),
        (
            "receivers = [\"[::1]:2003\", \"[0:0::1]:2003\"]",
            "[0:0::1]:2003 is listed twice, possibly in another spelling; expected each address once",
        ),
        ("address = \"127.0.0.1:2003\"\nreplication = 9", "9 is out of range, expected 1 to 8"),
        ("address = \"127.0.0.1:2003\"\nspool = { kb = 1 }", "1 is out of range, expected 256 to 1048576"),
        ("address = \"127.0.0.1:2003\"\nprotocol = \"http\"", "unknown variant `http`"),
        ("address = \"127.0.0.1:2003\"\nevery_s = 3", "unknown field `every_s`"),
    ];
    for (text, expected) in cases {
        let error = graphite(text).expect_err(text);
        assert!(error.contains(expected), "{text}: {error}");
    }
    let cases = [
        (
            "address = \"unix:tmp\"",
            "has no absolute path after unix:, expected a form such as unix:/run/collectd.sock",
        ),
        (
            "address = \"unix:/run/c\"",
            "a unix: address cannot be used with protocol = \"network\", expected protocol = \"text\"",
        ),
        (
            "address = \"127.0.0.1:1\"\nsecurity = \"sign\"",
            "needs a username of 1 to 64 bytes and a password that is not empty",
        ),
        (
            "address = \"127.0.0.1:1\"\nsecurity = \"sign\"\nprotocol = \"text\"",
            "security cannot be used with protocol = \"text\", expected protocol = \"network\" or no security",
        ),
    ];
    for (text, expected) in cases {
        let error = collectd(text).expect_err(text);
        assert!(error.contains(expected), "{text}: {error}");
    }
}

#[test]
fn debug_output_omits_password() {
    let text = "address = \"127.0.0.1:1\"\nsecurity = \"sign\"\nusername = \"u\"\npassword = \"hidden\"";
    assert!(!format!("{:?}", collectd(text).expect("valid settings")).contains("hidden"));
}
