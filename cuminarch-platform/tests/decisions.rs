//! Token bucket, backoff and prefix watcher in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_platform::{
    Backoff, Listing, Object, ObjectPath, ObjectVersion, PlatformError, PrefixWatcher, TokenBucket,
    WatchChange, WatchStep,
};
use cuminarch_types::{MonoTime, RatePerSecond};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn bucket_never_admits_more_than_burst_and_rate(
        rate in 1_u32..500,
        burst in 1_u32..50,
        gaps_us in proptest::collection::vec(
            prop_oneof![4 => 0_u64..5_000, 1 => 0_u64..3_600_000_000],
            1..400,
        ),
    ) {
        let mut bucket = TokenBucket::new(RatePerSecond::new(f64::from(rate)), burst, MonoTime::ZERO);
        let mut now_us = 0;
        let mut admitted_us: Vec<u64> = Vec::new();
        for gap_us in gaps_us {
            now_us += gap_us;
            if bucket.try_take(MonoTime::from_micros(now_us)) {
                admitted_us.push(now_us);
            }
        }
        for (first, &from_us) in admitted_us.iter().enumerate() {
            for (last, &to_us) in admitted_us.iter().enumerate().skip(first) {
                let allowed = f64::from(burst) + f64::from(rate) * (to_us - from_us) as f64 / 1e6;
                prop_assert!((last - first + 1) as f64 <= allowed + 1e-6);
            }
        }
    }

    #[test]
    fn backoff_stays_within_its_bounds(seed in any::<u64>(), attempts in 1_usize..40) {
        let (initial_delay, max_delay) = (Duration::from_millis(50), Duration::from_secs(5));
        let mut backoff = Backoff::new(initial_delay, max_delay, seed);
        let mut ceiling = initial_delay;
        for _ in 0..attempts {
            let delay = backoff.next_delay();
            prop_assert!(delay >= ceiling / 2 && delay <= ceiling);
            ceiling = (ceiling * 2).min(max_delay);
        }
        backoff.reset();
        prop_assert!(backoff.next_delay() <= initial_delay);
    }

    /// After writes, removals, restores and missed, repeated and failed watches, the reported
    /// changes add up to the content of the store once it is listed again.
    #[test]
    fn watcher_converges_to_the_state_of_the_store(
        events in proptest::collection::vec((0_u8..8, 0_u8..4), 1..120),
    ) {
        let mut store = SimulatedStore::default();
        let mut watcher = PrefixWatcher::new(
            Duration::from_secs(30),
            Backoff::new(Duration::from_millis(10), Duration::from_secs(1), 1),
        );
        let mut now = MonoTime::ZERO;
        for (event, key) in events {
            store.apply_event(event, key);
            now = now.after(Duration::from_millis(700));
            store.step(&mut watcher, event, now);
        }
        now = now.after(Duration::from_secs(60));
        while store.step(&mut watcher, 7, now) != WatchStep::List {}
        prop_assert_eq!(&store.observed, &store.objects);
    }
}

/// A store with a backup, and its content as a watcher observed it.
#[derive(Default)]
struct SimulatedStore {
    objects: BTreeMap<ObjectPath, Object>,
    observed: BTreeMap<ObjectPath, Object>,
    version: u64,
    writes: u64,
    backup: (BTreeMap<ObjectPath, Object>, u64),
}

impl SimulatedStore {
    fn apply_event(&mut self, event: u8, key: u8) {
        let path: ObjectPath = format!("members/{key}").parse().unwrap();
        match event {
            0..=2 => {
                self.version += 1;
                let version = ObjectVersion::new(self.version);
                self.writes += 1;
                let value = format!("write {}", self.writes);
                self.objects.insert(path.clone(), Object { path, version, value });
            }
            3 => {
                self.version += 1;
                self.objects.remove(&path);
            }
            4 => self.backup = (self.objects.clone(), self.version),
            5 => (self.objects, self.version) = self.backup.clone(),
            _ => {}
        }
    }

    fn step(&mut self, watcher: &mut PrefixWatcher, event: u8, now: MonoTime) -> WatchStep {
        let step = watcher.next_step(now);
        let fails = event == 6;
        let result = |listing| {
            if fails { Err(PlatformError::RateLimited) } else { Ok(listing) }
        };
        let version = ObjectVersion::new(self.version);
        let all: Vec<Object> = self.objects.values().cloned().collect();
        let changes = match step {
            WatchStep::Wait(_) => Vec::new(),
            WatchStep::List => watcher.on_list(result(Listing { version, objects: all }), now),
            WatchStep::Watch { after } => {
                let is_missed = event == 2;
                let repeats = event == 1;
                let objects = all
                    .into_iter()
                    .filter(|object| !is_missed && (repeats || object.version > after))
                    .collect();
                watcher.on_watch(result(Listing { version, objects }))
            }
        };
        for change in changes {
            match change {
                WatchChange::Put(object) => drop(self.observed.insert(object.path.clone(), object)),
                WatchChange::Removed(path) => drop(self.observed.remove(&path)),
            }
        }
        step
    }
}
