//! Benchmarks of key decisions in a full table and of a typical claim.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use cuminarch_once::{
    BoundKey, ClaimEntry, ClaimSettings, ClaimShard, KeyResult, KeyTable, KeyTableSettings,
    RequestFingerprint, StoredAnswer,
};
use cuminarch_protocol::AnswerHead;
use cuminarch_types::{CallId, Incarnation, MonoTime};

/// Claims per shard at 200 claims a second and one day of retention.
const CLAIMS_PER_SHARD: usize = 17;

fn order() -> RequestFingerprint {
    RequestFingerprint::new("POST", "/orders", None)
}

fn run(table: &mut KeyTable, answer: &StoredAnswer) -> BoundKey {
    let key = table.mint(MonoTime::ZERO);
    table.begin(&key, order(), CallId::new(1), MonoTime::ZERO);
    let completed = KeyResult::Completed(Some(Box::new(answer.clone())));
    table.finish(&key, CallId::new(1), completed);
    key
}

fn key_table(criterion: &mut Criterion) {
    let endpoint = "kasse-1".parse().expect("a valid name");
    let settings = KeyTableSettings { max_keys: usize::MAX, ..KeyTableSettings::new() };
    let mut table = KeyTable::new(settings, endpoint, Incarnation::new(1));
    let head = AnswerHead { status: 200, headers: Vec::new(), body_len_bytes: None };
    let answer = StoredAnswer { head, body: vec![0; 1_024] };
    let mut key = run(&mut table, &answer);
    while table.len() < KeyTableSettings::new().max_keys {
        key = run(&mut table, &answer);
    }
    criterion.bench_function("replay_in_full_table", |bencher| {
        bencher.iter(|| table.begin(black_box(&key), order(), CallId::new(2), MonoTime::ZERO));
    });
    criterion.bench_function("run_in_full_table", |bencher| {
        bencher.iter(|| run(&mut table, black_box(&answer)));
    });
}

fn entry(number: usize) -> ClaimEntry {
    ClaimEntry {
        key: format!("0190b2d4-7d0e-7c3a-9d3f-{number:012}").parse().expect("a valid key"),
        bound: format!("ck1:kasse-zrh-a-17:1790000000000:86400000:{number}")
            .parse()
            .expect("a valid key"),
        claimed_s: 1_790_000_000,
    }
}

fn claim_shard(criterion: &mut Criterion) {
    let shard = ClaimShard { entries: (0..CLAIMS_PER_SHARD).map(entry).collect() };
    let value = serde_json::to_string(&shard).expect("claims serialize to JSON");
    let settings = ClaimSettings::new();
    criterion.bench_function("claim_in_usual_shard", |bencher| {
        let setup = || entry(CLAIMS_PER_SHARD);
        let claim = |claim: ClaimEntry| {
            let shard: ClaimShard =
                serde_json::from_str(black_box(&value)).expect("a valid claim shard");
            let next = shard.with_claim(claim, &settings);
            serde_json::to_string(&next).expect("claims serialize to JSON")
        };
        bencher.iter_batched(setup, claim, BatchSize::SmallInput);
    });
}

criterion_group!(keys, key_table, claim_shard);
criterion_main!(keys);
