use super::*;

fn graphite(text: &str) -> Result<Graphite, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}

fn collectd(text: &str) -> Result<Collectd, String> {
    toml::from_str(text).map_err(|error| error.message().to_owned())
}

#[test]
fn one_receiver_is_enough_and_the_rest_has_its_defaults() {
    let one = graphite("address = \"127.0.0.1:2003\"").expect("good");
    assert_eq!(one.receivers.names(), ["127.0.0.1:2003"]);
    assert_eq!(one, graphite("receivers = [\"127.0.0.1:2003\"]").expect("good"));
    assert_eq!((one.replication.get(), one.spool.kb.get()), (1, 1024));
    assert_eq!(one.delivery_config(10_000.0).max_send_delay_ms, 2500.0);
}

#[test]
fn what_cannot_be_is_refused_with_what_would_be_right() {
    let cases = [
        ("receivers = []", "0 receivers: there have to be 1 to 32"),
        ("receivers = [\"localhost:2003\"]", "is not an address and a port such as 127.0.0.1:2003"),
        ("receivers = [\"[::1]:2003\", \"[0:0::1]:2003\"]", "[0:0::1]:2003 stands there twice"),
        ("address = \"127.0.0.1:2003\"\nreplication = 9", "9 is not from 1 to 8"),
        ("address = \"127.0.0.1:2003\"\nspool = { kb = 1 }", "1 is not from 256 to 1048576"),
        ("address = \"127.0.0.1:2003\"\nprotocol = \"http\"", "unknown variant `http`"),
        ("address = \"127.0.0.1:2003\"\nevery_s = 3", "unknown field `every_s`"),
    ];
    for (text, wanted) in cases {
        let error = graphite(text).expect_err(text);
        assert!(error.contains(wanted), "{text}: {error}");
    }
    let cases = [
        ("address = \"unix:tmp\"", "is not unix: and an absolute path"),
        ("address = \"unix:/run/c\"", "a path needs protocol = \"text\""),
        (
            "address = \"127.0.0.1:1\"\nsecurity = \"sign\"",
            "needs a username of 1 to 64 bytes and a password",
        ),
        (
            "address = \"127.0.0.1:1\"\nsecurity = \"sign\"\nprotocol = \"text\"",
            "for protocol = \"network\" alone",
        ),
    ];
    for (text, wanted) in cases {
        let error = collectd(text).expect_err(text);
        assert!(error.contains(wanted), "{text}: {error}");
    }
}

#[test]
fn a_password_is_not_told() {
    let text = "address = \"127.0.0.1:1\"\nsecurity = \"sign\"\nusername = \"u\"\npassword = \"hidden\"";
    assert!(!format!("{:?}", collectd(text).expect("good")).contains("hidden"));
}
