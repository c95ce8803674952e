use std::cell::Cell;

use cuminarch_types::ApiKey;

use super::*;
use crate::Sheet;

const ACCOUNTS: usize = 5_000;
const KEYS_PER_ACCOUNT: usize = 2;

fn entries() -> Vec<AccountEntry> {
    let key = |account: usize, key: usize| ApiKey::new(format!("key-{account}-{key}")).unwrap();
    let entry = |account: usize| AccountEntry {
        name: format!("account-{account}").parse().unwrap(),
        keys: (0..KEYS_PER_ACCOUNT).map(|number| key(account, number)).collect(),
        class: None,
        rate_per_s: cuminarch_types::RatePerSecond::default(),
        burst_requests: 0,
    };
    (0..ACCOUNTS).map(entry).collect()
}

#[test]
fn a_look_up_among_5000_accounts_compares_no_more_than_a_binary_search() {
    let index = AccountIndex::new(
        Some(&entries()),
        &BTreeMap::new(),
        &ClassOrder::new(&Sheet::default()),
        7,
    );
    let limit = (ACCOUNTS * KEYS_PER_ACCOUNT).ilog2() + 2;
    for account in 0..ACCOUNTS {
        for key in 0..=KEYS_PER_ACCOUNT {
            let digest = CredentialDigest::new(format!("key-{account}-{key}").as_bytes(), 7);
            let comparisons = Cell::new(0);
            let position = index.position(|found| {
                comparisons.set(comparisons.get() + 1);
                found.cmp(&digest)
            });
            assert_eq!(position, (key < KEYS_PER_ACCOUNT).then_some(account));
            assert!(comparisons.get() <= limit, "{} comparisons", comparisons.get());
        }
    }
}

#[test]
fn digests_of_processes_with_different_seeds_differ() {
    assert_ne!(CredentialDigest::new(b"key", 1), CredentialDigest::new(b"key", 2));
}
