//! The control links of a node, opened on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use cuminarch_protocol::ControlMessage;
use cuminarch_types::EndpointId;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::link::{ControlLink, LinkEvent};

/// An open link.
struct OpenLink {
    number: u64,
    sender: mpsc::Sender<ControlMessage>,
    /// When the first heartbeat was sent since the last message of the peer.
    asked_at: Option<Instant>,
}

/// An attempt to open a link.
struct DialAttempt {
    expected: Option<EndpointId>,
    queued: Vec<ControlMessage>,
}

/// All links of a node.
pub struct Links {
    fleet: CompactString,
    events: mpsc::Sender<LinkEvent>,
    open: BTreeMap<EndpointId, OpenLink>,
    dialing: BTreeMap<SocketAddr, DialAttempt>,
    failed: BTreeMap<SocketAddr, Instant>,
    accepted: usize,
    next_number: u64,
}

impl Links {
    const MAX_QUEUED_MESSAGES: usize = 64;
    const MAX_LINKS: usize = 1_024;
    const RETRY_DELAY: Duration = Duration::from_secs(1);
    /// Time for a peer to reply to a heartbeat. A connection may fall silent for good, without an
    /// error, while new ones work.
    const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

    /// Creates an empty set of links.
    pub const fn new(fleet: CompactString, events: mpsc::Sender<LinkEvent>) -> Self {
        Self {
            fleet,
            events,
            open: BTreeMap::new(),
            dialing: BTreeMap::new(),
            failed: BTreeMap::new(),
            accepted: 0,
            next_number: 1,
        }
    }

    /// Sends a message to a member. It is lost if no link can be opened.
    pub fn send(
        &mut self,
        to: &EndpointId,
        address: SocketAddr,
        message: ControlMessage,
        hello: &ControlMessage,
    ) {
        if let Some(open) = self.open.get_mut(to)
            && !open.sender.is_closed()
        {
            if matches!(message, ControlMessage::Heartbeat(_)) {
                open.asked_at.get_or_insert_with(Instant::now);
            }
            // A full ring is not drained: the peer reads nothing, and the reply stays out.
            let _ = open.sender.try_send(message);
            return;
        }
        if address.port() == 0 {
            return;
        }
        self.dial(Some(to.clone()), address, hello);
        if let Some(dialing) = self.dialing.get_mut(&address)
            && dialing.queued.len() < Self::MAX_QUEUED_MESSAGES
        {
            dialing.queued.push(message);
        }
    }

    /// Records that a peer sent a message, over any of its links.
    pub fn on_received(&mut self, from: &EndpointId) {
        if let Some(open) = self.open.get_mut(from) {
            open.asked_at = None;
        }
    }

    /// Closes the links of peers that have not replied in time, and returns the peers.
    pub fn close_unresponsive(&mut self) -> Vec<EndpointId> {
        let is_late = |at: Instant| at.elapsed() >= Self::REPLY_TIMEOUT;
        let late = self.open.iter().filter(|(_, open)| open.asked_at.is_some_and(is_late));
        let peers: Vec<EndpointId> = late.map(|(peer, _)| peer.clone()).collect();
        for peer in &peers {
            self.open.remove(peer);
        }
        peers
    }

    /// Opens a link unless one is being opened or an attempt failed recently.
    pub fn dial(
        &mut self,
        expected: Option<EndpointId>,
        address: SocketAddr,
        hello: &ControlMessage,
    ) {
        let has_failed = |at: &Instant| at.elapsed() < Self::RETRY_DELAY;
        if self.failed.get(&address).is_some_and(has_failed)
            || self.dialing.contains_key(&address)
            || self.dialing.len() + self.open.len() >= Self::MAX_LINKS
        {
            return;
        }
        self.dialing.insert(address, DialAttempt { expected, queued: Vec::new() });
        let link = self.link(Some(address), hello);
        spawn_local(link.dial(address));
    }

    /// Serves a link that a peer opens, unless there are too many.
    pub fn accept(&mut self, stream: TcpStream, hello: &ControlMessage) {
        if self.accepted >= Self::MAX_LINKS {
            return;
        }
        self.accepted += 1;
        let link = self.link(None, hello);
        spawn_local(link.accept(stream));
    }

    fn link(&mut self, address: Option<SocketAddr>, hello: &ControlMessage) -> ControlLink {
        let number = self.next_number;
        self.next_number += 1;
        ControlLink {
            number,
            address,
            fleet: self.fleet.clone(),
            hello: hello.clone(),
            events: self.events.clone(),
        }
    }

    /// Records an open link and sends the messages queued for it.
    pub fn on_opened(
        &mut self,
        number: u64,
        endpoint: &EndpointId,
        address: Option<SocketAddr>,
        sender: mpsc::Sender<ControlMessage>,
    ) {
        let mut asked_at = None;
        if let Some(address) = address
            && let Some(dialing) = self.dialing.remove(&address)
            && dialing.expected.as_ref().is_none_or(|expected| expected == endpoint)
        {
            for message in dialing.queued {
                if matches!(message, ControlMessage::Heartbeat(_)) {
                    asked_at = Some(Instant::now());
                }
                let _ = sender.try_send(message);
            }
        }
        self.open.insert(endpoint.clone(), OpenLink { number, sender, asked_at });
    }

    /// Records the end of a link. Returns the peer if it has no other link.
    pub fn on_closed(
        &mut self,
        number: u64,
        endpoint: Option<EndpointId>,
        address: Option<SocketAddr>,
    ) -> Option<EndpointId> {
        match address {
            Some(address) => {
                if self.dialing.remove(&address).is_some() {
                    self.failed.insert(address, Instant::now());
                }
            }
            None => self.accepted = self.accepted.saturating_sub(1),
        }
        self.failed.retain(|_, at| at.elapsed() < Self::RETRY_DELAY);
        let endpoint = endpoint?;
        let is_current = self.open.get(&endpoint).is_some_and(|open| open.number == number);
        if is_current {
            self.open.remove(&endpoint);
        }
        is_current.then_some(endpoint)
    }
}

#[cfg(test)]
mod tests;
