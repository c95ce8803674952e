//! Calls to the upstream beside the node, over kept-alive connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cuminarch_engine::Event;
use cuminarch_once::StoredAnswer;
use cuminarch_protocol::AnswerHead;
use cuminarch_types::CallId;
use futures_util::{StreamExt, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::body::{AnswerSource, BrokenBody, LocalSource, RequestBody, next_chunk};
use super::runner::{CallRequest, DataContext};
use crate::headers::{self, end_to_end};

type UpstreamBody = UnsyncBoxBody<Bytes, BrokenBody>;
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

    async fn take(&self) -> Option<LocalConnection> {
        loop {
            let Some(sender) = self.idle.borrow_mut().pop() else { break };
            if sender.is_ready() {
                return Some(LocalConnection { sender, pool: self.clone() });
            }
        }
        let connect = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(Self::CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(connection);
        Some(LocalConnection { sender, pool: self.clone() })
    }
}

impl LocalConnection {
    /// Gives the connection back for other calls.
    pub fn release(self) {
        let mut idle = self.pool.idle.borrow_mut();
        if idle.len() < LocalPool::MAX_IDLE {
            idle.push(self.sender);
        }
    }
}

/// Runs a call at the own upstream. Returns nothing if there is no answer; the
/// engine knows by then.
pub async fn run_local(
    context: &DataContext,
    call: CallId,
    request: &CallRequest,
    body: RequestBody,
    keep_answer: bool,
) -> Option<(AnswerHead, AnswerSource)> {
    let driver = &context.driver;
    let Some(mut connection) = context.upstream.take().await else {
        driver.post(Event::LocalFailed { call, sent: false });
        return None;
    };
    let Some(upstream_request) = build_request(context, call, request, body) else {
        driver.post(Event::LocalFailed { call, sent: false });
        return None;
    };
    let response = match connection.sender.try_send_request(upstream_request).await {
        Ok(response) => response,
        Err(mut error) => {
            let sent = error.take_message().is_none();
            driver.post(Event::LocalFailed { call, sent });
            return None;
        }
    };
    driver.post(Event::LocalHead(call));
    let (parts, incoming) = response.into_parts();
    let length = parts.headers.get(http::header::CONTENT_LENGTH);
    let body_len_bytes = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let status = parts.status.as_u16();
    let head = AnswerHead { status, headers: end_to_end(&parts.headers), body_len_bytes };
    let kept = keep_answer.then(|| StoredAnswer { head: head.clone(), body: Vec::new() });
    let source = LocalSource { incoming, connection, kept };
    Some((head, AnswerSource::Local(Box::new(source))))
}

fn build_request(
    context: &DataContext,
    call: CallId,
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
    let token = headers::request_value(request.root, call);
    map.insert(headers::REQUEST, token.parse().ok()?);
    Some(built)
}

fn upstream_body(body: RequestBody) -> UpstreamBody {
    match body {
        RequestBody::Held(bytes) => Full::new(bytes).map_err(|never| match never {}).boxed_unsync(),
        RequestBody::Caller(first, incoming) => {
            let first = stream::iter([Ok(Frame::data(first))]);
            let rest = stream::unfold(Some(incoming), |state| async {
                let mut incoming = state?;
                match next_chunk(&mut incoming).await {
                    Ok(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some(incoming))),
                    Ok(None) => None,
                    Err(broken) => Some((Err(broken), None)),
                }
            });
            StreamBody::new(first.chain(rest)).boxed_unsync()
        }
    }
}
