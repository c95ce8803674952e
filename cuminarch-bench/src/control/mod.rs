//! Benchmarks membership and configuration in virtual time at several fleet sizes.
//!
//! The state machines are those of the node. [`cuminarch_testing::VirtualFleet`] simulates the
//! network, the platform and time, so every figure but the processor time is the same on each run.

mod changes;
mod departures;
mod failures;
mod fleet;
mod table;
mod traffic;

use std::thread::{self, ScopedJoinHandle};

use crate::Verdict;

/// Numbers of nodes, spread over 2 regions and 5 zones.
const FLEET_SIZES: [usize; 4] = [30, 120, 430, 860];

/// Runs the benchmark, prints its table and returns the bounded figures.
#[must_use]
pub fn run() -> Verdict {
    let mut verdict = Verdict::new();
    let (traffic, changes, departures, failures) = thread::scope(|scope| {
        let traffic = scope.spawn(|| FLEET_SIZES.map(traffic::measure));
        let changes = scope.spawn(|| FLEET_SIZES.map(changes::measure));
        let departures = scope.spawn(|| FLEET_SIZES.map(departures::measure));
        let failures = scope.spawn(|| FLEET_SIZES.map(failures::measure));
        (
            join_measurement(traffic),
            join_measurement(changes),
            join_measurement(departures),
            join_measurement(failures),
        )
    });
    traffic::report(&traffic, &mut verdict);
    changes::report(&changes, &mut verdict);
    departures::report(&departures, &mut verdict);
    failures::report(&failures, &mut verdict);
    verdict
}

/// Returns the result of a measurement thread; propagates its panic.
fn join_measurement<T>(thread: ScopedJoinHandle<'_, T>) -> T {
    thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}
