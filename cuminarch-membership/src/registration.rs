use std::time::Duration;

use cuminarch_protocol::{UpstreamRecord, UpstreamState};
use cuminarch_types::InstanceId;

/// What an upstream says of itself to the node beside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Its lifetime.
    pub instance: InstanceId,
    /// When it started, in milliseconds since the epoch; none if it did not say so.
    pub started_at_ms: Option<u64>,
    /// Number of the registration within the lifetime; none for the last one.
    pub sequence: Option<u64>,
    /// Its state.
    pub state: UpstreamState,
    /// Calls that it runs at once; none if it did not say so.
    pub slots: Option<u32>,
    /// How much longer it remains slow after its start.
    pub warm_up: Duration,
}

/// Follows the registrations of one upstream, which may arrive late, repeated or
/// out of order. A lifetime goes from ready to draining to absent and never back.
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
/// assert!(tracker.take(&registration).is_some());
/// assert!(tracker.take(&registration).is_none());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamTracker {
    record: UpstreamRecord,
    sequence: u64,
}

impl UpstreamTracker {
    /// No registration yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { record: UpstreamRecord::absent(), sequence: 0 }
    }

    /// What is known of the upstream.
    #[must_use]
    pub const fn record(&self) -> &UpstreamRecord {
        &self.record
    }

    /// Takes in a registration. Returns the record if it changed.
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
