use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use super::upstream_connection::UpstreamConnection;

struct IdleConnection {
    since: Instant,
    connection: UpstreamConnection,
}

/// Idle connections to the own upstream; the one used last is used next.
#[derive(Clone)]
pub struct UpstreamPool {
    address: SocketAddr,
    idle: Rc<RefCell<VecDeque<IdleConnection>>>,
}

impl UpstreamPool {
    const MAX_IDLE_CONNECTIONS: usize = 512;
    /// Longest idle time of a connection for a request that can be sent again;
    /// common servers close idle connections after five seconds.
    pub const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
    /// The same for a request that can't: it is lost if the upstream has
    /// forgotten the connection meanwhile.
    pub const MAX_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_millis(700);
    /// Shortest idle time for such a request: what an upstream has sent behind its last
    /// answer, and would be taken for the next one, has arrived by then.
    pub const MIN_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_millis(10);
    /// The upstream is on the same host.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

    /// Connections to the upstream at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default() }
    }

    /// Where the upstream listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// A connection that was idle for a time within these bounds, if there is one.
    pub fn take_idle(&self, bounds: RangeInclusive<Duration>) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        while idle.front().is_some_and(|oldest| oldest.since.elapsed() > Self::MAX_IDLE_TIME) {
            idle.pop_front();
        }
        loop {
            let is_settled = |idle: &IdleConnection| idle.since.elapsed() >= *bounds.start();
            let last = idle.iter().rposition(is_settled)?;
            let last = idle.remove(last)?;
            let limit = (*bounds.end()).min(last.connection.idle_limit());
            if last.since.elapsed() <= limit && last.connection.is_quiet() {
                return Some(last.connection);
            }
        }
    }

    /// A new connection.
    pub async fn open(&self) -> Option<UpstreamConnection> {
        let connect = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(Self::CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(UpstreamConnection::new(stream))
    }

    /// Keeps a connection for other requests, if it can carry any.
    pub fn put_back(&self, connection: UpstreamConnection) {
        let mut idle = self.idle.borrow_mut();
        if connection.is_reusable() && idle.len() < Self::MAX_IDLE_CONNECTIONS {
            idle.push_back(IdleConnection { since: Instant::now(), connection });
        }
    }

    /// Closes all idle connections, as they belong to an earlier upstream.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
