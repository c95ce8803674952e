//! HTTP towards callers and towards the own upstream's outgoing calls.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

use cuminarch_engine::Arrival;
use cuminarch_types::RequestId;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use tokio::net::TcpStream;

use super::body::{BrokenBody, RequestBody};
use super::caller_body::CallerBody;
use super::connections::Connection;
use super::detached::carry_call;
use super::http_reply::{bad_request, draining, held, not_run, pass_on, refused};
use super::passed_body::PassedBody;
use super::runner::{CallRequest, DataContext, Reply};
use crate::event::NodeEvent;
use crate::headers::{self, CallerHeaders};

/// Longest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
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
    let context = Rc::new(context);
    let shared = Rc::clone(&context);
    let service = service_fn(move |request| {
        let context = Rc::clone(&shared);
        async move { Ok::<_, Infallible>(answer(&context, request, side).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(context.limits.head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
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
    if let Some(refusal) = refuse_head(context, &parts) {
        return refusal;
    }
    let caller = match CallerHeaders::parse(&parts.headers) {
        Ok(caller) => caller,
        Err(field) => return bad_request(&format!("malformed header field {field}")),
    };
    let root = caller.root.unwrap_or_else(random_request_id);
    if parts.method == Method::POST && parts.uri.path() == KEYS_PATH {
        return mint_key(context, root);
    }
    let service = caller.service.clone().unwrap_or_else(|| context.own_service.clone());
    let is_inbound = service == context.own_service && side == Side::Caller;
    if !is_inbound && side == Side::Caller && context.driver.is_draining() {
        return draining(root);
    }
    let Ok(body) = read_body(context, &parts.headers, incoming).await else {
        return bad_request("the request body broke off");
    };
    let call = CallRequest {
        root,
        service,
        method: parts.method.as_str().into(),
        target: parts.uri.path_and_query().map_or("/", |target| target.as_str()).into(),
        headers: request_fields(&parts),
        body,
        body_len_bytes: headers::content_length(&parts.headers),
        received_at,
    };
    let arrival = arrival(&call, caller, is_inbound, side);
    match carry_call(context, arrival, call).await {
        Reply::Answer(answer) => pass_on(*answer, root, parts.method == Method::HEAD).await,
        Reply::Refusal(refusal, _) => refused(&refusal, root),
    }
}

/// Answers a request that its head shows to be no call.
fn refuse_head(context: &DataContext, parts: &Parts) -> Option<Response<PassedBody>> {
    if head_len_bytes(parts) > MAX_HEAD_BYTES {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Some(not_run(status, "the request head is too long"));
    }
    let hosts = parts.headers.get_all(header::HOST).iter().count();
    if parts.version == Version::HTTP_11 && hosts != 1 {
        return Some(bad_request("one field Host is needed"));
    }
    if parts.method == Method::CONNECT {
        return Some(not_run(StatusCode::METHOD_NOT_ALLOWED, "CONNECT is not carried"));
    }
    let max_len_bytes = context.limits.max_request_body_bytes;
    if headers::content_length(&parts.headers).is_some_and(|len_bytes| len_bytes > max_len_bytes) {
        return Some(not_run(StatusCode::PAYLOAD_TOO_LARGE, "the request body is too long"));
    }
    None
}

fn arrival(call: &CallRequest, caller: CallerHeaders, is_inbound: bool, side: Side) -> Arrival {
    let arrival = if is_inbound {
        Arrival::inbound(call.root, &call.method, &call.target)
    } else {
        Arrival::outbound(call.service.clone(), call.root, &call.method, &call.target)
    };
    arrival
        .with_parent(caller.parent.filter(|_| side == Side::Upstream))
        .with_send(caller.resend)
        .with_body_digest(call.body.digest())
        .with_remaining(caller.remaining)
        .with_replayable(call.body.is_held())
        .with_key(caller.key)
}

fn mint_key(context: &DataContext, root: RequestId) -> Response<PassedBody> {
    if context.driver.is_draining() {
        return draining(root);
    }
    held(StatusCode::CREATED, context.driver.mint_key().to_string())
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

/// Reads a short body, so that it can be sent again. A long one, or one whose
/// sender waits for a word first, stays unread until the call is admitted.
async fn read_body(
    context: &DataContext,
    fields: &HeaderMap,
    incoming: Incoming,
) -> Result<RequestBody, BrokenBody> {
    let is_awaited = fields.contains_key(header::EXPECT);
    let is_long = headers::content_length(fields)
        .is_some_and(|len_bytes| len_bytes > RequestBody::MAX_HELD_BYTES as u64);
    let body = CallerBody::new(incoming, context.limits).with_awaited(is_awaited);
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
