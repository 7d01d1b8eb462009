use super::*;

#[test]
fn levels_are_read_and_what_is_none_is_refused() {
    for good in ["info", "warn,pinepoint::node::links=debug", "off", "pinepoint=trace"] {
        assert!(good.parse::<LevelFilter>().is_ok(), "{good}");
    }
    for bad in ["", "loud", "info,loud", "links=loud"] {
        let error = bad.parse::<LevelFilter>().expect_err(bad);
        assert!(error.to_string().contains("is no level"), "{error}");
    }
}

#[test]
fn settings_keep_their_keys() {
    let options: Options =
        serde_json::from_str(r#"{"form": "json", "level": "warn"}"#).expect("keys of a settings file");
    assert_eq!(options, Options { format: LineFormat::Json, level: "warn".parse().expect("a level") });
}
