//! Datagrams between nodes: about the allotments of client accounts, and about requests that crash
//! endpoints.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_engine::Event;
use cuminarch_protocol::{AllotmentDatagram, ProtocolError, SuspicionDatagram};
use log::info;

use super::driver::Driver;
use crate::decisions::LogRateLimiter;
use crate::event::NodeEvent;
use crate::metrics::{DatagramResult, Metrics};

/// Sends datagrams without waiting.
pub struct DatagramSender {
    socket: UdpSocket,
    metrics: Arc<Metrics>,
}

impl DatagramSender {
    /// Creates a sender for a socket in non-blocking mode.
    pub const fn new(socket: UdpSocket, metrics: Arc<Metrics>) -> Self {
        Self { socket, metrics }
    }

    /// Sends a datagram, or drops and counts it if the socket does not take it at once. The
    /// receiver treats a dropped one like one that the network lost.
    pub fn send(&self, to: SocketAddr, datagram: Result<Vec<u8>, ProtocolError>) {
        // Members announce port 0 if their address is not known.
        let is_sent =
            to.port() != 0 && datagram.is_ok_and(|bytes| self.socket.send_to(&bytes, to).is_ok());
        let result = if is_sent { DatagramResult::Sent } else { DatagramResult::Unsent };
        self.metrics.record_datagram(result);
    }
}

/// Receives datagrams and passes them to the engine, forever.
pub struct DatagramReceiver {
    socket: tokio::net::UdpSocket,
    driver: Driver,
    metrics: Arc<Metrics>,
    decisions: Rc<LogRateLimiter>,
}

impl DatagramReceiver {
    /// Longest datagram; one with names of full length and as many entries as allowed is shorter.
    const MAX_BYTES: usize = 1_280;
    /// Datagrams received in a row before other tasks of the thread run.
    const MAX_BATCH: usize = 32;
    /// Delay after a failed `recv_from`, such as after an ICMP error for an earlier datagram.
    const RETRY_DELAY: Duration = Duration::from_millis(1);

    /// Creates a receiver for a socket in non-blocking mode.
    pub fn new(
        socket: UdpSocket,
        driver: Driver,
        metrics: Arc<Metrics>,
        decisions: Rc<LogRateLimiter>,
    ) -> io::Result<Self> {
        let socket = tokio::net::UdpSocket::from_std(socket)?;
        Ok(Self { socket, driver, metrics, decisions })
    }

    /// Runs the receiver.
    pub async fn run(self) {
        // One byte more than allowed shows that a datagram is too long.
        let mut buffer = [0; Self::MAX_BYTES + 1];
        let mut batch_len = 0;
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len_bytes, source)) => self.handle(&buffer[..len_bytes], source),
                Err(error) => {
                    self.drop_unreadable(None, &error.to_string());
                    tokio::time::sleep(Self::RETRY_DELAY).await;
                }
            }
            batch_len += 1;
            if batch_len == Self::MAX_BATCH {
                batch_len = 0;
                tokio::task::yield_now().await;
            }
        }
    }

    fn handle(&self, bytes: &[u8], source: SocketAddr) {
        if bytes.len() > Self::MAX_BYTES {
            return self.drop_unreadable(Some(source), "too long");
        }
        match decode(bytes, source) {
            Ok(event) => {
                self.metrics.record_datagram(DatagramResult::Received);
                self.driver.post(event);
            }
            Err(error) => self.drop_unreadable(Some(source), &error.to_string()),
        }
    }

    fn drop_unreadable(&self, source: Option<SocketAddr>, reason: &str) {
        self.metrics.record_datagram(DatagramResult::Unreadable);
        let event = NodeEvent::DatagramUnreadable;
        let Some(left_out) = self.decisions.admit(event) else { return };
        let source = source.map_or_else(|| "-".to_owned(), |source| source.to_string());
        info!(source = source.as_str(), why = reason, left_out = left_out; "{event}");
    }
}

fn decode(bytes: &[u8], source: SocketAddr) -> Result<Event, ProtocolError> {
    if SuspicionDatagram::has_tag_of(bytes) {
        let datagram = SuspicionDatagram::decode(bytes)?;
        return Ok(Event::Suspicions(source, Box::new(datagram)));
    }
    Ok(Event::Allotment(source, Box::new(AllotmentDatagram::decode(bytes)?)))
}
