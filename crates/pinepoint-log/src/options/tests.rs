use super::*;

#[test]
fn parses_valid_and_rejects_invalid_levels() {
    for valid in ["info", "warn,pinepoint::node::links=debug", "off", "pinepoint=trace"] {
        assert!(valid.parse::<LevelFilter>().is_ok(), "{valid}");
    }
    for invalid in ["", "loud", "info,loud", "links=loud"] {
        let error = invalid.parse::<LevelFilter>().expect_err(invalid);
        assert!(error.to_string().contains("is not a log level"), "{error}");
    }
}

#[test]
fn deserializes_settings_by_their_keys() {
    let options: Options =
        serde_json::from_str(r#"{"form": "json", "level": "warn"}"#).expect("parse the settings");
    assert_eq!(
        options,
        Options { format: LineFormat::Json, level: "warn".parse().expect("parse the level") }
    );
}
