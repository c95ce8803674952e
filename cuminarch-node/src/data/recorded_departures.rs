use std::cell::{Cell, RefCell};
use std::time::Duration;

use cuminarch_protocol::UpstreamRecord;
use log::warn;
use tokio::sync::Notify;

use crate::event::NodeEvent;

/// Departures of the local upstream that the next process of the node will know of.
#[derive(Debug, Default)]
pub struct RecordedDepartures {
    is_enabled: Cell<bool>,
    latest: RefCell<Option<UpstreamRecord>>,
    changed: Notify,
}

impl RecordedDepartures {
    /// Expects departures to be recorded; otherwise, nobody waits for that.
    pub fn enable(&self) {
        self.is_enabled.set(true);
    }

    /// Notes that a departure was recorded.
    pub fn record(&self, departed: UpstreamRecord) {
        *self.latest.borrow_mut() = Some(departed);
        self.changed.notify_waiters();
    }

    /// Waits until a departure is recorded, at most for `timeout`.
    pub async fn wait_until_recorded(&self, departed: &UpstreamRecord, timeout: Duration) {
        if !self.is_enabled.get() {
            return;
        }
        let recorded = async {
            while !self.includes(departed) {
                self.changed.notified().await;
            }
        };
        if tokio::time::timeout(timeout, recorded).await.is_err() {
            warn!("{} upstream={departed:?}", NodeEvent::DepartureUnrecorded);
        }
    }

    fn includes(&self, departed: &UpstreamRecord) -> bool {
        self.latest.borrow().as_ref().is_some_and(|latest| {
            latest.lifetime() == departed.lifetime() && latest.state >= departed.state
        })
    }
}
