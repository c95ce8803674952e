use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::{EndpointPosition, RetryBudgetSettings};

/// Retry budget of one endpoint, enforced by its serving node.
///
/// When many nodes retry towards a small service, its few serving nodes see every arrival, so no
/// part of the bound is wasted on nodes without retries. The sender marks a retry, and a serving
/// node without budget refuses it before it reaches the upstream.
///
/// A token bucket: each first arrival of a caller's request adds the retry ratio; half of the
/// endpoint's share of the slack is bucket capacity, and the other half is refilled over a window.
/// Within any window, no more can be spent than the initial tokens plus the refill, so all serving
/// nodes together stay within the bound if none of them underestimates the number of endpoints. If
/// there is less than one retry per serving node, the first ones hold one each and the others none.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Option<MonoTime>,
    /// Maximum number of endpoints ever counted, because some may be unreachable for a while.
    max_seen_endpoints: usize,
    index: usize,
}

impl RetryBudget {
    /// Fraction of the bounds in use. The rest covers indirect retries: a retry runs its nested
    /// calls again, which count as retries where they arrive.
    const USED_FRACTION: f64 = 0.75;
    /// Fraction of the slack that may be spent in a burst.
    const BURST_FRACTION: f64 = 0.5;
    /// Fraction of a full bucket that is reserved for urgent retries.
    const URGENT_RESERVE_FRACTION: f64 = 0.5;
    /// Time after the first update without time-based refill, because a node that has just started
    /// may not know the other endpoints yet.
    const START_GRACE: Duration = Duration::from_secs(3);

    /// Creates an empty budget, because a starting process does not know what its predecessor has
    /// spent.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the remaining retries, for logs.
    #[must_use]
    pub const fn remaining(&self) -> f64 {
        self.tokens
    }

    /// Records the first arrival of a caller's request.
    pub fn record_first_arrival(&mut self, settings: &RetryBudgetSettings) {
        self.earn(settings.ratio * Self::USED_FRACTION, settings);
    }

    /// Updates the endpoints of the service and refills the bucket.
    pub fn advance(
        &mut self,
        settings: &RetryBudgetSettings,
        position: EndpointPosition,
        now: MonoTime,
    ) {
        self.max_seen_endpoints = self.max_seen_endpoints.max(position.endpoint_count).max(1);
        self.index = position.index;
        let Some(refilled_at) = self.refilled_at else {
            self.refilled_at = Some(now.after(Self::START_GRACE));
            return;
        };
        if now <= refilled_at {
            return;
        }
        self.refilled_at = Some(now);
        let windows = now.since(refilled_at).as_secs_f64() / settings.window.as_secs_f64();
        let refill = settings.slack * Self::USED_FRACTION * (1.0 - Self::BURST_FRACTION);
        let bucket_count = Self::burst(settings).floor().clamp(1.0, self.max_seen_endpoints as f64);
        self.earn(refill / bucket_count * windows, settings);
    }

    /// Takes one token for a retry and returns `true` if one is available.
    #[must_use]
    pub fn try_retry(&mut self, settings: &RetryBudgetSettings, is_urgent: bool) -> bool {
        let capacity = self.capacity(settings);
        let reserve = if is_urgent { 0.0 } else { capacity * Self::URGENT_RESERVE_FRACTION };
        if self.tokens < 1.0 + reserve.min((capacity - 1.0).max(0.0)) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn earn(&mut self, tokens: f64, settings: &RetryBudgetSettings) {
        self.tokens = (self.tokens + tokens).min(self.capacity(settings));
    }

    /// Returns the burst capacity of all serving nodes together.
    fn burst(settings: &RetryBudgetSettings) -> f64 {
        settings.slack * Self::USED_FRACTION * Self::BURST_FRACTION
    }

    /// Returns the capacity of this bucket: an equal share of the burst capacity, or one retry at
    /// the first nodes of a service with more nodes than retries.
    fn capacity(&self, settings: &RetryBudgetSettings) -> f64 {
        let burst = Self::burst(settings);
        let share = burst / self.max_seen_endpoints.max(1) as f64;
        if share >= 1.0 {
            share
        } else if (self.index as f64) < burst.floor() {
            1.0
        } else {
            0.0
        }
    }
}
