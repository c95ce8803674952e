use std::thread;
use std::time::{Duration, Instant};

/// Time within which an expected event must occur, with a margin for busy machines.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `condition` returns `true`.
///
/// # Panics
///
/// Panics if the condition is not met within [`LIVENESS_TIMEOUT`].
pub fn wait_for(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + LIVENESS_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not met within {LIVENESS_TIMEOUT:?}: {description}");
        thread::sleep(POLL_INTERVAL);
    }
}
