use std::future::Future;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cuminarch_engine::Engine;
use flume::{Receiver, Sender};
use log::warn;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::timeout;

use super::connections::{Connection, Connections};
use super::driver::{ClaimRequest, DataCommand, Driver};
use super::front::{Side, serve_connection};
use super::limits::DataLimits;
use super::link_hello::LinkHello;
use super::link_pool::LinkPool;
use super::link_server::serve_link;
use super::local::LocalPool;
use super::runner::DataContext;
use super::tasks::{TaskPanics, Tasks};
use crate::clock::Clock;
use crate::duty::Duties;
use crate::event::NodeEvent;
use crate::metrics::Metrics;
use crate::{NodeError, NodeSettings};

/// Shortest time that finished answers get to reach their callers at shutdown.
const MIN_CLOSE_TIME: Duration = Duration::from_secs(1);
/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sockets that the data thread listens on.
pub struct DataListeners {
    pub callers: TcpListener,
    pub egress: TcpListener,
    pub links: TcpListener,
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
}

/// Connections by where they came from.
struct Served {
    outside: Connections,
    egress: Connections,
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
            upstream: LocalPool::new(self.settings.upstream_address),
            links: LinkPool::new(hello.clone()),
            own_service: self.settings.service.clone(),
            hello,
            metrics: self.metrics,
            tasks,
            limits: DataLimits::new(&self.settings),
        };
        let max_open = self.settings.max_connections;
        let served =
            Served { outside: Connections::new(max_open), egress: Connections::new(max_open) };
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
            () = fail(&mut panics) => {}
        }
    }
}

/// Ends the thread with the panic of one of its tasks.
async fn fail(panics: &mut TaskPanics) {
    std::panic::resume_unwind(panics.next().await);
}

/// Starts to accept connections, each side on its own socket.
fn listen(context: &DataContext, listeners: DataListeners, served: &Served) {
    let http = |side| {
        let context = context.clone();
        move |stream, connection| serve_connection(context.clone(), stream, side, connection)
    };
    let linked = context.clone();
    let link = move |stream, connection| serve_link(linked.clone(), stream, connection);
    let outside = &served.outside;
    context.spawn(accept(context.clone(), listeners.callers, outside.clone(), http(Side::Caller)));
    context.spawn(accept(context.clone(), listeners.links, outside.clone(), link));
    let egress = served.egress.clone();
    context.spawn(accept(context.clone(), listeners.egress, egress, http(Side::Upstream)));
}

/// Lets calls in progress and their answers end, for at most `limit`. The own
/// upstream can call other services until the last call has ended.
async fn shut_down(context: &DataContext, served: &Served, limit: Duration) {
    let until = Instant::now() + limit;
    if timeout(limit, context.driver.idle()).await.is_err() {
        let calls = context.driver.calls();
        warn!("{} calls={calls} limit_ms={}", NodeEvent::ShutdownTimeout, limit.as_millis());
    }
    for connections in [&served.outside, &served.egress] {
        connections.stop();
        let left = until.saturating_duration_since(Instant::now()).max(MIN_CLOSE_TIME);
        let _ = timeout(left, connections.closed()).await;
    }
    context.links.close_idle();
}

/// Accepts connections until they are told to end.
async fn accept<F>(
    context: DataContext,
    listener: TcpListener,
    connections: Connections,
    serve: impl Fn(TcpStream, Connection) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener);
    let listener = listener.expect("a listening socket");
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connections.stopping() => return,
        };
        match accepted {
            Ok((stream, _)) => match connections.add() {
                Some(connection) => context.spawn(serve(stream, connection)),
                None => context.metrics.connection_refused(),
            },
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
