use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cuminarch_engine::{Engine, Event};
use cuminarch_protocol::UpstreamRecord;
use flume::{Receiver, Sender};
use log::warn;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::timeout;

use super::connections::{Connection, Connections};
use super::driver::{ClaimRequest, DataCommand, Driver};
use super::front::{Purpose, serve_connection};
use super::limits::DataLimits;
use super::link_hello::LinkHello;
use super::link_pool::LinkPool;
use super::link_server::serve_link;
use super::runner::DataContext;
use super::tasks::{TaskPanics, Tasks};
use super::upstream_pool::UpstreamPool;
use crate::clock::Clock;
use crate::decisions::LogRateLimiter;
use crate::duty::Duties;
use crate::event::NodeEvent;
use crate::interface::{CallerInterface, Side};
use crate::metrics::Metrics;
use crate::{NodeError, NodeSettings};

/// Time that finished answers get to reach their callers at shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a connection that could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sockets that the data thread listens on.
pub struct DataListeners {
    pub callers: TcpListener,
    pub egress: Option<TcpListener>,
    pub links: TcpListener,
    pub registration: Option<TcpListener>,
    pub readiness: Option<TcpListener>,
}

/// Everything the data thread starts with.
pub struct DataThread {
    pub engine: Engine,
    pub clock: Clock,
    pub listeners: DataListeners,
    pub settings: NodeSettings,
    pub commands: Receiver<DataCommand>,
    pub claims: Sender<ClaimRequest>,
    pub metrics: Arc<Metrics>,
    pub interface: Arc<dyn CallerInterface>,
    pub upstream_changes: Sender<UpstreamRecord>,
}

/// Connections by where they came from.
struct ServedConnections {
    external: Connections,
    egress: Connections,
    /// Registrations and questions whether the node is ready.
    lifecycle: Connections,
}

impl DataThread {
    /// Name of the duty.
    pub const DUTY: &'static str = "data";

    /// Starts the thread; it ends when told to stop.
    pub fn spawn(self, duties: &Duties) -> Result<JoinHandle<()>, NodeError> {
        duties.spawn(Self::DUTY, move || self.run())
    }

    fn run(self) {
        let runtime =
            Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
        runtime.expect("an event loop can be had").block_on(self.serve());
    }

    async fn serve(self) {
        let (tasks, mut panics) = Tasks::new();
        let driver = Driver::new(self.engine, self.clock, self.claims, self.metrics.clone());
        let hello = LinkHello::new(self.settings.fleet.clone());
        let context = DataContext {
            driver: driver.clone(),
            upstream: UpstreamPool::new(self.settings.upstream_address),
            links: LinkPool::new(hello.clone()),
            own_service: self.settings.service.clone(),
            own_zone: self.settings.zone.clone(),
            hello,
            metrics: self.metrics,
            tasks,
            interface: self.interface,
            settings_limits: DataLimits::new(&self.settings),
            decisions: Rc::new(LogRateLimiter::new()),
            splitter: Rc::default(),
            upstream_changes: self.upstream_changes,
        };
        if self.settings.registration_address.is_some() {
            driver.post(Event::Upstream(Box::new(UpstreamRecord::absent())));
        }
        let max_open = self.settings.max_connections;
        let served = ServedConnections {
            external: Connections::new(max_open),
            egress: Connections::new(max_open),
            lifecycle: Connections::new(max_open),
        };
        listen(&context, self.listeners, &served);
        context.spawn(driver.clone().run_timers());
        let commands = self.commands;
        let stopped = async {
            let Some(limit) = driver.run_commands(&commands).await else { return };
            tokio::select! {
                () = shut_down(&context, &served, limit) => {}
                () = async { while driver.run_commands(&commands).await.is_some() {} } => {}
            }
        };
        tokio::select! {
            () = stopped => {}
            () = propagate_panic(&mut panics) => {}
        }
    }
}

/// Ends the thread with the panic of one of its tasks.
async fn propagate_panic(panics: &mut TaskPanics) {
    std::panic::resume_unwind(panics.next().await);
}

/// Starts to accept connections, each side on its own socket.
fn listen(context: &DataContext, listeners: DataListeners, served: &ServedConnections) {
    let http = |purpose| {
        let context = context.clone();
        move |stream, connection| serve_connection(context.clone(), stream, purpose, connection)
    };
    let callers = http(Purpose::Calls(Side::Caller));
    let linked = context.clone();
    let link = move |stream, connection| serve_link(linked.clone(), stream, connection);
    let outside = &served.external;
    context.spawn(accept(context.clone(), listeners.callers, outside.clone(), callers));
    context.spawn(accept(context.clone(), listeners.links, outside.clone(), link));
    let (egress, signs) = (&served.egress, &served.lifecycle);
    let others = [
        (listeners.egress, egress, Purpose::Calls(Side::Upstream)),
        (listeners.registration, signs, Purpose::Registration),
        (listeners.readiness, signs, Purpose::Readiness),
    ];
    for (listener, connections, purpose) in others {
        if let Some(listener) = listener {
            let connections = connections.clone();
            context.spawn(accept(context.clone(), listener, connections, http(purpose)));
        }
    }
}

/// Lets calls in progress and their answers end, for at most `limit`. The own
/// upstream can call other services until the last call has ended.
async fn shut_down(context: &DataContext, served: &ServedConnections, limit: Duration) {
    let until = Instant::now() + limit;
    let left = until.saturating_duration_since(Instant::now() + CLOSE_TIMEOUT);
    if timeout(left, context.driver.wait_until_idle()).await.is_err() {
        let calls = context.driver.calls();
        warn!("{} calls={calls} limit_ms={}", NodeEvent::ShutdownTimeout, limit.as_millis());
    }
    for connections in [&served.external, &served.egress, &served.lifecycle] {
        connections.stop();
    }
    // Whatever is still open then is closed by the end of the thread.
    let closed = async {
        for connections in [&served.external, &served.egress, &served.lifecycle] {
            connections.closed().await;
        }
    };
    let _ = timeout(CLOSE_TIMEOUT, closed).await;
    context.links.close_idle();
}

/// Accepts connections until they are told to end, and then those that have opened
/// already: closing the listener would reset them, with what their callers have sent.
async fn accept<F>(
    context: DataContext,
    listener: TcpListener,
    connections: Connections,
    serve: impl Fn(TcpStream, Connection) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let pending = listener.try_clone();
    let listener = tokio::net::TcpListener::from_std(listener);
    let listener = listener.expect("a listening socket");
    let take = |stream: TcpStream| match connections.add() {
        Some(connection) => context.spawn(serve(stream, connection)),
        None => context.metrics.record_refused_connection(),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connections.wait_for_stop() => break,
        };
        match accepted {
            Ok((stream, _)) => take(stream),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Asked directly, as the event loop may not have heard of the last ones yet.
    let Ok(pending) = pending else { return };
    while let Ok((stream, _)) = pending.accept() {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            take(stream);
        }
    }
}
