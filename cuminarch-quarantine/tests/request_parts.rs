//! Which requests are recognized as the same one.

use cuminarch_quarantine::RequestParts;
use cuminarch_types::{RequestDigest, ServiceName};
use rstest::rstest;

fn katalog() -> ServiceName {
    "katalog".parse().unwrap()
}

fn parts(service: &ServiceName) -> RequestParts<'_> {
    RequestParts::new(service, "POST", "/orders?x=1")
        .with_host(b"quilts.example")
        .with_account(Some(b"atelier"))
        .with_body(b"seven", Some(5))
}

#[rstest]
#[case::method(|_| RequestParts::new(&KASSE, "PUT", "/orders?x=1"))]
#[case::query(|_| RequestParts::new(&KASSE, "POST", "/orders?x=2"))]
#[case::host(|parts: RequestParts<'static>| parts.with_host(b"dolls.example"))]
#[case::account(|parts: RequestParts<'static>| parts.with_account(Some(b"other")))]
#[case::no_account(|parts: RequestParts<'static>| parts.with_account(None))]
#[case::body(|parts: RequestParts<'static>| parts.with_body(b"eight", Some(5)))]
#[case::length(|parts: RequestParts<'static>| parts.with_body(b"seven", Some(6)))]
fn a_request_that_differs_is_another_one(
    #[case] change: fn(RequestParts<'static>) -> RequestParts<'static>,
) {
    assert_ne!(change(parts(&KASSE)).identity().request, parts(&KASSE).identity().request);
}

static KASSE: std::sync::LazyLock<ServiceName> = std::sync::LazyLock::new(katalog);

#[test]
fn header_fields_make_a_variant_of_the_same_request() {
    let plain = parts(&KASSE).identity();
    let other = parts(&KASSE).with_field("accept", b"text/html").identity();
    assert_eq!(plain.request, other.request);
    assert_ne!(plain.variant, other.variant);
}

#[test]
fn an_account_cannot_move_bytes_into_the_next_part() {
    let one = parts(&KASSE).with_account(Some(b"ab")).with_body(b"c", None);
    let other = parts(&KASSE).with_account(Some(b"a")).with_body(b"bc", None);
    assert_ne!(one.identity().request, other.identity().request);
}

#[test]
fn only_the_beginning_of_a_long_body_counts() {
    let with_body = |position: usize| {
        let mut body = vec![0; 20_000];
        body[position] = 1;
        parts(&KASSE).with_body(&body, None).identity().request
    };
    assert_eq!(with_body(19_000), with_body(19_999));
    assert_ne!(with_body(100), with_body(101));
}

#[rstest]
#[case("0000000000000000000000000000002a", Some(42))]
#[case("2a", Some(42))]
#[case("", None)]
#[case("+2a", None)]
#[case("100000000000000000000000000000000", None)]
fn a_digest_is_parsed_from_hexadecimal_digits(#[case] text: &str, #[case] value: Option<u128>) {
    assert_eq!(text.parse().ok(), value.map(RequestDigest::new));
}
