//! Addresses for components that must know theirs before they bind.

use std::collections::BTreeSet;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use cuminarch_testing::free_address;

const COUNT: usize = 120;

/// Guards against test programs that run at the same time and take each other's ports.
#[test]
fn processes_that_run_at_the_same_time_get_different_addresses() {
    if std::env::var_os("PRINTS_ADDRESSES").is_some() {
        (0..COUNT).for_each(|_| println!("address {}", free_address()));
        thread::sleep(Duration::from_millis(500));
        return;
    }
    let program = std::env::current_exe().unwrap();
    let children: Vec<_> = (0..6)
        .map(|_| {
            let mut command = Command::new(&program);
            command.arg("--nocapture").env("PRINTS_ADDRESSES", "1");
            command.stdout(Stdio::piped()).spawn().unwrap()
        })
        .collect();
    let mut addresses: Vec<String> = (0..COUNT).map(|_| free_address().to_string()).collect();
    for child in children {
        let output = String::from_utf8(child.wait_with_output().unwrap().stdout).unwrap();
        let lines = output.lines().filter_map(|line| line.split_once("address "));
        addresses.extend(lines.map(|(_, address)| address.to_owned()));
    }
    assert_eq!(addresses.len(), 7 * COUNT);
    assert_eq!(addresses.iter().collect::<BTreeSet<_>>().len(), addresses.len());
}
