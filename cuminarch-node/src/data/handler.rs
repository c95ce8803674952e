//! Answers one request of an HTTP connection.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use cuminarch_engine::{Arrival, Direction, Refusal, RefusalReason};
use cuminarch_http::RequestHead;
use cuminarch_protocol::HeaderField;
use cuminarch_types::{RequestId, Revision};
use tokio::sync::oneshot;

use super::body::RequestBody;
use super::connection_state::ConnectionState;
use super::credentials::record_credential_fault;
use super::detached::execute_call;
use super::front::{Purpose, refuse_head};
use super::http_reply::{HttpReply, http_reply_from_answer};
use super::registration::register;
use super::runner::{CallRequest, DataContext, Reply, log_refusal};
use super::tasks::TaskGuard;
use crate::interface::{CallPlan, IncomingRequest, LocalAnswer, ParsedRequest, Side};

/// Position of a request among the requests of its connection.
pub struct PipelinePosition {
    pub shared: Rc<ConnectionState>,
    pub number: u64,
}

/// A request that waits for its answer.
pub struct PendingRequest {
    head: RequestHead,
    body: RequestBody,
    position: PipelinePosition,
    buffers_body: bool,
    received_at: Instant,
}

impl PendingRequest {
    /// Creates a request that was received now.
    pub fn new(head: RequestHead, body: RequestBody, position: PipelinePosition) -> Self {
        Self { head, body, position, buffers_body: false, received_at: Instant::now() }
    }

    /// Sets whether a short body is buffered before the call starts, so that it can be sent again.
    #[must_use]
    pub const fn with_buffered_body(mut self, buffers_body: bool) -> Self {
        self.buffers_body = buffers_body;
        self
    }
}

/// Starts to answer a request, in a separate task unless it is a readiness check.
pub fn handle(
    context: &DataContext,
    purpose: Purpose,
    request: PendingRequest,
    reply: oneshot::Sender<HttpReply>,
) -> Option<TaskGuard> {
    if purpose == Purpose::Readiness {
        let status = if context.driver.is_ready() { 200 } else { 503 };
        // The caller may have disconnected already; likewise for all sends below.
        let _ = reply.send(LocalAnswer::new(status).into());
        return None;
    }
    let context = context.clone();
    let tasks = context.tasks.clone();
    Some(tasks.spawn_guarded(async move {
        let answer = match purpose {
            Purpose::Calls(side) => answer_call(&context, request, side).await,
            _ => answer_registration(&context, request).await,
        };
        let _ = reply.send(answer);
    }))
}

async fn answer_registration(context: &DataContext, request: PendingRequest) -> HttpReply {
    let body = match request.body {
        RequestBody::Buffered(bytes) => Ok(RequestBody::Buffered(bytes)),
        RequestBody::Streaming(_, reader) => RequestBody::read(reader).await,
    };
    match body {
        Ok(RequestBody::Buffered(bytes)) => register(context, &request.head, &bytes).await.into(),
        _ => context.interface.error_answer(400, "the body broke off or is too long").into(),
    }
}

async fn answer_call(context: &DataContext, request: PendingRequest, side: Side) -> HttpReply {
    if let Some(refusal) = refuse_head(context, &request.head) {
        return refusal.into();
    }
    let policy = context.driver.policy();
    let incoming = IncomingRequest {
        head: &request.head,
        side,
        peer: request.position.shared.peer(),
        policy: &policy,
        own_service: &context.own_service,
        own_zone: &context.own_zone,
    };
    let plan = match context.interface.parse_request(&incoming) {
        ParsedRequest::Call(plan) => *plan,
        ParsedRequest::MintKey(root) => return mint_key(context, root),
        ParsedRequest::Answer(answer) => return answer.into(),
        ParsedRequest::Unauthorized { answer, route, fault } => {
            record_credential_fault(context, &request.head, route.as_ref(), fault);
            return answer.into();
        }
    };
    if plan.may_run_concurrently {
        request.position.shared.wait_for_streamed_answer().await;
    } else {
        request.position.shared.wait_for_earlier_answers(request.position.number).await;
    }
    if context.requires_config && policy.revision() == Revision::default() {
        let refusal = Refusal::not_run(RefusalReason::NoConfiguration);
        return context.interface.refusal(&refusal, plan.arrival.root, &plan.echoed_fields).into();
    }
    let is_outbound = plan.arrival.direction != Direction::Inbound;
    let is_refused = context.interface.refuses_while_draining()
        && context.driver.is_draining()
        && side == Side::Caller;
    let is_route_refused =
        plan.route.as_ref().is_some_and(|route| context.driver.refuses_route(&route.name));
    if is_outbound && (is_refused || is_route_refused) {
        return draining_reply(context, plan.arrival.root, &plan.echoed_fields);
    }
    let is_head = request.head.method == "HEAD";
    let Some((arrival, call, echoed_fields)) = prepare(context, plan, request).await else {
        let answer = context.interface.error_answer(400, "the request body broke off");
        return answer.with_close().into();
    };
    let root = call.root;
    if context.driver.is_too_late(&arrival) {
        let refusal = draining_refusal(context);
        log_refusal(context, &call, &refusal);
        return context.interface.refusal(&refusal, root, &echoed_fields).into();
    }
    match execute_call(context, arrival, call).await {
        Reply::Answer(answer) => {
            http_reply_from_answer(&*context.interface, *answer, root, echoed_fields, is_head).await
        }
        Reply::Refusal(refusal, _) => {
            context.interface.refusal(&refusal, root, &echoed_fields).into()
        }
    }
}

type Prepared = (Arrival, CallRequest, Vec<HeaderField>);

/// Buffers a short body, so that it can be sent again, and chooses among the services of the
/// route. A long body, or one whose sender expects `100 Continue`, stays unread until the call
/// is admitted.
async fn prepare(
    context: &DataContext,
    plan: CallPlan,
    request: PendingRequest,
) -> Option<Prepared> {
    let body = match request.body {
        RequestBody::Streaming(_, reader) if request.buffers_body => {
            RequestBody::read(reader).await.ok()?
        }
        body => body,
    };
    let CallPlan { mut arrival, mut service, route, fields, echoed_fields, .. } = plan;
    if let Some(route) = route {
        service = context.choose_service(&route);
        arrival.direction = Direction::Outbound(service.clone());
        arrival.rule.get_or_insert_with(|| route.rule.clone());
    }
    let arrival = arrival.with_body_digest(body.digest()).with_replayable(body.is_buffered());
    let call = CallRequest {
        root: arrival.root,
        service,
        method: request.head.method.clone(),
        target: request.head.target.clone(),
        headers: Arc::new(fields),
        body,
        body_len_bytes: request
            .head
            .framing
            .len_bytes()
            .filter(|_| request.head.field("content-length").is_some()),
        routed: arrival.routed.clone(),
        is_inbound: arrival.direction == Direction::Inbound,
        account: arrival.account.clone(),
        identity: None,
        idempotent: arrival.rule.as_ref().is_none_or(|rule| rule.idempotent),
        received_at: request.received_at,
    };
    Some((arrival, call, echoed_fields))
}

fn mint_key(context: &DataContext, root: RequestId) -> HttpReply {
    if context.driver.is_draining() {
        return draining_reply(context, root, &[]);
    }
    LocalAnswer::new(201).with_body(context.driver.mint_key().to_string()).into()
}

/// Returns the answer to a new call while the node shuts down.
fn draining_reply(
    context: &DataContext,
    root: RequestId,
    echoed_fields: &[HeaderField],
) -> HttpReply {
    let refusal = draining_refusal(context);
    context.interface.refusal(&refusal, root, echoed_fields).into()
}

fn draining_refusal(context: &DataContext) -> Refusal {
    let retry_after = context.driver.time_until_callers_leave();
    Refusal::not_run(RefusalReason::Draining).with_retry_after(retry_after)
}
