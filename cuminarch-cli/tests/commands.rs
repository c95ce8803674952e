//! Tests of the commands as functions, against a simulated platform in virtual time.

mod harness;
mod zone_status;

use std::time::Duration;

use cuminarch_cli::paths::{CONFIG_HISTORY, object_path};
use cuminarch_cli::{ApplyRequest, ApplyStateMachine, ExitStatus, run_apply};
use cuminarch_platform::{Clock, ObjectStore, Precondition};
use cuminarch_protocol::MemberState;
use cuminarch_testing::{ManualClock, MemoryStore, PlatformFault, PlatformServer};
use cuminarch_types::{ChangeId, MonoTime, Revision};
use harness::{Harness, SHEET, with_deadline};
use rstest::rstest;
use zone_status::status_of;

#[test]
fn first_sheet_becomes_revision_one_and_is_shown_with_it() {
    let harness = Harness::new();
    harness.write("a.yaml", SHEET);
    let applied = harness.apply("a.yaml", "monday");
    assert_eq!(applied.status, ExitStatus::Success);
    assert_eq!(applied.out, "accepted as revision 1 by change monday\n");
    let shown = harness.run("config show --platform @");
    assert_eq!(shown.out, format!("# cuminarch revision: 1\n{SHEET}"));
}

#[test]
fn outdated_change_is_shown_the_changes_accepted_first() {
    let harness = Harness::new();
    harness.write("first.yaml", SHEET);
    harness.apply("first.yaml", "monday");
    let shown = harness.run("config show --platform @").out;
    harness.write("a.yaml", &with_deadline(&shown, 3000));
    harness.write("b.yaml", &with_deadline(&shown, 4000));
    assert_eq!(harness.apply("a.yaml", "from-a").status, ExitStatus::Success);
    let late = harness.apply("b.yaml", "from-b");
    assert_eq!(late.status, ExitStatus::Outdated);
    insta::assert_snapshot!(late.out);
    let json = harness.run("--output json config apply b.yaml --platform @ --change from-b");
    insta::assert_snapshot!(json.out);
    let rebased = harness.run("config apply b.yaml --platform @ --change from-b --base 2");
    assert_eq!(rebased.out, "accepted as revision 3 by change from-b\n");
    insta::assert_snapshot!(harness.run("config history --platform @").out);
}

#[test]
fn change_with_lost_write_answers_is_accepted_once() {
    let harness = Harness::new();
    harness.write("a.yaml", SHEET);
    harness.platform().set_fault(PlatformFault::LoseAnswers);
    let applied = harness.apply("a.yaml", "monday");
    assert_eq!(applied.status, ExitStatus::Success);
    insta::assert_snapshot!(applied.out);
    harness.platform().set_fault(PlatformFault::None);
    let listing = harness.platform().list(&object_path(CONFIG_HISTORY)).unwrap();
    assert_eq!(listing.objects.len(), 1);
}

#[test]
fn platform_that_stays_down_accepts_nothing() {
    let harness = Harness::new();
    harness.write("a.yaml", SHEET);
    harness.platform().set_fault(PlatformFault::Down);
    let applied = harness.run("config apply a.yaml --platform @");
    assert_eq!(applied.status, ExitStatus::Unavailable);
    assert!(applied.out.starts_with("not accepted: "), "{}", applied.out);
    assert!(harness.clock.now() >= MonoTime::from_millis(30_000));
}

#[test]
fn unknown_outcome_is_reported_and_resolved_by_the_change_id() {
    let harness = Harness::new();
    harness.write("a.yaml", SHEET);
    harness.platform().set_fault(PlatformFault::LoseAnswers);
    let unknown = harness.run_with(
        &harness.clock_with_outage_at_first_sleep(),
        "config apply a.yaml --platform @ --change monday",
    );
    assert_eq!(unknown.status, ExitStatus::Unknown);
    insta::assert_snapshot!(unknown.out);
    let again = harness.apply("a.yaml", "monday");
    assert_eq!(again.status, ExitStatus::Unknown, "the platform is still down");
    harness.platform().set_fault(PlatformFault::None);
    let settled = harness.apply("a.yaml", "monday");
    assert_eq!(settled.out, "accepted as revision 1 by change monday\n");
}

#[test]
fn weaker_sheet_needs_allow_weaker() {
    let harness = Harness::new();
    harness.write("a.yaml", SHEET);
    harness.apply("a.yaml", "monday");
    let weaker = SHEET.replace("idempotent: false", "idempotent: true");
    harness.write("b.yaml", &weaker);
    let refused = harness.apply("b.yaml", "tuesday");
    assert_eq!(refused.status, ExitStatus::Weaker);
    insta::assert_snapshot!(refused.out);
    let allowed = harness.run("config apply b.yaml --platform @ --change tuesday --allow-weaker");
    assert_eq!(allowed.status, ExitStatus::Success);
    assert!(allowed.errors.contains("weaker: "));
    let back = harness.run("config rollback 1 --platform @ --change back");
    assert_eq!(back.out, "accepted as revision 3 by change back\n");
    let shown = harness.run("config show --platform @");
    assert_eq!(shown.out, format!("# cuminarch revision: 3\n{SHEET}"));
    let missing = harness.run("config rollback 9 --platform @");
    assert_eq!(missing.status, ExitStatus::Usage);
}

#[rstest]
#[case::zone_knows_more(true)]
#[case::only_the_operator_knows(false)]
fn no_revision_is_reused_after_a_platform_restore(#[case] has_status: bool) {
    let harness = Harness::new();
    harness.write("a.yaml", SHEET);
    harness.apply("a.yaml", "monday");
    let backup = harness.platform().snapshot();
    harness.write("b.yaml", &with_deadline(SHEET, 3000));
    harness.apply("b.yaml", "tuesday");
    harness.platform().restore(&backup);
    if has_status {
        harness.put_status("zrh-a", 2, 5);
        // With a known id, the change may be the one that the platform has lost.
        assert_eq!(harness.apply("a.yaml", "tuesday").status, ExitStatus::Unknown);
        let stale = harness.run("config apply a.yaml --platform @");
        assert_eq!(stale.status, ExitStatus::Outdated);
        insta::assert_snapshot!(stale.out);
        assert_eq!(harness.run("config status --platform @").status, ExitStatus::NotInForce);
    }
    let mut arguments = "config apply b.yaml --platform @ --change again --base 2".to_owned();
    if !has_status {
        assert_eq!(harness.run(&arguments).status, ExitStatus::Outdated);
        arguments += " --restored";
    }
    assert_eq!(harness.run(&arguments).out, "accepted as revision 3 by change again\n");
}

#[test]
fn wait_reports_zones_in_force_and_missing_zones() {
    let harness = Harness::new();
    harness.write("a.yaml", SHEET);
    harness.put_status("zrh-a", 1, 1);
    harness.put_status("zrh-b", 0, 1);
    // A zone has a revision in force that the platform does not know.
    let waited = harness.run("config apply a.yaml --platform @ --wait --base 0 --zones brn-a");
    assert_eq!(waited.status, ExitStatus::Outdated);
    harness.put_status("zrh-a", 0, 1);
    let store = harness.platform().clone();
    let clock = harness.clock_with_event_at_first_sleep(move || {
        let value = serde_json::to_string(&status_of("zrh-a", 1, 2)).unwrap();
        store.put(&object_path("status/zrh-a"), &value, Precondition::Any).unwrap();
    });
    let waited = harness
        .run_with(&clock, "config apply a.yaml --platform @ --change monday --wait --zones brn-a");
    assert_eq!(waited.status, ExitStatus::NotInForce);
    insta::assert_snapshot!(waited.out);
    harness.put_status("zrh-b", 1, 2);
    let settled = harness.run("config apply a.yaml --platform @ --change monday --wait");
    assert_eq!(settled.status, ExitStatus::Success);
}

#[test]
fn history_is_bounded() {
    let (store, clock) = (MemoryStore::new(), ManualClock::new());
    for revision in 0..120 {
        let request = ApplyRequest {
            change: ChangeId::new(format!("change-{revision}")).unwrap(),
            sheet: SHEET.to_owned(),
            base: Revision::new(revision),
            is_rerun: false,
            is_platform_restored: false,
        };
        let until = clock.now().after(Duration::from_secs(1));
        run_apply(&mut ApplyStateMachine::new(request, until, 1), &store, &clock);
    }
    let listing = store.list(&object_path(CONFIG_HISTORY)).unwrap();
    assert_eq!(listing.objects.len(), ApplyStateMachine::HISTORY_LEN);
    assert!(listing.objects.iter().any(|object| object.value.contains("change-119")));
    // Per change: read status, read current, save current, write, record, list history, delete.
    assert!(store.calls() <= 120 * 7, "{} calls", store.calls());
}

#[rstest]
#[case::text("config check faulty.yaml", ExitStatus::InvalidSheet)]
#[case::json("config check faulty.yaml --output json", ExitStatus::InvalidSheet)]
#[case::warning("config check warning.yaml", ExitStatus::Success)]
#[case::denied_warning("config check warning.yaml --deny-warnings", ExitStatus::InvalidSheet)]
fn check_lists_every_diagnostic(#[case] arguments: &str, #[case] expected: ExitStatus) {
    let harness = Harness::new();
    harness.write("faulty.yaml", &SHEET.replace("methods: [POST]", "method: POST"));
    harness.write("warning.yaml", &SHEET.replace("grant_attempts: 32", "grant_attempts: 3"));
    let checked = harness.run(arguments);
    assert_eq!(checked.status, expected);
    insta::assert_snapshot!(arguments.replace([' ', '.'], "_"), checked.out);
}

#[test]
fn diff_lists_weakenings() {
    let harness = Harness::new();
    harness.write("a.yaml", SHEET);
    harness.apply("a.yaml", "monday");
    harness.write("b.yaml", &SHEET.replace(", protected: true", ""));
    insta::assert_snapshot!(harness.run("config diff b.yaml --platform @").out);
}

#[test]
fn diff_and_apply_show_a_replaced_key_without_its_text() {
    let harness = Harness::new();
    let account = |keys: &str| format!("{SHEET}accounts:\n- {{name: quilts, keys: {keys}}}\n");
    harness.write("a.yaml", &account("[secret-a, 'secret,b', \"secret-c\"]"));
    assert_eq!(harness.apply("a.yaml", "monday").status, ExitStatus::Success);
    harness.write("b.yaml", &account("[secret-a, 'secret,b', secret-d]"));
    let diff = harness.run("config diff b.yaml --platform @").out;
    assert!(!diff.contains("secret"), "{diff}");
    insta::assert_snapshot!(diff);
    let applied = harness.apply("b.yaml", "tuesday");
    assert!(!format!("{}{}", applied.out, applied.errors).contains("secret"), "{}", applied.out);
    let both = account("[secret-a]") + "- {name: looms, keys: [secret-a]}\n";
    harness.write("c.yaml", &both);
    let checked = harness.run("config check c.yaml");
    assert!(!format!("{}{}", checked.out, checked.errors).contains("secret"), "{}", checked.out);
}

#[test]
fn oversized_sheet_is_refused_before_any_call() {
    let harness = Harness::new();
    harness.write("a.yaml", &format!("{SHEET}# {}\n", "x".repeat(1024 * 1024)));
    assert_eq!(harness.apply("a.yaml", "monday").status, ExitStatus::InvalidSheet);
    assert_eq!(harness.platform().calls(), 0);
}

#[test]
fn fleet_is_counted_by_service_and_zone() {
    let harness = Harness::new();
    let kasse =
        [("kasse-1", "kasse", MemberState::Active), ("kasse-2", "kasse", MemberState::Leaving)];
    harness.put_members("zrh-a", &kasse);
    harness.put_members("brn-a", &[("katalog-1", "katalog", MemberState::Active)]);
    harness.put_status("zrh-a", 1, 1);
    insta::assert_snapshot!(harness.run("fleet status --platform @").out);
}

#[test]
fn unannounced_service_is_warned_about() {
    let harness = Harness::new();
    harness.put_members("zrh-a", &[("kasse-1", "kasse", MemberState::Active)]);
    harness.write(
        "a.yaml",
        &SHEET.replace("path: /approvals", "services: [aufrag], path: /approvals"),
    );
    let applied = harness.apply("a.yaml", "monday");
    assert!(applied.errors.contains("no endpoint has announced service aufrag"));
}

#[test]
fn node_that_does_not_answer_is_unavailable() {
    let harness = Harness::new();
    let server = PlatformServer::start().unwrap();
    let address = server.address().to_string();
    let dumped = harness.run(&format!("node dump {address}"));
    assert_eq!(dumped.status, ExitStatus::Unavailable);
    assert!(dumped.errors.contains("status 404"));
}
