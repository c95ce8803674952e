use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::{EndpointPosition, RetryBudgetSettings};

/// Repeats that the door of one endpoint lets through to its upstream.
///
/// Answers the load of many nodes that repeat towards a small service: the doors of
/// the service are few and see each arrival, so that none of the bound is lost to
/// nodes that have nothing to repeat. Who asks marks a repeat, and a door that has
/// none left refuses it before the upstream is reached.
///
/// A token bucket: first arrivals of callers' requests earn their ratio; the
/// endpoint's share of the slack is half what the bucket holds at most and half what
/// it earns in the course of a window. Within any window no more can be spent than
/// what it held plus what was earned, so that all doors together stay within the
/// bound as long as each counts the endpoints that there are, or more. Where there is
/// less than one repeat for each door, the first doors hold one and the others none.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Option<MonoTime>,
    /// Most endpoints that were ever counted: some may be out of sight for a while.
    max_seen_endpoints: usize,
    index: usize,
}

impl RetryBudget {
    /// Part of the bounds that is used. The rest is for repeats that are made below:
    /// a repeat runs its calls again, which count as repeats where they arrive.
    const USED_FRACTION: f64 = 0.75;
    /// Part of the slack that may be spent at once.
    const BURST_FRACTION: f64 = 0.5;
    /// Part of a full bucket that only urgent repeats may take.
    const URGENT_RESERVE_FRACTION: f64 = 0.5;
    /// Time after the first look in which nothing is earned by time, as a node that has
    /// just started may not know the other endpoints yet.
    const START_GRACE: Duration = Duration::from_secs(3);

    /// An empty budget: a process that starts does not know what the one before it
    /// has spent.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Repeats that are left, for logs.
    #[must_use]
    pub const fn remaining(&self) -> f64 {
        self.tokens
    }

    /// Notes the first arrival of a caller's request.
    pub fn record_first_arrival(&mut self, settings: &RetryBudgetSettings) {
        self.earn(settings.ratio * Self::USED_FRACTION, settings);
    }

    /// Takes in the endpoints of the service and the time.
    pub fn advance(
        &mut self,
        settings: &RetryBudgetSettings,
        standing: EndpointPosition,
        now: MonoTime,
    ) {
        self.max_seen_endpoints = self.max_seen_endpoints.max(standing.endpoint_count).max(1);
        self.index = standing.index;
        let Some(refilled_at) = self.refilled_at else {
            self.refilled_at = Some(now.after(Self::START_GRACE));
            return;
        };
        if now <= refilled_at {
            return;
        }
        self.refilled_at = Some(now);
        let windows = now.since(refilled_at).as_secs_f64() / settings.window.as_secs_f64();
        let spread = settings.slack * Self::USED_FRACTION * (1.0 - Self::BURST_FRACTION);
        let holders = Self::burst(settings).floor().clamp(1.0, self.max_seen_endpoints as f64);
        self.earn(spread / holders * windows, settings);
    }

    /// Takes what one repeat costs, if it is there.
    #[must_use]
    pub fn try_retry(&mut self, settings: &RetryBudgetSettings, is_urgent: bool) -> bool {
        let capacity = self.capacity(settings);
        let kept = if is_urgent { 0.0 } else { capacity * Self::URGENT_RESERVE_FRACTION };
        if self.tokens < 1.0 + kept.min((capacity - 1.0).max(0.0)) {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn earn(&mut self, tokens: f64, settings: &RetryBudgetSettings) {
        self.tokens = (self.tokens + tokens).min(self.capacity(settings));
    }

    /// What all doors together hold at most.
    fn burst(settings: &RetryBudgetSettings) -> f64 {
        settings.slack * Self::USED_FRACTION * Self::BURST_FRACTION
    }

    /// What this door holds at most: its share, or one repeat at the first doors of a
    /// service that has more doors than repeats.
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
