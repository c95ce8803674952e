//! Settings: each error is reported with its location.

use std::time::Duration;

use cuminarch_node::NodeSettings;
use rstest::rstest;

const GOOD: &str = "fleet: verband
endpoint: kasse-1
service: kasse
zone: zrh-a
region: ch-central
caller_address: 10.0.0.1:8080
egress_address: 127.0.0.1:8081
data_address: 10.0.0.1:8082
control_address: 10.0.0.1:8083
admin_address: 127.0.0.1:8084
upstream_address: 127.0.0.1:9000
platform_address: 10.0.9.9:7000
";

fn replace_in_good(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from));
    GOOD.replace(from, to)
}

fn error(text: &str) -> String {
    NodeSettings::parse(text).unwrap_err().to_string()
}

#[test]
fn good_settings_are_read() {
    let settings = NodeSettings::parse(GOOD).unwrap();
    assert_eq!(settings.shutdown_timeout_ms, 30_000);
    assert_eq!(settings.max_connections, 4_096);
}

#[rstest]
#[case::unknown_key("unknown_key", format!("{GOOD}colour: red\n"))]
#[case::missing_key("missing_key", replace_in_good("zone: zrh-a\n", ""))]
#[case::repeated_key("repeated_key", format!("{GOOD}zone: zrh-b\n"))]
#[case::bad_name("bad_name", replace_in_good("kasse-1", "kasse 1"))]
#[case::bad_address("bad_address", replace_in_good("127.0.0.1:9000", "localhost"))]
#[case::bad_number("bad_number", format!("{GOOD}shutdown_timeout_ms: soon\n"))]
#[case::not_yaml("not_yaml", "fleet: [".to_owned())]
#[case::empty("empty", String::new())]
fn an_error_in_the_text_is_reported_with_its_location(#[case] name: &str, #[case] text: String) {
    insta::assert_snapshot!(name, error(&text));
}

#[test]
fn all_conflicts_are_reported_together() {
    let text = replace_in_good("egress_address: 127.0.0.1:8081", "egress_address: 0.0.0.0:8080")
        .replace("admin_address: 127.0.0.1:8084", "admin_address: 10.0.0.1:8083")
        .replace("upstream_address: 127.0.0.1:9000", "upstream_address: 10.0.0.1:8082")
        .replace("platform_address: 10.0.9.9:7000", "platform_address: 10.0.9.9:0")
        .replace("fleet: verband", "fleet: a&b=c");
    let more = "shutdown_timeout_ms: 0\nmax_connections: 0\nmax_request_body_bytes: 0\n";
    insta::assert_snapshot!("contradictions", error(&format!("{text}{more}")));
}

/// Times that follow from the bounds of a deployment, in milliseconds.
#[rstest]
#[case::short(2.0, 500.0, 720)]
#[case::usual(6.0, 2_000.0, 2_500)]
#[case::long(30.0, 12_000.0, 2_500)]
fn times_follow_from_the_bounds_of_the_deployment(
    #[case] grace_s: f64,
    #[case] config_apply_ms: f64,
    #[case] linger_ms: u128,
) {
    let more = format!("termination_grace_s: {grace_s}\nconfig_apply_ms: {config_apply_ms}\n");
    let readiness = "readiness_address: 10.0.0.1:8090\n";
    let settings = NodeSettings::parse(&format!("{GOOD}{readiness}{more}")).unwrap();
    assert_eq!(settings.shutdown_linger().as_millis(), linger_ms);
    assert!(settings.shutdown_timeout().as_secs_f64() < grace_s);
    assert_eq!(settings.config_apply_timeout(), Duration::from_secs_f64(config_apply_ms / 1_000.0));
}

#[test]
fn conflicting_bounds_are_reported_with_their_lines() {
    let text = format!("{GOOD}termination_grace_s: 2\nshutdown_linger_ms: 2500\n");
    insta::assert_snapshot!("linger_without_rest", error(&text));
    let text = format!("{GOOD}config_apply_ms: 0\nretry_window_s: -1\n");
    insta::assert_snapshot!("bounds_out_of_range", error(&text));
}

#[rstest]
#[case::none("", "")]
#[case::two("disabled: [ejection, shedding]\n", "ejection,shedding")]
fn mechanisms_are_disabled_by_name(#[case] line: &str, #[case] expected: &str) {
    let settings = NodeSettings::parse(&format!("{GOOD}{line}")).unwrap();
    assert_eq!(settings.disabled.to_string(), expected);
}

#[test]
fn an_unknown_mechanism_is_reported_with_its_location() {
    let message = error(&format!("{GOOD}disabled: [eject]\n"));
    assert!(message.contains("eject") && message.contains("line"), "{message}");
}

#[test]
fn zones_of_a_deployment_contain_the_own_one() {
    let settings = NodeSettings::parse(&format!("{GOOD}zones: [zrh-a, gva-a]\n")).unwrap();
    assert_eq!(settings.zones.len(), 2);
}

#[rstest]
#[case::repeated("zones_repeated", "zones: [zrh-a, gva-a, gva-a]\n")]
#[case::without_own("zones_without_own", "zones: [gva-a]\n")]
fn wrong_zones_are_reported_with_their_line(#[case] name: &str, #[case] line: &str) {
    insta::assert_snapshot!(name, error(&format!("{GOOD}{line}")));
}
