//! Settings: every fault is named with its place.

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

fn with(from: &str, to: &str) -> String {
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
#[case::missing_key("missing_key", with("zone: zrh-a\n", ""))]
#[case::repeated_key("repeated_key", format!("{GOOD}zone: zrh-b\n"))]
#[case::bad_name("bad_name", with("kasse-1", "kasse 1"))]
#[case::bad_address("bad_address", with("127.0.0.1:9000", "localhost"))]
#[case::bad_number("bad_number", format!("{GOOD}shutdown_timeout_ms: soon\n"))]
#[case::not_yaml("not_yaml", "fleet: [".to_owned())]
#[case::empty("empty", String::new())]
fn a_fault_of_the_text_is_named_with_its_place(#[case] name: &str, #[case] text: String) {
    insta::assert_snapshot!(name, error(&text));
}

#[test]
fn all_contradictions_are_named_at_once() {
    let text = with("egress_address: 127.0.0.1:8081", "egress_address: 0.0.0.0:8080")
        .replace("admin_address: 127.0.0.1:8084", "admin_address: 10.0.0.1:8083")
        .replace("upstream_address: 127.0.0.1:9000", "upstream_address: 10.0.0.1:8082")
        .replace("platform_address: 10.0.9.9:7000", "platform_address: 10.0.9.9:0")
        .replace("fleet: verband", "fleet: a&b=c");
    let more = "shutdown_timeout_ms: 0\nmax_connections: 0\nmax_request_body_bytes: 0\n";
    insta::assert_snapshot!("contradictions", error(&format!("{text}{more}")));
}
