//! Client accounts at the native interface.

#![allow(clippy::unwrap_used)]

use bytes::BytesMut;
use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{Refusal, RefusalReason};
use cuminarch_http::{HeadLimits, RequestHead};
use cuminarch_node::interface::{
    CallPlan, CallerInterface, CredentialFault, IncomingRequest, NativeInterface, ParsedRequest,
    Side,
};
use cuminarch_types::{RequestId, Revision};
use rstest::rstest;

const CLASSES: &str = "
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 2000}
  - {name: urgent, grant_attempts: 48, deadline_ms: 9000}
default_class: browse
";
const ACCOUNTS: &str = "
accounts:
  - {name: quilts, keys: [key-1], class: urgent}
  - {name: looms, keys: [key-2]}
";

fn parse(sheet: &str, side: Side, fields: &str) -> ParsedRequest {
    let sheet = Sheet::parse(sheet).unwrap();
    let policy = Policy::from_sheet(Revision::new(1), &sheet).unwrap();
    let text = format!("GET /x HTTP/1.1\r\nhost: a\r\ncuminarch-service: katalog\r\n{fields}\r\n");
    let mut buffer = BytesMut::from(text.as_str());
    let head = RequestHead::parse(&mut buffer, &HeadLimits::new()).unwrap().unwrap();
    NativeInterface.parse_request(&IncomingRequest {
        head: &head,
        side,
        peer: "127.0.0.1".parse().unwrap(),
        policy: &policy,
        own_service: &"kasse".parse().unwrap(),
        own_zone: &"zrh-a".parse().unwrap(),
    })
}

fn plan(sheet: &str, side: Side, fields: &str) -> CallPlan {
    match parse(sheet, side, fields) {
        ParsedRequest::Call(plan) => *plan,
        other => panic!("{other:?}"),
    }
}

fn with_accounts() -> String {
    format!("{CLASSES}{ACCOUNTS}")
}

/// Returns the forwarded fields about accounts.
fn account_fields(plan: &CallPlan) -> Vec<(&str, &str)> {
    let names = ["authorization", "cuminarch-account"];
    let fields = plan.fields.iter().filter(|field| names.contains(&field.name.as_str()));
    fields.map(|field| (field.name.as_str(), std::str::from_utf8(&field.value).unwrap())).collect()
}

#[rstest]
#[case::with_class("Authorization: Bearer key-1\r\n", "quilts", "urgent")]
#[case::forged("cuminarch-account: quilts\r\nauthorization: bearer key-2\r\n", "looms", "browse")]
fn a_known_key_names_the_account_and_its_class(
    #[case] fields: &str,
    #[case] account: &str,
    #[case] class: &str,
) {
    let plan = plan(&with_accounts(), Side::Caller, fields);
    assert_eq!(account_fields(&plan), [("cuminarch-account", account)]);
    let rule = plan.arrival.rule.unwrap();
    assert_eq!((rule.class.as_str(), rule.deadline.as_millis()), (class, 2_000));
    assert!(plan.arrival.credential.is_some());
}

#[rstest]
#[case::missing("", CredentialFault::Missing)]
#[case::forged("cuminarch-account: quilts\r\n", CredentialFault::Missing)]
#[case::unknown("authorization: Bearer key-3\r\n", CredentialFault::Unknown)]
#[case::other_scheme("authorization: Token key-1\r\n", CredentialFault::Malformed)]
#[case::repeated(
    "authorization: Bearer key-1\r\nauthorization: Bearer key-1\r\n",
    CredentialFault::Repeated
)]
fn a_caller_without_a_valid_key_gets_401(#[case] fields: &str, #[case] expected: CredentialFault) {
    let parsed = parse(&with_accounts(), Side::Caller, fields);
    let ParsedRequest::Unauthorized { answer, fault, .. } = parsed else { panic!("{parsed:?}") };
    assert_eq!((answer.status, fault), (401, expected));
    let outcome = answer.fields.iter().find(|field| field.name == "cuminarch-outcome").unwrap();
    assert_eq!(outcome.value, b"not-run");
}

#[test]
fn calls_of_the_own_upstream_need_no_key() {
    let plan = plan(&with_accounts(), Side::Upstream, "cuminarch-account: quilts\r\n");
    assert_eq!((plan.arrival.account.as_ref(), account_fields(&plan)), (None, vec![]));
}

#[test]
fn without_accounts_the_field_is_forwarded_and_the_policy_decides_the_class() {
    let plan = plan(CLASSES, Side::Caller, "authorization: Bearer key-1\r\n");
    assert_eq!(account_fields(&plan), [("authorization", "Bearer key-1")]);
    assert!(plan.arrival.rule.is_none() && plan.arrival.account.is_none());
}

#[rstest]
#[case::never_sent(Refusal::not_run(RefusalReason::CredentialWithdrawn), 401)]
#[case::reached_an_upstream(Refusal::unknown(RefusalReason::CredentialWithdrawn), 502)]
fn a_withdrawn_key_gives_401_only_if_nothing_ran(#[case] refusal: Refusal, #[case] status: u16) {
    let answer = NativeInterface.refusal(&refusal, RequestId::new(1), &[]);
    assert_eq!(answer.status, status);
    assert!(answer.fields.iter().all(|field| field.name != "retry-after"));
}
