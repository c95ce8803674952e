//! Runs commands against a simulated platform.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminarch_cli::paths::object_path;
use cuminarch_cli::{ExitStatus, Outputs, command, run};
use cuminarch_membership::ZoneMembers;
use cuminarch_platform::{Clock, ObjectStore, Precondition};
use cuminarch_protocol::{Member, MemberState};
use cuminarch_testing::{ManualClock, MemoryStore, PlatformFault, PlatformServer};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, RegionName, ServiceName, ZoneName};

use crate::zone_status::status_of;

pub const SHEET: &str = "\
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 2000}
  - {name: approval, grant_attempts: 32, deadline_ms: 10000, protected: true}
rules:
  - {class: approval, methods: [POST], path: /approvals/**, idempotent: false}
default_class: browse
";

/// Returns the sheet with another deadline for class `browse`.
pub fn with_deadline(sheet: &str, deadline_ms: u32) -> String {
    sheet.replace("deadline_ms: 2000", &format!("deadline_ms: {deadline_ms}"))
}

/// Exit status and outputs of a command.
pub struct CommandResult {
    pub status: ExitStatus,
    pub out: String,
    pub errors: String,
}

/// A simulated platform, a clock and a directory for sheets.
pub struct Harness {
    server: PlatformServer,
    folder: PathBuf,
    pub clock: ManualClock,
}

impl Harness {
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("commands-{}-{number}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).unwrap();
        Self { server: PlatformServer::start().unwrap(), folder, clock: ManualClock::new() }
    }

    pub fn platform(&self) -> &MemoryStore {
        self.server.store()
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).unwrap();
    }

    /// Runs a command; `@` is replaced by the platform's address.
    pub fn run(&self, arguments: &str) -> CommandResult {
        self.run_with(&self.clock, arguments)
    }

    pub fn run_with(&self, clock: &dyn Clock, arguments: &str) -> CommandResult {
        let resolve = |argument: &str| match argument {
            "@" => self.server.address().to_string(),
            name if name.ends_with(".yaml") => self.folder.join(name).display().to_string(),
            other => other.to_owned(),
        };
        let arguments = arguments.split_whitespace().map(resolve);
        let arguments = std::iter::once("cuminarch".to_owned()).chain(arguments);
        let matches = command().try_get_matches_from(arguments).unwrap();
        let (mut out, mut errors) = (Vec::new(), Vec::new());
        let mut outputs = Outputs { out: &mut out, errors: &mut errors };
        let status = run(&matches, clock, &mut outputs);
        let folder = format!("{}/", self.folder.display());
        let text = |bytes| String::from_utf8(bytes).unwrap().replace(&folder, "");
        CommandResult { status, out: text(out), errors: text(errors) }
    }

    pub fn apply(&self, sheet: &str, change: &str) -> CommandResult {
        self.run(&format!("config apply {sheet} --platform @ --change {change}"))
    }

    pub fn put_status(&self, zone: &str, revision: u64, sequence: u64) {
        let value = serde_json::to_string(&status_of(zone, revision, sequence)).unwrap();
        self.platform()
            .put(&object_path(&format!("status/{zone}")), &value, Precondition::Any)
            .unwrap();
    }

    /// Stores the members of a zone, given as endpoint, service and state.
    pub fn put_members(&self, zone: &str, members: &[(&str, &str, MemberState)]) {
        let zone = ZoneName::new(zone).unwrap();
        let member = |&(endpoint, service, state): &(&str, &str, MemberState)| {
            Arc::new(Member {
                endpoint: EndpointId::new(endpoint).unwrap(),
                service: ServiceName::new(service).unwrap(),
                zone: zone.clone(),
                region: RegionName::new("ch-central").unwrap(),
                incarnation: Incarnation::new(1),
                data_address: "10.0.0.1:7001".parse().unwrap(),
                control_address: "10.0.0.1:7002".parse().unwrap(),
                state,
                upstream: None,
                statement: 1,
            })
        };
        let members = members.iter().map(member).collect();
        let value = ZoneMembers { zone: zone.clone(), members };
        let value = serde_json::to_string(&value).unwrap();
        let path = object_path(&format!("members/{zone}"));
        self.platform().put(&path, &value, Precondition::Any).unwrap();
    }

    /// Creates a clock that runs `event` after its first sleep.
    pub fn clock_with_event_at_first_sleep(
        &self,
        event: impl FnOnce() + Send + 'static,
    ) -> EventClock {
        EventClock { inner: ManualClock::new(), event: Mutex::new(Some(Box::new(event))) }
    }

    /// Creates a clock that makes the platform unavailable after its first sleep.
    pub fn clock_with_outage_at_first_sleep(&self) -> EventClock {
        let store = self.platform().clone();
        self.clock_with_event_at_first_sleep(move || store.set_fault(PlatformFault::Down))
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Virtual clock that runs an event after its first sleep.
pub struct EventClock {
    inner: ManualClock,
    event: Mutex<Option<Box<dyn FnOnce() + Send>>>,
}

impl std::fmt::Debug for EventClock {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.inner.fmt(formatter)
    }
}

impl Clock for EventClock {
    fn now(&self) -> MonoTime {
        self.inner.now()
    }

    fn sleep(&self, delay: Duration) {
        self.inner.sleep(delay);
        if let Some(event) = self.event.lock().unwrap().take() {
            event();
        }
    }
}
