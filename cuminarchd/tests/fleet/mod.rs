//! A few daemons as separate processes, with stand-ins around them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_config::ConfigDocument;
use cuminarch_platform::{Expect, ObjectStore};
use cuminarch_testing::{
    CallerAnswer, DaemonProcess, DaemonSettings, HttpCaller, PlatformServer, UpstreamBehaviour,
    UpstreamServer,
};
use cuminarch_types::Revision;
use rustix::process::Signal;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const SHEET: &str = "
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 2000, retry_percent: 10}
  - {name: approval, grant_attempts: 32, deadline_ms: 2000, retry_percent: 10, protected: true}
rules:
  - {class: approval, methods: [POST], path: /approvals/**, idempotent: false}
  - {class: browse, path: /**, idempotent: true}
default_class: browse
";

/// One daemon with its upstream.
pub struct Site {
    process: DaemonProcess,
    pub upstream: UpstreamServer,
    pub callers: SocketAddr,
}

impl Site {
    fn start(service: &str, index: usize, platform: SocketAddr) -> Self {
        let upstream = UpstreamServer::start(UpstreamBehaviour::new(Duration::from_millis(2)));
        let upstream = upstream.unwrap();
        let settings = DaemonSettings::new(service, index, upstream.address(), platform);
        upstream.update(|behaviour| behaviour.egress = Some(settings.egress));
        let program = Path::new(env!("CARGO_BIN_EXE_cuminarchd"));
        let process = DaemonProcess::start(program, &settings).unwrap();
        Self { process, upstream, callers: settings.callers }
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).unwrap();
    }

    /// Starts the daemon again after it has ended.
    pub fn restart(&self) {
        self.process.restart().unwrap();
    }

    /// Sends one request to the daemon.
    pub async fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
    ) -> std::io::Result<CallerAnswer> {
        let caller = HttpCaller::new(self.callers);
        let call = caller.call(method, target, headers, Bytes::new());
        tokio::time::timeout(Duration::from_secs(10), call).await.map_err(std::io::Error::other)?
    }

    /// Mints an idempotency key at the daemon.
    pub async fn mint_key(&self) -> Option<String> {
        let answer = self.call("POST", "/.cuminarch/keys", &[]).await.ok()?;
        (answer.status == 201).then(|| String::from_utf8(answer.body).unwrap())
    }
}

/// All daemons of a test.
pub struct Fleet {
    pub platform: PlatformServer,
    pub fronts: Vec<Site>,
    pub backs: Vec<Site>,
}

impl Fleet {
    /// Two endpoints of `katalog`, whose upstreams call two of `auftrag`.
    pub async fn start() -> Self {
        let platform = PlatformServer::start().unwrap();
        let document = ConfigDocument {
            revision: Revision::new(1),
            change: "first".parse().unwrap(),
            sheet: SHEET.to_owned(),
        };
        let text = serde_json::to_string(&document).unwrap();
        let path = "config/current".parse().unwrap();
        platform.store().put(&path, &text, Expect::Absent).unwrap();
        let start = |service, index| Site::start(service, index, platform.address());
        let fronts: Vec<Site> = (0..2).map(|index| start("katalog", index)).collect();
        let backs: Vec<Site> = (0..2).map(|index| start("auftrag", index)).collect();
        for site in &fronts {
            site.upstream.update(|behaviour| behaviour.calls = vec!["auftrag".parse().unwrap()]);
        }
        let fleet = Self { platform, fronts, backs };
        fleet.wait_until_ready().await;
        fleet
    }

    /// Number of runs of one target at all upstreams of `auftrag`.
    pub fn runs_behind(&self, target: &str) -> u64 {
        self.backs.iter().map(|site| site.upstream.runs_of(target)).sum()
    }

    async fn wait_until_ready(&self) {
        let until = Instant::now() + READY_TIMEOUT;
        for site in &self.fronts {
            loop {
                let answer = site.call("GET", "/ready", &[]).await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                assert!(Instant::now() < until, "the fleet does not become ready");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}
