//! A few daemons as separate processes, with test doubles around them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_config::ConfigDocument;
use cuminarch_platform::{ObjectStore, Precondition};
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
pub struct Endpoint {
    process: DaemonProcess,
    pub upstream: UpstreamServer,
    pub caller_address: SocketAddr,
}

impl Endpoint {
    fn start(service: &str, index: usize, platform: SocketAddr) -> Self {
        let upstream = UpstreamServer::start(UpstreamBehaviour::new(Duration::from_millis(2)));
        let upstream = upstream.unwrap();
        let settings = DaemonSettings::new(service, index, upstream.address(), platform);
        upstream.update(|behaviour| behaviour.egress_address = Some(settings.egress_address));
        let program = Path::new(env!("CARGO_BIN_EXE_cuminarchd"));
        let process = DaemonProcess::start(program, &settings).unwrap();
        Self { process, upstream, caller_address: settings.caller_address }
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).unwrap();
    }

    /// Starts the daemon again after its end.
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
        let caller = HttpCaller::new(self.caller_address);
        let call = caller.call(method, target, headers, Bytes::new());
        tokio::time::timeout(Duration::from_secs(10), call).await.map_err(std::io::Error::other)?
    }

    /// Mints an idempotency key at the daemon.
    pub async fn mint_key(&self) -> Option<String> {
        let answer = self.call("POST", "/.cuminarch/keys", &[]).await.ok()?;
        (answer.status == 201).then(|| String::from_utf8(answer.body).unwrap())
    }
}

/// All daemons of a test, and the platform.
pub struct Fleet {
    pub platform: PlatformServer,
    pub entry_endpoints: Vec<Endpoint>,
    pub downstream_endpoints: Vec<Endpoint>,
}

impl Fleet {
    /// Starts two endpoints of `katalog`, whose upstreams call the two of `auftrag`.
    pub async fn start() -> Self {
        let platform = PlatformServer::start().unwrap();
        let document = ConfigDocument {
            revision: Revision::new(1),
            change: "first".parse().unwrap(),
            sheet: SHEET.to_owned(),
        };
        let text = serde_json::to_string(&document).unwrap();
        let path = "config/current".parse().unwrap();
        platform.store().put(&path, &text, Precondition::Absent).unwrap();
        let start = |service, index| Endpoint::start(service, index, platform.address());
        let entry_endpoints: Vec<Endpoint> = (0..2).map(|index| start("katalog", index)).collect();
        let downstream_endpoints: Vec<Endpoint> =
            (0..2).map(|index| start("auftrag", index)).collect();
        for endpoint in &entry_endpoints {
            endpoint.upstream.update(|behaviour| {
                behaviour.downstream_services = vec!["auftrag".parse().unwrap()];
            });
        }
        let fleet = Self { platform, entry_endpoints, downstream_endpoints };
        fleet.wait_until_ready().await;
        fleet
    }

    /// Returns the number of runs of a target at all upstreams of `auftrag`.
    pub fn downstream_runs(&self, target: &str) -> u64 {
        self.downstream_endpoints
            .iter()
            .map(|endpoint| endpoint.upstream.runs_for_target(target))
            .sum()
    }

    async fn wait_until_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        for endpoint in &self.entry_endpoints {
            loop {
                let answer = endpoint.call("GET", "/ready", &[]).await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                assert!(Instant::now() < deadline, "the fleet did not become ready in time");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}
