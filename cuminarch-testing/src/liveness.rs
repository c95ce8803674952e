use std::thread;
use std::time::{Duration, Instant};

/// Time in which something that is bound to happen has happened, on a busy machine
/// as well.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until something is so.
///
/// # Panics
///
/// When it is not so within [`LIVENESS`].
pub fn wait_for(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + LIVENESS_TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < until, "it did not happen: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
