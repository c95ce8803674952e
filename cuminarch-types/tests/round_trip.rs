//! Parsing restores every formatted value and rejects invalid text.

use std::fmt::{Debug, Display};
use std::str::FromStr;
use std::time::Duration;

use cuminarch_types::{
    Attempts, ByteCount, MonoTime, Outcome, Priority, Rank, RatePerSecond, RequestId, ResendNumber,
    Revision, ServiceName,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

const CASES: u32 = 256;
const SEED: u64 = 7;

fn config() -> Config {
    Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn assert_round_trip<T>(value: &T)
where
    T: Debug + Display + FromStr + PartialEq,
    T::Err: Debug,
{
    assert_eq!(value.to_string().parse::<T>().as_ref().unwrap(), value);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn numbers_read_back(number: u64, wide: u128, short: u32, rank in 0..=Rank::MAX.get()) {
        assert_round_trip(&Revision::new(number));
        assert_round_trip(&ByteCount::new(number));
        assert_round_trip(&MonoTime::from_micros(number));
        assert_round_trip(&RequestId::new(wide));
        assert_round_trip(&Attempts::new(short));
        assert_round_trip(&ResendNumber::new(short));
        assert_round_trip(&Rank::new(rank));
        assert_round_trip(&RatePerSecond::new(f64::from(short) / 8.0));
    }

    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,80}") {
        let _ = text.parse::<RequestId>();
        let _ = text.parse::<RatePerSecond>();
        if let Ok(name) = text.parse::<ServiceName>() {
            prop_assert_eq!(name.to_string(), text);
        }
    }

    #[test]
    fn rank_orders_by_priority_first(low in 0_u8..63, roots: (u128, u128)) {
        let lower = Rank::of_request(Priority::new(low), RequestId::new(roots.0));
        let higher = Rank::of_request(Priority::new(low + 1), RequestId::new(roots.1));
        prop_assert!(lower < higher);
        prop_assert_eq!(lower.priority(), Priority::new(low));
        prop_assert!(Rank::floor_of(Priority::new(low)) <= lower);
    }

    #[test]
    fn time_never_wraps(start: u64, micros: u64) {
        let time = MonoTime::from_micros(start);
        let later = time.after(Duration::from_micros(micros));
        prop_assert!(later >= time);
        prop_assert_eq!(time.since(later), Duration::ZERO);
    }
}

#[rstest]
#[case::empty("")]
#[case::space("a b")]
#[case::slash("a/b")]
#[case::line_end("a\n")]
#[case::long("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
fn malformed_names_are_refused(#[case] text: &str) {
    assert!(text.parse::<ServiceName>().is_err());
    assert!(from_compact(text).is_err());
}

fn from_compact(text: &str) -> Result<ServiceName, cuminarch_types::ParseError> {
    ServiceName::try_from(compact_str::CompactString::from(text))
}

#[rstest]
#[case(Outcome::Completed)]
#[case(Outcome::NotRun)]
#[case(Outcome::Unknown)]
fn outcomes_read_back(#[case] outcome: Outcome) {
    assert_round_trip(&outcome);
}

/// Uneven buckets would make an admission level admit more or less than its share of
/// the requests of a priority.
#[test]
fn buckets_are_even() {
    let half = Rank::new(Rank::BUCKETS / 2);
    let roots = (0..10_000_u128).map(|index| RequestId::new(index * 7_919));
    let admitted = roots.filter(|root| Rank::of_request(Priority::new(0), *root) >= half).count();
    assert!((4_500..5_500).contains(&admitted), "{admitted} of 10000");
}
