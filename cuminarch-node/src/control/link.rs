//! A control link: a WebSocket on which each side first sends a hello.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use cuminarch_protocol::{ControlMessage, FrameLimit, Hello, ProtocolError};
use cuminarch_types::EndpointId;
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

/// Error of a control link.
#[derive(Debug, Error)]
pub enum ControlLinkError {
    /// No connection within the timeout.
    #[error("no connection within the timeout")]
    Connect,
    /// The WebSocket failed.
    #[error("WebSocket error: {0}")]
    Socket(#[from] Box<tungstenite::Error>),
    /// A message could not be encoded or decoded.
    #[error("protocol error: {0}")]
    Protocol(#[from] ProtocolError),
    /// The peer closed the link.
    #[error("closed by the peer")]
    Closed,
    /// The peer did not send a hello first, or belongs to another fleet.
    #[error("the peer sent no hello first, or is not a member of this fleet")]
    NotInFleet,
    /// No message was sent or received within the timeout.
    #[error("idle")]
    Idle,
}

/// Event of a link for the control thread.
pub enum LinkEvent {
    /// A link to this peer was opened.
    Up {
        number: u64,
        hello: Box<Hello>,
        sender: mpsc::Sender<ControlMessage>,
        address: Option<SocketAddr>,
    },
    /// A message of a peer was received.
    Received(EndpointId, ControlMessage),
    /// A link to this peer ended, or an attempt to open one failed.
    Down { number: u64, endpoint: Option<EndpointId>, address: Option<SocketAddr> },
}

/// State of a link from its opening to its end.
pub struct ControlLink {
    pub number: u64,
    /// Address to connect to; `None` for a link that a peer opens.
    pub address: Option<SocketAddr>,
    pub fleet: CompactString,
    /// Hello of this node.
    pub hello: ControlMessage,
    pub events: mpsc::Sender<LinkEvent>,
}

type Socket = WebSocketStream<TcpStream>;

impl ControlLink {
    const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
    const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
    const RING_CAPACITY: usize = 256;

    /// Opens a link to an address and serves it.
    pub async fn dial(self, address: SocketAddr) {
        let open = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let url = format!("ws://{address}/control");
            let config = Some(config());
            let opened = tokio_tungstenite::client_async_with_config(url, stream, config).await;
            opened.ok().map(|(socket, _)| socket)
        };
        let socket = timeout(Self::OPEN_TIMEOUT, open).await.ok().flatten();
        let mut endpoint = None;
        let result = match socket {
            Some(socket) => self.serve(socket, &mut endpoint).await,
            None => Err(ControlLinkError::Connect),
        };
        self.report_down(result, endpoint).await;
    }

    /// Serves a link that a peer opens.
    pub async fn accept(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let open = tokio_tungstenite::accept_async_with_config(stream, Some(config()));
        let socket = timeout(Self::OPEN_TIMEOUT, open).await;
        let mut endpoint = None;
        let result = match socket {
            Ok(Ok(socket)) => self.serve(socket, &mut endpoint).await,
            _ => Err(ControlLinkError::Connect),
        };
        self.report_down(result, endpoint).await;
    }

    async fn report_down(
        &self,
        result: Result<(), ControlLinkError>,
        endpoint: Option<EndpointId>,
    ) {
        if let Err(error) = result {
            log::debug!("control link {}: {error}", self.number);
        }
        let (number, address) = (self.number, self.address);
        let _ = self.events.send(LinkEvent::Down { number, endpoint, address }).await;
    }

    async fn serve(
        &self,
        mut socket: Socket,
        endpoint: &mut Option<EndpointId>,
    ) -> Result<(), ControlLinkError> {
        send(&mut socket, &self.hello).await?;
        let first = timeout(Self::OPEN_TIMEOUT, receive(&mut socket));
        let first = first.await.map_err(|_| ControlLinkError::Idle)??;
        let ControlMessage::Hello(hello) = first else { return Err(ControlLinkError::NotInFleet) };
        if hello.fleet != self.fleet {
            return Err(ControlLinkError::NotInFleet);
        }
        let peer = hello.member.endpoint.clone();
        *endpoint = Some(peer.clone());
        let (sender, mut outgoing) = mpsc::channel(Self::RING_CAPACITY);
        self.emit(LinkEvent::Up { number: self.number, hello, sender, address: self.address })
            .await?;
        loop {
            let idle = tokio::time::sleep(Self::IDLE_TIMEOUT);
            tokio::select! {
                message = outgoing.recv() => match message {
                    Some(message) => send(&mut socket, &message).await?,
                    None => return Ok(()),
                },
                message = receive(&mut socket) => {
                    self.emit(LinkEvent::Received(peer.clone(), message?)).await?;
                }
                () = idle => return Err(ControlLinkError::Idle),
            }
        }
    }

    async fn emit(&self, event: LinkEvent) -> Result<(), ControlLinkError> {
        self.events.send(event).await.map_err(|_| ControlLinkError::Closed)
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(FrameLimit::CONTROL.as_bytes()))
        .max_frame_size(Some(FrameLimit::CONTROL.as_bytes()))
        .read_buffer_size(4 * 1024)
        .write_buffer_size(0)
}

async fn send(socket: &mut Socket, message: &ControlMessage) -> Result<(), ControlLinkError> {
    let bytes = message.encode()?;
    socket.send(Message::binary(bytes)).await.map_err(|error| Box::new(error).into())
}

async fn receive(socket: &mut Socket) -> Result<ControlMessage, ControlLinkError> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(bytes))) => {
                return Ok(ControlMessage::decode(&bytes, FrameLimit::CONTROL)?);
            }
            Some(Ok(Message::Close(_))) | None => return Err(ControlLinkError::Closed),
            Some(Ok(_)) => {}
            Some(Err(error)) => return Err(Box::new(error).into()),
        }
    }
}
