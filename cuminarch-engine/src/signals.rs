//! What upstreams state about themselves in their answers.

use cuminarch_admission::RateLimitChange;
use cuminarch_protocol::UpstreamSignals;
use cuminarch_routing::Target;
use cuminarch_types::{MonoTime, RatePerSecond, ServiceName};

use crate::Engine;

impl Engine {
    /// Records what the local upstream states in an answer. Returns the change of its rate limit,
    /// if any.
    pub fn record_upstream_signals(
        &mut self,
        signals: &UpstreamSignals,
        now: MonoTime,
    ) -> Option<RateLimitChange> {
        self.admission.pacer_mut().record_limit(signals.rate_limit, now)
    }

    /// Applies the rate limit of the local upstream that another node knows of, unless the upstream
    /// has answered since this node started. Returns the change, if any.
    pub fn adopt_rate_limit(
        &mut self,
        rate_limit: RatePerSecond,
        now: MonoTime,
    ) -> Option<RateLimitChange> {
        self.admission.pacer_mut().adopt_limit(rate_limit, now)
    }

    /// Records what the upstream of another endpoint states in an answer. Returns `true` if that
    /// changed.
    pub fn record_endpoint_signals(
        &mut self,
        service: &ServiceName,
        target: &Target,
        signals: &UpstreamSignals,
    ) -> bool {
        self.router.record_signals(service, target, signals)
    }
}
