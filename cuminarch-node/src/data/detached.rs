//! Calls with an idempotency key, which continue after their caller disconnects.
//!
//! Once the upstream runs such a call, its answer is stored. A caller that retries the request
//! with the same key gets the stored answer.

use std::cell::Cell;
use std::pin::pin;

use cuminarch_engine::{Arrival, Direction};
use tokio::sync::{mpsc, oneshot};

use super::answer::{Answer, AnswerBody, DetachedItem};
use super::runner::{CallRequest, DataContext, Reply, reply_without_answer, run_call};

/// Answer chunks buffered for the caller.
const ANSWER_RING_CAPACITY: usize = 2;

/// Marks a call that must run to completion even if its caller disconnects.
#[derive(Debug, Default)]
pub struct CompletionFlag {
    must_finish: Cell<bool>,
}

impl CompletionFlag {
    /// Makes the call run to completion, even without its caller.
    pub fn set_must_finish(&self) {
        self.must_finish.set(true);
    }
}

/// Runs a call until its answer begins. An inbound call with a key runs in a task of its own,
/// independent of its caller.
pub async fn execute_call(context: &DataContext, arrival: Arrival, request: CallRequest) -> Reply {
    let is_detachable = arrival.key.is_some() && arrival.direction == Direction::Inbound;
    if !is_detachable {
        return run_call(context, arrival, request, &CompletionFlag::default()).await;
    }
    let (sender, receiver) = oneshot::channel();
    context.spawn(execute_detached(context.clone(), arrival, request, sender));
    receiver.await.unwrap_or_else(|_| reply_without_answer())
}

async fn execute_detached(
    context: DataContext,
    arrival: Arrival,
    request: CallRequest,
    mut caller: oneshot::Sender<Reply>,
) {
    let completion = CompletionFlag::default();
    let reply = {
        let mut run = pin!(run_call(&context, arrival, request, &completion));
        tokio::select! {
            biased;
            reply = &mut run => reply,
            () = caller.closed() => {
                if !completion.must_finish.get() {
                    return;
                }
                run.await
            }
        }
    };
    match reply {
        Reply::Answer(answer) => forward_answer(*answer, &completion, caller).await,
        refusal @ Reply::Refusal(..) => {
            let _ = caller.send(refusal);
        }
    }
}

async fn forward_answer(
    answer: Answer,
    completion: &CompletionFlag,
    caller: oneshot::Sender<Reply>,
) {
    let Answer { head, mut body } = answer;
    let (items, receiver) = mpsc::channel(ANSWER_RING_CAPACITY);
    let forwarded = AnswerBody::detached(receiver, head.body_len_bytes);
    let _ = caller.send(Reply::Answer(Box::new(Answer { head, body: forwarded })));
    loop {
        let item = match body.next().await {
            Some(Ok(bytes)) => DetachedItem::Data(bytes),
            Some(Err(_)) => DetachedItem::Broken(body.receipt()),
            None => DetachedItem::End(body.receipt()),
        };
        let is_last = !matches!(item, DetachedItem::Data(_));
        let is_received = items.send(item).await.is_ok();
        if is_last || (!is_received && !completion.must_finish.get()) {
            return;
        }
    }
}
