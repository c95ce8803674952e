use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::sync::OnceCell;

use super::upstream_connection::UpstreamConnection;

/// Result of a check whether the process of the upstream has ended, shared by the calls whose
/// connections broke together.
struct EndCheck {
    begun_at: Instant,
    has_ended: Rc<OnceCell<bool>>,
}

struct IdleConnection {
    since: Instant,
    connection: UpstreamConnection,
}

/// Pool of idle connections to the local upstream, last in, first out.
#[derive(Clone)]
pub struct UpstreamPool {
    address: SocketAddr,
    idle: Rc<RefCell<VecDeque<IdleConnection>>>,
    end_check: Rc<RefCell<Option<EndCheck>>>,
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
    /// Connections that break when a process ends are noticed within a few milliseconds.
    const END_CHECK_TTL: Duration = Duration::from_millis(5);

    /// Creates an empty pool for the upstream at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Rc::default(), end_check: Rc::default() }
    }

    /// Returns the address of the upstream.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes a connection whose idle time is within `bounds` and that can carry a request with this
    /// label, if there is one.
    pub fn take_idle(
        &self,
        bounds: RangeInclusive<Duration>,
        label: Option<&str>,
    ) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        while idle.front().is_some_and(|oldest| oldest.since.elapsed() > Self::MAX_IDLE_TIME) {
            idle.pop_front();
        }
        loop {
            let is_usable = |idle: &IdleConnection| {
                idle.since.elapsed() >= *bounds.start() && idle.connection.may_carry(label)
            };
            let last = idle.iter().rposition(is_usable)?;
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

    /// Returns `true` if the address of the upstream refuses connections, as it does while no
    /// process listens there. Called after a connection broke.
    pub async fn has_ended(&self) -> bool {
        let check = {
            let mut check = self.end_check.borrow_mut();
            let current =
                check.take().filter(|check| check.begun_at.elapsed() < Self::END_CHECK_TTL);
            let new = || EndCheck { begun_at: Instant::now(), has_ended: Rc::default() };
            Rc::clone(&check.insert(current.unwrap_or_else(new)).has_ended)
        };
        *check.get_or_init(|| self.is_refused()).await
    }

    /// Opens a connection, which serves the next request, to see whether the upstream accepts it.
    async fn is_refused(&self) -> bool {
        let connect = TcpStream::connect(self.address);
        match tokio::time::timeout(Self::CONNECT_TIMEOUT, connect).await {
            Ok(Ok(stream)) => {
                if stream.set_nodelay(true).is_ok() {
                    self.put_back(UpstreamConnection::new(stream));
                }
                false
            }
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        }
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
