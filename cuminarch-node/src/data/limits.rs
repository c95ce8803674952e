use std::time::Duration;

use cuminarch_config::CallerLimits;

use crate::NodeSettings;

/// Limits on the size and speed of input from callers and peers.
#[derive(Clone, Copy, Debug)]
pub struct DataLimits {
    /// Maximum length of a request head.
    pub max_head_bytes: usize,
    /// Maximum length of a request body.
    pub max_request_body_bytes: u64,
    /// Time limit for receiving a request head.
    pub head_timeout: Duration,
    /// Maximum pause between two requests of a connection.
    pub idle_timeout: Duration,
    /// Maximum pause within a body.
    pub body_idle_timeout: Duration,
}

impl DataLimits {
    /// Maximum length of a request head if the policy sets none.
    const MAX_HEAD_BYTES: usize = 64 * 1024;

    /// Creates the limits of the settings.
    pub const fn new(settings: &NodeSettings) -> Self {
        Self {
            max_head_bytes: Self::MAX_HEAD_BYTES,
            max_request_body_bytes: settings.max_request_body_bytes,
            head_timeout: Duration::from_millis(settings.head_timeout_ms),
            idle_timeout: Duration::from_millis(settings.head_timeout_ms),
            body_idle_timeout: Duration::from_millis(settings.body_idle_timeout_ms),
        }
    }

    /// Overrides the limits with those of the policy, if it has any.
    pub fn with_caller_limits(self, limits: Option<CallerLimits>) -> Self {
        let Some(limits) = limits else { return self };
        Self {
            max_head_bytes: usize::try_from(limits.max_head_bytes).unwrap_or(usize::MAX),
            max_request_body_bytes: limits.max_body_bytes,
            head_timeout: Duration::from_millis(limits.head_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
            ..self
        }
    }
}
