//! Sends calls to other nodes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use cuminarch_engine::{Event, Forward, Refusal, RefusalReason, RemoteRefusal};
use cuminarch_http::check_answer;
use cuminarch_protocol::{
    AnswerFrame, AnswerHead, CallHead, Member, RefusalHead, UpstreamLifetime,
};
use cuminarch_types::{AttemptId, CallId};
use log::info;

use super::answer::{AnswerSource, NodeTime, RemoteSource};
use super::link_pool::LinkError;
use super::runner::{CallRequest, DataContext};
use super::signals::record_endpoint_signals;
use crate::event::NodeEvent;
use crate::metrics::Direction;

/// Sends one attempt to another node. Returns `None` if there is no answer; the failure has
/// been reported to the engine by then.
pub async fn send_call(
    context: &DataContext,
    call: CallId,
    attempt: AttemptId,
    forward: &Forward,
    request: &mut CallRequest,
) -> Option<(AnswerHead, AnswerSource)> {
    let driver = &context.driver;
    let address = forward.target.data_address;
    let rate_limit = forward.target.rate_limit;
    let Ok(mut link) = context.links.take(address, forward.idempotent, rate_limit).await else {
        log_attempt(context, request, forward, "no link");
        driver.post(Event::RemoteLost { call, attempt, sent: false });
        return None;
    };
    context.metrics.record_attempt();
    let lifetime = forward.target.lifetime.as_ref().filter(|_| link.knows_destinations());
    let lifetime = lifetime.map(UpstreamLifetime::digest);
    let head = CallHead { lifetime, ..call_head(request, forward) };
    let is_short = request.body.is_short();
    if let Err(error) = link.send(head, &mut request.body).await {
        // The peer starts no call before it has the whole head and a short body.
        log_attempt(context, request, forward, &error.to_string());
        driver.post(Event::RemoteLost { call, attempt, sent: !is_short });
        return None;
    }
    let time_to_send = request.received_at.elapsed();
    match link.receive(forward.remaining, forward.idempotent).await {
        Ok(AnswerFrame::Head(head)) if check_answer(head.status, &head.headers).is_err() => {
            // A node of an earlier version may pass on what is no answer.
            log_attempt(context, request, forward, "no answer in the protocol");
            driver.post(Event::RemoteLost { call, attempt, sent: true });
            None
        }
        Ok(AnswerFrame::Head(head)) => {
            record_endpoint_signals(context, &request.service, &forward.target, &head.headers);
            let is_failure = head.status >= 500;
            driver.post(Event::RemoteHead { call, attempt, is_failure });
            let (metrics, direction) = (Arc::clone(&context.metrics), Direction::Outbound);
            let node_time =
                NodeTime { metrics, direction, time_to_send, head_received_at: Instant::now() };
            let idle_timeout = context.limits().body_idle_timeout;
            let source = RemoteSource { attempt, link, node_time, idle_timeout };
            Some((*head, AnswerSource::Remote(Box::new(source))))
        }
        Ok(AnswerFrame::Refusal(head)) => {
            link.release();
            log_attempt(context, request, forward, &head.reason);
            if let Some(member) = &head.member {
                context.report_member(Member::clone(member));
            }
            driver.post(Event::RemoteRefused(call, attempt, Box::new(refusal(&head))));
            None
        }
        Ok(_) => {
            driver.post(Event::RemoteLost { call, attempt, sent: true });
            None
        }
        Err(error) => {
            log_attempt(context, request, forward, &error.to_string());
            let sent = !matches!(error, LinkError::ClosedBeforeCall);
            driver.post(Event::RemoteLost { call, attempt, sent });
            None
        }
    }
}

/// Logs why an attempt got no answer from an upstream.
fn log_attempt(context: &DataContext, request: &CallRequest, forward: &Forward, reason: &str) {
    let event = NodeEvent::AttemptFailed;
    let Some(left_out) = context.decisions.admit(event) else { return };
    info!(
        request:% = request.label(context),
        digest:% = request.digest(),
        route = request.route(),
        account = request.account(),
        service:% = request.service,
        endpoint:% = forward.target.endpoint,
        reason = reason,
        age_ms = request.received_at.elapsed().as_millis() as u64,
        left_ms = forward.remaining.as_millis() as u64,
        left_out = left_out;
        "{event}"
    );
}

fn refusal(head: &RefusalHead) -> RemoteRefusal {
    let reason = RefusalReason::from_text(&head.reason).unwrap_or(RefusalReason::UpstreamFailed);
    let refusal = Refusal {
        outcome: head.outcome,
        reason,
        retry_after: head.retry_after_ms.map(Duration::from_millis),
        detail: CompactString::default(),
        bound_to: head.bound_to.as_ref().and_then(|key| key.parse().ok()),
    };
    RemoteRefusal {
        refusal,
        reached_upstream: head.reached_upstream,
        receipt: head.receipt.clone(),
        member: head.member.clone(),
    }
}

fn call_head(request: &CallRequest, forward: &Forward) -> CallHead {
    CallHead {
        root: request.root,
        service: request.service.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        headers: request.headers.to_vec(),
        body_len_bytes: request.body_len_bytes,
        share: forward.share,
        rank: forward.rank,
        remaining_ms: u64::try_from(forward.remaining.as_millis()).unwrap_or(u64::MAX),
        idempotent: forward.idempotent,
        routed: forward.routed.clone(),
        lifetime: None,
        key: forward.key.as_ref().map(|key| crate::headers::format_key(key).into()),
    }
}
