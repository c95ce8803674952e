//! Stand-ins of the platform's store, of upstreams and of callers, on loopback.
//!
//! They use the standard library only, so that a machine without a network can build them. The
//! names of the platform's protocol are in `names.txt`.

pub mod call;
pub mod http;
pub mod json;
pub mod node;
pub mod record;
pub mod store;
pub mod upstream;

use std::time::{Duration, Instant};

/// Returns a name of the platform's protocol.
#[must_use]
pub fn name(key: &str) -> &'static str {
    include_str!("names.txt")
        .lines()
        .find_map(|line| line.strip_prefix(key)?.strip_prefix('='))
        .unwrap_or_else(|| panic!("names.txt has no {key}"))
}

/// Returns `true` unless the environment switches the disruption off.
#[must_use]
pub fn is_disrupted() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until a condition holds. Returns `false` at the timeout.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < timeout {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
