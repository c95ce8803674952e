//! Serves calls from other nodes to the local upstream.

use std::cell::Cell;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use cuminarch_engine::{Arrival, Destination, Refusal, RefusalReason};
use cuminarch_protocol::{AnswerFrame, CallFrame, CallHead, FrameLimit, Receipt, RefusalHead};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use log::debug;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::handshake::server::{
    Callback, Request as OpenRequest, Response as OpenResponse,
};
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::{Message, Utf8Bytes};

use super::answer::Answer;
use super::body::{BodyItem, BodyReader, RequestBody, frame_chunks};
use super::connections::{Connection, UnsentGuard};
use super::delivery::is_sent;
use super::detached::execute_call;
use super::link_hello::{
    CLOSED_BETWEEN_CALLS, known_rate_limit, link_config, opener_knows_destinations,
};
use super::link_pool::LinkSocket;
use super::runner::{CallRequest, DataContext, Reply, log_refusal};
use super::signals::adopt_rate_limit;
use crate::event::NodeEvent;
use crate::headers;

type Sink = SplitSink<LinkSocket, Message>;
type Stream = SplitStream<LinkSocket>;

/// Write half of a link.
struct ReplySink {
    sink: Sink,
    /// Whether the peer can read which endpoint refused a call that was meant for another one.
    knows_destinations: bool,
}

/// Time limit for the WebSocket handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Request body chunks buffered for the upstream.
const UPLOAD_RING_CAPACITY: usize = 2;
/// Time limit for reading and discarding the body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one data link until the peer closes it or the node stops.
pub async fn serve_link(context: DataContext, stream: TcpStream, mut connection: Connection) {
    let hello = context.hello.clone();
    let config = Some(link_config());
    let rate_limit = Cell::new(None);
    let knows_destinations = Cell::new(false);
    #[allow(clippy::result_large_err, reason = "the library wants this type")]
    let on_request = |request: &OpenRequest, response: OpenResponse| {
        rate_limit.set(known_rate_limit(request.uri()));
        knows_destinations.set(opener_knows_destinations(request.uri()));
        hello.on_request(request, response)
    };
    let open = tokio_tungstenite::accept_hdr_async_with_config(stream, on_request, config);
    let Ok(Ok(socket)) = tokio::time::timeout(OPEN_TIMEOUT, open).await else {
        debug!("{} data link handshake failed or timed out", NodeEvent::ConnectionFault);
        return;
    };
    if let Some(rate_limit) = rate_limit.get() {
        adopt_rate_limit(&context, rate_limit);
    }
    let (sink, mut stream) = socket.split();
    let mut sink = ReplySink { sink, knows_destinations: knows_destinations.get() };
    loop {
        let head = tokio::select! {
            frame = receive(&mut stream) => frame,
            () = connection.wait_for_stop() => {
                let unsent = connection.unsent().count_one();
                return close_between_calls(sink.sink, stream, unsent).await;
            }
        };
        let Some(CallFrame::Head(head)) = head else { return };
        if serve_call(&context, &mut sink, &mut stream, *head).await.is_none() {
            return;
        }
    }
}

/// Closes a link between calls. The close code tells the peer that a call it may have sent in
/// the meantime was not started. Everything received is read and discarded: closing a socket
/// with unread bytes would reset the connection before the peer receives the close frame, and the
/// answers in front of it, which a peer whose caller reads slowly takes late.
async fn close_between_calls(mut sink: Sink, stream: Stream, unsent: UnsentGuard) {
    const CHECK_INTERVAL: Duration = Duration::from_millis(20);
    let frame = CloseFrame { code: CLOSED_BETWEEN_CALLS, reason: Utf8Bytes::default() };
    if sink.send(Message::Close(Some(frame))).await.is_err() {
        return;
    }
    let Ok(mut socket) = sink.reunite(stream) else { return };
    while !is_sent(socket.get_ref()) {
        let received = tokio::time::timeout(CHECK_INTERVAL, socket.next()).await;
        if !matches!(received, Ok(Some(Ok(_))) | Err(_)) {
            return;
        }
    }
    drop(unsent);
    while let Some(Ok(_)) = socket.next().await {}
}

async fn receive(stream: &mut Stream) -> Option<CallFrame> {
    loop {
        match stream.next().await? {
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

async fn receive_with_timeout(stream: &mut Stream, idle_timeout: Duration) -> Option<CallFrame> {
    tokio::time::timeout(idle_timeout, receive(stream)).await.ok()?
}

async fn serve_call(
    context: &DataContext,
    sink: &mut ReplySink,
    stream: &mut Stream,
    head: CallHead,
) -> Option<()> {
    let idle_timeout = context.limits().body_idle_timeout;
    let (upload, items) = mpsc::channel(UPLOAD_RING_CAPACITY);
    let body = receive_body(stream, items, idle_timeout).await?;
    let is_body_complete = Cell::new(body.is_buffered());
    {
        let mut disconnect = pin!(pump(stream, upload, &is_body_complete, idle_timeout));
        let reply = tokio::select! {
            biased;
            reply = reply_to_call(context, head, body) => reply,
            () = &mut disconnect => return None,
        };
        tokio::select! {
            biased;
            sent = send_reply(context, sink, reply) => sent?,
            () = &mut disconnect => return None,
        }
    }
    if is_body_complete.get() {
        return Some(());
    }
    tokio::time::timeout(DISCARD_TIMEOUT, discard(stream)).await.ok()?
}

async fn reply_to_call(context: &DataContext, head: CallHead, body: RequestBody) -> Reply {
    let arrival = arrival(&head, &body);
    let receipt = Receipt { unspent: head.share, ..Receipt::default() };
    let request = request(head, body);
    if context.driver.is_too_late(&arrival) {
        let refusal = Refusal::not_run(RefusalReason::Draining);
        log_refusal(context, &request, &refusal);
        return Reply::Refusal(refusal, receipt);
    }
    execute_call(context, arrival, request).await
}

fn arrival(head: &CallHead, body: &RequestBody) -> Arrival {
    Arrival::inbound(head.root, &head.method, &head.target)
        .with_share(head.share, head.rank)
        .with_remaining(Some(Duration::from_millis(head.remaining_ms)))
        .with_idempotent(head.idempotent)
        .with_replayable(body.is_buffered())
        .with_body_digest(body.digest())
        .with_routed(head.routed.clone())
        .with_destination(Destination { service: head.service.clone(), lifetime: head.lifetime })
        .with_key(head.key.as_ref().and_then(|key| headers::parse_key(key).ok()))
}

fn request(head: CallHead, body: RequestBody) -> CallRequest {
    CallRequest {
        root: head.root,
        service: head.service,
        method: head.method,
        target: head.target,
        headers: Arc::new(head.headers),
        routed: head.routed,
        account: None,
        identity: None,
        idempotent: head.idempotent,
        is_inbound: true,
        body,
        body_len_bytes: head.body_len_bytes,
        received_at: Instant::now(),
    }
}

/// Reads the beginning of a request body, or all of it if it is short.
async fn receive_body(
    stream: &mut Stream,
    items: mpsc::Receiver<BodyItem>,
    idle_timeout: Duration,
) -> Option<RequestBody> {
    let mut buffered = match receive_with_timeout(stream, idle_timeout).await? {
        CallFrame::Body(first) => first,
        CallFrame::BodyEnd => return Some(RequestBody::Buffered(Bytes::new())),
        CallFrame::Head(_) | CallFrame::Cancel => return None,
    };
    while buffered.len() < RequestBody::MAX_BUFFERED_BYTES {
        match receive_with_timeout(stream, idle_timeout).await? {
            CallFrame::Body(bytes) => {
                let mut joined = BytesMut::from(buffered);
                joined.extend_from_slice(&bytes);
                buffered = joined.freeze();
            }
            CallFrame::BodyEnd => return Some(RequestBody::Buffered(buffered)),
            CallFrame::Head(_) | CallFrame::Cancel => return None,
        }
    }
    Some(RequestBody::Streaming(buffered, BodyReader::new(items)))
}

/// Forwards the rest of a request body to `upload` at the receiver's pace, then waits.
/// Returns when the peer cancels the call or closes the link.
async fn pump(
    stream: &mut Stream,
    upload: mpsc::Sender<BodyItem>,
    is_body_complete: &Cell<bool>,
    idle_timeout: Duration,
) {
    while !is_body_complete.get() {
        let item = match receive_with_timeout(stream, idle_timeout).await {
            Some(CallFrame::Body(bytes)) => BodyItem::Data(bytes),
            Some(CallFrame::BodyEnd) => {
                is_body_complete.set(true);
                BodyItem::End
            }
            Some(CallFrame::Head(_) | CallFrame::Cancel) | None => return,
        };
        let _ = upload.send(item).await;
    }
    let _ = receive(stream).await;
}

/// Reads and discards the rest of a request body.
async fn discard(stream: &mut Stream) -> Option<()> {
    loop {
        match receive(stream).await? {
            CallFrame::Body(_) => {}
            CallFrame::BodyEnd | CallFrame::Cancel => return Some(()),
            CallFrame::Head(_) => return None,
        }
    }
}

async fn send_reply(context: &DataContext, sink: &mut ReplySink, reply: Reply) -> Option<()> {
    match reply {
        Reply::Answer(answer) => send_answer(&mut sink.sink, *answer).await,
        Reply::Refusal(refusal, receipt) => {
            let mut head = refusal_head(&refusal, receipt);
            if refusal.reason == RefusalReason::Misdirected && sink.knows_destinations {
                head.member = context.driver.own_member().map(Box::new);
            }
            feed(&mut sink.sink, &AnswerFrame::Refusal(Box::new(head))).await?;
            sink.sink.flush().await.ok()
        }
    }
}

async fn send_answer(sink: &mut Sink, mut answer: Answer) -> Option<()> {
    feed(sink, &AnswerFrame::Head(Box::new(answer.head))).await?;
    loop {
        match answer.body.next_after_flush(sink.flush()).await.ok()? {
            Some(Ok(bytes)) => {
                for part in frame_chunks(bytes) {
                    feed(sink, &AnswerFrame::Body(part)).await?;
                }
            }
            Some(Err(_)) => {
                feed(sink, &AnswerFrame::Truncated(answer.body.receipt())).await?;
                break;
            }
            None => {
                feed(sink, &AnswerFrame::BodyEnd(answer.body.receipt())).await?;
                break;
            }
        }
    }
    sink.flush().await.ok()
}

async fn feed(sink: &mut Sink, frame: &AnswerFrame) -> Option<()> {
    sink.feed(Message::Binary(frame.encode().ok()?)).await.ok()
}

fn refusal_head(refusal: &Refusal, receipt: Receipt) -> RefusalHead {
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    RefusalHead {
        outcome: refusal.outcome,
        reason: refusal.reason.as_str().into(),
        reached_upstream: refusal.reason == RefusalReason::TurnedAway,
        retry_after_ms: refusal.retry_after.map(millis),
        bound_to: refusal.bound_to.as_ref().map(|key| key.to_string().into()),
        receipt,
        member: None,
    }
}
