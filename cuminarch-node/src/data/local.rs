//! Calls to the local upstream over keep-alive connections.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use cuminarch_engine::Event;
use cuminarch_http::{HeadLimits, ResponseHead, write_request_head};
use cuminarch_once::StoredAnswer;
use cuminarch_protocol::{AnswerHead, HeaderField, UpstreamLifetime};
use cuminarch_types::{CallId, InstanceId};
use log::info;

use super::answer::{AnswerSource, LocalSource, NodeTime};
use super::body::RequestBody;
use super::runner::{CallRequest, DataContext};
use super::signals::record_upstream_signals;
use super::upstream_connection::{ReceiveError, SendError, UpstreamConnection};
use super::upstream_pool::UpstreamPool;
use crate::event::NodeEvent;
use crate::interface::{AnswerClass, UpstreamCall};
use crate::metrics::Direction;

/// Parameters that the engine sets for a call to the local upstream.
#[derive(Clone, Debug)]
pub struct LocalRun {
    pub call: CallId,
    pub remaining: Duration,
    pub keep_answer: bool,
    pub instance: Option<InstanceId>,
}

/// Longest answer body that is read and discarded to keep its connection usable.
const MAX_DROPPED_BYTES: usize = 256 * 1024;

/// Late answers to earlier requests that are discarded before an answer.
const MAX_STALE_ANSWERS: usize = 64;

/// Reason why the upstream gave no answer that may be forwarded.
enum UpstreamFailure {
    /// Nothing reached the upstream.
    NotSent,
    /// The upstream declined to run the request.
    TurnedAway,
    /// The request may have run; the connection broke.
    Disconnected,
    /// The request may have run; the answer is malformed.
    Malformed,
}

/// Runs a call at the local upstream. Returns `None` if there is no answer; the failure has
/// been reported to the engine by then.
pub async fn run_local(
    context: &DataContext,
    run: LocalRun,
    request: &CallRequest,
    body: RequestBody,
) -> Option<(AnswerHead, AnswerSource)> {
    let call = run.call;
    let head = request_head(context, &run, request, &body);
    let time_to_send = request.received_at.elapsed();
    let outcome = exchange(context, request, &head, body).await;
    let (head, connection) = match outcome {
        Ok(answered) => answered,
        Err(UpstreamFailure::TurnedAway) => {
            log_fault(context, &run, request, "turned away");
            context.driver.post(Event::LocalTurnedAway(call));
            return None;
        }
        Err(failure) => {
            let sent = !matches!(failure, UpstreamFailure::NotSent);
            if matches!(failure, UpstreamFailure::Disconnected)
                && context.upstream.has_ended().await
            {
                context.driver.post(Event::UpstreamEnded);
            }
            log_fault(context, &run, request, if sent { "lost" } else { "not sent" });
            context.driver.post(Event::LocalFailed { call, sent });
            return None;
        }
    };
    context.driver.post(Event::LocalHead(call));
    let metrics = Arc::clone(&context.metrics);
    let direction = Direction::Inbound;
    let node_time = NodeTime { metrics, direction, time_to_send, head_received_at: Instant::now() };
    let headers = context.interface.answer_fields(&head);
    let body_len_bytes = head.declared_len_bytes;
    let head = AnswerHead { status: head.status, headers, body_len_bytes };
    let stored = run.keep_answer.then(|| StoredAnswer { head: head.clone(), body: Vec::new() });
    let idle_timeout = context.limits().body_idle_timeout;
    let pool = context.upstream.clone();
    let source = LocalSource { connection, pool, stored, node_time, idle_timeout };
    Some((head, AnswerSource::Local(Box::new(source))))
}

/// Logs why the upstream gave no answer that may be forwarded.
fn log_fault(context: &DataContext, run: &LocalRun, request: &CallRequest, reason: &str) {
    let event = NodeEvent::UpstreamFault;
    let Some(left_out) = context.decisions.admit(event) else { return };
    info!(
        request:% = request.label(context),
        digest:% = request.digest(),
        route = request.route(),
        instance = run.instance.as_ref().map_or("-", |instance| instance.as_str()),
        reason = reason,
        age_ms = request.received_at.elapsed().as_millis() as u64,
        left_ms = run.remaining.as_millis() as u64,
        left_out = left_out;
        "{event}"
    );
}

/// Sends a request, preferably over an idle connection. If the upstream closed that connection
/// before any byte was sent, the request goes over a new one.
async fn exchange(
    context: &DataContext,
    request: &CallRequest,
    head: &RequestHead,
    body: RequestBody,
) -> Result<(ResponseHead, UpstreamConnection), UpstreamFailure> {
    let pool = &context.upstream;
    let is_head = request.method == "HEAD";
    let idle_time = if request.is_idempotent() {
        Duration::ZERO..=UpstreamPool::MAX_IDLE_TIME
    } else {
        UpstreamPool::MIN_IDLE_TIME_NON_IDEMPOTENT..=UpstreamPool::MAX_IDLE_TIME_NON_IDEMPOTENT
    };
    let is_chunked = request.body_len_bytes.is_none();
    let mut body = body;
    let label = context.interface.request_label(&request.headers);
    if let Some(mut connection) = pool.take_idle(idle_time, label.as_deref()) {
        match connection.send(&head.bytes, body, is_chunked).await {
            Ok(()) => return read_answer(context, connection, head, is_head).await,
            Err(SendError::NotSent(unsent)) => body = unsent,
            Err(SendError::MaybeSent) => return Err(UpstreamFailure::Disconnected),
        }
    }
    let mut connection = pool.open().await.ok_or(UpstreamFailure::NotSent)?;
    match connection.send(&head.bytes, body, is_chunked).await {
        Ok(()) => read_answer(context, connection, head, is_head).await,
        Err(SendError::NotSent(_)) => Err(UpstreamFailure::NotSent),
        Err(SendError::MaybeSent) => Err(UpstreamFailure::Disconnected),
    }
}

/// Reads the answer to the request, discarding late answers to earlier requests.
async fn read_answer(
    context: &DataContext,
    mut connection: UpstreamConnection,
    request: &RequestHead,
    is_head: bool,
) -> Result<(ResponseHead, UpstreamConnection), UpstreamFailure> {
    let limits = HeadLimits::new();
    for _ in 0..MAX_STALE_ANSWERS {
        let head =
            connection.read_head(&limits, is_head).await.map_err(|error| failure_of(&error))?;
        let class = context.interface.classify_answer(&request.fields, &head);
        if matches!(class, AnswerClass::Current { .. } | AnswerClass::NotRun) {
            record_upstream_signals(context, request.lifetime.as_ref(), &head.fields);
        }
        match class {
            AnswerClass::Current { .. } => return Ok((head, connection)),
            AnswerClass::Stale => {
                connection
                    .discard_body(MAX_DROPPED_BYTES)
                    .await
                    .map_err(|error| failure_of(&error))?;
            }
            AnswerClass::NotRun => {
                if connection.discard_body(MAX_DROPPED_BYTES).await.is_ok() {
                    let label = context.interface.request_label(&request.fields);
                    connection.record_turned_away(label);
                    context.upstream.put_back(connection);
                }
                return Err(UpstreamFailure::TurnedAway);
            }
            AnswerClass::Invalid => return Err(UpstreamFailure::Malformed),
        }
    }
    Err(UpstreamFailure::Malformed)
}

const fn failure_of(error: &ReceiveError) -> UpstreamFailure {
    if error.is_disconnect() { UpstreamFailure::Disconnected } else { UpstreamFailure::Malformed }
}

/// Head of a request as it is sent to the local upstream.
struct RequestHead {
    bytes: Bytes,
    fields: Vec<HeaderField>,
    /// Lifetime of the upstream at the time of sending, if it has registered.
    lifetime: Option<UpstreamLifetime>,
}

fn request_head(
    context: &DataContext,
    run: &LocalRun,
    request: &CallRequest,
    body: &RequestBody,
) -> RequestHead {
    let mut fields: Vec<HeaderField> = request.headers.to_vec();
    if !fields.iter().any(|field| field.name == "host") {
        fields.insert(0, HeaderField::new("host", context.upstream.address().to_string()));
    }
    let is_empty = matches!(body, RequestBody::Buffered(bytes) if bytes.is_empty());
    match (request.body_len_bytes, body) {
        (Some(len_bytes), _) => {
            fields.push(HeaderField::new("content-length", len_bytes.to_string()));
        }
        (None, RequestBody::Buffered(_)) if is_empty => {}
        (None, _) => fields.push(HeaderField::new("transfer-encoding", "chunked")),
    }
    let call = UpstreamCall {
        root: request.root,
        call: run.call,
        remaining_ms: u64::try_from(run.remaining.as_millis()).unwrap_or(u64::MAX),
        instance: run.instance.as_ref(),
        routed: request.routed.as_ref(),
    };
    context.interface.add_upstream_fields(&call, &mut fields);
    let mut bytes = BytesMut::with_capacity(1_024);
    write_request_head(&mut bytes, &request.method, &request.target, &fields);
    RequestHead { bytes: bytes.freeze(), fields, lifetime: context.driver.upstream_lifetime() }
}
