use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cuminarch_config::ConfigDocument;
use cuminarch_platform::{ObjectStore, Precondition};
use cuminarch_testing::{CallerAnswer, PlatformFault, PlatformServer};
use cuminarch_types::Revision;
use eyre::{Result, WrapErr, bail};
use rustix::process::Signal;
use tokio::task::JoinSet;

use crate::site::Site;
use crate::{CallerResult, Fault, LinkFault, SITE_COUNT, ScheduledFault, Termination};

const SHEET: &str = "
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 2000, retry_percent: 10}
  - {name: approval, grant_attempts: 32, deadline_ms: 2000, retry_percent: 10, protected: true}
rules:
  - {class: approval, methods: [POST], path: /approvals/**, idempotent: false}
  - {class: browse, path: /**, idempotent: true}
default_class: browse
accounts:
";

/// Key that stays valid.
pub const VALID_KEY: &str = "valid";
/// Keys that are never valid during the faults: the first was withdrawn before, the other never held.
pub const INVALID_KEYS: [&str; 2] = ["rotating-1", "unknown"];

/// Service that callers send requests to, and the downstream service that it calls.
const SERVICES: [&str; 2] = ["katalog", "auftrag"];

/// The daemons of a run and their shared platform.
pub struct Fleet {
    platform: PlatformServer,
    pub sites: Vec<Arc<Site>>,
    revision: AtomicU64,
}

impl Fleet {
    /// Number of sites that callers send requests to; the others are downstream.
    pub const ENTRY_SITE_COUNT: usize = SITE_COUNT / 2;
    const READY_TIMEOUT: Duration = Duration::from_secs(30);
    const POLL_INTERVAL: Duration = Duration::from_millis(50);

    /// Starts all daemons and waits until requests complete.
    pub async fn start(program: &Path) -> Result<Self> {
        let platform = PlatformServer::start()?;
        let mut sites = Vec::new();
        for index in 0..SITE_COUNT {
            let is_entry = index < Self::ENTRY_SITE_COUNT;
            let service = SERVICES[usize::from(!is_entry)];
            let downstream = is_entry.then(|| SERVICES[1].parse()).transpose()?;
            let site = Site::start(program, index, service, downstream, platform.address()).await?;
            sites.push(Arc::new(site));
        }
        let fleet = Self { platform, sites, revision: AtomicU64::new(0) };
        fleet.publish_config().await?;
        fleet
            .wait_until_recovered(Self::READY_TIMEOUT)
            .await
            .wrap_err("the fleet did not become ready")?;
        fleet.publish_config().await?;
        fleet.wait_until_withdrawn(INVALID_KEYS[0]).await?;
        Ok(fleet)
    }

    /// Injects one fault and removes it after its duration.
    pub async fn inject_fault(&self, scheduled: ScheduledFault) -> Result<Option<Termination>> {
        let ScheduledFault { duration, fault, .. } = scheduled;
        match fault {
            Fault::Kill(site) | Fault::Pause(site) | Fault::Terminate(site) => {
                return self.sites[site].inject_fault(fault, duration).await;
            }
            Fault::Upstream(site, link) => {
                self.sites[site].upstream_link.set_fault(link);
                tokio::time::sleep(duration).await;
                self.sites[site].upstream_link.set_fault(LinkFault::None);
            }
            Fault::Platform(site, link) => {
                self.sites[site].platform_link.set_fault(link);
                tokio::time::sleep(duration).await;
                self.sites[site].platform_link.set_fault(LinkFault::None);
            }
            Fault::PlatformDown => self.inject_platform_fault(PlatformFault::Down, duration).await,
            Fault::PlatformLosesAnswers => {
                self.inject_platform_fault(PlatformFault::LoseAnswers, duration).await;
            }
            Fault::PlatformSlow(delay) => {
                self.inject_platform_fault(PlatformFault::Slow(delay), duration).await;
            }
            Fault::NewConfiguration => self.publish_config().await?,
        }
        Ok(None)
    }

    /// Waits until a request completes at each entry site, and returns the elapsed time.
    pub async fn wait_until_recovered(&self, timeout: Duration) -> Result<Duration> {
        let started_at = Instant::now();
        for site in &self.sites[..Self::ENTRY_SITE_COUNT] {
            let is_failed = |answer: CallerAnswer| answer.status != 200;
            while site.call(VALID_KEY, "GET", "/items/probe", &[]).await.is_none_or(is_failed) {
                if started_at.elapsed() > timeout {
                    bail!("no request completed within {timeout:?}");
                }
                tokio::time::sleep(Self::POLL_INTERVAL).await;
            }
        }
        Ok(started_at.elapsed())
    }

    /// Waits until the entry sites refuse a key.
    async fn wait_until_withdrawn(&self, key: &str) -> Result<()> {
        let started_at = Instant::now();
        for site in &self.sites[..Self::ENTRY_SITE_COUNT] {
            let is_accepted = |answer: CallerAnswer| answer.status != 401;
            while site.call(key, "GET", "/items/probe", &[]).await.is_none_or(is_accepted) {
                if started_at.elapsed() > Self::READY_TIMEOUT {
                    bail!("a withdrawn key is still accepted");
                }
                tokio::time::sleep(Self::POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the number of runs of each request at the upstreams of these sites.
    pub fn runs(sites: &[Arc<Site>], results: &[CallerResult]) -> BTreeMap<String, u64> {
        let runs =
            |target: &str| sites.iter().map(|site| site.upstream.runs_for_target(target)).sum();
        results.iter().map(|result| (result.target.clone(), runs(&result.target))).collect()
    }

    /// Sends a signal to all daemons.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        self.sites.iter().try_for_each(|site| site.signal(signal))
    }

    /// Stops all daemons concurrently with this signal.
    pub async fn stop(&self, signal: Signal) -> Result<Vec<Termination>> {
        let mut terminations = JoinSet::new();
        for site in &self.sites {
            let site = Arc::clone(site);
            terminations.spawn(async move { site.stop(signal).await });
        }
        terminations.join_all().await.into_iter().collect()
    }

    /// Of overlapping platform faults, the last one to begin applies, and the first one to
    /// end ends both.
    async fn inject_platform_fault(&self, fault: PlatformFault, duration: Duration) {
        self.platform.store().set_fault(fault);
        tokio::time::sleep(duration).await;
        self.platform.store().set_fault(PlatformFault::None);
    }

    /// Writes the next revision of the configuration; retries until it is stored.
    async fn publish_config(&self) -> Result<()> {
        let revision = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
        let document = ConfigDocument {
            revision: Revision::new(revision),
            change: format!("change-{revision}").parse()?,
            sheet: format!(
                "{SHEET}  - {{name: quilts, keys: [{VALID_KEY}, rotating-{revision}]}}\n"
            ),
        };
        let text = serde_json::to_string(&document)?;
        loop {
            let (store, text) = (self.platform.store().clone(), text.clone());
            let is_stored =
                tokio::task::spawn_blocking(move || try_write(&store, revision, &text)).await?;
            if is_stored {
                return Ok(());
            }
            tokio::time::sleep(Self::POLL_INTERVAL).await;
        }
    }
}

/// Tries to write a revision. Returns `true` if the store then has this revision or a
/// later one; fails during platform faults, and the caller retries.
fn try_write(store: &impl ObjectStore, revision: u64, text: &str) -> bool {
    let Ok(path) = "config/current".parse() else { return false };
    let Ok(stored) = store.get(&path) else { return false };
    let precondition = match stored {
        None => Precondition::Absent,
        Some(object) => {
            let document: Option<ConfigDocument> = serde_json::from_str(&object.value).ok();
            if document.is_some_and(|document| document.revision >= Revision::new(revision)) {
                return true;
            }
            Precondition::Version(object.version)
        }
    };
    store.put(&path, text, precondition).is_ok()
}
