//! Statements of upstreams about themselves in the heads of their answers.

use cuminarch_admission::RateLimitChange;
use cuminarch_protocol::{HeaderField, UpstreamLifetime, UpstreamSignals};
use cuminarch_routing::Target;
use cuminarch_types::{RatePerSecond, ServiceName};
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
    if signals.is_leaving
        && let Some(record) = lifetime.and_then(|left| context.driver.begin_draining(left))
    {
        info!("{} upstream={record:?}", NodeEvent::UpstreamChanged);
        context.publish_upstream(record);
    }
}

/// Applies the rate limit of the local upstream that another node knows of.
pub fn adopt_rate_limit(context: &DataContext, rate_limit: RatePerSecond) {
    if let Some(change) = context.driver.adopt_rate_limit(rate_limit) {
        log_rate_limit(context, &change, "peer");
    }
}

/// Records what the answer of another endpoint states about its upstream.
pub fn record_endpoint_signals(
    context: &DataContext,
    service: &ServiceName,
    target: &Target,
    fields: &[HeaderField],
) {
    let Some(signals) = parse(context, fields) else { return };
    if signals == UpstreamSignals::default() && target.rate_limit.is_none() {
        return;
    }
    if context.driver.record_endpoint_signals(service, target, &signals) {
        log_endpoint(context, service, target, &signals);
    }
}

fn parse(context: &DataContext, fields: &[HeaderField]) -> Option<UpstreamSignals> {
    let parsed = context.interface.upstream_signals(fields);
    parsed.inspect_err(|error| log_unreadable(context, &error.to_string())).ok()
}

fn log_rate_limit(context: &DataContext, change: &RateLimitChange, source: &str) {
    let event = NodeEvent::RateLimitChanged;
    let Some(left_out) = context.decisions.admit(event) else { return };
    info!(
        previous:% = limit_text(change.previous),
        limit:% = limit_text(change.current),
        recent = change.recent_starts,
        source = source,
        left_out = left_out;
        "{event}"
    );
}

fn log_endpoint(
    context: &DataContext,
    service: &ServiceName,
    target: &Target,
    signals: &UpstreamSignals,
) {
    let event = NodeEvent::EndpointSignals;
    let Some(left_out) = context.decisions.admit(event) else { return };
    info!(
        service:% = service,
        endpoint:% = target.endpoint,
        instance = target.lifetime.as_ref().map_or("-", |lifetime| lifetime.instance.as_str()),
        limit:% = limit_text(signals.rate_limit),
        leaving = signals.is_leaving,
        left_out = left_out;
        "{event}"
    );
}

fn limit_text(limit: Option<RatePerSecond>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

fn log_unreadable(context: &DataContext, error: &str) {
    let event = NodeEvent::SignalUnreadable;
    let Some(left_out) = context.decisions.admit(event) else { return };
    info!(error = error, left_out = left_out; "{event}");
}
