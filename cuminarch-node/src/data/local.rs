//! Calls to the upstream beside the node, over kept-alive connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cuminarch_engine::Event;
use cuminarch_once::StoredAnswer;
use cuminarch_protocol::AnswerHead;
use cuminarch_types::CallId;
use futures_util::{StreamExt, stream};
use http::HeaderValue;
use http_body_util::Full;
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::answer::{AnswerSource, LocalSource, NodeTime};
use super::body::RequestBody;
use super::passed_body::PassedBody;
use super::runner::{CallRequest, DataContext};
use crate::headers::{self, end_to_end};
use crate::metrics::Direction;

type UpstreamBody = PassedBody;
type Sender = SendRequest<UpstreamBody>;

/// Idle connections to the upstream.
#[derive(Clone)]
pub struct LocalPool {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<Sender>>>,
}

/// A connection in use; released ones are used again.
pub struct LocalConnection {
    sender: Sender,
    pool: LocalPool,
}

impl LocalPool {
    const MAX_IDLE: usize = 256;
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::new(RefCell::new(Vec::new())) }
    }

    fn take_idle(&self) -> Option<LocalConnection> {
        loop {
            let sender = self.idle.borrow_mut().pop()?;
            if sender.is_ready() {
                return Some(LocalConnection { sender, pool: self.clone() });
            }
        }
    }

    async fn open(&self) -> Option<LocalConnection> {
        let connect = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(Self::CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(connection);
        Some(LocalConnection { sender, pool: self.clone() })
    }
}

impl LocalConnection {
    /// Gives the connection back for other calls, unless its request is still being sent.
    pub fn release(self) {
        let mut idle = self.pool.idle.borrow_mut();
        if self.sender.is_ready() && idle.len() < LocalPool::MAX_IDLE {
            idle.push(self.sender);
        }
    }
}

/// What the engine says about a call that is to run at the own upstream.
#[derive(Clone, Copy, Debug)]
pub struct LocalRun {
    pub call: CallId,
    pub remaining: Duration,
    pub keep_answer: bool,
}

/// Runs a call at the own upstream. Returns nothing if there is no answer; the
/// engine knows by then.
pub async fn run_local(
    context: &DataContext,
    run: LocalRun,
    request: &CallRequest,
    body: RequestBody,
) -> Option<(AnswerHead, AnswerSource)> {
    let call = run.call;
    let Some(upstream_request) = build_request(context, run, request, body) else {
        context.driver.post(Event::LocalFailed { call, sent: false });
        return None;
    };
    let before_sent = request.received_at.elapsed();
    let (response, connection) = match send(&context.upstream, upstream_request).await {
        Ok(answered) => answered,
        Err(sent) => {
            context.driver.post(Event::LocalFailed { call, sent });
            return None;
        }
    };
    context.driver.post(Event::LocalHead(call));
    let metrics = Arc::clone(&context.metrics);
    let direction = Direction::Inbound;
    let node_time = NodeTime { metrics, direction, before_sent, head_at: Instant::now() };
    let (parts, incoming) = response.into_parts();
    let body_len_bytes = headers::content_length(&parts.headers);
    let status = parts.status.as_u16();
    let head = AnswerHead { status, headers: end_to_end(&parts.headers), body_len_bytes };
    let kept = run.keep_answer.then(|| StoredAnswer { head: head.clone(), body: Vec::new() });
    let idle_timeout = context.limits.body_idle_timeout;
    let source = LocalSource { incoming, connection, kept, node_time, idle_timeout };
    Some((head, AnswerSource::Local(Box::new(source))))
}

/// Sends a request, first over a kept-alive connection. One that the upstream
/// closed before any byte was sent is replaced by a new one. On failure tells
/// whether any byte may have reached the upstream.
async fn send(
    pool: &LocalPool,
    mut request: http::Request<UpstreamBody>,
) -> Result<(http::Response<Incoming>, LocalConnection), bool> {
    if let Some(mut connection) = pool.take_idle() {
        match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(mut error) => request = error.take_message().ok_or(true)?,
        }
    }
    let mut connection = pool.open().await.ok_or(false)?;
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok((response, connection)),
        Err(mut error) => Err(error.take_message().is_none()),
    }
}

fn build_request(
    context: &DataContext,
    run: LocalRun,
    request: &CallRequest,
    body: RequestBody,
) -> Option<http::Request<UpstreamBody>> {
    let mut built = http::Request::builder()
        .method(request.method.as_str())
        .uri(request.target.as_str())
        .body(upstream_body(body))
        .ok()?;
    let map = built.headers_mut();
    *map = headers::to_header_map(&request.headers);
    if !map.contains_key(http::header::HOST) {
        map.insert(http::header::HOST, context.upstream.address.to_string().parse().ok()?);
    }
    if let Some(len_bytes) = request.body_len_bytes {
        map.insert(http::header::CONTENT_LENGTH, len_bytes.into());
    }
    map.append(http::header::VIA, HeaderValue::from_static(headers::VIA_VALUE));
    let token = headers::request_value(request.root, run.call);
    map.insert(headers::REQUEST, token.parse().ok()?);
    let remaining_ms = u64::try_from(run.remaining.as_millis()).unwrap_or(u64::MAX);
    map.insert(headers::REMAINING_MS, remaining_ms.into());
    Some(built)
}

/// Body towards the upstream; one that breaks off makes the request break off too.
fn upstream_body(body: RequestBody) -> UpstreamBody {
    match body {
        RequestBody::Held(bytes) => UpstreamBody::Held(Full::new(bytes)),
        RequestBody::Passed(first, reader) => {
            let first = stream::iter((!first.is_empty()).then(|| Ok(Frame::data(first))));
            let rest = stream::unfold(Some(reader), |state| async {
                let mut reader = state?;
                match reader.next().await {
                    Ok(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some(reader))),
                    Ok(None) => None,
                    Err(broken) => Some((Err(broken), None)),
                }
            });
            UpstreamBody::Passed(Box::pin(first.chain(rest)))
        }
    }
}
