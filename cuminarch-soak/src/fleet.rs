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
";

/// Service that callers ask, and the one behind it.
const SERVICES: [&str; 2] = ["katalog", "auftrag"];

/// The daemons of a run and the platform that they share.
pub struct Fleet {
    platform: PlatformServer,
    pub sites: Vec<Arc<Site>>,
    revision: AtomicU64,
}

impl Fleet {
    /// Sites that callers ask; the others are behind them.
    pub const ENTRY_SITE_COUNT: usize = SITE_COUNT / 2;
    const READY_TIMEOUT: Duration = Duration::from_secs(30);
    const POLL_INTERVAL: Duration = Duration::from_millis(50);

    /// Starts all daemons and waits until they serve.
    pub async fn start(program: &Path) -> Result<Self> {
        let platform = PlatformServer::start()?;
        let mut sites = Vec::new();
        for index in 0..SITE_COUNT {
            let is_front = index < Self::ENTRY_SITE_COUNT;
            let service = SERVICES[usize::from(!is_front)];
            let behind = is_front.then(|| SERVICES[1].parse()).transpose()?;
            let site = Site::start(program, index, service, behind, platform.address()).await?;
            sites.push(Arc::new(site));
        }
        let fleet = Self { platform, sites, revision: AtomicU64::new(0) };
        fleet.publish_config().await?;
        fleet
            .wait_until_recovered(Self::READY_TIMEOUT)
            .await
            .wrap_err("the fleet does not become ready")?;
        Ok(fleet)
    }

    /// Carries out one fault to its end.
    pub async fn inject_fault(&self, step: ScheduledFault) -> Result<Option<Termination>> {
        let ScheduledFault { duration: lasts, fault, .. } = step;
        match fault {
            Fault::Kill(site) | Fault::Pause(site) | Fault::Terminate(site) => {
                return self.sites[site].inject_fault(fault, lasts).await;
            }
            Fault::Upstream(site, link) => {
                self.sites[site].upstream_link.set_fault(link);
                tokio::time::sleep(lasts).await;
                self.sites[site].upstream_link.set_fault(LinkFault::None);
            }
            Fault::Platform(site, link) => {
                self.sites[site].platform_link.set_fault(link);
                tokio::time::sleep(lasts).await;
                self.sites[site].platform_link.set_fault(LinkFault::None);
            }
            Fault::PlatformDown => self.inject_platform_fault(PlatformFault::Down, lasts).await,
            Fault::PlatformLosesAnswers => {
                self.inject_platform_fault(PlatformFault::LoseAnswers, lasts).await;
            }
            Fault::PlatformSlow(delay) => {
                self.inject_platform_fault(PlatformFault::Slow(delay), lasts).await;
            }
            Fault::NewConfiguration => self.publish_config().await?,
        }
        Ok(None)
    }

    /// Waits until a request completes at each site that callers ask, and returns
    /// how long that took.
    pub async fn wait_until_recovered(&self, limit: Duration) -> Result<Duration> {
        let begun = Instant::now();
        for site in &self.sites[..Self::ENTRY_SITE_COUNT] {
            let is_failed = |answer: CallerAnswer| answer.status != 200;
            while site.call("GET", "/items/probe", &[]).await.is_none_or(is_failed) {
                if begun.elapsed() > limit {
                    bail!("no request completes within {limit:?}");
                }
                tokio::time::sleep(Self::POLL_INTERVAL).await;
            }
        }
        Ok(begun.elapsed())
    }

    /// Runs of each request at the upstreams of these sites.
    pub fn runs(sites: &[Arc<Site>], told: &[CallerResult]) -> BTreeMap<String, u64> {
        let runs =
            |target: &str| sites.iter().map(|site| site.upstream.runs_for_target(target)).sum();
        told.iter().map(|told| (told.target.clone(), runs(&told.target))).collect()
    }

    /// Sends a signal to all daemons.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        self.sites.iter().try_for_each(|site| site.signal(signal))
    }

    /// Ends all daemons at once, in the given way.
    pub async fn stop(&self, signal: Signal) -> Result<Vec<Termination>> {
        let mut stops = JoinSet::new();
        for site in &self.sites {
            let site = Arc::clone(site);
            stops.spawn(async move { site.stop(signal).await });
        }
        stops.join_all().await.into_iter().collect()
    }

    /// Of platform faults that overlap, the last one to begin counts, and the first
    /// one to end ends both.
    async fn inject_platform_fault(&self, fault: PlatformFault, lasts: Duration) {
        self.platform.store().set_fault(fault);
        tokio::time::sleep(lasts).await;
        self.platform.store().set_fault(PlatformFault::None);
    }

    /// Writes the next revision of the configuration, again until it is there.
    async fn publish_config(&self) -> Result<()> {
        let revision = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
        let document = ConfigDocument {
            revision: Revision::new(revision),
            change: format!("change-{revision}").parse()?,
            sheet: SHEET.to_owned(),
        };
        let text = serde_json::to_string(&document)?;
        loop {
            let (store, text) = (self.platform.store().clone(), text.clone());
            let is_there =
                tokio::task::spawn_blocking(move || try_write(&store, revision, &text)).await?;
            if is_there {
                return Ok(());
            }
            tokio::time::sleep(Self::POLL_INTERVAL).await;
        }
    }
}

/// Whether this revision or a later one is in the store after a try to write it. A
/// try fails while the platform does, and is made again.
fn try_write(store: &impl ObjectStore, revision: u64, text: &str) -> bool {
    let Ok(path) = "config/current".parse() else { return false };
    let Ok(held) = store.get(&path) else { return false };
    let expect = match held {
        None => Precondition::Absent,
        Some(object) => {
            let held: Option<ConfigDocument> = serde_json::from_str(&object.value).ok();
            if held.is_some_and(|held| held.revision >= Revision::new(revision)) {
                return true;
            }
            Precondition::Version(object.version)
        }
    };
    store.put(&path, text, expect).is_ok()
}
