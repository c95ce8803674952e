//! Answers to callers: passed on, or given by the node itself.

use std::time::Duration;

use bytes::Bytes;
use cuminarch_engine::{Refusal, RefusalReason};
use cuminarch_protocol::AnswerHead;
use cuminarch_types::{Outcome, RequestId};
use futures_util::stream;
use http::{Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Frame;

use super::answer::{Answer, AnswerBody};
use super::body::BrokenBody;
use super::passed_body::PassedBody;
use crate::headers;

/// When a caller may try again if nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Passes an answer on as it comes.
pub async fn pass_on(mut answer: Answer, root: RequestId, is_head: bool) -> Response<PassedBody> {
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

/// Answer to a new call while the node shuts down.
pub fn draining(root: RequestId) -> Response<PassedBody> {
    let refusal = Refusal::not_run(RefusalReason::Draining).with_retry_after(Duration::ZERO);
    refused(&refusal, root)
}

/// Answer to a call that has none of its upstream.
pub fn refused(refusal: &Refusal, root: RequestId) -> Response<PassedBody> {
    let status = match (refusal.outcome, refusal.reason) {
        (_, RefusalReason::KeyConflict) => StatusCode::UNPROCESSABLE_ENTITY,
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
    if let Some(retry_after) = retry_after(refusal) {
        headers.insert(header::RETRY_AFTER, retry_after.into());
    }
    let bound = refusal.bound_to.as_ref().and_then(|key| key.to_string().parse().ok());
    if let Some(bound) = bound {
        headers.insert(headers::BOUND_KEY, bound);
    }
    stamp(&mut response, refusal.outcome, root);
    response
}

/// Whole seconds after which a new attempt makes sense. There is no such time
/// where the outcome is known to stay what it is.
fn retry_after(refusal: &Refusal) -> Option<u64> {
    let default = (refusal.outcome == Outcome::NotRun).then_some(DEFAULT_RETRY_AFTER);
    let time = refusal.retry_after.or(default)?;
    Some(time.as_secs() + u64::from(time.subsec_nanos() > 0)).map(|seconds| seconds.max(1))
}

fn stamp(response: &mut Response<PassedBody>, outcome: Outcome, root: RequestId) {
    let headers = response.headers_mut();
    headers.insert(headers::OUTCOME, header::HeaderValue::from_static(outcome.as_str()));
    if let Ok(value) = root.to_string().parse() {
        headers.insert(headers::REQUEST, value);
    }
}

/// Answer to a malformed request.
pub fn bad_request(text: &str) -> Response<PassedBody> {
    not_run(StatusCode::BAD_REQUEST, text)
}

/// Answer to a request that is not taken as a call.
pub fn not_run(status: StatusCode, text: &str) -> Response<PassedBody> {
    let mut response = held(status, format!("{text}\n"));
    let outcome = header::HeaderValue::from_static(Outcome::NotRun.as_str());
    response.headers_mut().insert(headers::OUTCOME, outcome);
    response
}

/// A short answer of the node itself.
pub fn held(status: StatusCode, text: String) -> Response<PassedBody> {
    let mut response = Response::new(PassedBody::Held(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    response
}
