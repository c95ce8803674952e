//! Statements of upstreams about themselves in the heads of their answers.

use cuminarch_admission::RateLimitChange;
use cuminarch_protocol::{HeaderField, UpstreamLifetime, UpstreamSignals};
use cuminarch_types::RatePerSecond;
use log::info;

use super::runner::DataContext;
use crate::event::NodeEvent;

/// Records what an answer of the local upstream states. `lifetime` is the one to which the request
/// was sent.
pub fn record_upstream_signals(
    context: &DataContext,
    lifetime: Option<&UpstreamLifetime>,
    fields: &[HeaderField],
) {
    let Some(signals) = parse(context, fields) else { return };
    if context.driver.upstream_lifetime().as_ref() != lifetime {
        return;
    }
    if let Some(change) = context.driver.record_upstream_signals(&signals) {
        log_rate_limit(context, &change, "answer");
    }
}

fn parse(context: &DataContext, fields: &[HeaderField]) -> Option<UpstreamSignals> {
    let parsed = context.interface.upstream_signals(fields);
    parsed.inspect_err(|error| log_unreadable(context, &error.to_string())).ok()
}

fn log_rate_limit(context: &DataContext, change: &RateLimitChange, source: &str) {
    let event = NodeEvent::RateLimitChanged;
    let Some(left_out) = context.decisions.admit(event) else { return };
    let text = |limit: Option<RatePerSecond>| {
        limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
    };
    info!(
        previous:% = text(change.previous),
        limit:% = text(change.current),
        recent = change.recent_starts,
        source = source,
        left_out = left_out;
        "{event}"
    );
}

fn log_unreadable(context: &DataContext, error: &str) {
    let event = NodeEvent::SignalUnreadable;
    let Some(left_out) = context.decisions.admit(event) else { return };
    info!(error = error, left_out = left_out; "{event}");
}
