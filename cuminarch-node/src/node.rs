use std::hash::{BuildHasher, RandomState};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cuminarch_config::Policy;
use cuminarch_engine::{Engine, EngineSettings};
use cuminarch_membership::{Fleet, FleetSettings, PlatformReply};
use cuminarch_once::KeyTableSettings;
use cuminarch_platform::HttpObjectStore;
use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, Incarnation};
use flume::{Receiver, Sender};
use log::info;

use crate::admin::{AdminHandle, AdminThread};
use crate::clock::Clock;
use crate::control::{ClaimThread, ControlThread, PlatformThreads, read_members};
use crate::data::{DataCommand, DataListeners, DataThread, bind};
use crate::duty::{Duties, DutyFault};
use crate::event::NodeEvent;
use crate::metrics::Metrics;
use crate::timer::TimerService;
use crate::{NodeError, NodeSettings};

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    caller: SocketAddr,
    egress: SocketAddr,
}

/// Sockets that a node listens on.
struct Listeners {
    callers: TcpListener,
    egress: TcpListener,
    links: TcpListener,
    control: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        Ok(Self {
            callers: bind(settings.caller_address, "callers")?,
            egress: bind(settings.egress_address, "egress")?,
            links: bind(settings.data_address, "data links")?,
            control: bind(settings.control_address, "control links")?,
            admin: bind(settings.admin_address, "operators")?,
        })
    }
}

fn local(listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    listener.local_addr().map_err(|source| NodeError::Thread { duty: "data", source })
}

/// A running node.
pub struct Node {
    addresses: Addresses,
    admin: AdminHandle,
    commands: Sender<DataCommand>,
    duties: Duties,
    faults: Receiver<DutyFault>,
    leave: Sender<()>,
    stop: Sender<()>,
    data: JoinHandle<()>,
    control: JoinHandle<()>,
    shutdown_timeout: Duration,
}

impl Node {
    const COMMAND_RING: usize = 1_024;
    const CLAIM_RING: usize = 256;
    const ASK_RING: usize = 4;
    /// Time that the platform has to tell of earlier processes of the endpoint.
    const START_TIMEOUT: Duration = Duration::from_secs(1);

    /// Starts a node; port 0 in an address takes a free port.
    ///
    /// # Errors
    ///
    /// Fails when an address or a thread cannot be had.
    pub fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let Listeners { callers, egress, links, control, admin: admin_listener } =
            Listeners::bind(&settings)?;
        let addresses = Addresses { caller: local(&callers)?, egress: local(&egress)? };
        let store = HttpObjectStore::new(settings.platform_address)
            .with_caller(settings.endpoint.to_string());
        let first_reply = read_members(&store.clone().with_timeout(Self::START_TIMEOUT)).ok();
        let incarnation = new_incarnation(&settings.endpoint, first_reply.as_ref());
        let member = member_of(&settings, incarnation, local(&links)?, local(&control)?);
        let engine = engine_of(&settings, incarnation);
        let (commands, command_ring) = flume::bounded(Self::COMMAND_RING);
        let (claims, claim_ring) = flume::bounded(Self::CLAIM_RING);
        let (leave, leaving) = flume::bounded(1);
        let (stop, stopped) = flume::bounded(1);
        let (asks, ask_ring) = flume::bounded(Self::ASK_RING);
        let (duties, faults) = Duties::new();
        let metrics = Arc::new(Metrics::new());
        let timer = start_timer(&duties)?;
        let data = DataThread {
            engine,
            clock: Clock::new(),
            listeners: DataListeners { callers, egress, links },
            settings: settings.clone(),
            commands: command_ring,
            claims,
            metrics: metrics.clone(),
        }
        .spawn(&duties)?;
        let control = ControlThread {
            member,
            settings: fleet_settings(&settings, incarnation),
            listener: control,
            platform: PlatformThreads::spawn(&store, &duties)?,
            first_reply,
            ticks: timer.subscribe(Fleet::TICK),
            commands: commands.clone(),
            leave: leaving,
            stop: stopped,
            asks: ask_ring,
        }
        .spawn(&duties)?;
        ClaimThread::new(store, settings.service.clone(), claim_ring, commands.clone())
            .spawn(&duties)?;
        info!("{} endpoint={} callers={}", NodeEvent::Started, settings.endpoint, addresses.caller);
        let shutdown_timeout = Duration::from_millis(settings.shutdown_timeout_ms);
        let (asked, watched) = (commands.clone(), duties.clone());
        let admin =
            AdminThread { settings, commands: asked, duties: watched, metrics, fleet: asks }
                .spawn(admin_listener)?;
        Ok(Self {
            addresses,
            admin,
            commands,
            duties,
            faults,
            leave,
            stop,
            data,
            control,
            shutdown_timeout,
        })
    }

    /// Where callers connect.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.addresses.caller
    }

    /// Where the own upstream connects to call other services.
    #[must_use]
    pub const fn egress_address(&self) -> SocketAddr {
        self.addresses.egress
    }

    /// Where operators connect.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Faults of duties; the node should end at the first one.
    #[must_use]
    pub const fn faults(&self) -> &Receiver<DutyFault> {
        &self.faults
    }

    /// Stops gracefully: takes no new calls, tells the peers so, and waits for
    /// the calls in flight, at most as long as the settings say.
    pub fn shutdown(self) {
        info!("{}", NodeEvent::Draining);
        let _ = self.commands.send(DataCommand::Drain);
        let _ = self.leave.send(());
        self.duties.expect_end();
        let _ = self.commands.send(DataCommand::Stop(self.shutdown_timeout));
        let _ = self.data.join();
        drop(self.stop);
        let _ = self.control.join();
        self.admin.stop();
        info!("{}", NodeEvent::Stopped);
    }
}

/// Where the serial numbers of this process's idempotency keys begin.
fn random_serial() -> u64 {
    RandomState::new().hash_one(0_u8) >> 1
}

fn start_timer(duties: &Duties) -> Result<TimerService, NodeError> {
    let (timer, work) = TimerService::prepare();
    duties.spawn("timer", work)?;
    Ok(timer)
}

/// Milliseconds since the epoch, or one more than the incarnation that the
/// platform has of the endpoint if the clock went back since.
fn new_incarnation(endpoint: &EndpointId, members: Option<&PlatformReply>) -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let clock = Incarnation::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX));
    let Some(PlatformReply::Members { zones, .. }) = members else { return clock };
    let members = zones.iter().flat_map(|object| &object.value.members);
    let earlier = members.filter(|member| member.endpoint == *endpoint);
    let highest = earlier.map(|member| member.incarnation.next()).max();
    highest.map_or(clock, |highest| highest.max(clock))
}

fn member_of(
    settings: &NodeSettings,
    incarnation: Incarnation,
    data_address: SocketAddr,
    control_address: SocketAddr,
) -> Member {
    Member {
        endpoint: settings.endpoint.clone(),
        service: settings.service.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        incarnation,
        statement: 0,
        data_address,
        control_address,
        state: MemberState::Active,
    }
}

fn fleet_settings(settings: &NodeSettings, incarnation: Incarnation) -> FleetSettings {
    FleetSettings::new(settings.fleet.clone())
        .with_seed(incarnation.get())
        .with_seeds(settings.seeds.clone())
}

fn engine_of(settings: &NodeSettings, incarnation: Incarnation) -> Engine {
    let settings = EngineSettings::new(
        settings.endpoint.clone(),
        settings.service.clone(),
        settings.zone.clone(),
        settings.region.clone(),
    )
    .with_incarnation(incarnation)
    .with_seed(incarnation.get())
    .with_keys(KeyTableSettings::new().with_first_serial(random_serial()));
    Engine::new(settings, Arc::new(Policy::safe_default()))
}
