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

/// Pool of idle connections to the local upstream, last in, first out.
#[derive(Clone)]
pub struct UpstreamPool {
    address: SocketAddr,
    idle: Rc<RefCell<VecDeque<IdleConnection>>>,
}

impl UpstreamPool {
    const MAX_IDLE_CONNECTIONS: usize = 512;
    /// Maximum idle time for a request that can be retried. Common servers close idle connections
    /// after five seconds.
    pub const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
    /// Maximum idle time for a request that can't be retried: it is lost if the upstream has
    /// dropped the connection in the meantime.
    pub const MAX_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_millis(700);
    /// Minimum idle time for a request that can't be retried. Surplus bytes after the upstream's
    /// last answer, which would be taken for the next answer, have arrived by then.
    pub const MIN_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_millis(10);
    /// Short because the upstream is on the same host.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

    /// Creates an empty pool for the upstream at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default() }
    }

    /// Returns the address of the upstream.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes a connection whose idle time is within `bounds`, if there is one.
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

    /// Opens a new connection.
    pub async fn open(&self) -> Option<UpstreamConnection> {
        let connect = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(Self::CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(UpstreamConnection::new(stream))
    }

    /// Returns a connection to the pool if it can be reused.
    pub fn put_back(&self, connection: UpstreamConnection) {
        let mut idle = self.idle.borrow_mut();
        if connection.is_reusable() && idle.len() < Self::MAX_IDLE_CONNECTIONS {
            idle.push_back(IdleConnection { since: Instant::now(), connection });
        }
    }

    /// Closes all idle connections, which belong to an earlier instance of the upstream.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}
