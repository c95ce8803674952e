//! Diagnostics of sheets, and round trips through YAML.

use cuminarch_config::{ConfigDocument, DiagnosticKind, Policy, Severity, Sheet, SheetReport};
use cuminarch_types::{ChangeId, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const VALID_SHEET: &str = "\
services: [katalog, auftrag]
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 2000, retry_percent: 10}
  - {name: approval, grant_attempts: 32, deadline_ms: 10000, retry_percent: 5, protected: true}
rules:
  - {class: browse, methods: [GET], path: /approvals/**, idempotent: true}
  - {class: approval, methods: [POST], path: /approvals/**, idempotent: false}
default_class: browse
";

fn diagnostics(text: &str) -> String {
    let lines: Vec<String> =
        SheetReport::from_text(text).diagnostics().iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

#[test]
fn valid_sheet_has_no_diagnostics() {
    assert_eq!(diagnostics(VALID_SHEET), "");
}

#[test]
fn structural_errors_are_all_reported() {
    let text = "\
classes:
  - name: browse
    grant_attempts: many
    deadline_ms: -3
    retry_procent: 10
  - grant_attempts: 5000000000
    deadline_ms: 1.5
    protected: maybe
  - just text
rules:
  - {class: 'no spaces', methods: POST, path: 7, idempotent: yes please}
  - class: browse
colour: red
";
    insta::assert_snapshot!(diagnostics(text));
}

#[test]
fn inconsistencies_are_all_reported() {
    let text = "\
services: [katalog, kasse, katalog]
classes:
  - {name: deposit, grant_attempts: 13, deadline_ms: 1000, protected: true, retry_percent: 80}
  - {name: browse, grant_attempts: 0, deadline_ms: 5, retry_percent: 101}
  - {name: browse, grant_attempts: 5000, deadline_ms: 9999999}
  - {name: spare, grant_attempts: 20, deadline_ms: 1000, protected: true}
rules:
  - {class: browse, path: /catalogue/**, idempotent: true}
  - {class: browse, methods: [GET], path: /catalogue/*, idempotent: true}
  - {class: browse, methods: [get, POST, POST], services: [benk], path: /a, idempotent: true}
  - {class: nothing, path: no-slash, idempotent: true}
  - {class: browse, path: '/a/**/b', idempotent: true}
  - {class: browse, path: '/a/b*', idempotent: false}
  - {class: browse, methods: [POST], path: '/*/confirm', idempotent: true}
  - {class: deposit, methods: [POST], path: '/deposits/**', idempotent: false}
default_class: missing
";
    insta::assert_snapshot!(diagnostics(text));
}

#[test]
fn rule_covered_by_several_earlier_ones_never_matches() {
    let text = "\
services: [a, b]
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 2000}
rules:
  - {class: browse, path: /, idempotent: true}
  - {class: browse, path: /*, idempotent: true}
  - {class: browse, path: /*/*/**, idempotent: true}
  - {class: browse, services: [a], path: /**, idempotent: true}
  - {class: browse, services: [b], methods: [GET], path: /x, idempotent: true}
default_class: browse
";
    insta::assert_snapshot!(diagnostics(text));
}

#[test]
fn specific_exception_before_a_general_rule_is_allowed() {
    let text = VALID_SHEET.replace(
        "methods: [GET], path: /approvals/**",
        "methods: [POST], path: /approvals/*/preview",
    );
    assert_eq!(diagnostics(&text), "");
}

#[test]
fn more_than_sixty_four_classes_are_refused() {
    let class = |index| format!("  - {{name: c{index}, grant_attempts: 20, deadline_ms: 100}}\n");
    let classes: String = (0..65).map(class).collect();
    let report = SheetReport::from_text(&format!("classes:\n{classes}default_class: c0\n"));
    let errors = report.into_sheet().unwrap_err();
    assert_eq!(errors.diagnostics()[0].kind, DiagnosticKind::TooManyClasses { count: 65, max: 64 });
}

#[test]
fn sheet_too_large_only_with_its_framing_is_refused() {
    let padding_bytes =
        ConfigDocument::MAX_BYTES - ConfigDocument::framed_len_bytes(VALID_SHEET) - 3;
    let fits = format!("{VALID_SHEET}#{}\n", "x".repeat(padding_bytes));
    assert_eq!(diagnostics(&fits), "");
    assert!(
        diagnostics(&format!("{VALID_SHEET}#{}\n", "x".repeat(padding_bytes + 1)))
            .contains("is larger than")
    );
}

#[test]
fn deep_nesting_and_aliases_end_in_an_error() {
    let deep = "[".repeat(100_000);
    assert!(SheetReport::from_text(&deep).into_sheet().is_err());
    let mut text = "a0: &a0 [x, x]\n".to_owned();
    for level in 1..40 {
        let below = level - 1;
        text += &format!("a{level}: &a{level} [*a{below}, *a{below}]\n");
    }
    assert!(SheetReport::from_text(&text).into_sheet().is_err());
}

/// Comparing rules with wildcards in many positions took 81 s before the number of comparisons
/// was limited.
#[test]
fn rules_with_too_many_overlaps_are_refused_quickly() {
    let mut text = "classes:\n  - {name: low, grant_attempts: 32, deadline_ms: 1000}\n\
        default_class: low\nrules:\n"
        .to_owned();
    let mut random = 12_345_u64;
    for _ in 0..300 {
        let mut path = String::new();
        for _ in 0..12 {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            path += ["/a", "/b", "/*", "/*"][(random >> 60) as usize % 4];
        }
        text += &format!("  - {{class: low, path: '{path}', idempotent: true}}\n");
    }
    let errors = SheetReport::from_text(&text).into_sheet().unwrap_err();
    assert!(
        errors.diagnostics().iter().any(|diagnostic| diagnostic.kind == DiagnosticKind::TooComplex)
    );
}

#[rstest]
#[case::empty("")]
#[case::nothing("~")]
#[case::list("- a\n- b\n")]
#[case::not_yaml("classes: [\n")]
#[case::repeated_key("default_class: a\ndefault_class: b\n")]
#[case::second_document("default_class: a\n---\ndefault_class: b\n")]
fn invalid_sheets_are_refused(#[case] text: &str) {
    let report = SheetReport::from_text(text);
    assert!(report.diagnostics().iter().any(|diagnostic| diagnostic.severity() == Severity::Error));
    assert!(
        Sheet::parse(text).is_err()
            || Policy::from_sheet(Revision::new(1), &report.into_sheet().unwrap_or_default())
                .is_err()
    );
}

prop_compose! {
    fn any_document()(sheet in any::<String>(), change in "[a-zA-Z0-9_.-]{1,64}", revision in any::<u64>())
        -> ConfigDocument {
        let change = ChangeId::new(change).unwrap();
        ConfigDocument { revision: Revision::new(revision), change, sheet }
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn no_text_panics(text in prop_oneof!["[ -~\\n]{0,200}", any::<String>()]) {
        let _ = SheetReport::from_text(&text);
    }

    #[test]
    fn no_mangled_sheet_panics(cut in 0..VALID_SHEET.len(), with in "[\\[\\]{}:&*!|>\\n a-z0-9-]{0,6}") {
        let text = format!("{}{with}{}", &VALID_SHEET[..cut], &VALID_SHEET[cut..]);
        let report = SheetReport::from_text(&text);
        let is_valid = report
            .diagnostics()
            .iter()
            .all(|diagnostic| diagnostic.severity() == Severity::Warning);
        let parsed = Sheet::parse(&text)
            .and_then(|sheet| Policy::from_sheet(Revision::new(1), &sheet));
        prop_assert_eq!(is_valid, parsed.is_ok());
    }

    #[test]
    fn framed_length_is_never_too_small(document in any_document()) {
        let json = serde_json::to_string(&document).unwrap();
        prop_assert!(json.len() <= ConfigDocument::framed_len_bytes(&document.sheet));
    }
}

#[test]
fn yaml_round_trip_preserves_the_sheet() {
    let sheet = Sheet::parse(VALID_SHEET).unwrap();
    assert_eq!(Sheet::parse(&sheet.to_yaml().unwrap()).unwrap(), sheet);
}
