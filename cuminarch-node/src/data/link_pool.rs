//! Data links to other nodes, kept open for further calls; one call at a time on each.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_protocol::{AnswerFrame, CallFrame, CallHead, FrameLimit, ProtocolError};
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{self, Message};

use super::body::{RequestBody, frame_chunks};
use super::link_hello::{CLOSED_BETWEEN_CALLS, LinkHello, link_config};
use super::upload::{Upload, UploadStream};

/// WebSocket of a data link.
pub type LinkSocket = WebSocketStream<TcpStream>;

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
    /// The peer closed the link in order, before it began the call.
    #[error("closed before the call was begun")]
    ClosedBeforeCall,
    /// There was no answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The peer does not react at all.
    #[error("silent")]
    Silent,
}

/// Idle links by address.
#[derive(Clone)]
pub struct LinkPool {
    hello: LinkHello,
    peers: Rc<RefCell<BTreeMap<SocketAddr, PeerLinks>>>,
}

/// Links to one peer.
#[derive(Default)]
struct PeerLinks {
    /// The one used last is at the end, and used next.
    idle: VecDeque<IdleLink>,
    in_use: usize,
}

struct IdleLink {
    since: Instant,
    socket: LinkSocket,
}

/// A link in use; released ones are used again.
pub struct Link {
    socket: Option<LinkState>,
    address: SocketAddr,
    pool: LinkPool,
}

enum LinkState {
    Unsplit(Box<LinkSocket>),
    Uploading(UploadStream, Upload),
}

impl LinkPool {
    const MAX_IDLE_PER_PEER: usize = 256;
    const MAX_IDLE_TIME: Duration = Duration::from_secs(60);
    const MAX_IN_USE_PER_PEER: usize = 1_024;
    /// Several round trips between regions; a host without power never answers.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
    /// Time without any frame after which the peer is asked for a sign of life.
    const PING_DELAY: Duration = Duration::from_millis(300);
    /// Time that it has to give one; several round trips and a busy peer's pause.
    const PONG_TIMEOUT: Duration = Duration::from_millis(500);
    /// Idle time after which a link is tried out before it carries a call that can't
    /// be sent again; hosts and zones seldom go within less.
    const PROBE_IDLE_THRESHOLD: Duration = Duration::from_millis(250);
    /// Time that the peer has to show that such a link works; several round trips
    /// between zones. A new link is opened after that.
    const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

    /// No links yet.
    pub fn new(hello: LinkHello) -> Self {
        Self { hello, peers: Rc::new(RefCell::new(BTreeMap::new())) }
    }

    /// A link to a node, one that is idle if there is any. One that has been idle for
    /// a while is tried out first if the call can't be sent again: what is lost on a
    /// link that has died without showing it may have run.
    pub async fn take(&self, address: SocketAddr, can_repeat: bool) -> Result<Link, LinkError> {
        let mut link = self.reserve(address)?;
        while let Some(idle) = self.pop_idle(address) {
            if !is_open(&idle.socket) {
                continue;
            }
            let is_tried = can_repeat || idle.since.elapsed() < Self::PROBE_IDLE_THRESHOLD;
            link.socket = Some(LinkState::Unsplit(Box::new(idle.socket)));
            if is_tried || link.is_alive(Self::PROBE_TIMEOUT).await {
                return Ok(link);
            }
            self.close_idle_to(address);
        }
        link.socket = Some(LinkState::Unsplit(Box::new(self.open(address).await?)));
        Ok(link)
    }

    async fn open(&self, address: SocketAddr) -> Result<LinkSocket, LinkError> {
        let open = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let url = self.hello.url(address);
            let config = Some(link_config());
            let (socket, _) =
                tokio_tungstenite::client_async_with_config(url, stream, config).await.ok()?;
            Some(socket)
        };
        let socket = tokio::time::timeout(Self::CONNECT_TIMEOUT, open).await;
        socket.ok().flatten().ok_or(LinkError::Connect)
    }

    /// Closes the links that no call uses.
    pub fn close_idle(&self) {
        for peer in self.peers.borrow_mut().values_mut() {
            peer.idle.clear();
        }
    }

    /// Closes the idle links to a peer, as they may be dead without showing it.
    fn close_idle_to(&self, address: SocketAddr) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&address) {
            peer.idle.clear();
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<IdleLink> {
        self.peers.borrow_mut().get_mut(&address)?.idle.pop_back()
    }

    /// Counts a link that is about to be used.
    fn reserve(&self, address: SocketAddr) -> Result<Link, LinkError> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address).or_default();
        if peer.in_use >= Self::MAX_IN_USE_PER_PEER {
            return Err(LinkError::Connect);
        }
        peer.in_use += 1;
        Ok(Link { socket: None, address, pool: self.clone() })
    }

    fn put_back(&self, address: SocketAddr, socket: LinkSocket) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address).or_default();
        let now = Instant::now();
        let is_old = |idle: &IdleLink| now.duration_since(idle.since) > Self::MAX_IDLE_TIME;
        while peer.idle.front().is_some_and(is_old) {
            peer.idle.pop_front();
        }
        if peer.idle.len() < Self::MAX_IDLE_PER_PEER {
            peer.idle.push_back(IdleLink { since: now, socket });
        }
    }

    fn decrement_in_use(&self, address: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get_mut(&address) {
            peer.in_use = peer.in_use.saturating_sub(1);
            if peer.in_use == 0 && peer.idle.is_empty() {
                peers.remove(&address);
            }
        }
    }
}

/// Whether the peer has left an idle link open, as far as the socket shows.
fn is_open(socket: &LinkSocket) -> bool {
    let mut byte = [0_u8; 1];
    match socket.get_ref().try_read(&mut byte) {
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.pool.decrement_in_use(self.address);
    }
}

impl Link {
    /// Gives the link back for other calls.
    pub fn release(mut self) {
        match self.socket.take() {
            Some(LinkState::Unsplit(socket)) => {
                self.pool.put_back(self.address, *socket);
            }
            Some(LinkState::Uploading(stream, upload)) => {
                tokio::task::spawn_local(async move {
                    if let Some(socket) = upload.stop(stream).await {
                        self.socket = Some(LinkState::Unsplit(Box::new(socket)));
                        self.release();
                    }
                });
            }
            None => {}
        }
    }

    /// The next frame of the answer, which comes within `timeout`. A peer that
    /// gives no sign of life meanwhile is given up earlier if `is_impatient`.
    pub async fn receive(
        &mut self,
        timeout: Duration,
        is_impatient: bool,
    ) -> Result<AnswerFrame, LinkError> {
        let until = Instant::now() + timeout;
        let mut is_asked = false;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let step = if is_asked { LinkPool::PONG_TIMEOUT } else { LinkPool::PING_DELAY };
            let step = if is_impatient { left.min(step) } else { left };
            let Ok(message) = tokio::time::timeout(step, self.next_message()).await else {
                if Instant::now() >= until {
                    return Err(LinkError::Timeout);
                }
                if is_asked {
                    self.pool.close_idle_to(self.address);
                    return Err(LinkError::Silent);
                }
                is_asked = self.send_ping().await?;
                continue;
            };
            match message {
                Some(Ok(Message::Binary(bytes))) => {
                    return Ok(AnswerFrame::decode(&bytes, FrameLimit::DATA)?);
                }
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => is_asked = false,
                Some(Ok(Message::Close(Some(frame)))) if frame.code == CLOSED_BETWEEN_CALLS => {
                    return Err(LinkError::ClosedBeforeCall);
                }
                Some(Ok(_)) | None => return Err(LinkError::Closed),
                Some(Err(error)) => return Err(Box::new(error).into()),
            }
        }
    }

    /// Whether the peer answers on an idle link within `limit`.
    async fn is_alive(&mut self, limit: Duration) -> bool {
        let trial = async {
            if !matches!(self.send_ping().await, Ok(true)) {
                return false;
            }
            matches!(self.next_message().await, Some(Ok(Message::Pong(_))))
        };
        tokio::time::timeout(limit, trial).await.unwrap_or(false)
    }

    async fn next_message(&mut self) -> Option<Result<Message, tungstenite::Error>> {
        match self.socket.as_mut()? {
            LinkState::Unsplit(socket) => socket.next().await,
            LinkState::Uploading(stream, _) => stream.next().await,
        }
    }

    /// Asks the peer for a sign of life. Returns whether it was asked: while a
    /// body is sent, that shows its life.
    async fn send_ping(&mut self) -> Result<bool, LinkError> {
        let Some(LinkState::Unsplit(socket)) = &mut self.socket else { return Ok(false) };
        let ping = socket.send(Message::Ping(Bytes::new()));
        match tokio::time::timeout(LinkPool::PONG_TIMEOUT, ping).await {
            Ok(sent) => sent.map(|()| true).map_err(|error| Box::new(error).into()),
            Err(_) => Err(LinkError::Silent),
        }
    }

    /// Sends a call; a body that is still coming is sent by a task of its own,
    /// so that an early answer is read meanwhile.
    pub async fn send(&mut self, head: CallHead, body: &mut RequestBody) -> Result<(), LinkError> {
        let Some(LinkState::Unsplit(mut socket)) = self.socket.take() else {
            return Err(LinkError::Closed);
        };
        feed(&mut socket, &CallFrame::Head(Box::new(head))).await?;
        let body = match body {
            RequestBody::Buffered(bytes) => RequestBody::Buffered(bytes.clone()),
            RequestBody::Streaming(..) => {
                std::mem::replace(body, RequestBody::Buffered(Bytes::new()))
            }
        };
        match body {
            RequestBody::Buffered(bytes) => {
                for part in frame_chunks(bytes) {
                    feed(&mut socket, &CallFrame::Body(part)).await?;
                }
                feed(&mut socket, &CallFrame::BodyEnd).await?;
                socket.flush().await.map_err(Box::new)?;
                self.socket = Some(LinkState::Unsplit(socket));
            }
            RequestBody::Streaming(first, reader) => {
                let (upload, stream) = Upload::start(*socket, first, reader);
                self.socket = Some(LinkState::Uploading(stream, upload));
            }
        }
        Ok(())
    }
}

async fn feed(socket: &mut LinkSocket, frame: &CallFrame) -> Result<(), LinkError> {
    socket.feed(Message::Binary(frame.encode()?)).await.map_err(|error| Box::new(error).into())
}
