//! What upstreams state about themselves in their answers.

use cuminarch_admission::RateLimitChange;
use cuminarch_protocol::UpstreamSignals;
use cuminarch_types::MonoTime;

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
}
