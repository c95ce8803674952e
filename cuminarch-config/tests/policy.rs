//! Compares policies with a naive reference implementation of rule matching.

mod common;

use std::collections::BTreeSet;

use common::{METHODS, MatchedRule, SERVICES, config, naive_first_match, naive_rule, paths, sheet};
use cuminarch_config::{DiagnosticKind, Policy, Sheet, Weakening, WeakeningKind};
use cuminarch_types::{ClassName, Revision, ServiceName};
use proptest::prelude::*;
use rstest::rstest;

/// Returns all combinations of a few services, methods and paths.
fn requests() -> Vec<(&'static str, &'static str, String)> {
    let mut requests = Vec::new();
    for service in SERVICES {
        for method in METHODS {
            requests.extend(paths().into_iter().map(|path| (service, method, path)));
        }
    }
    requests
}

/// Removes the rules that can never match, and compiles the sheet.
fn compile(sheet: &mut Sheet) -> Policy {
    match Policy::from_sheet(Revision::new(1), sheet) {
        Ok(policy) => policy,
        Err(error) => {
            let never_matches = |index: usize| {
                error
                    .diagnostics()
                    .iter()
                    .any(|diagnostic| diagnostic.path == format!("rules[{index}]"))
            };
            let mut index = 0;
            sheet.rules.retain(|_| {
                index += 1;
                !never_matches(index - 1)
            });
            Policy::from_sheet(Revision::new(1), sheet)
                .expect("rules that never match are the only errors of generated sheets")
        }
    }
}

fn matched_rule(policy: &Policy, service: &str, method: &str, path: &str) -> MatchedRule {
    let rule = policy.rule(&ServiceName::new(service).unwrap(), method, path);
    let class = rule.class.to_string();
    MatchedRule { class, idempotent: rule.idempotent, protected: rule.protected }
}

proptest! {
    #![proptest_config(config(150))]

    #[test]
    fn lookup_agrees_with_the_naive_matcher(mut sheet in sheet()) {
        let policy = compile(&mut sheet);
        for (service, method, path) in requests() {
            let expected = naive_rule(&sheet, service, method, &path);
            prop_assert_eq!(matched_rule(&policy, service, method, &path), expected);
        }
    }

    /// Includes names that YAML could parse as numbers, booleans or null.
    #[test]
    fn yaml_round_trip_preserves_the_sheet(
        sheet in sheet(),
        names in proptest::collection::vec(
            prop_oneof!["[a-zA-Z0-9_.-]{1,6}", "[0-9]{1,4}", "null|true|no|1e3|0x1f|\\.inf|-"],
            3,
        ),
    ) {
        let mut sheet = sheet;
        sheet.default_class = ClassName::new(&names[0]).unwrap();
        sheet.classes[0].name = ClassName::new(&names[1]).unwrap();
        sheet.services.push(ServiceName::new(&names[2]).unwrap());
        let printed = sheet.to_yaml().unwrap();
        prop_assert_eq!(Sheet::parse(&printed), Ok(sheet), "{}", printed);
    }

    #[test]
    fn exactly_the_rules_that_match_no_request_first_are_reported(sheet in sheet()) {
        let first_matches: BTreeSet<usize> = requests()
            .iter()
            .filter_map(|(service, method, path)| naive_first_match(&sheet, service, method, path))
            .collect();
        let never_matching: BTreeSet<String> = (0..sheet.rules.len())
            .filter(|index| !first_matches.contains(index))
            .map(|index| format!("rules[{index}]"))
            .collect();
        let result = Policy::from_sheet(Revision::new(1), &sheet);
        let reported: BTreeSet<String> = match result {
            Ok(_) => BTreeSet::new(),
            Err(error) => error.diagnostics().iter().map(|diagnostic| {
                assert!(
                    matches!(diagnostic.kind, DiagnosticKind::NeverMatches { .. }),
                    "{diagnostic}"
                );
                diagnostic.path.clone()
            }).collect(),
        };
        prop_assert_eq!(reported, never_matching);
    }

    #[test]
    fn weakening_is_found_exactly_where_a_request_gets_weaker(
        mut old_sheet in sheet(),
        mut new_sheet in sheet(),
    ) {
        let old = compile(&mut old_sheet);
        let new = compile(&mut new_sheet);
        let mut expected = BTreeSet::new();
        for (service, method, path) in requests() {
            let before = naive_rule(&old_sheet, service, method, &path);
            let after = naive_rule(&new_sheet, service, method, &path);
            if !before.idempotent && after.idempotent {
                expected.insert(WeakeningKind::BecomesIdempotent);
            }
            if before.protected && !after.protected {
                expected.insert(WeakeningKind::LosesProtection);
            }
        }
        let found = Weakening::between(&old, &new);
        for weakening in &found {
            let before = old.rule(&weakening.service, &weakening.method, &weakening.path);
            let after = new.rule(&weakening.service, &weakening.method, &weakening.path);
            let is_weaker = match weakening.kind {
                WeakeningKind::BecomesIdempotent => !before.idempotent && after.idempotent,
                WeakeningKind::LosesProtection => before.protected && !after.protected,
                WeakeningKind::NotComparable => false,
            };
            prop_assert!(is_weaker, "{}", weakening);
        }
        prop_assert_eq!(
            found.iter().map(|weakening| weakening.kind).collect::<BTreeSet<_>>(),
            expected
        );
    }
}

#[rstest]
#[case::plain("/approvals/7", true)]
#[case::query("/approvals/7?a=/b", true)]
#[case::trailing_slash("/approvals/7/", true)]
#[case::doubled_slash("//approvals//7", true)]
#[case::encoded("/%61pprovals/7", true)]
#[case::encoded_slash_is_no_border("/approvals%2F7", false)]
#[case::broken_encoding("/%6", false)]
#[case::encoded_at_the_end("/approvals/%", true)]
#[case::dot_segments("/guides/../approvals/./7", true)]
#[case::encoded_dot_segments("/guides/%2e%2E/approvals/7", true)]
#[case::dot_segments_above_the_root("/../../approvals/7", true)]
#[case::dot_segments_lead_away("/approvals/../guides", false)]
fn path_spelling_does_not_bypass_a_rule(#[case] target: &str, #[case] is_covered: bool) {
    let sheet = Sheet::parse(
        "classes:
  - {name: low, grant_attempts: 32, deadline_ms: 1000}
  - {name: high, grant_attempts: 32, deadline_ms: 1000, protected: true}
rules:
  - {class: high, path: /approvals/*, idempotent: false}
default_class: low
",
    );
    let policy = Policy::from_sheet(Revision::new(1), &sheet.unwrap()).unwrap();
    let rule = policy.rule(&ServiceName::new("auftrag").unwrap(), "POST", target);
    assert_eq!(rule.protected, is_covered);
}

#[test]
fn safe_default_allows_no_retries() {
    let policy = Policy::safe_default();
    for method in METHODS {
        let rule = policy.rule(&ServiceName::new("any").unwrap(), method, "/");
        assert!(!rule.idempotent);
        assert_eq!(rule.retry_percent, 0);
        assert!(rule.grant.get() >= 14);
    }
    assert_eq!(policy.revision(), Revision::new(0));
}
