//! Datagrams about allotments: round trips, sizes, and rejection of malformed ones.

use cuminarch_protocol::{AllotmentAsk, AllotmentDatagram, AllotmentGrant, AllotmentMessage};
use cuminarch_types::Incarnation;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Bytes of a datagram that the bounds on traffic are planned with.
const MAX_LEN_BYTES: usize = 80;

fn config() -> Config {
    Config {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(33),
        ..Config::default()
    }
}

fn message() -> impl Strategy<Value = AllotmentMessage> {
    let numbers = (any::<u64>(), any::<u8>(), any::<u32>(), any::<u32>(), any::<u32>());
    let ask = (numbers, any::<bool>(), any::<u32>()).prop_map(
        |(
            (id, shard, wanted_milli, extra_milli, arrived_requests),
            is_from_holder,
            usage_milli,
        )| {
            AllotmentMessage::Ask(AllotmentAsk {
                id,
                account: "quilts".parse().unwrap(),
                shard,
                wanted_milli,
                extra_milli,
                arrived_requests,
                is_from_holder,
                usage_milli,
            })
        },
    );
    let numbers = (any::<u64>(), any::<u32>(), any::<u32>(), any::<u32>(), any::<u32>());
    let grant = (numbers, any::<bool>()).prop_map(
        |((id, granted_milli, lifetime_ms, retry_after_ms, usage_milli), is_not_holder)| {
            AllotmentMessage::Grant(AllotmentGrant {
                id,
                granted_milli,
                lifetime_ms,
                retry_after_ms,
                usage_milli,
                is_not_holder,
            })
        },
    );
    prop_oneof![ask, grant]
}

fn datagram(message: AllotmentMessage) -> AllotmentDatagram {
    let from = "service-3-859".parse().unwrap();
    AllotmentDatagram { from, incarnation: Incarnation::new(1_764_870_000_000), message }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_datagram_is_decoded_as_it_was_sent(message in message()) {
        let datagram = datagram(message);
        let bytes = datagram.encode().unwrap();
        prop_assert!(bytes.len() <= MAX_LEN_BYTES, "{} bytes", bytes.len());
        prop_assert_eq!(AllotmentDatagram::decode(&bytes).unwrap(), datagram);
    }

    #[test]
    fn a_part_of_a_datagram_is_refused(message in message(), kept in any::<prop::sample::Index>()) {
        let bytes = datagram(message).encode().unwrap();
        let kept = kept.index(bytes.len());
        prop_assert!(AllotmentDatagram::decode(&bytes[..kept]).is_err());
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let _ = AllotmentDatagram::decode(&bytes);
    }
}
