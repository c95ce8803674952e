use std::net::{TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cuminarch_engine::{Engine, Event};
use cuminarch_protocol::UpstreamRecord;
use flume::{Receiver, Sender};
use log::warn;
use tokio::runtime::{Builder, LocalOptions};
use tokio::time::timeout;

use super::acceptor::{CALLER_HANDSHAKE_TIMEOUT, accept};
use super::ahead_budget::AheadBudget;
use super::command::DataCommand;
use super::connections::Connections;
use super::datagrams::{DatagramReceiver, DatagramSender};
use super::driver::{ClaimRequest, Driver};
use super::front::{Purpose, serve_connection};
use super::limits::DataLimits;
use super::link_hello::LinkHello;
use super::link_pool::LinkPool;
use super::link_server::serve_link;
use super::member_report::MemberReport;
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

/// Time at shutdown for callers to close their connections once they have taken all answers.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a shutdown checks what it waits for.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Listening sockets of the data thread.
pub struct DataListeners {
    pub callers: TcpListener,
    pub egress: Option<TcpListener>,
    pub links: TcpListener,
    pub registration: Option<TcpListener>,
    pub readiness: Option<TcpListener>,
    /// Datagrams of other nodes.
    pub datagrams: UdpSocket,
}

/// Initial state of the data thread.
pub struct DataThread {
    pub engine: Engine,
    pub clock: Clock,
    pub listeners: DataListeners,
    pub settings: NodeSettings,
    pub commands: Receiver<DataCommand>,
    pub claims: Sender<ClaimRequest>,
    pub metrics: Arc<Metrics>,
    pub interface: Arc<dyn CallerInterface>,
    pub member_reports: Sender<MemberReport>,
    /// Whether the control thread tells what earlier processes knew about the upstream.
    pub keeps_upstream_history: bool,
}

/// Open connections by origin.
struct ServedConnections {
    external: Connections,
    egress: Connections,
    /// Registrations and readiness checks.
    lifecycle: Connections,
}

impl DataThread {
    /// Name of the duty.
    pub const DUTY: &'static str = "data";

    /// Starts the thread, which runs until [`DataCommand::Stop`].
    pub fn spawn(self, duties: &Duties) -> Result<JoinHandle<()>, NodeError> {
        duties.spawn(Self::DUTY, move || self.run())
    }

    fn run(self) {
        let runtime =
            Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
        runtime.expect("cannot create the event loop").block_on(self.serve());
    }

    async fn serve(self) {
        let (tasks, mut panics) = Tasks::new();
        let datagrams = self.listeners.datagrams.try_clone().expect("cannot duplicate a socket");
        let sender = DatagramSender::new(datagrams, self.metrics.clone());
        let decisions = Rc::new(LogRateLimiter::new());
        let limiter = Rc::clone(&decisions);
        let driver = Driver::new(
            self.engine,
            self.clock,
            self.claims,
            sender,
            limiter,
            self.metrics.clone(),
        );
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
            decisions,
            requires_config: self.settings.requires_config,
            splitter: Rc::default(),
            member_reports: self.member_reports,
            ahead_budget: AheadBudget::default(),
        };
        if self.keeps_upstream_history {
            driver.await_upstream_history();
        }
        if self.settings.registration_address.is_some() {
            driver.post(Event::Upstream(Box::new(UpstreamRecord::absent())));
        }
        let max_open = self.settings.max_connections;
        let served = ServedConnections::new(max_open);
        listen(&context, self.listeners, &served);
        context.spawn(driver.clone().run_timers());
        context.spawn(context.links.clone().close_unusable());
        let commands = self.commands;
        let stopped = async {
            let publish = |record| context.publish_history(record);
            let Some(limit) = driver.run_commands(&commands, publish).await else { return };
            tokio::select! {
                () = shut_down(&context, &served, limit) => {}
                () = async { while driver.run_commands(&commands, publish).await.is_some() {} } => {}
            }
        };
        tokio::select! {
            () = stopped => {}
            () = propagate_panic(&mut panics) => {}
        }
    }
}

/// Resumes the panic of a task on the thread itself.
async fn propagate_panic(panics: &mut TaskPanics) {
    std::panic::resume_unwind(panics.next().await);
}

/// Starts to accept connections on all listeners.
fn listen(context: &DataContext, listeners: DataListeners, served: &ServedConnections) {
    let http = |purpose| {
        let context = context.clone();
        move |stream, connection| serve_connection(context.clone(), stream, purpose, connection)
    };
    let callers = http(Purpose::Calls(Side::Caller));
    let link_context = context.clone();
    let link = move |stream, connection| serve_link(link_context.clone(), stream, connection);
    let (driver, metrics) = (context.driver.clone(), context.metrics.clone());
    let decisions = Rc::clone(&context.decisions);
    let datagrams = DatagramReceiver::new(listeners.datagrams, driver, metrics, decisions);
    let datagrams = datagrams.expect("cannot register the socket with the event loop");
    context.spawn(datagrams.run());
    let external = &served.external;
    let listener = (listeners.callers, CALLER_HANDSHAKE_TIMEOUT);
    context.spawn(accept(context.clone(), listener, external.clone(), callers));
    let listener = (listeners.links, Duration::ZERO);
    context.spawn(accept(context.clone(), listener, external.clone(), link));
    let (egress, lifecycle) = (&served.egress, &served.lifecycle);
    let others = [
        (listeners.egress, egress, Purpose::Calls(Side::Upstream)),
        (listeners.registration, lifecycle, Purpose::Registration),
        (listeners.readiness, lifecycle, Purpose::Readiness),
    ];
    for (listener, connections, purpose) in others {
        if let Some(listener) = listener {
            let listener = (listener, CALLER_HANDSHAKE_TIMEOUT);
            context.spawn(accept(context.clone(), listener, connections.clone(), http(purpose)));
        }
    }
}

impl ServedConnections {
    fn new(max_open: usize) -> Self {
        Self {
            external: Connections::new(max_open),
            egress: Connections::new(max_open),
            lifecycle: Connections::new(max_open),
        }
    }

    const fn all(&self) -> [&Connections; 3] {
        [&self.external, &self.egress, &self.lifecycle]
    }

    /// Returns `true` if an answer to a caller or to the own upstream has not been written yet.
    fn has_unanswered(&self) -> bool {
        self.external.unanswered() + self.egress.unanswered() > 0
    }

    /// Returns the number of closing connections whose peers have not taken all answers yet.
    fn unsent(&self) -> usize {
        self.all().iter().map(|connections| connections.unsent()).sum()
    }

    /// Waits until all connections are closed, at most until the deadline. A peer that has taken
    /// all answers has [`CLOSE_TIMEOUT`] to close its connection.
    async fn wait_until_closed(&self, deadline: Instant) {
        let mut closable_since = Instant::now();
        while !self.all().iter().all(|connections| connections.is_closed()) {
            let now = Instant::now();
            if self.unsent() > 0 {
                closable_since = now;
            }
            if now >= deadline || now.duration_since(closable_since) >= CLOSE_TIMEOUT {
                return;
            }
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }
}

/// Waits until no call is in progress and all answers are written.
async fn wait_until_answered(context: &DataContext, served: &ServedConnections) {
    loop {
        context.driver.wait_until_idle().await;
        if !served.has_unanswered() {
            return;
        }
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

/// Waits at most `limit` for calls in progress, and for their answers to be taken by the callers.
/// The local upstream can call other services until the last call has ended.
async fn shut_down(context: &DataContext, served: &ServedConnections, limit: Duration) {
    let deadline = Instant::now() + limit;
    let remaining = deadline.saturating_duration_since(Instant::now() + CLOSE_TIMEOUT);
    let is_answered = timeout(remaining, wait_until_answered(context, served)).await.is_ok();
    let calls = context.driver.calls();
    served.all().iter().for_each(|connections| connections.stop());
    // Connections that are still open after this are closed when the thread ends.
    served.wait_until_closed(deadline).await;
    let unsent = served.unsent();
    if !is_answered || unsent > 0 {
        let limit_ms = limit.as_millis();
        warn!("{} calls={calls} unsent={unsent} limit_ms={limit_ms}", NodeEvent::ShutdownTimeout);
    }
    context.links.close_idle();
}
