//! Claims on an in-memory store with injected failures.

#![allow(clippy::unwrap_used)]

use std::sync::Barrier;
use std::thread;

use cuminarch_claims::{claim_path, run_claim};
use cuminarch_once::{
    BoundKey, Claim, ClaimEntry, ClaimOutcome, ClaimSettings, ClaimShard, ClaimShardId,
};
use cuminarch_platform::{HttpObjectStore, ObjectStore, Precondition};
use cuminarch_testing::{MemoryStore, PlatformFault};
use cuminarch_types::{ClientKey, Incarnation, ServiceName};
use rstest::rstest;

const DAY_S: u64 = 24 * 3_600;

fn bound(endpoint: usize) -> BoundKey {
    format!("ck1:kasse-{endpoint}:7:0:1").parse().unwrap()
}

fn service() -> ServiceName {
    "kasse".parse().unwrap()
}

fn claim_at(key: &str, endpoint: usize, now_s: u64) -> Claim {
    Claim::new(ClaimSettings::new(), key.parse().unwrap(), bound(endpoint), now_s)
}

fn stored_shard(store: &MemoryStore, key: &str) -> ClaimShard {
    let path = claim_path(&service(), ClaimShardId::of_key(&key.parse().unwrap())).unwrap();
    let object = store.get(&path).unwrap().unwrap();
    serde_json::from_str(&object.value).unwrap()
}

#[rstest]
#[case::granted(PlatformFault::None, ClaimOutcome::Granted, 2)]
#[case::lost_answer_is_settled_by_reading(PlatformFault::LoseAnswers, ClaimOutcome::Granted, 3)]
#[case::down(PlatformFault::Down, ClaimOutcome::Unavailable, 1)]
fn claim_of_a_new_key(
    #[case] fault: PlatformFault,
    #[case] expected: ClaimOutcome,
    #[case] calls: u64,
) {
    let store = MemoryStore::new();
    store.set_fault(fault);
    assert_eq!(run_claim(&store, &service(), claim_at("order-7", 1, 0)), expected);
    assert_eq!(store.calls(), calls);
}

#[test]
fn claim_of_a_bound_key_costs_one_read() {
    let store = MemoryStore::new();
    run_claim(&store, &service(), claim_at("order-7", 1, 0));
    let before = store.calls();
    let second = run_claim(&store, &service(), claim_at("order-7", 2, 5 * DAY_S));
    assert_eq!(second, ClaimOutcome::HeldBy(bound(1)));
    assert_eq!(store.calls() - before, 1);
}

#[test]
fn shard_of_unknown_format_is_never_overwritten() {
    let store = MemoryStore::new();
    let path = claim_path(&service(), ClaimShardId::of_key(&"order-7".parse().unwrap())).unwrap();
    store.put(&path, "{\"later\": 1}", Precondition::Absent).unwrap();
    assert_eq!(run_claim(&store, &service(), claim_at("order-7", 1, 0)), ClaimOutcome::Unavailable);
    assert_eq!(store.get(&path).unwrap().unwrap().value, "{\"later\": 1}");
}

#[test]
fn one_of_many_concurrent_claims_is_granted() {
    let store = MemoryStore::new();
    let barrier = Barrier::new(8);
    let outcomes: Vec<ClaimOutcome> = thread::scope(|scope| {
        let claims: Vec<_> = (0..8)
            .map(|endpoint| {
                let (store, barrier) = (store.clone(), &barrier);
                scope.spawn(move || {
                    barrier.wait();
                    run_claim(&store, &service(), claim_at("order-7", endpoint, 0))
                })
            })
            .collect();
        claims.into_iter().map(|claim| claim.join().unwrap()).collect()
    });
    let granted = outcomes.iter().filter(|outcome| **outcome == ClaimOutcome::Granted);
    assert_eq!(granted.count(), 1, "{outcomes:?}");
    assert!(!outcomes.contains(&ClaimOutcome::Unavailable));
}

/// Returns keys that belong to the same shard.
fn keys_of_one_shard(count: usize) -> Vec<String> {
    let shard = ClaimShardId::of_key(&"order-0".parse().unwrap());
    (0..)
        .map(|number| format!("order-{number}"))
        .filter(|key| ClaimShardId::of_key(&key.parse::<ClientKey>().unwrap()) == shard)
        .take(count)
        .collect()
}

#[test]
fn expired_claims_are_removed_without_extra_calls() {
    let store = MemoryStore::new();
    let keys = keys_of_one_shard(12);
    for key in &keys[..10] {
        assert_eq!(run_claim(&store, &service(), claim_at(key, 1, 0)), ClaimOutcome::Granted);
    }
    run_claim(&store, &service(), claim_at(&keys[10], 1, DAY_S - 1));
    assert_eq!(
        stored_shard(&store, &keys[0]).entries.len(),
        11,
        "no claim is dropped before it expires"
    );
    let before = store.calls();
    run_claim(&store, &service(), claim_at(&keys[11], 1, DAY_S));
    let shard = stored_shard(&store, &keys[0]);
    assert_eq!(store.calls() - before, 3, "a read and a write, and the read of this test");
    assert_eq!(shard.entries.len(), ClaimSettings::new().keep_entries);
    assert!(shard.holder(&keys[10].parse().unwrap()).is_some());
}

#[test]
fn full_shard_grants_no_more() {
    let store = MemoryStore::new();
    let settings = ClaimSettings { keep_entries: 2, max_entries: 2, ..ClaimSettings::new() };
    let keys = keys_of_one_shard(3);
    let run = |key: &str, now_s| {
        run_claim(&store, &service(), Claim::new(settings, key.parse().unwrap(), bound(1), now_s))
    };
    assert_eq!(run(&keys[0], 0), ClaimOutcome::Granted);
    assert_eq!(run(&keys[1], 0), ClaimOutcome::Granted);
    assert_eq!(run(&keys[2], DAY_S - 1), ClaimOutcome::Unavailable);
    assert_eq!(run(&keys[2], DAY_S), ClaimOutcome::Granted);
}

#[test]
fn shard_numbers_never_change() {
    let shard = |key: &str| ClaimShardId::of_key(&key.parse().unwrap()).to_string();
    let numbers = ["order-7", "order-8", "a"].map(shard);
    assert_eq!(numbers, ["52d2e", "8149f", "e6c63"]);
}

#[test]
fn fullest_shard_fits_a_value_of_the_platform() {
    let entry = ClaimEntry {
        key: "k".repeat(64).parse().unwrap(),
        bound: BoundKey {
            endpoint: "e".repeat(64).parse().unwrap(),
            incarnation: Incarnation::new(u64::MAX),
            minted_ms: u64::MAX,
            serial: u64::MAX,
        },
        claimed_s: u64::MAX,
    };
    let entries = vec![entry; ClaimSettings::new().max_entries];
    let value = serde_json::to_string(&ClaimShard { entries }).unwrap();
    assert!(value.len() <= HttpObjectStore::MAX_VALUE_BYTES, "{} bytes", value.len());
}

#[test]
fn usual_claim_takes_at_most_150_bytes() {
    let store = MemoryStore::new();
    let key = "0190b2d4-7d0e-7c3a-9d3f-5a1c0f6e2b11";
    let bound = "ck1:kasse-zrh-a-17:1790000000000:86400000:4711".parse().unwrap();
    let claim = Claim::new(ClaimSettings::new(), key.parse().unwrap(), bound, 1_790_000_000);
    run_claim(&store, &service(), claim);
    let value = serde_json::to_string(&stored_shard(&store, key)).unwrap();
    println!("{} bytes: {value}", value.len());
    assert!(value.len() <= 150 + "{\"entries\":[]}".len(), "{}", value.len());
}

#[test]
fn services_do_not_share_keys() {
    let store = MemoryStore::new();
    let other = "benk".parse().unwrap();
    assert_eq!(run_claim(&store, &service(), claim_at("order-7", 1, 0)), ClaimOutcome::Granted);
    assert_eq!(run_claim(&store, &other, claim_at("order-7", 2, 0)), ClaimOutcome::Granted);
}
