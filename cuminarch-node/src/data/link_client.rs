//! Calls to other nodes over pooled data links, one call at a time on each.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cuminarch_engine::{Event, Forward, Refusal, RefusalReason, RemoteRefusal};
use cuminarch_protocol::{
    AnswerFrame, AnswerHead, CallFrame, CallHead, FrameLimit, ProtocolError, RefusalHead,
};
use cuminarch_types::{AttemptId, CallId};
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

use super::body::{AnswerSource, RequestBody, next_chunk};
use super::runner::DataContext;

/// A data link that failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No link could be opened in time.
    #[error("cannot connect")]
    Connect,
    /// The link broke.
    #[error("link: {0}")]
    Socket(#[from] Box<tungstenite::Error>),
    /// The peer sent something malformed.
    #[error("peer: {0}")]
    Protocol(#[from] ProtocolError),
    /// The peer closed the link.
    #[error("closed by the peer")]
    Closed,
    /// The peer was silent for too long.
    #[error("no answer in time")]
    Timeout,
    /// The body of the request broke off.
    #[error("the request body broke off")]
    Body,
}

/// Idle links by address.
#[derive(Clone, Default)]
pub struct LinkPool {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<WebSocketStream<TcpStream>>>>>,
}

/// A link in use; released ones are used again.
pub struct Link {
    socket: WebSocketStream<TcpStream>,
    address: SocketAddr,
    pool: LinkPool,
}

/// Bounds of the WebSocket layer on data links.
pub fn link_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FrameLimit::DATA.as_bytes()))
        .max_frame_size(Some(FrameLimit::DATA.as_bytes()))
        .read_buffer_size(16 * 1024)
        .write_buffer_size(16 * 1024)
        .max_write_buffer_size(1024 * 1024)
}

impl LinkPool {
    const MAX_IDLE_PER_PEER: usize = 64;
    const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

    async fn take(&self, address: SocketAddr) -> Result<Link, LinkError> {
        let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        if let Some(socket) = idle
            && !is_closed(&socket)
        {
            return Ok(Link { socket, address, pool: self.clone() });
        }
        let open = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let url = format!("ws://{address}/data");
            let config = Some(link_config());
            let (socket, _) =
                tokio_tungstenite::client_async_with_config(url, stream, config).await.ok()?;
            Some(socket)
        };
        let socket = tokio::time::timeout(Self::CONNECT_TIMEOUT, open).await;
        let socket = socket.ok().flatten().ok_or(LinkError::Connect)?;
        Ok(Link { socket, address, pool: self.clone() })
    }
}

/// Whether the peer has closed an idle link, as far as the socket shows.
fn is_closed(socket: &WebSocketStream<TcpStream>) -> bool {
    let mut byte = [0_u8; 1];
    match socket.get_ref().try_read(&mut byte) {
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        Ok(_) => true,
    }
}

impl Link {
    /// Gives the link back for other calls.
    pub fn release(self) {
        let mut idle = self.pool.idle.borrow_mut();
        let links = idle.entry(self.address).or_default();
        if links.len() < LinkPool::MAX_IDLE_PER_PEER {
            links.push(self.socket);
        }
    }

    /// The next frame of the answer.
    pub async fn receive(&mut self, timeout: Duration) -> Result<AnswerFrame, LinkError> {
        loop {
            let message = tokio::time::timeout(timeout, self.socket.next()).await;
            match message.map_err(|_| LinkError::Timeout)? {
                Some(Ok(Message::Binary(bytes))) => {
                    return Ok(AnswerFrame::decode(&bytes, FrameLimit::DATA)?);
                }
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
                Some(Ok(_)) | None => return Err(LinkError::Closed),
                Some(Err(error)) => return Err(Box::new(error).into()),
            }
        }
    }

    async fn feed(&mut self, frame: &CallFrame) -> Result<(), LinkError> {
        let message = Message::Binary(frame.encode()?.into());
        self.socket.feed(message).await.map_err(|error| Box::new(error).into())
    }

    async fn send(&mut self, head: CallHead, body: &mut RequestBody) -> Result<(), LinkError> {
        self.feed(&CallFrame::Head(Box::new(head))).await?;
        match body {
            RequestBody::Held(bytes) => {
                for chunk in bytes.chunks(RequestBody::MAX_HELD_BYTES) {
                    self.feed(&CallFrame::Body(chunk.to_vec())).await?;
                }
            }
            RequestBody::Caller(first, incoming) => {
                for chunk in first.chunks(RequestBody::MAX_HELD_BYTES) {
                    self.feed(&CallFrame::Body(chunk.to_vec())).await?;
                }
                while let Some(chunk) = next_chunk(incoming).await.map_err(|_| LinkError::Body)? {
                    for part in chunk.chunks(RequestBody::MAX_HELD_BYTES) {
                        self.feed(&CallFrame::Body(part.to_vec())).await?;
                    }
                }
            }
        }
        self.feed(&CallFrame::BodyEnd).await?;
        self.socket.flush().await.map_err(|error| Box::new(error).into())
    }
}

/// Sends one attempt to another node. Returns nothing if there is no answer;
/// the engine knows by then.
pub async fn send_call(
    context: &DataContext,
    call: CallId,
    attempt: AttemptId,
    forward: &Forward,
    head: CallHead,
    body: &mut RequestBody,
) -> Option<(AnswerHead, AnswerSource)> {
    let driver = &context.driver;
    let Ok(mut link) = context.links.take(forward.target.data_address).await else {
        driver.post(Event::RemoteLost { call, attempt, sent: false });
        return None;
    };
    let answer = match link.send(head, body).await {
        Ok(()) => link.receive(forward.remaining).await,
        Err(error) => Err(error),
    };
    match answer {
        Ok(AnswerFrame::Head(head)) => {
            driver.post(Event::RemoteHead(call, attempt));
            Some((*head, AnswerSource::Remote(attempt, Box::new(link))))
        }
        Ok(AnswerFrame::Refusal(head)) => {
            link.release();
            driver.post(Event::RemoteRefused(call, attempt, Box::new(refusal(&head))));
            None
        }
        Ok(_) | Err(_) => {
            driver.post(Event::RemoteLost { call, attempt, sent: true });
            None
        }
    }
}

fn refusal(head: &RefusalHead) -> RemoteRefusal {
    let reason = RefusalReason::from_text(&head.reason).unwrap_or(RefusalReason::UpstreamFailed);
    let refusal = Refusal {
        outcome: head.outcome,
        reason,
        retry_after: head.retry_after_ms.map(Duration::from_millis),
        bound_to: head.bound_to.as_ref().and_then(|key| key.parse().ok()),
    };
    RemoteRefusal { refusal, receipt: head.receipt }
}
