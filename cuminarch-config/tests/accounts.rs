//! Client accounts of a sheet: diagnostics, look-up by key, and keys that stay hidden.

use cuminarch_config::{ConfigDocument, ConfigGate, GateDecision, Policy, Sheet, SheetReport};
use cuminarch_types::{AccountName, ApiKey, ChangeId, Revision};
use rstest::rstest;

const SHEET: &str = "
classes:
  - {name: bulk, grant_attempts: 32, deadline_ms: 60000}
  - {name: browse, grant_attempts: 32, deadline_ms: 60000}
  - {name: urgent, grant_attempts: 48, deadline_ms: 60000, retry_percent: 20, protected: true}
default_class: browse
routes:
  - {name: all, host: shop.example, prefix: /, class: browse, idempotent: false,
     deadline_ms: 5000, objective_ms: 1200, max_endpoints: 2,
     destinations: [{service: katalog, weight: 1}]}
  - {name: index, host: shop.example, prefix: /index/, class: browse, idempotent: true,
     deadline_ms: 800, objective_ms: 500, max_endpoints: 1, public: true,
     destinations: [{service: kasse, weight: 90}, {service: katalog, weight: 10}]}
accounts:
  - {name: quilts, keys: [secret-q1, secret-q2], class: urgent, rate_per_s: 2.5, burst_requests: 7}
  - {name: looms, keys: [secret-l1], rate_per_s: 40}
  - {name: dyers, keys: ['secret-d1'], class: bulk, burst_requests: 3}
";

fn policy() -> Policy {
    Policy::from_sheet(Revision::new(3), &Sheet::parse(SHEET).unwrap()).unwrap()
}

fn diagnostics(text: &str) -> String {
    let report = SheetReport::from_text(text);
    let lines: Vec<String> = report.diagnostics().iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Requests of accounts of one class are refused in the order of their routes' classes, as without
/// accounts.
#[test]
fn among_accounts_of_one_class_the_class_of_the_route_decides() {
    let classes: Vec<String> = ["low", "middle", "high"]
        .map(|name| format!("  - {{name: {name}, grant_attempts: 8, deadline_ms: 1000}}\n"))
        .into();
    let routes: Vec<String> = ["low", "middle", "high"]
        .map(|class| {
            format!(
                "  - {{name: {class}, host: h.example, prefix: /{class}/, class: {class}, \
                 destinations: [{{service: katalog, weight: 1}}], idempotent: true, \
                 deadline_ms: 900, objective_ms: 400, max_endpoints: 2}}\n"
            )
        })
        .into();
    let sheet = |accounts: &str| {
        let (classes, routes) = (classes.concat(), routes.concat());
        let text = format!("classes:\n{classes}routes:\n{routes}default_class: low\n{accounts}");
        Policy::from_sheet(Revision::new(3), &Sheet::parse(&text).unwrap()).unwrap()
    };
    let accounts = "accounts:\n  - {name: a, keys: [key-a], class: middle}\n  \
                    - {name: b, keys: [key-b], class: low}\n";
    let (with, without) = (sheet(accounts), sheet(""));
    let priority = |key: &str, class: &str| {
        let rule = &with.route("h.example", &format!("/{class}/")).unwrap().rule;
        with.accounts().find(key.as_bytes()).unwrap().account.rule(rule).priority
    };
    let order = [("key-b", "low"), ("key-b", "middle"), ("key-b", "high"), ("key-a", "low")];
    let order = order.into_iter().chain([("key-a", "middle"), ("key-a", "high")]);
    let priorities: Vec<_> = order.map(|(key, class)| priority(key, class)).collect();
    assert!(priorities.is_sorted_by(|left, right| left < right), "{priorities:?}");
    assert_eq!(priorities.last(), Some(&with.top_priority()));
    assert_eq!(without.top_priority().get(), 2);
}

#[test]
fn a_valid_sheet_with_accounts_has_no_diagnostics() {
    assert_eq!(diagnostics(SHEET), "");
}

#[rstest]
#[case::first_key("secret-q1", Some("quilts"))]
#[case::second_key("secret-q2", Some("quilts"))]
#[case::other_account("secret-l1", Some("looms"))]
#[case::prefix("secret-q", None)]
#[case::longer("secret-q11", None)]
#[case::other_case("SECRET-Q1", None)]
#[case::name_of_an_account("quilts", None)]
#[case::empty("", None)]
fn a_key_belongs_to_its_account_only(#[case] key: &str, #[case] expected: Option<&str>) {
    let policy = policy();
    let held = policy.accounts().find(key.as_bytes());
    assert_eq!(held.map(|held| held.account.name.as_str()), expected);
}

#[rstest]
#[case::more_urgent("secret-q1", "urgent", 5, true)]
#[case::without_class("secret-l1", "browse", 3, false)]
#[case::less_urgent("secret-d1", "bulk", 1, false)]
fn the_class_of_an_account_goes_before_that_of_the_route(
    #[case] key: &str,
    #[case] class: &str,
    #[case] priority: u8,
    #[case] protected: bool,
) {
    let policy = policy();
    let route = policy.route("shop.example", "/x").unwrap();
    let rule = policy.accounts().find(key.as_bytes()).unwrap().account.rule(&route.rule);
    assert_eq!((rule.class.as_str(), rule.priority.get()), (class, priority));
    assert_eq!(rule.protected, protected);
    assert_eq!((rule.idempotent, rule.max_endpoints), (false, 2));
    assert_eq!((rule.deadline, rule.objective), (route.rule.deadline, route.rule.objective));
}

#[test]
fn only_accounts_with_a_rate_have_an_allotment() {
    let policy = policy();
    let found: Vec<(&str, f64, u32)> = policy
        .allotments()
        .iter()
        .map(|(name, limit)| (name.as_str(), limit.rate.get(), limit.burst_requests))
        .collect();
    assert_eq!(found, [("looms", 40.0, 0), ("quilts", 2.5, 7)]);
}

#[test]
fn routes_are_public_only_if_the_sheet_says_so() {
    let policy = policy();
    let is_public = |target: &str| policy.route("shop.example", target).unwrap().is_public;
    assert_eq!((is_public("/x"), is_public("/index/x")), (false, true));
}

#[test]
fn mistakes_in_accounts_are_reported_without_their_keys() {
    let text = SHEET.split("accounts:").next().unwrap().to_owned()
        + "\
accounts:
  - {name: quilts, keys: [secret-a, secret-a], rate_per_s: 1}
  - {name: quilts, keys: [secret-a], class: nothing}
  - {name: looms, keys: []}
";
    insta::assert_snapshot!(diagnostics(&text));
}

#[test]
fn accounts_of_the_wrong_form_are_reported_without_their_keys() {
    let text = SHEET.split("accounts:").next().unwrap().to_owned()
        + "\
accounts:
  - {name: ' outer blank', keys: ['secret with spaces', '', \"secret\\u00fc\", 7, [secret]]}
  - {name: a, keys: secret, rate_per_s: -1, burst_requests: 1.5}
  - {name: b, keys: [secret-b], rate_per_s: fast, class: 7}
  - {keys: {}, rate: 1}
  - secret
";
    insta::assert_snapshot!(diagnostics(&text));
}

#[test]
fn keys_appear_in_the_sheet_and_nowhere_else() {
    let sheet = Sheet::parse(SHEET).unwrap();
    assert!(sheet.to_yaml().unwrap().contains("secret-q1"));
    let document = ConfigDocument {
        revision: Revision::new(1),
        change: ChangeId::new("c").unwrap(),
        sheet: SHEET.to_owned(),
    };
    let mut gate = ConfigGate::new();
    let decision = gate.offer(&document);
    assert!(matches!(decision, GateDecision::Accepted(_)));
    let twice = SHEET.replace("secret-l1", "secret-q1");
    let confined = gate.offer(&ConfigDocument {
        revision: Revision::new(2),
        sheet: twice.clone(),
        ..document.clone()
    });
    let GateDecision::Accepted(with_key_once) = &confined else { panic!("{confined:?}") };
    let [set_aside] = with_key_once.set_aside() else { panic!("{with_key_once:?}") };
    let refused = Policy::from_sheet(Revision::new(2), &Sheet::parse(&twice).unwrap()).unwrap_err();
    let key = ApiKey::new("secret-q1").unwrap();
    let unwritten = ApiKey::new("secret \n").unwrap_err();
    let shown = format!(
        "{sheet:?} {policy:?} {document:?} {gate:?} {decision:?} {confined:?} {refused:?} {refused} \
         {reason} {key:?} {key} {unwritten:?} {unwritten} {held:?}",
        reason = set_aside.reason,
        policy = policy(),
        held = policy().accounts().find(b"secret-q1").unwrap(),
    );
    assert!(!shown.contains("secret"), "{shown}");
}

#[test]
fn a_sheet_without_accounts_is_written_as_before() {
    let text = SHEET.split("accounts:").next().unwrap();
    let text = text.replace(", public: true", "");
    let yaml = Sheet::parse(&text).unwrap().to_yaml().unwrap();
    assert!(!yaml.contains("accounts") && !yaml.contains("public"), "{yaml}");
}

#[rstest]
#[case::plain("ruddedev3nax7u27gxpr")]
#[case::digits("0123456789")]
#[case::exponent("12e4")]
#[case::boolean("true")]
#[case::nothing("null")]
#[case::tilde("~")]
#[case::date("2026-12-04")]
#[case::hash("#a")]
#[case::colon("a:b:")]
#[case::quotes("'\"\\")]
#[case::brackets("[{}]")]
#[case::alias("*a")]
#[case::longest(&"k".repeat(256))]
fn any_key_survives_a_round_trip(#[case] key: &str) {
    let mut sheet = Sheet::parse(SHEET).unwrap();
    sheet.accounts.as_mut().unwrap()[0].keys = vec![ApiKey::new(key).unwrap()];
    assert_eq!(Sheet::parse(&sheet.to_yaml().unwrap()).unwrap(), sheet);
}

#[rstest]
#[case::empty("")]
#[case::space("a b")]
#[case::line("a\nb")]
#[case::not_ascii("clé")]
#[case::too_long(&"k".repeat(257))]
fn malformed_keys_are_refused(#[case] text: &str) {
    assert!(ApiKey::new(text).is_err() && !ApiKey::is_well_formed(text.as_bytes()));
}

#[test]
fn a_gate_keeps_a_withdrawn_key_withdrawn() {
    let document = |revision, sheet: &str| ConfigDocument {
        revision: Revision::new(revision),
        change: ChangeId::new(format!("c-{revision}")).unwrap(),
        sheet: sheet.to_owned(),
    };
    let mut gate = ConfigGate::new().with_digest_seed(9);
    let GateDecision::Accepted(old) = gate.offer(&document(4, SHEET)) else { panic!("refused") };
    let without = SHEET.replace(", secret-q2", "");
    let GateDecision::Accepted(new) = gate.offer(&document(7, &without)) else { panic!("refused") };
    let digest = old.accounts().find(b"secret-q2").unwrap().digest;
    let kept = old.accounts().find(b"secret-q1").unwrap().digest;
    assert!(new.accounts().holder(digest).is_none());
    let holder: Option<&AccountName> = new.accounts().holder(kept).map(|account| &account.name);
    assert_eq!(holder.map(AccountName::as_str), Some("quilts"));
    assert!(matches!(gate.offer(&document(6, SHEET)), GateDecision::NotNewer));
}

const WITHOUT_ACCOUNTS: &str = "
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 60000}
default_class: browse
";

/// Guards against an empty or unreadable list of accounts being taken for an absent one.
#[rstest]
#[case::absent("", false, 0)]
#[case::empty("accounts: []", true, 0)]
#[case::null("accounts:", true, 1)]
#[case::no_list("accounts: quilts", true, 1)]
#[case::entry_of_the_wrong_type("accounts: [5]", true, 1)]
fn only_an_absent_list_of_accounts_needs_no_key(
    #[case] accounts: &str,
    #[case] requires_key: bool,
    #[case] set_aside: usize,
) {
    let text = format!("{WITHOUT_ACCOUNTS}{accounts}\n");
    let sheet = Sheet::parse_confined(&text).unwrap();
    assert_eq!(sheet.set_aside.len(), set_aside);
    let passed_on = Sheet::parse_confined(&sheet.to_yaml().unwrap()).unwrap();
    for sheet in [sheet, passed_on] {
        let policy = Policy::from_sheet(Revision::new(3), &sheet).unwrap();
        assert_eq!(policy.accounts().requires_key(), requires_key);
        assert!(policy.accounts().find(b"quilts").is_none());
    }
}

/// Guards against a rule that covers everything once the last service or method is removed from it.
#[rstest]
#[case::absent("", true)]
#[case::named("services: [katalog], methods: [POST], ", true)]
#[case::no_service("services: [], ", false)]
#[case::no_method("methods: [], ", false)]
fn a_rule_with_an_empty_list_covers_no_request(#[case] lists: &str, #[case] is_covered: bool) {
    let rule = format!("rules:\n  - {{class: browse, {lists}path: /x, idempotent: true}}\n");
    let sheet = format!("{WITHOUT_ACCOUNTS}{rule}");
    // The operator program refuses such a sheet; a node that finds one in the store leaves the rule out.
    assert_eq!(diagnostics(&sheet).contains("rules[0]"), !is_covered);
    let document = ConfigDocument {
        revision: Revision::new(3),
        change: ChangeId::new("change-3").unwrap(),
        sheet,
    };
    let decision = ConfigGate::new().offer(&document);
    let GateDecision::Accepted(policy) = decision else { panic!("{decision:?}") };
    let rule = policy.rule(&"katalog".parse().unwrap(), "POST", "/x");
    assert_eq!(rule.idempotent, is_covered);
}
