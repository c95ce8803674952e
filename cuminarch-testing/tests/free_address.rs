//! Allocation of addresses for components that must know them before they bind.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use cuminarch_testing::free_address;

const THREADS: usize = 4;
const ADDRESSES_PER_THREAD: usize = 500;
const ADDRESSES_PER_PROCESS: usize = 120;

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

/// Guards against test programs that run at the same time and take each other's ports.
#[test]
fn processes_that_run_at_the_same_time_get_different_addresses() {
    const TEST: &str = "processes_that_run_at_the_same_time_get_different_addresses";
    if std::env::var_os("PRINTS_ADDRESSES").is_some() {
        (0..ADDRESSES_PER_PROCESS).for_each(|_| println!("address {}", free_address()));
        thread::sleep(Duration::from_millis(500));
        return;
    }
    let program = std::env::current_exe().unwrap();
    let children: Vec<_> = (0..6)
        .map(|_| {
            let mut command = Command::new(&program);
            command.args(["--exact", TEST, "--nocapture"]).env("PRINTS_ADDRESSES", "1");
            command.stdout(Stdio::piped()).spawn().unwrap()
        })
        .collect();
    let mut addresses: Vec<String> =
        (0..ADDRESSES_PER_PROCESS).map(|_| free_address().to_string()).collect();
    for child in children {
        let output = String::from_utf8(child.wait_with_output().unwrap().stdout).unwrap();
        let lines = output.lines().filter_map(|line| line.split_once("address "));
        addresses.extend(lines.map(|(_, address)| address.to_owned()));
    }
    assert_eq!(addresses.len(), 7 * ADDRESSES_PER_PROCESS);
    assert_eq!(addresses.iter().collect::<BTreeSet<_>>().len(), addresses.len());
}
