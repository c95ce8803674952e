use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::*;

const NAMES: [&str; 7] = [SERVICE, REQUEST, REMAINING_MS, SEND, KEY, "connection", "te"];

fn header_fields(fields: &[(usize, Vec<u8>)]) -> Vec<HeaderField> {
    let name = |index: &usize| NAMES[index % NAMES.len()];
    fields.iter().map(|(index, value)| HeaderField::new(name(index), value.clone())).collect()
}

/// Values that are almost valid, and arbitrary bytes.
fn value() -> impl Strategy<Value = Vec<u8>> {
    let almost_valid = "(ck1:)?[a-z0-9:\\-\", ]{0,40}".prop_map(String::into_bytes);
    prop_oneof![almost_valid, proptest::collection::vec(any::<u8>(), 0..40)]
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..Config::default()
    })]

    #[test]
    fn any_fields_are_read_or_refused_by_name(
        fields in proptest::collection::vec((0..NAMES.len(), value()), 0..8)
    ) {
        let headers = header_fields(&fields);
        if let Err(field) = CallerHeaders::parse(&headers) {
            prop_assert!(headers.iter().any(|header| header.name == field));
        }
    }

    #[test]
    fn forwarded_fields_are_end_to_end(
        fields in proptest::collection::vec((0..NAMES.len(), value()), 0..8)
    ) {
        let headers = header_fields(&fields);
        let forwarded = end_to_end_fields(&headers);
        for field in forwarded.iter().filter(|field| !is_interface_field(&field.name)) {
            prop_assert_eq!(field.name.as_str(), KEY);
        }
    }

    #[test]
    fn a_request_id_is_parsed_as_it_was_formatted(root: u128, call: u64) {
        let (root, call) = (RequestId::new(root), CallId::new(call));
        let parsed = parse_request_id(&format_request_id(root, call));
        prop_assert_eq!(parsed, Ok((Some(root), Some(call))));
    }
}
