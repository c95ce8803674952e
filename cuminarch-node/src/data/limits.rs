use std::time::Duration;

use crate::NodeSettings;

/// Bounds on what peers may send and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct DataLimits {
    /// Longest request body in bytes.
    pub max_request_body_bytes: u64,
    /// Longest time for the head of a request, and for the pause before it.
    pub head_timeout: Duration,
    /// Longest pause within a body.
    pub body_idle_timeout: Duration,
}

impl DataLimits {
    /// The bounds that the settings give.
    pub const fn new(settings: &NodeSettings) -> Self {
        Self {
            max_request_body_bytes: settings.max_request_body_bytes,
            head_timeout: Duration::from_millis(settings.head_timeout_ms),
            body_idle_timeout: Duration::from_millis(settings.body_idle_timeout_ms),
        }
    }
}
