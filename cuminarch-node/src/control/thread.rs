use std::net::TcpListener;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use cuminarch_membership::{
    ControlPlane, FleetAction, FleetEvent, FleetNotice, FleetSummary, PlatformCall, PlatformReply,
};
use cuminarch_protocol::ControlMessage;
use flume::{Receiver, Sender};
use log::{debug, error, info, warn};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::link::LinkEvent;
use super::links::Links;
use super::platform::PlatformThreads;
use crate::NodeError;
use crate::clock::Clock;
use crate::data::{DataCommand, MemberReport};
use crate::duty::Duties;
use crate::event::NodeEvent;
use crate::timer::Subscription;

/// Query for the state of the fleet, with the channel for the reply.
pub type FleetQuery = Sender<FleetSummary>;

/// Start parameters of the control thread.
pub struct ControlThread {
    /// The state machine to run.
    pub plane: Box<dyn ControlPlane>,
    /// Name of the fleet.
    pub fleet: CompactString,
    pub clock: Clock,
    pub listener: TcpListener,
    pub platform: PlatformThreads,
    /// Members that were read from the platform before the start.
    pub initial_members: Option<PlatformReply>,
    pub ticks: Subscription,
    pub commands: Sender<DataCommand>,
    /// Receives what the data thread learns about members.
    pub member_reports: Receiver<MemberReport>,
    /// Receives a message when the node accepts no new calls.
    pub leave: Receiver<()>,
    /// Receives a message when the node's calls have ended, with the time until the process ends.
    pub stop: Receiver<Duration>,
    /// Queries of the admin thread.
    pub queries: Receiver<FleetQuery>,
}

/// Reason for which the control thread wakes.
enum Wake {
    Fleet(FleetEvent),
    Link(LinkEvent),
    Accepted(TcpStream),
    Query(FleetQuery),
    /// The node ends within this time.
    Stop(Duration),
    /// A channel has closed.
    Disconnected,
}

/// The state machine and its inputs and outputs.
struct ControlLoop {
    fleet: Box<dyn ControlPlane>,
    clock: Clock,
    links: Links,
    platform: PlatformThreads,
    commands: Sender<DataCommand>,
}

impl ControlThread {
    const EVENT_RING_CAPACITY: usize = 1_024;
    /// Time for the last messages to be sent.
    const FINAL_SEND_DELAY: Duration = Duration::from_millis(100);

    /// Starts the thread; it ends when the stop channel closes.
    pub fn spawn(self, duties: &Duties) -> Result<JoinHandle<()>, NodeError> {
        let thread_error = |source| NodeError::Thread { duty: "control", source };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(thread_error)?;
        duties.spawn("control", move || {
            LocalSet::new().block_on(&runtime, self.run());
        })
    }

    async fn run(self) {
        let Self { plane, fleet, clock, listener, platform, initial_members, .. } = self;
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        let (events, mut link_events) = mpsc::channel(Self::EVENT_RING_CAPACITY);
        let links = Links::new(fleet, events);
        let replies = platform.replies().clone();
        let commands = self.commands;
        let mut running = ControlLoop { fleet: plane, clock, links, platform, commands };
        if let Some(reply) = initial_members {
            running.handle(FleetEvent::Platform(PlatformCall::ListMembers, reply)).await;
        }
        let mut is_leaving = false;
        let mut ends_at = None;
        // A process that is asked to end stores an acknowledged departure first.
        while ends_at.is_none_or(|at| running.fleet.owes_departure() && Instant::now() < at) {
            let wake = tokio::select! {
                limit = self.stop.recv_async(), if ends_at.is_none() => {
                    limit.map_or(Wake::Disconnected, Wake::Stop)
                }
                received = self.leave.recv_async(), if !is_leaving => {
                    is_leaving = true;
                    if received.is_err() {
                        Wake::Disconnected
                    } else {
                        Wake::Fleet(FleetEvent::Leave)
                    }
                }
                tick = self.ticks.recv_async() => {
                    if tick.is_err() { Wake::Disconnected } else { Wake::Fleet(FleetEvent::Tick) }
                }
                reply = replies.recv_async() => match reply {
                    Ok(event) => Wake::Fleet(event),
                    Err(_) => Wake::Disconnected,
                },
                Ok(report) = self.member_reports.recv_async() => Wake::Fleet(match report {
                    MemberReport::Upstream(record) => FleetEvent::Upstream(record),
                    MemberReport::UpstreamPending(pending) => FleetEvent::UpstreamPending(pending),
                    MemberReport::Misdirected(member) => FleetEvent::Misdirected(member),
                }),
                Some(event) = link_events.recv() => Wake::Link(event),
                Ok((stream, _)) = listener.accept() => Wake::Accepted(stream),
                Ok(query) = self.queries.recv_async() => Wake::Query(query),
            };
            match wake {
                Wake::Stop(limit) => ends_at = Some(Instant::now() + limit),
                Wake::Disconnected => break,
                wake => running.handle_wake(wake).await,
            }
        }
        if running.fleet.owes_departure() {
            warn!("{} at the end of the process", NodeEvent::DepartureUnrecorded);
        }
        running.handle(FleetEvent::Stop).await;
        tokio::time::sleep(Self::FINAL_SEND_DELAY).await;
    }
}

impl ControlLoop {
    async fn handle_wake(&mut self, wake: Wake) {
        match wake {
            Wake::Fleet(event) => {
                if event == FleetEvent::Tick {
                    self.close_unresponsive_links().await;
                }
                self.handle(event).await;
            }
            Wake::Link(event) => self.link_event(event).await,
            Wake::Accepted(stream) => {
                let hello = self.fleet.hello();
                self.links.accept(stream, &hello);
            }
            Wake::Query(query) => {
                let _ = query.try_send(self.fleet.summary(self.clock.now()));
            }
            Wake::Stop(_) | Wake::Disconnected => {}
        }
    }

    async fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up { number, hello, sender, address } => {
                let endpoint = hello.member.endpoint.clone();
                self.links.on_opened(number, &endpoint, address, sender);
                let message = ControlMessage::Hello(hello);
                self.handle(FleetEvent::Received(endpoint, message)).await;
            }
            LinkEvent::Received(endpoint, message) => {
                self.links.on_received(&endpoint);
                self.handle(FleetEvent::Received(endpoint, message)).await;
            }
            LinkEvent::Down { number, endpoint, address } => {
                if let Some(endpoint) = self.links.on_closed(number, endpoint, address) {
                    self.handle(FleetEvent::LinkLost(endpoint)).await;
                }
            }
        }
    }

    async fn close_unresponsive_links(&mut self) {
        for peer in self.links.close_unresponsive() {
            debug!("{} control link: {peer} does not reply", NodeEvent::ConnectionFault);
            self.handle(FleetEvent::LinkUnresponsive(peer)).await;
        }
    }

    async fn handle(&mut self, event: FleetEvent) {
        let actions = self.fleet.handle(event, self.clock.now());
        for action in actions {
            self.execute(action).await;
        }
    }

    async fn execute(&mut self, action: FleetAction) {
        match action {
            FleetAction::Send(to, address, message) => {
                let hello = self.fleet.hello();
                self.links.send(&to, address, message, &hello);
            }
            FleetAction::Connect(address) => {
                let hello = self.fleet.hello();
                self.links.dial(None, address, &hello);
            }
            FleetAction::Platform(call) => {
                if let Some((call, reply)) = self.platform.submit(call) {
                    let event = FleetEvent::Platform(call, reply);
                    Box::pin(self.handle(event)).await;
                }
            }
            FleetAction::View(member) => self.command(DataCommand::Member(member)).await,
            FleetAction::UpstreamHistory(record) => {
                self.command(DataCommand::UpstreamHistory(record)).await;
            }
            FleetAction::UpstreamHistoryComplete => {
                self.command(DataCommand::UpstreamHistoryComplete).await;
            }
            FleetAction::UpstreamHistoryUnknown => {
                self.command(DataCommand::UpstreamHistoryUnknown).await;
            }
            FleetAction::UpstreamUnconfirmed => {
                self.command(DataCommand::UpstreamUnconfirmed).await;
            }
            FleetAction::UpstreamRecorded(record) => {
                self.command(DataCommand::UpstreamRecorded(record)).await;
            }
            FleetAction::Policy(policy) => self.command(DataCommand::Policy(policy)).await,
            FleetAction::Notice(notice) => {
                log_notice(&notice);
                match notice {
                    FleetNotice::Superseded => self.command(DataCommand::Drain).await,
                    FleetNotice::Rejoined => self.command(DataCommand::Rejoined).await,
                    _ => {}
                }
            }
        }
    }

    async fn command(&self, command: DataCommand) {
        let _ = self.commands.send_async(command).await;
    }
}

fn log_notice(notice: &FleetNotice) {
    match notice {
        FleetNotice::PlatformUnavailable => warn!("{}", NodeEvent::PlatformUnavailable),
        FleetNotice::PlatformAvailable => info!("{}", NodeEvent::PlatformAvailable),
        FleetNotice::StoreRestored(_) => warn!("{} {notice}", NodeEvent::StoreRestored),
        FleetNotice::ConfigInForce(..) => info!("{} {notice}", NodeEvent::ConfigInForce),
        FleetNotice::ConfigUnverified(..) => warn!("{} {notice}", NodeEvent::ConfigUnverified),
        FleetNotice::ConfigVerified(..) => info!("{} {notice}", NodeEvent::ConfigVerified),
        FleetNotice::ConfigRefused(..) => warn!("{} {notice}", NodeEvent::ConfigRefused),
        FleetNotice::ConfigEntrySetAside(..) | FleetNotice::ConfigEntriesLeftOut(..) => {
            warn!("{} {notice}", NodeEvent::ConfigEntrySetAside);
        }
        FleetNotice::ConfigConflict(_) => error!("{} {notice}", NodeEvent::ConfigConflict),
        FleetNotice::SafeDefaults => warn!("{}", NodeEvent::SafeDefaults),
        FleetNotice::Superseded => error!("{}", NodeEvent::Superseded),
        FleetNotice::Rejoined => info!("{}", NodeEvent::Rejoined),
        FleetNotice::Suspected(_) => info!("{} {notice}", NodeEvent::MemberSuspected),
        FleetNotice::GivenUp(_) => info!("{} {notice}", NodeEvent::MemberGivenUp),
        FleetNotice::ZoneCut(_) => warn!("{} {notice}", NodeEvent::ZoneCut),
        FleetNotice::ZoneJoined(_) => info!("{} {notice}", NodeEvent::ZoneJoined),
    }
}
