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

/// A daemon, its upstream, and the proxies to its upstream and to the platform.
#[derive(Debug)]
pub struct Site {
    index: usize,
    settings: DaemonSettings,
    process: DaemonProcess,
    /// Held during a process fault to keep two from overlapping.
    process_fault_lock: Mutex<()>,
    pub upstream: UpstreamServer,
    pub upstream_link: LinkProxy,
    pub platform_link: LinkProxy,
}

impl Site {
    const SERVICE_TIME: Duration = Duration::from_millis(2);
    /// Timeout of a caller: five times the deadline in the soak's configuration, to let the
    /// node answer first.
    const CALL_TIMEOUT: Duration = Duration::from_secs(10);
    /// Timeout of a request to the admin address: the time within which the daemon answers or
    /// reports that its threads do not respond.
    const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
    /// Time in which a daemon must start, or exit after SIGTERM: twice the allowed duration
    /// of a stop, to tolerate a busy machine.
    const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
    const POLL_INTERVAL: Duration = Duration::from_millis(20);

    /// Starts a daemon; its upstream calls the service `downstream`, if given.
    pub async fn start(
        program: &Path,
        index: usize,
        service: &str,
        downstream: Option<ServiceName>,
        platform: SocketAddr,
    ) -> Result<Self> {
        let upstream = UpstreamServer::start(UpstreamBehaviour::new(Self::SERVICE_TIME))?;
        let upstream_link = LinkProxy::start(upstream.address()).await?;
        let platform_link = LinkProxy::start(platform).await?;
        let (upstream_address, platform_address) =
            (upstream_link.address(), platform_link.address());
        let mut settings = DaemonSettings::new(service, index, upstream_address, platform_address);
        settings.requires_config = true;
        upstream.update(|behaviour| {
            behaviour.egress_address = Some(settings.egress_address);
            behaviour.downstream_services = downstream.into_iter().collect();
        });
        let process = DaemonProcess::start(program, &settings)?;
        let process_fault_lock = Mutex::new(());
        Ok(Self {
            index,
            settings,
            process,
            process_fault_lock,
            upstream,
            upstream_link,
            platform_link,
        })
    }

    /// Sends a request with a key to the daemon; returns `None` without an answer.
    pub async fn call(
        &self,
        key: &str,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
    ) -> Option<CallerAnswer> {
        let authorization = [("authorization", format!("Bearer {key}"))];
        let headers = [headers, &authorization].concat();
        send_request(self.settings.caller_address, method, target, &headers, Self::CALL_TIMEOUT)
            .await
    }

    /// Requests a page from the daemon's admin address; returns `None` without an answer.
    pub async fn admin_page(&self, target: &str) -> Option<CallerAnswer> {
        send_request(self.settings.admin_address, "GET", target, &[], Self::ADMIN_TIMEOUT).await
    }

    /// Injects a process fault, waits for its end and, after an exit, restarts the daemon.
    pub async fn inject_fault(
        &self,
        fault: Fault,
        duration: Duration,
    ) -> Result<Option<Termination>> {
        let _guard = self.process_fault_lock.lock().await;
        match fault {
            Fault::Pause(_) => {
                self.process.signal(Signal::STOP)?;
                tokio::time::sleep(duration).await;
                self.process.signal(Signal::CONT)?;
                return Ok(None);
            }
            Fault::Kill(_) => self.process.signal(Signal::KILL)?,
            Fault::Terminate(_) => {}
            _ => return Ok(None),
        }
        let termination = match fault {
            Fault::Terminate(_) => Some(self.stop(Signal::TERM).await?),
            _ => None,
        };
        tokio::time::sleep(duration).await;
        self.process.restart()?;
        self.wait_until_up().await?;
        Ok(termination)
    }

    /// Sends the signal and waits until the daemon exits or the timeout expires.
    pub async fn stop(&self, signal: Signal) -> Result<Termination> {
        self.process.signal(signal)?;
        let deadline = Instant::now() + Self::PROCESS_TIMEOUT;
        let status = loop {
            let status = self.process.wait(Duration::ZERO)?;
            if status.is_some() || Instant::now() > deadline {
                break status;
            }
            tokio::time::sleep(Self::POLL_INTERVAL).await;
        };
        let is_graceful = status.is_some_and(|status| status.success());
        let details = status.map_or_else(|| "still runs".to_owned(), |status| status.to_string());
        Ok(Termination { site: self.index, is_graceful, details })
    }

    /// Sends a signal to the process, also during another fault.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        Ok(self.process.signal(signal)?)
    }

    /// Waits until the daemon serves its admin address, which it does after installing its
    /// signal handlers.
    pub async fn wait_until_up(&self) -> Result<()> {
        let deadline = Instant::now() + Self::PROCESS_TIMEOUT;
        while self.admin_page("/healthz").await.is_none() {
            if Instant::now() > deadline {
                bail!("site {} did not start in time", self.index);
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
    timeout: Duration,
) -> Option<CallerAnswer> {
    let caller = HttpCaller::new(address);
    let call = caller.call(method, target, headers, Bytes::new());
    tokio::time::timeout(timeout, call).await.ok()?.ok()
}
