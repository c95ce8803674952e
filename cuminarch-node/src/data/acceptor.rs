//! Accepts the connections of a listener.

use std::future::Future;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use log::warn;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::connections::{Connection, Connections};
use super::listener::ignore_connection_attempts;
use super::runner::DataContext;
use crate::event::NodeEvent;

/// Delay after a failed `accept`.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time at shutdown for the handshakes of callers; a few round trips to other zones.
pub const CALLER_HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval at which the backlog is read during that time.
const BACKLOG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts connections until shutdown, then those that have been opened by then: closing the
/// listener would reset them and lose the requests that their callers have sent.
///
/// With a `handshake_timeout`, handshakes in progress can end in that time. It is needless for peers
/// that send no request before the node has sent something.
pub async fn accept<F>(
    context: DataContext,
    (listener, handshake_timeout): (TcpListener, Duration),
    connections: Connections,
    serve: impl Fn(TcpStream, Connection) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let mut stop = connections.stop_signal();
    let backlog = listener.try_clone();
    let listener = tokio::net::TcpListener::from_std(listener);
    let listener = listener.expect("cannot register the listener with the event loop");
    let serve_or_refuse = |stream: TcpStream| match connections.add() {
        Some(connection) => context.spawn(serve(stream, connection)),
        None => context.metrics.record_refused_connection(),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => break,
        };
        match accepted {
            Ok((stream, _)) => serve_or_refuse(stream),
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
    if let Ok(backlog) = backlog {
        if !handshake_timeout.is_zero()
            && let Err(error) = ignore_connection_attempts(&backlog)
        {
            warn!("{} listener: {error}", NodeEvent::ConnectionFault);
        }
        accept_backlog(backlog, handshake_timeout, serve_or_refuse).await;
    }
}

/// Accepts what is in the queue of a listener until the timeout. Accepts directly, as the event loop
/// may not have seen the last connections yet.
async fn accept_backlog(
    backlog: TcpListener,
    timeout: Duration,
    serve_or_refuse: impl Fn(TcpStream),
) {
    let ends_at = Instant::now() + timeout;
    loop {
        let is_over = Instant::now() >= ends_at;
        while let Ok((stream, _)) = backlog.accept() {
            if stream.set_nonblocking(true).is_ok()
                && let Ok(stream) = TcpStream::from_std(stream)
            {
                serve_or_refuse(stream);
            }
        }
        if is_over {
            return;
        }
        sleep(BACKLOG_POLL_INTERVAL).await;
    }
}
