//! Calls with an idempotency key, which go on when their caller is gone.
//!
//! Once the upstream runs such a call, its answer is worth keeping: the caller
//! sends the request again with the same key and gets that answer.

use std::cell::Cell;
use std::pin::pin;

use cuminarch_engine::{Arrival, Direction};
use tokio::sync::{mpsc, oneshot};

use super::answer::{Answer, AnswerBody, DetachedItem};
use super::runner::{CallRequest, DataContext, Reply, reply_without_answer, run_call};

/// Parts of an answer that wait for the caller.
const ANSWER_RING_CAPACITY: usize = 2;

/// Whether a call has reached the point from which it is carried to its end.
#[derive(Debug, Default)]
pub struct CompletionFlag {
    must_finish: Cell<bool>,
}

impl CompletionFlag {
    /// From now on the call is carried to its end, with or without its caller.
    pub fn set_must_finish(&self) {
        self.must_finish.set(true);
    }
}

/// Runs a call to its answer; one with a key does not depend on its caller.
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
    let progress = CompletionFlag::default();
    let reply = {
        let mut run = pin!(run_call(&context, arrival, request, &progress));
        tokio::select! {
            biased;
            reply = &mut run => reply,
            () = caller.closed() => {
                if !progress.must_finish.get() {
                    return;
                }
                run.await
            }
        }
    };
    match reply {
        Reply::Answer(answer) => forward_answer(*answer, &progress, caller).await,
        refusal @ Reply::Refusal(..) => {
            let _ = caller.send(refusal);
        }
    }
}

async fn forward_answer(answer: Answer, progress: &CompletionFlag, caller: oneshot::Sender<Reply>) {
    let Answer { head, mut body } = answer;
    let (items, receiver) = mpsc::channel(ANSWER_RING_CAPACITY);
    let passed = AnswerBody::detached(receiver, head.body_len_bytes);
    let _ = caller.send(Reply::Answer(Box::new(Answer { head, body: passed })));
    loop {
        let item = match body.next().await {
            Some(Ok(bytes)) => DetachedItem::Data(bytes),
            Some(Err(_)) => DetachedItem::Broken(body.receipt()),
            None => DetachedItem::End(body.receipt()),
        };
        let is_last = !matches!(item, DetachedItem::Data(_));
        let is_taken = items.send(item).await.is_ok();
        if is_last || (!is_taken && !progress.must_finish.get()) {
            return;
        }
    }
}
