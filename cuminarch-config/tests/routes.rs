//! Routing by host and longest path prefix.

use cuminarch_config::{Policy, Sheet, SheetReport};
use cuminarch_types::Revision;
use rstest::rstest;

const SHEET: &str = "
services: [katalog, kasse]
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 60000}
  - {name: approve, grant_attempts: 32, deadline_ms: 60000, protected: true}
default_class: browse
routes:
  - {name: all, host: Shop.example, prefix: /, class: browse, idempotent: true,
     deadline_ms: 5000, objective_ms: 1200, max_endpoints: 2,
     destinations: [{service: katalog, weight: 1}]}
  - {name: pay, host: shop.example, prefix: /pay/, class: approve, idempotent: false,
     deadline_ms: 800, objective_ms: 500, max_endpoints: 1,
     destinations: [{service: kasse, weight: 90}, {service: katalog, weight: 10}]}
caller_limits: {max_head_bytes: 16384, max_body_bytes: 1000, head_timeout_ms: 3000, idle_timeout_ms: 15000}
";

fn policy() -> Policy {
    Policy::from_sheet(Revision::new(3), &Sheet::parse(SHEET).unwrap()).unwrap()
}

#[rstest]
#[case::longest("shop.example", "/pay/7", Some("pay"))]
#[case::port_and_case("SHOP.example:8304", "/pay/7?x=/", Some("pay"))]
#[case::prefix_itself("shop.example", "/pay/", Some("pay"))]
#[case::no_slash("shop.example", "/pay", Some("all"))]
#[case::query_is_no_path("shop.example", "/a?b=/pay/", Some("all"))]
#[case::other_host("shop.example.org", "/pay/7", None)]
fn the_longest_prefix_applies(
    #[case] host: &str,
    #[case] target: &str,
    #[case] expected: Option<&str>,
) {
    let policy = policy();
    let route = policy.route(host, target);
    assert_eq!(route.map(|route| route.name.as_str()), expected);
}

#[test]
fn a_route_has_its_own_limits_and_class() {
    let policy = policy();
    let route = policy.route("shop.example", "/pay/1").unwrap();
    assert_eq!((route.rule.deadline.as_millis(), route.rule.objective.as_millis()), (800, 500));
    assert!(!route.rule.idempotent);
    let browse = policy.route("shop.example", "/").unwrap();
    assert!(route.rule.priority > browse.rule.priority);
    assert_eq!(policy.caller_limits().unwrap().idle_timeout_ms, 15_000);
}

#[test]
fn yaml_round_trip_preserves_routes() {
    let sheet = Sheet::parse(SHEET).unwrap();
    assert_eq!(Sheet::parse(&sheet.to_yaml().unwrap()).unwrap(), sheet);
}

#[rstest]
#[case::prefix("prefix: /pay/", "prefix: /pay")]
#[case::class("class: approve", "class: nothing")]
#[case::service("service: kasse", "service: bank")]
#[case::name("name: pay", "name: all")]
#[case::place("prefix: /pay/", "prefix: /, host: Shop.example")]
#[case::deadline("deadline_ms: 800", "deadline_ms: 0")]
#[case::endpoints("max_endpoints: 1", "max_endpoints: 0")]
#[case::limits("max_body_bytes: 1000", "max_body_bytes: many")]
fn invalid_routes_are_refused(#[case] from: &str, #[case] to: &str) {
    let report = SheetReport::from_text(&SHEET.replace(from, to));
    assert!(report.into_sheet().is_err());
}
