//! Registrations that wait for what earlier processes of the node knew about the upstream.

use std::time::{Duration, Instant};

use cuminarch_membership::{PendingUpstream, UpstreamTracker};

use super::Driver;

impl Driver {
    /// Makes the upstream count as ready only once it is known what an earlier process of the node
    /// has acknowledged.
    pub fn await_upstream_history(&self) {
        *self.shared.upstream.borrow_mut() = UpstreamTracker::new().awaiting_history();
        self.shared.departures.enable();
    }

    /// Returns the registration of the local upstream that waits for what an earlier process knew.
    pub fn pending_upstream(&self) -> Option<PendingUpstream> {
        self.shared.upstream.borrow().pending_upstream()
    }

    /// Waits until it is known what becomes of a registration that waits for what an earlier process
    /// knew, at most for `timeout`. Returns `false` if the upstream has to register once more.
    pub async fn is_registration_counted(&self, timeout: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let deadline = Instant::now() + timeout;
        while self.shared.upstream.borrow().awaits_history() && Instant::now() < deadline {
            if self.shared.is_repeat_needed.get() {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}
