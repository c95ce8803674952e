//! HTTP towards callers and towards the own upstream's outgoing calls.

use std::convert::Infallible;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_engine::{Arrival, Direction, Refusal, RefusalReason};
use cuminarch_protocol::AnswerHead;
use cuminarch_types::{Outcome, RequestId};
use futures_util::stream;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use tokio::net::TcpStream;

use super::answer::{Answer, AnswerBody};
use super::body::{BrokenBody, RequestBody};
use super::caller_body::CallerBody;
use super::connections::Connection;
use super::detached::carry_call;
use super::passed_body::PassedBody;
use super::runner::{CallRequest, DataContext, Reply};
use crate::event::NodeEvent;
use crate::headers::{self, CallerHeaders};

/// Longest time for the head of a request, and for the pause before it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most header fields of a request.
const MAX_HEADER_FIELDS: usize = 256;
/// Where callers get idempotency keys.
const KEYS_PATH: &str = "/.cuminarch/keys";

/// Which side a connection came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// A caller.
    Caller,
    /// The own upstream.
    Upstream,
}

/// Serves one HTTP connection until it ends or, once told to, is idle.
pub async fn serve_connection(
    context: DataContext,
    stream: TcpStream,
    side: Side,
    mut connection: Connection,
) {
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(answer(&context, request, side).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADER_FIELDS)
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = connection.stopping() => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = result {
        debug!("{} caller: {error}", NodeEvent::ConnectionFault);
    }
}

async fn answer(
    context: &DataContext,
    request: Request<Incoming>,
    side: Side,
) -> Response<PassedBody> {
    let received_at = Instant::now();
    let (parts, incoming) = request.into_parts();
    if head_len_bytes(&parts) > MAX_HEAD_BYTES {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return not_run(status, "the request head is too long");
    }
    let caller = match CallerHeaders::parse(&parts.headers) {
        Ok(caller) => caller,
        Err(field) => return bad_request(&format!("malformed header field {field}")),
    };
    if parts.method == Method::CONNECT {
        return not_run(StatusCode::METHOD_NOT_ALLOWED, "CONNECT is not carried");
    }
    if parts.method == Method::POST && parts.uri.path() == KEYS_PATH {
        if context.driver.is_draining() {
            return draining(caller.root.unwrap_or_else(random_request_id));
        }
        return held(StatusCode::CREATED, context.driver.mint_key().to_string());
    }
    let body_len_bytes = content_length(&parts.headers);
    if body_len_bytes.is_some_and(|len_bytes| len_bytes > context.max_request_body_bytes) {
        return not_run(StatusCode::PAYLOAD_TOO_LARGE, "the request body is too long");
    }
    let root = caller.root.unwrap_or_else(random_request_id);
    let service = caller.service.clone().unwrap_or_else(|| context.own_service.clone());
    let is_inbound = service == context.own_service && side == Side::Caller;
    if !is_inbound && side == Side::Caller && context.driver.is_draining() {
        return draining(root);
    }
    let Ok(body) = read_body(context, &parts.headers, incoming).await else {
        return bad_request("the request body broke off");
    };
    let method = parts.method.as_str();
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let direction =
        if is_inbound { Direction::Inbound } else { Direction::Outbound(service.clone()) };
    let arrival = Arrival { direction, ..Arrival::inbound(root, method, target) }
        .with_parent(caller.parent.filter(|_| side == Side::Upstream))
        .with_resend(caller.resend)
        .with_remaining(caller.remaining)
        .with_replayable(body.is_held())
        .with_key(caller.key);
    let call = CallRequest {
        root,
        service,
        method: method.into(),
        target: target.into(),
        headers: request_fields(&parts),
        body,
        body_len_bytes,
        received_at,
    };
    let is_head = parts.method == Method::HEAD;
    match carry_call(context, arrival, call).await {
        Reply::Answer(answer) => pass_on(*answer, root, is_head).await,
        Reply::Refusal(refusal, _) => refused(&refusal, root),
    }
}

/// Approximate length of a request head in bytes.
fn head_len_bytes(parts: &Parts) -> usize {
    const SEPARATORS_BYTES: usize = 4;
    let target = parts.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let fields = parts.headers.iter();
    target
        + fields
            .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS_BYTES)
            .sum::<usize>()
}

fn request_fields(parts: &Parts) -> Vec<cuminarch_protocol::HeaderField> {
    let mut fields = headers::end_to_end(&parts.headers);
    fields.retain(|field| field.name != "expect");
    fields
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads a short body, so that it can be sent again. A long one, or one whose
/// sender waits for a word first, stays unread until the call is admitted.
async fn read_body(
    context: &DataContext,
    headers: &HeaderMap,
    incoming: Incoming,
) -> Result<RequestBody, BrokenBody> {
    let is_awaited = headers.contains_key(header::EXPECT);
    let is_long = content_length(headers)
        .is_some_and(|len_bytes| len_bytes > RequestBody::MAX_HELD_BYTES as u64);
    let body = CallerBody::new(incoming, context.max_request_body_bytes).with_awaited(is_awaited);
    if is_awaited || is_long {
        return Ok(RequestBody::unread(body));
    }
    RequestBody::read(body).await
}

fn random_request_id() -> RequestId {
    use std::hash::{BuildHasher, RandomState};
    let high = RandomState::new().hash_one(0_u8);
    let low = RandomState::new().hash_one(1_u8);
    RequestId::new(u128::from(high) << 64 | u128::from(low))
}

async fn pass_on(mut answer: Answer, root: RequestId, is_head: bool) -> Response<PassedBody> {
    let AnswerHead { status, headers, body_len_bytes } = answer.head;
    let has_no_body = is_head || matches!(status, 204 | 304) || body_len_bytes == Some(0);
    let body = if has_no_body {
        if answer.body.finish().await.is_err() {
            return refused(&Refusal::unknown(RefusalReason::UpstreamFailed), root);
        }
        PassedBody::Held(Full::new(Bytes::new()))
    } else {
        PassedBody::Passed(Box::pin(frames(answer.body)))
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers::to_header_map(&headers);
    if let Some(len_bytes) = body_len_bytes.filter(|_| status != 204) {
        response.headers_mut().insert(header::CONTENT_LENGTH, len_bytes.into());
    }
    stamp(&mut response, Outcome::Completed, root);
    response
}

fn frames(body: AnswerBody) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, BrokenBody>> {
    stream::unfold(Some(body), |state| async {
        let mut body = state?;
        match body.next().await {
            Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(body))),
            Some(Err(broken)) => {
                // Lets the connection write out what it holds before it breaks off.
                tokio::task::yield_now().await;
                Some((Err(broken), None))
            }
            None => None,
        }
    })
}

fn draining(root: RequestId) -> Response<PassedBody> {
    let refusal = Refusal::not_run(RefusalReason::Draining).with_retry_after(Duration::ZERO);
    refused(&refusal, root)
}

fn refused(refusal: &Refusal, root: RequestId) -> Response<PassedBody> {
    let status = match (refusal.outcome, refusal.reason) {
        (Outcome::Completed, _) => StatusCode::CONFLICT,
        (_, RefusalReason::KeyInProgress) => StatusCode::CONFLICT,
        (Outcome::Unknown, RefusalReason::DeadlineExceeded) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
        (Outcome::NotRun, RefusalReason::BudgetExhausted) => StatusCode::TOO_MANY_REQUESTS,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = held(status, format!("{}: {}\n", refusal.outcome, refusal.reason.as_str()));
    let headers = response.headers_mut();
    headers.insert(headers::REASON, header::HeaderValue::from_static(refusal.reason.as_str()));
    if refusal.reason == RefusalReason::Draining {
        headers.insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    if let Some(retry_after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, retry_after.as_secs().max(1).into());
    }
    let bound = refusal.bound_to.as_ref().and_then(|key| key.to_string().parse().ok());
    if let Some(bound) = bound {
        headers.insert(headers::BOUND_KEY, bound);
    }
    stamp(&mut response, refusal.outcome, root);
    response
}

fn stamp(response: &mut Response<PassedBody>, outcome: Outcome, root: RequestId) {
    let headers = response.headers_mut();
    headers.insert(headers::OUTCOME, header::HeaderValue::from_static(outcome.as_str()));
    if let Ok(value) = root.to_string().parse() {
        headers.insert(headers::REQUEST, value);
    }
}

fn bad_request(text: &str) -> Response<PassedBody> {
    not_run(StatusCode::BAD_REQUEST, text)
}

fn not_run(status: StatusCode, text: &str) -> Response<PassedBody> {
    let mut response = held(status, format!("{text}\n"));
    let outcome = header::HeaderValue::from_static(Outcome::NotRun.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

fn held(status: StatusCode, text: String) -> Response<PassedBody> {
    let mut response = Response::new(PassedBody::Held(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    response
}
