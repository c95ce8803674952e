use std::time::Duration;

use cuminarch_protocol::{UpstreamLifetime, UpstreamRecord, UpstreamState};
use cuminarch_types::InstanceId;

/// A registration that an upstream sends to the node beside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Incarnation of the upstream.
    pub instance: InstanceId,
    /// Start time in milliseconds since the epoch; `None` if not reported.
    pub started_at_ms: Option<u64>,
    /// Sequence number within the incarnation; `None` for the last registration.
    pub sequence: Option<u64>,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Maximum number of concurrent calls; `None` if not reported.
    pub slots: Option<u32>,
    /// Remaining warm-up time, during which it is slow.
    pub warm_up: Duration,
}

/// Tracks the registrations of one upstream, which may arrive late, duplicated or
/// out of order. An incarnation goes from ready to draining to absent, never back.
///
/// ```
/// use cuminarch_membership::{Registration, UpstreamTracker};
/// use cuminarch_protocol::UpstreamState;
/// use std::time::Duration;
///
/// let mut tracker = UpstreamTracker::new();
/// let registration = Registration {
///     instance: "i-1".parse()?,
///     started_at_ms: Some(1_000),
///     sequence: Some(1),
///     state: UpstreamState::Ready,
///     slots: Some(40),
///     warm_up: Duration::ZERO,
/// };
/// assert!(tracker.apply(&registration).is_some());
/// assert!(tracker.apply(&registration).is_none());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamTracker {
    record: UpstreamRecord,
    sequence: u64,
}

impl UpstreamTracker {
    /// Creates a tracker without a registration.
    #[must_use]
    pub const fn new() -> Self {
        Self { record: UpstreamRecord::absent(), sequence: 0 }
    }

    /// Returns the current record of the upstream.
    #[must_use]
    pub const fn record(&self) -> &UpstreamRecord {
        &self.record
    }

    /// Applies a registration. Returns the record if it changed.
    pub fn apply(&mut self, registration: &Registration) -> Option<&UpstreamRecord> {
        let is_same = self.record.instance.as_ref() == Some(&registration.instance);
        let started_at_ms = match registration.started_at_ms {
            Some(started_at_ms) => started_at_ms,
            None if is_same => self.record.started_at_ms,
            None => return None,
        };
        if self.record.instance.is_none() || started_at_ms > self.record.started_at_ms {
            return self.begin(registration, started_at_ms);
        }
        if !is_same || started_at_ms < self.record.started_at_ms {
            return None;
        }
        self.advance(registration)
    }

    /// Records that an answer of this lifetime of the upstream announced its departure. Returns the
    /// record if it changed.
    pub fn begin_draining(&mut self, lifetime: &UpstreamLifetime) -> Option<&UpstreamRecord> {
        let is_current = self.record.lifetime().as_ref() == Some(lifetime);
        if !is_current || self.record.state != UpstreamState::Ready {
            return None;
        }
        self.record.state = UpstreamState::Draining;
        Some(&self.record)
    }

    fn begin(
        &mut self,
        registration: &Registration,
        started_at_ms: u64,
    ) -> Option<&UpstreamRecord> {
        self.sequence = registration.sequence.unwrap_or(0);
        self.record = UpstreamRecord {
            instance: Some(registration.instance.clone()),
            started_at_ms,
            state: registration.state,
            slots: registration.slots.unwrap_or(0),
            warm_up_ms: u32::try_from(registration.warm_up.as_millis()).unwrap_or(u32::MAX),
        };
        Some(&self.record)
    }

    fn advance(&mut self, registration: &Registration) -> Option<&UpstreamRecord> {
        let is_late = registration.sequence.is_some_and(|sequence| sequence <= self.sequence);
        let is_step_back = registration.state < self.record.state;
        if is_late || is_step_back {
            return None;
        }
        self.sequence = registration.sequence.unwrap_or(self.sequence);
        let slots = registration.slots.unwrap_or(self.record.slots);
        if slots == self.record.slots && registration.state == self.record.state {
            return None;
        }
        self.record.slots = slots;
        self.record.state = registration.state;
        Some(&self.record)
    }
}

impl Default for UpstreamTracker {
    fn default() -> Self {
        Self::new()
    }
}
