//! Allocation of addresses for components that must know them before they bind.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use cuminarch_testing::free_address;

const THREADS: usize = 4;
const ADDRESSES_PER_THREAD: usize = 500;

fn take_addresses() -> Vec<SocketAddr> {
    (0..ADDRESSES_PER_THREAD).map(|_| free_address()).collect()
}

#[test]
fn addresses_are_unique() {
    let takers: Vec<_> = (0..THREADS).map(|_| thread::spawn(take_addresses)).collect();
    let taken: Vec<SocketAddr> =
        takers.into_iter().flat_map(|taker| taker.join().unwrap()).collect();
    let distinct: BTreeSet<SocketAddr> = taken.iter().copied().collect();
    assert_eq!(distinct.len(), taken.len());
}

#[test]
fn address_in_use_is_skipped() {
    let first = free_address();
    let next = SocketAddr::new(first.ip(), first.port() + 1);
    let _in_use = TcpListener::bind(next);
    assert!((0..ADDRESSES_PER_THREAD).all(|_| free_address() != next));
}
