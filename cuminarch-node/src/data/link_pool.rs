//! Pool of data links to other nodes. A link carries one call at a time.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_protocol::{AnswerFrame, CallFrame, CallHead, FrameLimit, ProtocolError};
use cuminarch_types::RatePerSecond;
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{self, Message};

use super::body::{RequestBody, frame_chunks};
use super::link_hello::{
    CLOSED_BETWEEN_CALLS, LinkHello, acceptor_knows_destinations, link_config,
};
use super::upload::{Upload, UploadStream};

/// WebSocket of a data link.
pub type LinkSocket = WebSocketStream<TcpStream>;

/// Failure of a data link.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No link could be opened in time, or too many are in use.
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
    /// The peer closed the link properly before it started the call.
    #[error("closed before the call was begun")]
    ClosedBeforeCall,
    /// No answer arrived in time.
    #[error("no answer in time")]
    Timeout,
    /// The peer did not respond to a ping.
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
    /// In order of last use; the most recently used link is at the back and is taken first.
    idle: VecDeque<IdleLink>,
    in_use: usize,
}

struct IdleLink {
    since: Instant,
    socket: LinkSocket,
    knows_destinations: bool,
}

impl IdleLink {
    /// Returns `true` if it is open and has not been idle for too long.
    fn is_usable(&self) -> bool {
        self.since.elapsed() <= LinkPool::MAX_IDLE_TIME && is_open(&self.socket)
    }
}

/// A link in use. [`Link::release`] returns it to the pool.
pub struct Link {
    state: Option<LinkState>,
    address: SocketAddr,
    /// Whether the peer can read what a call is meant for.
    knows_destinations: bool,
    pool: LinkPool,
}

enum LinkState {
    Unsplit(Box<LinkSocket>),
    Uploading(UploadStream, Upload),
}

impl LinkPool {
    const MAX_IDLE_PER_PEER: usize = 256;
    const MAX_IDLE_TIME: Duration = Duration::from_secs(60);
    /// Interval at which all idle links are checked.
    const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
    const MAX_IN_USE_PER_PEER: usize = 1_024;
    /// Covers several round trips between regions; a host without power never answers.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
    /// Time without a frame after which the peer is pinged.
    const PING_DELAY: Duration = Duration::from_millis(300);
    /// Covers several round trips and a pause of a busy peer.
    const PONG_TIMEOUT: Duration = Duration::from_millis(500);
    /// Idle time after which a link is probed before it carries a call that can't be retried.
    /// Hosts and zones rarely fail within a shorter time.
    const PROBE_IDLE_THRESHOLD: Duration = Duration::from_millis(250);
    /// Timeout of the probe: several round trips between zones. A new link is opened after that.
    const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

    /// Creates an empty pool.
    pub fn new(hello: LinkHello) -> Self {
        Self { hello, peers: Rc::new(RefCell::new(BTreeMap::new())) }
    }

    /// Returns an idle link to a node, or a new one. If the call can't be retried, a link that has
    /// been idle for a while is probed first: a call lost on a silently dead link may have run. A
    /// new link tells the node the known rate limit of its upstream.
    pub async fn take(
        &self,
        address: SocketAddr,
        can_retry: bool,
        rate_limit: Option<RatePerSecond>,
    ) -> Result<Link, LinkError> {
        let mut link = self.reserve(address)?;
        while let Some(idle) = self.pop_idle(address) {
            if !is_open(&idle.socket) {
                continue;
            }
            let skips_probe = can_retry || idle.since.elapsed() < Self::PROBE_IDLE_THRESHOLD;
            link.knows_destinations = idle.knows_destinations;
            link.state = Some(LinkState::Unsplit(Box::new(idle.socket)));
            if skips_probe || link.is_alive(Self::PROBE_TIMEOUT).await {
                return Ok(link);
            }
            self.close_idle_to(address);
        }
        let (socket, knows_destinations) = self.open(address, rate_limit).await?;
        link.knows_destinations = knows_destinations;
        link.state = Some(LinkState::Unsplit(Box::new(socket)));
        Ok(link)
    }

    /// Opens a link. Returns whether the peer can read what a call is meant for, too.
    async fn open(
        &self,
        address: SocketAddr,
        rate_limit: Option<RatePerSecond>,
    ) -> Result<(LinkSocket, bool), LinkError> {
        let open = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let url = self.hello.url(address, rate_limit);
            let config = Some(link_config());
            let (socket, response) =
                tokio_tungstenite::client_async_with_config(url, stream, config).await.ok()?;
            Some((socket, acceptor_knows_destinations(response.headers())))
        };
        let socket = tokio::time::timeout(Self::CONNECT_TIMEOUT, open).await;
        socket.ok().flatten().ok_or(LinkError::Connect)
    }

    /// Closes idle links that can carry no call any more, for as long as the node runs: to peers that
    /// have gone, no call is sent that would find them.
    pub async fn close_unusable(self) {
        loop {
            tokio::time::sleep(Self::SWEEP_INTERVAL).await;
            self.peers.borrow_mut().retain(|_, peer| {
                peer.idle.retain(IdleLink::is_usable);
                peer.in_use > 0 || !peer.idle.is_empty()
            });
        }
    }

    /// Closes all idle links.
    pub fn close_idle(&self) {
        for peer in self.peers.borrow_mut().values_mut() {
            peer.idle.clear();
        }
    }

    /// Closes the idle links to a peer, as they may be silently dead too.
    fn close_idle_to(&self, address: SocketAddr) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&address) {
            peer.idle.clear();
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<IdleLink> {
        self.peers.borrow_mut().get_mut(&address)?.idle.pop_back()
    }

    /// Reserves a link to a peer, up to the limit of links in use.
    fn reserve(&self, address: SocketAddr) -> Result<Link, LinkError> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address).or_default();
        if peer.in_use >= Self::MAX_IN_USE_PER_PEER {
            return Err(LinkError::Connect);
        }
        peer.in_use += 1;
        Ok(Link { state: None, address, knows_destinations: false, pool: self.clone() })
    }

    fn put_back(&self, address: SocketAddr, socket: LinkSocket, knows_destinations: bool) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(address).or_default();
        let now = Instant::now();
        let is_expired = |idle: &IdleLink| now.duration_since(idle.since) > Self::MAX_IDLE_TIME;
        while peer.idle.front().is_some_and(is_expired) {
            peer.idle.pop_front();
        }
        if peer.idle.len() < Self::MAX_IDLE_PER_PEER {
            peer.idle.push_back(IdleLink { since: now, socket, knows_destinations });
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

/// Returns `true` if the socket shows neither a close nor unexpected bytes.
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
    /// Returns `true` if the peer can read what a call is meant for.
    pub const fn knows_destinations(&self) -> bool {
        self.knows_destinations
    }

    /// Returns the link to the pool.
    pub fn release(mut self) {
        match self.state.take() {
            Some(LinkState::Unsplit(socket)) => {
                self.pool.put_back(self.address, *socket, self.knows_destinations);
            }
            Some(LinkState::Uploading(stream, upload)) => {
                tokio::task::spawn_local(async move {
                    if let Some(socket) = upload.stop(stream).await {
                        self.state = Some(LinkState::Unsplit(Box::new(socket)));
                        self.release();
                    }
                });
            }
            None => {}
        }
    }

    /// Receives the next frame of the answer within `timeout`. With `checks_liveness`, a peer that
    /// does not respond to a ping is given up earlier.
    pub async fn receive(
        &mut self,
        timeout: Duration,
        checks_liveness: bool,
    ) -> Result<AnswerFrame, LinkError> {
        let deadline = Instant::now() + timeout;
        let mut awaits_pong = false;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let step_timeout =
                if awaits_pong { LinkPool::PONG_TIMEOUT } else { LinkPool::PING_DELAY };
            let step_timeout =
                if checks_liveness { remaining.min(step_timeout) } else { remaining };
            let Ok(message) = tokio::time::timeout(step_timeout, self.next_message()).await else {
                if Instant::now() >= deadline {
                    return Err(LinkError::Timeout);
                }
                if awaits_pong {
                    self.pool.close_idle_to(self.address);
                    return Err(LinkError::Silent);
                }
                awaits_pong = self.send_ping().await?;
                continue;
            };
            match message {
                Some(Ok(Message::Binary(bytes))) => {
                    return Ok(AnswerFrame::decode(&bytes, FrameLimit::DATA)?);
                }
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => awaits_pong = false,
                Some(Ok(Message::Close(Some(frame)))) if frame.code == CLOSED_BETWEEN_CALLS => {
                    return Err(LinkError::ClosedBeforeCall);
                }
                Some(Ok(_)) | None => return Err(LinkError::Closed),
                Some(Err(error)) => return Err(Box::new(error).into()),
            }
        }
    }

    /// Returns `true` if the peer responds to a ping on an idle link within `limit`.
    async fn is_alive(&mut self, limit: Duration) -> bool {
        let probe = async {
            if !matches!(self.send_ping().await, Ok(true)) {
                return false;
            }
            matches!(self.next_message().await, Some(Ok(Message::Pong(_))))
        };
        tokio::time::timeout(limit, probe).await.unwrap_or(false)
    }

    async fn next_message(&mut self) -> Option<Result<Message, tungstenite::Error>> {
        match self.state.as_mut()? {
            LinkState::Unsplit(socket) => socket.next().await,
            LinkState::Uploading(stream, _) => stream.next().await,
        }
    }

    /// Pings the peer. Returns `false` if no ping was sent: during an upload, the progress of the
    /// body shows that the peer is alive.
    async fn send_ping(&mut self) -> Result<bool, LinkError> {
        let Some(LinkState::Unsplit(socket)) = &mut self.state else { return Ok(false) };
        let ping = socket.send(Message::Ping(Bytes::new()));
        match tokio::time::timeout(LinkPool::PONG_TIMEOUT, ping).await {
            Ok(sent) => sent.map(|()| true).map_err(|error| Box::new(error).into()),
            Err(_) => Err(LinkError::Silent),
        }
    }

    /// Sends a call. A streaming body is sent by a separate task, so that an early answer can be
    /// read in the meantime.
    pub async fn send(&mut self, head: CallHead, body: &mut RequestBody) -> Result<(), LinkError> {
        let Some(LinkState::Unsplit(mut socket)) = self.state.take() else {
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
                self.state = Some(LinkState::Unsplit(socket));
            }
            RequestBody::Streaming(first, reader) => {
                let (upload, stream) = Upload::start(*socket, first, reader);
                self.state = Some(LinkState::Uploading(stream, upload));
            }
        }
        Ok(())
    }
}

async fn feed(socket: &mut LinkSocket, frame: &CallFrame) -> Result<(), LinkError> {
    socket.feed(Message::Binary(frame.encode()?)).await.map_err(|error| Box::new(error).into())
}

#[cfg(test)]
mod tests;
