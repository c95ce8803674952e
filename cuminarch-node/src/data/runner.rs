//! Carries one call from its arrival to its answer.

use bytes::Bytes;
use compact_str::CompactString;
use cuminarch_engine::{Action, Arrival, Forward, Refusal, RefusalReason};
use cuminarch_protocol::{CallHead, HeaderField, Receipt};
use cuminarch_types::{RequestId, ServiceName};

use super::body::{Answer, AnswerBody, RequestBody};
use super::driver::{CallGuard, Driver};
use super::link_client::{LinkPool, send_call};
use super::local::{LocalPool, run_local};

/// Everything that tasks of the data thread share.
#[derive(Clone)]
pub struct DataContext {
    pub driver: Driver,
    pub upstream: LocalPool,
    pub links: LinkPool,
    pub own_service: ServiceName,
}

/// A request on its way.
pub struct CallRequest {
    pub root: RequestId,
    pub service: ServiceName,
    pub method: CompactString,
    pub target: CompactString,
    pub headers: Vec<HeaderField>,
    pub body: RequestBody,
    pub body_len_bytes: Option<u64>,
}

/// How a call ended for its caller.
pub enum Reply {
    /// An answer that is passed on as it comes.
    Answer(Box<Answer>),
    /// A final answer of the node.
    Refusal(Refusal, Receipt),
}

/// Runs a call to its answer.
pub async fn run_call(context: &DataContext, arrival: Arrival, request: CallRequest) -> Reply {
    let mut guard = context.driver.begin(arrival);
    let mut request = request;
    loop {
        let Some(action) = guard.next().await else { break };
        match action {
            Action::RunLocal { keep_answer, .. } => {
                let body = std::mem::replace(&mut request.body, RequestBody::Held(Bytes::new()));
                let run = run_local(context, guard.call(), &request, body, keep_answer);
                let answer = tokio::select! {
                    answer = run => Ok(answer),
                    action = guard.next() => Err(action),
                };
                match answer {
                    Ok(Some((head, source))) => {
                        let body = AnswerBody::new(guard, source);
                        return Reply::Answer(Box::new(Answer { head, body }));
                    }
                    Ok(None) => {}
                    Err(action) => return interrupted(&mut guard, action).await,
                }
            }
            Action::Forward { attempt, forward, .. } => {
                let head = call_head(&request, &forward);
                let send =
                    send_call(context, guard.call(), attempt, &forward, head, &mut request.body);
                let answer = tokio::select! {
                    answer = send => Ok(answer),
                    action = guard.next() => Err(action),
                };
                match answer {
                    Ok(Some((head, source))) => {
                        let body = AnswerBody::new(guard, source);
                        return Reply::Answer(Box::new(Answer { head, body }));
                    }
                    Ok(None) => {}
                    Err(action) => return interrupted(&mut guard, action).await,
                }
            }
            Action::Replay { answer, receipt, .. } => {
                let StoredParts { head, bytes } = StoredParts::from(*answer);
                let body = AnswerBody::held(guard, bytes, receipt);
                return Reply::Answer(Box::new(Answer { head, body }));
            }
            Action::Refuse { refusal, receipt, .. } => return Reply::Refusal(refusal, receipt),
            _ => {}
        }
    }
    no_reply()
}

struct StoredParts {
    head: cuminarch_protocol::AnswerHead,
    bytes: Bytes,
}

impl From<cuminarch_once::StoredAnswer> for StoredParts {
    fn from(answer: cuminarch_once::StoredAnswer) -> Self {
        Self { head: answer.head, bytes: Bytes::from(answer.body) }
    }
}

/// Waits for the final answer of a call whose work was stopped.
async fn interrupted(guard: &mut CallGuard, first: Option<Action>) -> Reply {
    let mut action = first;
    while let Some(found) = action {
        if let Action::Refuse { refusal, receipt, .. } = found {
            return Reply::Refusal(refusal, receipt);
        }
        action = guard.try_next();
    }
    no_reply()
}

/// Answer to a call that ended without one, such as one whose parent is over.
fn no_reply() -> Reply {
    Reply::Refusal(Refusal::unknown(RefusalReason::ParentEnded), Receipt::default())
}

fn call_head(request: &CallRequest, forward: &Forward) -> CallHead {
    CallHead {
        root: request.root,
        service: request.service.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        headers: request.headers.clone(),
        body_len_bytes: request.body_len_bytes,
        share: forward.share,
        rank: forward.rank,
        remaining_ms: u64::try_from(forward.remaining.as_millis()).unwrap_or(u64::MAX),
        idempotent: forward.idempotent,
        key: forward.key.as_ref().map(|key| crate::headers::key_text(key).into()),
    }
}
