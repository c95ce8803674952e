//! HTTP towards callers and towards the own upstream's outgoing calls.

use std::convert::Infallible;

use bytes::Bytes;
use cuminarch_engine::{Arrival, Direction, Refusal, RefusalReason};
use cuminarch_protocol::AnswerHead;
use cuminarch_types::{Outcome, RequestId};
use futures_util::stream;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::debug;
use tokio::net::TcpStream;

use super::body::{Answer, AnswerBody, BrokenBody, RequestBody};
use super::runner::{CallRequest, DataContext, Reply, run_call};
use crate::event::NodeEvent;
use crate::headers::{self, CallerHeaders};

/// Body of an answer to a caller. It need not be `Send`: a connection stays on its thread.
type FrontBody = LocalBody;
type BoxedStream =
    std::pin::Pin<Box<dyn futures_util::Stream<Item = Result<Frame<Bytes>, BrokenBody>>>>;

/// Either a short body in memory or one that is passed on as it comes.
pub enum LocalBody {
    /// In memory.
    Held(UnsyncBoxBody<Bytes, BrokenBody>),
    /// Passed on.
    Passed(StreamBody<BoxedStream>),
}

impl hyper::body::Body for LocalBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        match self.get_mut() {
            Self::Held(body) => std::pin::Pin::new(body).poll_frame(context),
            Self::Passed(body) => std::pin::Pin::new(body).poll_frame(context),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Held(body) => body.size_hint(),
            Self::Passed(body) => body.size_hint(),
        }
    }
}

/// Which side a connection came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// A caller.
    Caller,
    /// The own upstream.
    Upstream,
}

/// Serves one HTTP connection.
pub async fn serve_connection(context: DataContext, stream: TcpStream, side: Side) {
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(answer(&context, request, side).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(std::time::Duration::from_secs(30))
        .max_buf_size(64 * 1024)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        debug!("{} caller: {error}", NodeEvent::ConnectionFault);
    }
}

async fn answer(
    context: &DataContext,
    request: Request<Incoming>,
    side: Side,
) -> Response<FrontBody> {
    let caller = match CallerHeaders::parse(request.headers()) {
        Ok(caller) => caller,
        Err(field) => return bad_request(&format!("malformed header field {field}")),
    };
    if request.method() == Method::POST && request.uri().path() == "/.cuminarch/keys" {
        return held(StatusCode::CREATED, context.driver.mint_key().to_string());
    }
    let is_head = request.method() == Method::HEAD;
    let service = caller.service.clone().unwrap_or_else(|| context.own_service.clone());
    let root = caller.root.unwrap_or_else(random_request_id);
    let length = request.headers().get(header::CONTENT_LENGTH);
    let body_len_bytes = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let (parts, incoming) = request.into_parts();
    let Ok(body) = RequestBody::read(incoming).await else {
        return bad_request("the request body broke off");
    };
    let method = parts.method.as_str();
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let is_own = service == context.own_service && side == Side::Caller;
    let direction = if is_own { Direction::Inbound } else { Direction::Outbound(service.clone()) };
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
        headers: headers::end_to_end(&parts.headers),
        body,
        body_len_bytes,
    };
    match run_call(context, arrival, call).await {
        Reply::Answer(answer) => pass_on(*answer, root, is_head),
        Reply::Refusal(refusal, _) => refused(&refusal, root),
    }
}

fn random_request_id() -> RequestId {
    use std::hash::{BuildHasher, RandomState};
    let high = RandomState::new().hash_one(0_u8);
    let low = RandomState::new().hash_one(1_u8);
    RequestId::new(u128::from(high) << 64 | u128::from(low))
}

fn pass_on(answer: Answer, root: RequestId, is_head: bool) -> Response<FrontBody> {
    let AnswerHead { status, headers, body_len_bytes } = answer.head;
    let body = FrontBody::Passed(StreamBody::new(Box::pin(frames(answer.body))));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers::to_header_map(&headers);
    if let Some(len_bytes) = body_len_bytes {
        let has_body = !is_head && status != 204 && status != 304;
        if has_body || is_head || len_bytes > 0 {
            response.headers_mut().insert(header::CONTENT_LENGTH, len_bytes.into());
        }
    }
    stamp(&mut response, Outcome::Completed, root);
    response
}

fn frames(body: AnswerBody) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, BrokenBody>> {
    stream::unfold(Some(body), |state| async {
        let mut body = state?;
        match body.next().await {
            Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(body))),
            Some(Err(broken)) => Some((Err(broken), None)),
            None => None,
        }
    })
}

fn refused(refusal: &Refusal, root: RequestId) -> Response<FrontBody> {
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

fn stamp(response: &mut Response<FrontBody>, outcome: Outcome, root: RequestId) {
    let headers = response.headers_mut();
    headers.insert(headers::OUTCOME, header::HeaderValue::from_static(outcome.as_str()));
    if let Ok(value) = root.to_string().parse() {
        headers.insert(headers::REQUEST, value);
    }
}

fn bad_request(text: &str) -> Response<FrontBody> {
    let mut response = held(StatusCode::BAD_REQUEST, format!("{text}\n"));
    let outcome = header::HeaderValue::from_static(Outcome::NotRun.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

fn held(status: StatusCode, text: String) -> Response<FrontBody> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(FrontBody::Held(body));
    *response.status_mut() = status;
    response
}
