//! Calls from other nodes to the own upstream.

use std::time::Duration;

use bytes::Bytes;
use cuminarch_engine::{Arrival, Refusal};
use cuminarch_protocol::{AnswerFrame, CallFrame, CallHead, FrameLimit, Receipt, RefusalHead};
use futures_util::{SinkExt, StreamExt};
use log::debug;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::body::{Answer, RequestBody};
use super::link_client::link_config;
use super::runner::{CallRequest, DataContext, Reply, run_call};
use crate::event::NodeEvent;
use crate::headers;

type Socket = WebSocketStream<TcpStream>;

/// Serves one data link until the peer closes it.
pub async fn serve_link(context: DataContext, stream: TcpStream) {
    let config = Some(link_config());
    let Ok(mut socket) = tokio_tungstenite::accept_async_with_config(stream, config).await else {
        return;
    };
    while let Some(head) = receive_head(&mut socket).await {
        if serve_call(&context, &mut socket, head).await.is_none() {
            return;
        }
    }
}

async fn receive_head(socket: &mut Socket) -> Option<Box<CallHead>> {
    match receive(socket).await? {
        CallFrame::Head(head) => Some(head),
        _ => None,
    }
}

async fn receive(socket: &mut Socket) -> Option<CallFrame> {
    loop {
        match socket.next().await? {
            Ok(Message::Binary(bytes)) => match CallFrame::decode(&bytes, FrameLimit::DATA) {
                Ok(frame) => return Some(frame),
                Err(error) => {
                    debug!("{} data link: {error}", NodeEvent::ConnectionFault);
                    return None;
                }
            },
            Ok(Message::Ping(_) | Message::Pong(_)) => {}
            Ok(_) | Err(_) => return None,
        }
    }
}

async fn serve_call(context: &DataContext, socket: &mut Socket, head: Box<CallHead>) -> Option<()> {
    let body = receive_body(socket).await?;
    let arrival = Arrival::inbound(head.root, &head.method, &head.target)
        .with_share(head.share, head.rank)
        .with_remaining(Some(Duration::from_millis(head.remaining_ms)))
        .with_idempotent(head.idempotent)
        .with_key(head.key.as_ref().and_then(|key| headers::parse_key(key).ok()));
    let request = CallRequest {
        root: head.root,
        service: head.service,
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: RequestBody::Held(body),
        body_len_bytes: head.body_len_bytes,
    };
    let reply = tokio::select! {
        reply = run_call(context, arrival, request) => reply,
        _ = receive(socket) => return None,
    };
    match reply {
        Reply::Answer(answer) => send_answer(socket, *answer).await,
        Reply::Refusal(refusal, receipt) => {
            let frame = AnswerFrame::Refusal(Box::new(refusal_head(&refusal, receipt)));
            feed(socket, &frame).await?;
            socket.flush().await.ok()
        }
    }
}

async fn receive_body(socket: &mut Socket) -> Option<Bytes> {
    let mut body = Vec::new();
    loop {
        match receive(socket).await? {
            CallFrame::Body(bytes) => body.extend_from_slice(&bytes),
            CallFrame::BodyEnd => return Some(Bytes::from(body)),
            CallFrame::Head(_) | CallFrame::Cancel => return None,
        }
    }
}

async fn send_answer(socket: &mut Socket, mut answer: Answer) -> Option<()> {
    feed(socket, &AnswerFrame::Head(Box::new(answer.head))).await?;
    loop {
        match answer.body.next().await {
            Some(Ok(bytes)) => {
                for chunk in bytes.chunks(RequestBody::MAX_HELD_BYTES) {
                    feed(socket, &AnswerFrame::Body(chunk.to_vec())).await?;
                }
            }
            Some(Err(_)) => {
                feed(socket, &AnswerFrame::Broken(answer.body.receipt())).await?;
                break;
            }
            None => {
                feed(socket, &AnswerFrame::BodyEnd(answer.body.receipt())).await?;
                break;
            }
        }
    }
    socket.flush().await.ok()
}

async fn feed(socket: &mut Socket, frame: &AnswerFrame) -> Option<()> {
    let bytes = frame.encode().ok()?;
    socket.feed(Message::Binary(bytes.into())).await.ok()
}

fn refusal_head(refusal: &Refusal, receipt: Receipt) -> RefusalHead {
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    RefusalHead {
        outcome: refusal.outcome,
        reason: refusal.reason.as_str().into(),
        retry_after_ms: refusal.retry_after.map(millis),
        bound_to: refusal.bound_to.as_ref().map(|key| key.to_string().into()),
        receipt,
    }
}
