//! Links whose connection falls silent while new ones work.

use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_protocol::{ControlMessage, Heartbeat, Hello, Member, MemberState};
use cuminarch_types::{EndpointId, Incarnation};
use futures_util::SinkExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::super::link::LinkEvent;
use super::Links;

fn endpoint(name: &str) -> EndpointId {
    name.parse().unwrap()
}

fn hello(name: &str, address: SocketAddr) -> ControlMessage {
    let member = Member {
        endpoint: endpoint(name),
        service: "katalog".parse().unwrap(),
        zone: "zrh-a".parse().unwrap(),
        region: "central".parse().unwrap(),
        incarnation: Incarnation::new(1),
        statement: 0,
        data_address: address,
        control_address: address,
        state: MemberState::Active,
        upstream: None,
    };
    ControlMessage::Hello(Box::new(Hello { fleet: "tests".into(), member }))
}

/// Accepts links, says hello on each and reads nothing.
async fn accept_silently(
    listener: TcpListener,
    accepted: mpsc::UnboundedSender<WebSocketStream<TcpStream>>,
) {
    let address = listener.local_addr().unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        let mut socket = tokio_tungstenite::accept_async(stream).await.unwrap();
        let bytes = hello("peer", address).encode().unwrap();
        socket.send(Message::binary(bytes)).await.unwrap();
        accepted.send(socket).unwrap();
    }
}

/// Waits for a link to open and records it.
async fn record_opened(links: &mut Links, events: &mut mpsc::Receiver<LinkEvent>) {
    loop {
        if let Some(LinkEvent::Up { number, sender, address, .. }) = events.recv().await {
            return links.on_opened(number, &endpoint("peer"), address, sender);
        }
    }
}

async fn replace_silent_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (accepted, mut sockets) = mpsc::unbounded_channel();
    spawn_local(accept_silently(listener, accepted));
    let (events, mut link_events) = mpsc::channel(64);
    let mut links = Links::new("tests".into(), events);
    let (peer, own_hello) = (endpoint("peer"), hello("own", address));
    let heartbeat = || ControlMessage::Heartbeat(Heartbeat::default());

    links.send(&peer, address, heartbeat(), &own_hello);
    record_opened(&mut links, &mut link_events).await;
    links.send(&peer, address, heartbeat(), &own_hello);
    links.on_received(&peer);
    tokio::time::sleep(Links::REPLY_TIMEOUT).await;
    assert!(links.close_unresponsive().is_empty(), "the peer has replied");

    links.send(&peer, address, heartbeat(), &own_hello);
    assert!(links.close_unresponsive().is_empty(), "the reply is not late yet");
    tokio::time::sleep(Links::REPLY_TIMEOUT + Duration::from_millis(50)).await;
    assert_eq!(links.close_unresponsive(), std::slice::from_ref(&peer));

    links.send(&peer, address, heartbeat(), &own_hello);
    record_opened(&mut links, &mut link_events).await;
    let held = [sockets.recv().await, sockets.recv().await];
    assert!(held.iter().all(Option::is_some), "a second connection is opened");
}

#[test]
fn a_link_that_fell_silent_is_replaced_by_a_new_one() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, replace_silent_link());
}
