use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cuminarch_config::Policy;
use cuminarch_engine::{Engine, EngineSettings};
use cuminarch_once::KeyTableSettings;
use cuminarch_platform::HttpObjectStore;
use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::Incarnation;
use flume::{Receiver, Sender};
use log::info;

use crate::admin::{AdminHandle, AdminThread};
use crate::clock::Clock;
use crate::control::ControlThread;
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
    const REFRESH_PERIOD: Duration = Duration::from_millis(500);

    /// Starts a node; port 0 in an address takes a free port.
    ///
    /// # Errors
    ///
    /// Fails when an address or a thread cannot be had.
    pub fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let callers = bind(settings.caller_address, "callers")?;
        let egress = bind(settings.egress_address, "egress")?;
        let links = bind(settings.data_address, "data links")?;
        let admin = bind(settings.admin_address, "operators")?;
        let local = |listener: &std::net::TcpListener| {
            listener.local_addr().map_err(|source| NodeError::Thread { duty: "data", source })
        };
        let addresses = Addresses { caller: local(&callers)?, egress: local(&egress)? };
        let incarnation = new_incarnation();
        let member = member_of(&settings, incarnation, local(&links)?);
        let engine =
            Engine::new(engine_settings(&settings, incarnation), Arc::new(Policy::safe_default()));
        let (commands, command_ring) = flume::bounded(Self::COMMAND_RING);
        let (claims, claim_ring) = flume::bounded(Self::CLAIM_RING);
        let (leave, leaving) = flume::bounded(1);
        let (stop, stopped) = flume::bounded(1);
        let (duties, faults) = Duties::new();
        let metrics = Arc::new(Metrics::new());
        let (timer, timer_work) = TimerService::prepare();
        duties.spawn("timer", timer_work)?;
        let data = DataThread {
            engine,
            clock: Clock::new(),
            listeners: DataListeners { callers, egress, links },
            settings: settings.clone(),
            commands: command_ring,
            claims,
            metrics: metrics.clone(),
        };
        let control = ControlThread {
            member,
            store: HttpObjectStore::new(settings.platform_address),
            ticks: timer.subscribe(Self::REFRESH_PERIOD),
            claims: claim_ring,
            commands: commands.clone(),
            leave: leaving,
            stop: stopped,
        };
        let data = data.spawn(&duties)?;
        let control = control.spawn(&duties)?;
        let endpoint = settings.endpoint.clone();
        let shutdown_timeout = Duration::from_millis(settings.shutdown_timeout_ms);
        let (asked, watched) = (commands.clone(), duties.clone());
        let admin =
            AdminThread { settings, commands: asked, duties: watched, metrics }.spawn(admin)?;
        info!("{} endpoint={endpoint} callers={}", NodeEvent::Started, addresses.caller);
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

/// Milliseconds since the epoch: later processes of an endpoint get a higher one.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation::new(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

fn member_of(settings: &NodeSettings, incarnation: Incarnation, data: SocketAddr) -> Member {
    Member {
        endpoint: settings.endpoint.clone(),
        service: settings.service.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        incarnation,
        statement: 0,
        data_address: data,
        control_address: settings.control_address,
        state: MemberState::Active,
    }
}

fn engine_settings(settings: &NodeSettings, incarnation: Incarnation) -> EngineSettings {
    EngineSettings::new(
        settings.endpoint.clone(),
        settings.service.clone(),
        settings.zone.clone(),
        settings.region.clone(),
    )
    .with_incarnation(incarnation)
    .with_seed(incarnation.get())
    .with_keys(KeyTableSettings::new().with_first_serial(random_serial()))
}
