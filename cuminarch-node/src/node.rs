use std::hash::{BuildHasher, RandomState};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cuminarch_config::Policy;
use cuminarch_engine::{Engine, EngineSettings};
use cuminarch_membership::{ControlPlane, Fleet, FleetSettings, PlatformReply, Roster};
use cuminarch_once::KeyTableSettings;
use cuminarch_platform::{HttpObjectStore, ObjectStore};
use cuminarch_protocol::{Member, MemberState, UpstreamRecord};
use cuminarch_types::{EndpointId, Incarnation};
use flume::{Receiver, Sender};
use log::{info, warn};

use crate::admin::{AdminHandle, AdminThread};
use crate::clock::Clock;
use crate::control::{ClaimThread, ControlThread, FleetQuery, PlatformThreads, read_members};
use crate::data::{
    ClaimRequest, DataCommand, DataListeners, DataThread, MemberReport, bind, bind_with_datagrams,
};
use crate::duty::{Duties, DutyError};
use crate::event::NodeEvent;
use crate::metrics::Metrics;
use crate::parts::{ControlPlaneKind, NodeParts};
use crate::timer::TimerService;
use crate::{NodeError, NodeSettings};

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    caller: SocketAddr,
    egress: Option<SocketAddr>,
}

/// Sockets that a node listens on.
struct Listeners {
    data: DataListeners,
    control: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let (control, datagrams) = bind_with_datagrams(settings.control_address, "control links")?;
        let data = DataListeners {
            callers: bind(settings.caller_address, "callers")?,
            egress: bind_if_set(settings.egress_address, "egress")?,
            links: bind(settings.data_address, "data links")?,
            registration: bind_if_set(settings.registration_address, "registrations")?,
            readiness: bind_if_set(settings.readiness_address, "readiness")?,
            datagrams,
        };
        Ok(Self { data, control, admin: bind(settings.admin_address, "operators")? })
    }
}

impl Listeners {
    fn link_addresses(&self) -> Result<(SocketAddr, SocketAddr), NodeError> {
        Ok((local_address(&self.data.links)?, local_address(&self.control)?))
    }

    fn addresses(&self) -> Result<Addresses, NodeError> {
        let egress = self.data.egress.as_ref().map(local_address).transpose()?;
        Ok(Addresses { caller: local_address(&self.data.callers)?, egress })
    }
}

fn bind_if_set(
    address: Option<SocketAddr>,
    purpose: &'static str,
) -> Result<Option<TcpListener>, NodeError> {
    address.map(|address| bind(address, purpose)).transpose()
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    listener.local_addr().map_err(|source| NodeError::Thread { duty: "data", source })
}

/// Both ends of a ring between duties.
type Ring<T> = (Sender<T>, Receiver<T>);

/// The rings between the duties of a node.
struct Rings {
    commands: Ring<DataCommand>,
    claims: Ring<ClaimRequest>,
    leave: Ring<()>,
    stop: Ring<Duration>,
    queries: Ring<FleetQuery>,
    member_reports: Ring<MemberReport>,
}

impl Rings {
    const COMMAND_CAPACITY: usize = 1_024;
    const CLAIM_CAPACITY: usize = 256;
    const FLEET_QUERY_CAPACITY: usize = 4;
    const MEMBER_REPORT_CAPACITY: usize = 64;

    fn new() -> Self {
        Self {
            commands: flume::bounded(Self::COMMAND_CAPACITY),
            claims: flume::bounded(Self::CLAIM_CAPACITY),
            leave: flume::bounded(1),
            stop: flume::bounded(1),
            queries: flume::bounded(Self::FLEET_QUERY_CAPACITY),
            member_reports: flume::bounded(Self::MEMBER_REPORT_CAPACITY),
        }
    }
}

/// A running node.
pub struct Node {
    addresses: Addresses,
    admin: AdminHandle,
    commands: Sender<DataCommand>,
    duties: Duties,
    duty_errors: Receiver<DutyError>,
    leave: Sender<()>,
    stop: Sender<Duration>,
    data: JoinHandle<()>,
    control: JoinHandle<()>,
    shutdown: ShutdownLimits,
}

/// Maximum duration of a shutdown, and the part of it in which the node still serves callers.
#[derive(Clone, Copy, Debug)]
struct ShutdownLimits {
    timeout: Duration,
    linger: Duration,
}

impl ShutdownLimits {
    fn from_settings(settings: &NodeSettings) -> Self {
        let timeout = settings.shutdown_timeout();
        Self { timeout, linger: settings.shutdown_linger().min(timeout) }
    }
}

impl Node {
    /// Timeout for reading earlier processes of the endpoint from the platform.
    const START_TIMEOUT: Duration = Duration::from_secs(1);

    /// Starts a node with cuminarch's own interface and relays; port 0 in an address selects a free
    /// port.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let store = HttpObjectStore::new(settings.platform_address)
            .with_user_agent(settings.endpoint.to_string());
        let initial_members = read_members(&store.clone().with_timeout(Self::START_TIMEOUT)).ok();
        let parts = NodeParts::new(Arc::new(store)).with_initial_members(initial_members);
        Self::start_with(settings, parts)
    }

    /// Starts a node with other components than the default ones.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start_with(settings: NodeSettings, parts: NodeParts) -> Result<Self, NodeError> {
        let listeners = Listeners::bind(&settings)?;
        let addresses = listeners.addresses()?;
        let NodeParts { store, interface, kind, watch_timeout, initial_members } = parts;
        let incarnation = new_incarnation(&settings.endpoint, initial_members.as_ref());
        let member = own_member(&settings, incarnation, listeners.link_addresses()?);
        let clock = Clock::new();
        let plane = new_control_plane(kind, &settings, member, clock);
        let Rings { commands, claims, leave, stop, queries, member_reports } = Rings::new();
        let (duties, duty_errors) = Duties::new();
        let metrics = Arc::new(Metrics::new());
        let data = DataThread {
            engine: new_engine(&settings, incarnation),
            clock,
            listeners: listeners.data,
            settings: settings.clone(),
            commands: commands.1,
            claims: claims.0,
            metrics: metrics.clone(),
            interface,
            member_reports: member_reports.0,
            keeps_upstream_history: kind == ControlPlaneKind::Roster
                && settings.registration_address.is_some(),
        }
        .spawn(&duties)?;
        let control = ControlThread {
            plane,
            fleet: settings.fleet.clone(),
            clock,
            listener: listeners.control,
            platform: PlatformThreads::spawn(&store, watch_timeout, &duties)?,
            initial_members,
            ticks: start_timer(&duties)?.subscribe(Fleet::TICK),
            commands: commands.0.clone(),
            member_reports: member_reports.1,
            leave: leave.1,
            stop: stop.1,
            queries: queries.1,
        }
        .spawn(&duties)?;
        if kind == ControlPlaneKind::Relays {
            spawn_claim_thread(store, &settings, claims.1, &commands.0, &duties)?;
        }
        log_start(&settings, addresses.caller);
        let shutdown = ShutdownLimits::from_settings(&settings);
        let (sender, health) = (commands.0.clone(), duties.clone());
        let thread =
            AdminThread { settings, commands: sender, duties: health, metrics, queries: queries.0 };
        let admin = thread.spawn(listeners.admin)?;
        Ok(Self {
            addresses,
            admin,
            commands: commands.0,
            duties,
            duty_errors,
            leave: leave.0,
            stop: stop.0,
            data,
            control,
            shutdown,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.addresses.caller
    }

    /// Returns the address at which the own upstream calls other services.
    #[must_use]
    pub fn egress_address(&self) -> SocketAddr {
        self.addresses.egress.unwrap_or(self.addresses.caller)
    }

    /// Returns the address for operators.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Returns the receiver of errors of duties; the process should end at the first one.
    #[must_use]
    pub const fn duty_errors(&self) -> &Receiver<DutyError> {
        &self.duty_errors
    }

    /// Applies new settings, as far as they can change while the node runs; the others apply from
    /// the next start on.
    pub fn reload(&self, settings: &NodeSettings) {
        let budget = settings.retry_budget();
        let is_sent = self.commands.send(DataCommand::RetryBudget(budget)).is_ok();
        info!("{} is_told={is_sent} {budget:?}", NodeEvent::SettingsReloaded);
    }

    /// Stops gracefully. The node first reports that it is not ready and serves on while callers
    /// turn to other nodes, as long as the answers come before its end. Then it accepts no new calls, notifies its peers and waits for the
    /// calls in flight, at most for the configured timeout.
    pub fn shutdown(self) {
        info!("{}", NodeEvent::Draining);
        let began_at = Instant::now();
        let ShutdownLimits { timeout, linger } = self.shutdown;
        // Sending fails only if the data thread has ended, which is already reported as an error.
        let _ = self.commands.send(DataCommand::Leave { linger, timeout });
        std::thread::sleep(linger);
        let _ = self.commands.send(DataCommand::Drain);
        let _ = self.leave.send(());
        self.duties.begin_shutdown();
        let _ = self.commands.send(DataCommand::Stop(timeout - linger));
        let _ = self.data.join();
        let _ = self.stop.send(timeout.saturating_sub(began_at.elapsed()));
        let _ = self.control.join();
        self.admin.stop();
        info!("{}", NodeEvent::Stopped);
    }
}

/// Starts the thread that binds clients' keys on the platform, where nodes share them.
fn spawn_claim_thread(
    store: Arc<dyn ObjectStore>,
    settings: &NodeSettings,
    claims: Receiver<ClaimRequest>,
    commands: &Sender<DataCommand>,
    duties: &Duties,
) -> Result<(), NodeError> {
    let thread = ClaimThread::new(store, settings.service.clone(), claims, commands.clone());
    thread.spawn(duties).map(drop)
}

/// Returns the first serial number of the idempotency keys of this process.
fn random_first_serial() -> u64 {
    RandomState::new().hash_one(0_u8) >> 1
}

fn start_timer(duties: &Duties) -> Result<TimerService, NodeError> {
    let (timer, work) = TimerService::prepare();
    duties.spawn("timer", work)?;
    Ok(timer)
}

/// Returns the milliseconds since the Unix epoch, or one more than the incarnation of the endpoint
/// on the platform if the clock was set back since.
fn new_incarnation(endpoint: &EndpointId, members: Option<&PlatformReply>) -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let clock = Incarnation::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX));
    let Some(PlatformReply::Members { zones, .. }) = members else { return clock };
    let members = zones.iter().flat_map(|object| &object.value.members);
    let earlier = members.filter(|member| member.endpoint == *endpoint);
    let highest = earlier.map(|member| member.incarnation.next()).max();
    highest.map_or(clock, |highest| highest.max(clock))
}

fn own_member(
    settings: &NodeSettings,
    incarnation: Incarnation,
    (data_address, control_address): (SocketAddr, SocketAddr),
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
        upstream: settings.registration_address.map(|_| UpstreamRecord::absent()),
    }
}

fn fleet_settings(settings: &NodeSettings, incarnation: Incarnation) -> FleetSettings {
    FleetSettings::new(settings.fleet.clone())
        .with_seed(incarnation.get())
        .with_seeds(settings.seeds.clone())
        .with_config_apply(settings.config_apply_timeout())
}

fn new_control_plane(
    kind: ControlPlaneKind,
    settings: &NodeSettings,
    member: Member,
    clock: Clock,
) -> Box<dyn ControlPlane> {
    let fleet = fleet_settings(settings, member.incarnation);
    match kind {
        ControlPlaneKind::Relays => Box::new(Fleet::new(fleet, member, clock.now())),
        ControlPlaneKind::Roster => Box::new(Roster::new(fleet, member, clock.now())),
    }
}

fn log_start(settings: &NodeSettings, callers: SocketAddr) {
    info!("{} endpoint={} callers={callers}", NodeEvent::Started, settings.endpoint);
    if !settings.disabled.is_empty() {
        warn!("{} disabled={}", NodeEvent::MechanismsDisabled, settings.disabled);
    }
}

fn new_engine(settings: &NodeSettings, incarnation: Incarnation) -> Engine {
    let retry_budget = settings.retry_budget();
    let registers = settings.registration_address.is_some();
    let settings = EngineSettings::new(
        settings.endpoint.clone(),
        settings.service.clone(),
        settings.zone.clone(),
        settings.region.clone(),
    )
    .with_incarnation(incarnation)
    .with_seed(incarnation.get())
    .with_keys(KeyTableSettings::new().with_first_serial(random_first_serial()))
    .with_retry_budget(retry_budget)
    .with_capacity(settings.endpoint_capacity)
    .with_zones(settings.zones.iter().cloned().collect())
    .with_disabled(settings.disabled.clone());
    let settings = if registers { settings.with_slot_admission() } else { settings };
    Engine::new(settings, Arc::new(Policy::safe_default()))
}
