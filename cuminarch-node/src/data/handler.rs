//! Answers one request of a caller's connection.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cuminarch_engine::{Arrival, Direction, Refusal, RefusalReason};
use cuminarch_http::RequestHead;
use cuminarch_protocol::HeaderField;
use cuminarch_types::RequestId;
use tokio::sync::oneshot;

use super::body::RequestBody;
use super::detached::execute_call;
use super::front::{ConnectionState, Purpose, refuse_head};
use super::http_reply::{HttpReply, http_reply_from_answer};
use super::registration::register;
use super::runner::{CallRequest, DataContext, Reply};
use super::tasks::TaskGuard;
use crate::interface::{CallPlan, IncomingRequest, LocalAnswer, ParsedRequest, Side};

/// Place of a request in the order of its connection.
pub struct PipelinePosition {
    pub shared: Rc<ConnectionState>,
    pub number: u64,
}

/// A request that is to be answered.
pub struct PendingRequest {
    head: RequestHead,
    body: RequestBody,
    turn: PipelinePosition,
    buffers_body: bool,
    received_at: Instant,
}

impl PendingRequest {
    /// A request in its place.
    pub fn new(head: RequestHead, body: RequestBody, turn: PipelinePosition) -> Self {
        Self { head, body, turn, buffers_body: false, received_at: Instant::now() }
    }

    /// Sets whether the body is read before anything is decided, so that it can
    /// be sent again.
    #[must_use]
    pub const fn with_buffered_body(mut self, is_read_first: bool) -> Self {
        self.buffers_body = is_read_first;
        self
    }
}

/// Starts to answer a request, on a task of its own if it is a call.
pub fn handle(
    context: &DataContext,
    purpose: Purpose,
    request: PendingRequest,
    reply: oneshot::Sender<HttpReply>,
) -> Option<TaskGuard> {
    if purpose == Purpose::Readiness {
        let status = if context.driver.is_ready() { 200 } else { 503 };
        // Whoever asked may be gone already; so for all answers below.
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
        Ok(RequestBody::Buffered(bytes)) => register(context, &request.head, &bytes).into(),
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
        peer: request.turn.shared.peer,
        policy: &policy,
        own_service: &context.own_service,
        own_zone: &context.own_zone,
    };
    let plan = match context.interface.parse_request(&incoming) {
        ParsedRequest::Call(plan) => *plan,
        ParsedRequest::MintKey(root) => return mint_key(context, root),
        ParsedRequest::Answer(answer) => return answer.into(),
    };
    if !plan.may_run_concurrently {
        request.turn.shared.wait_for_earlier_answers(request.turn.number).await;
    }
    let is_outbound = plan.arrival.direction != Direction::Inbound;
    let is_refused = context.interface.refuses_while_draining()
        && context.driver.is_draining()
        && side == Side::Caller;
    let is_turned_away =
        plan.route.as_ref().is_some_and(|route| context.driver.refuses_route(&route.name));
    if is_outbound && (is_refused || is_turned_away) {
        return draining_reply(context, plan.arrival.root, &plan.echoed_fields);
    }
    let is_head = request.head.method == "HEAD";
    let Some((arrival, call, echo)) = prepare(context, plan, request).await else {
        let answer = context.interface.error_answer(400, "the request body broke off");
        return answer.with_close().into();
    };
    let root = call.root;
    match execute_call(context, arrival, call).await {
        Reply::Answer(answer) => {
            http_reply_from_answer(&*context.interface, *answer, root, is_head).await
        }
        Reply::Refusal(refusal, _) => context.interface.refusal(&refusal, root, &echo).into(),
    }
}

type Prepared = (Arrival, CallRequest, Vec<HeaderField>);

/// Reads a short body, so that it can be sent again, and chooses among the
/// services of the route. A long body, or one whose sender waits for a word
/// first, stays unread until the call is admitted.
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
    let CallPlan { mut arrival, mut service, route, fields, echoed_fields: echo, .. } = plan;
    if let Some(route) = route {
        service = context.choose_service(&route);
        arrival.direction = Direction::Outbound(service.clone());
        arrival.rule = Some(route.rule.clone());
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
        idempotent: arrival.rule.as_ref().is_none_or(|rule| rule.idempotent),
        received_at: request.received_at,
    };
    Some((arrival, call, echo))
}

fn mint_key(context: &DataContext, root: RequestId) -> HttpReply {
    if context.driver.is_draining() {
        return draining_reply(context, root, &[]);
    }
    LocalAnswer::new(201).with_body(context.driver.mint_key().to_string()).into()
}

/// Answer to a new call while the node shuts down.
fn draining_reply(context: &DataContext, root: RequestId, echo: &[HeaderField]) -> HttpReply {
    let refusal = Refusal::not_run(RefusalReason::Draining).with_retry_after(Duration::ZERO);
    context.interface.refusal(&refusal, root, echo).into()
}
