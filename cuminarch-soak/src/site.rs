use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_testing::{
    CallerAnswer, DaemonProcess, DaemonSettings, HttpCaller, UpstreamBehaviour, UpstreamServer,
};
use cuminarch_types::ServiceName;
use eyre::{Result, bail};
use rustix::process::Signal;
use tokio::sync::Mutex;

use crate::link::LinkProxy;
use crate::{Fault, Termination};

/// A daemon, its upstream, and the proxies between it and the outside.
#[derive(Debug)]
pub struct Site {
    index: usize,
    settings: DaemonSettings,
    process: DaemonProcess,
    /// Held during a fault of the process, so that two do not mix.
    process_fault_lock: Mutex<()>,
    pub upstream: UpstreamServer,
    pub upstream_link: LinkProxy,
    pub platform_link: LinkProxy,
}

impl Site {
    const SERVICE_TIME: Duration = Duration::from_millis(2);
    /// Time after which a caller gives up; five times the deadline of the soak's
    /// configuration, so that a node answers before.
    const CALL_TIMEOUT: Duration = Duration::from_secs(10);
    /// Time after which a look at a daemon's state is given up: the time within which
    /// the daemon itself answers or says that its threads do not.
    const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
    /// Time in which a daemon has to be up, or to end after SIGTERM: twice what a
    /// stop may take, so that a busy machine does not decide.
    const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
    const POLL_INTERVAL: Duration = Duration::from_millis(20);

    /// Starts a daemon; its upstream calls the service `behind`, if there is one.
    pub async fn start(
        program: &Path,
        index: usize,
        service: &str,
        behind: Option<ServiceName>,
        platform: SocketAddr,
    ) -> Result<Self> {
        let upstream = UpstreamServer::start(UpstreamBehaviour::new(Self::SERVICE_TIME))?;
        let to_upstream = LinkProxy::start(upstream.address()).await?;
        let to_platform = LinkProxy::start(platform).await?;
        let (near, far) = (to_upstream.address(), to_platform.address());
        let settings = DaemonSettings::new(service, index, near, far);
        upstream.update(|behaviour| {
            behaviour.egress_address = Some(settings.egress_address);
            behaviour.downstream_services = behind.into_iter().collect();
        });
        let process = DaemonProcess::start(program, &settings)?;
        let turn = Mutex::new(());
        Ok(Self {
            index,
            settings,
            process,
            process_fault_lock: turn,
            upstream,
            upstream_link: to_upstream,
            platform_link: to_platform,
        })
    }

    /// Sends a request to the daemon; none without an answer.
    pub async fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
    ) -> Option<CallerAnswer> {
        send_request(self.settings.caller_address, method, target, headers, Self::CALL_TIMEOUT)
            .await
    }

    /// The page of the daemon's admin address; none without an answer.
    pub async fn admin_page(&self, target: &str) -> Option<CallerAnswer> {
        send_request(self.settings.admin_address, "GET", target, &[], Self::ADMIN_TIMEOUT).await
    }

    /// Carries out a fault of the process from its beginning to its end.
    pub async fn inject_fault(&self, fault: Fault, lasts: Duration) -> Result<Option<Termination>> {
        let _turn = self.process_fault_lock.lock().await;
        match fault {
            Fault::Pause(_) => {
                self.process.signal(Signal::STOP)?;
                tokio::time::sleep(lasts).await;
                self.process.signal(Signal::CONT)?;
                return Ok(None);
            }
            Fault::Kill(_) => self.process.signal(Signal::KILL)?,
            Fault::Terminate(_) => {}
            _ => return Ok(None),
        }
        let stop = match fault {
            Fault::Terminate(_) => Some(self.stop(Signal::TERM).await?),
            _ => None,
        };
        tokio::time::sleep(lasts).await;
        self.process.restart()?;
        self.wait_until_up().await?;
        Ok(stop)
    }

    /// Ends the daemon for good, in the given way.
    pub async fn stop(&self, signal: Signal) -> Result<Termination> {
        self.process.signal(signal)?;
        let until = Instant::now() + Self::PROCESS_TIMEOUT;
        let status = loop {
            let status = self.process.wait(Duration::ZERO)?;
            if status.is_some() || Instant::now() > until {
                break status;
            }
            tokio::time::sleep(Self::POLL_INTERVAL).await;
        };
        let is_graceful = status.is_some_and(|status| status.success());
        let seen = status.map_or_else(|| "still runs".to_owned(), |status| status.to_string());
        Ok(Termination { site: self.index, is_graceful, details: seen })
    }

    /// Sends the process a signal, whatever else disturbs it.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        Ok(self.process.signal(signal)?)
    }

    /// Waits until the daemon serves its admin address; it handles signals before.
    pub async fn wait_until_up(&self) -> Result<()> {
        let until = Instant::now() + Self::PROCESS_TIMEOUT;
        while self.admin_page("/healthz").await.is_none() {
            if Instant::now() > until {
                bail!("site {} does not start", self.index);
            }
            tokio::time::sleep(Self::POLL_INTERVAL).await;
        }
        Ok(())
    }
}

async fn send_request(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    limit: Duration,
) -> Option<CallerAnswer> {
    let caller = HttpCaller::new(address);
    let call = caller.call(method, target, headers, Bytes::new());
    tokio::time::timeout(limit, call).await.ok()?.ok()
}
