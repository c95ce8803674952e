//! Processes of the project's own program.

use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::call::ready_status;
use crate::record::Record;
use crate::store::Store;
use crate::{name, wait_until};

/// Ports of a machine; the same on all machines of a case.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub outbound: u16,
    pub inbound: u16,
    pub registration: u16,
    pub ready: u16,
    pub control: u16,
    pub admin: u16,
    pub upstream: u16,
}

impl Ports {
    /// Returns ports that are free now.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn free() -> std::io::Result<Self> {
        let listeners: Vec<TcpListener> =
            (0..7).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let ports: Vec<u16> = listeners
            .iter()
            .map(|held| held.local_addr().map(|at| at.port()))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            outbound: ports[0],
            inbound: ports[1],
            registration: ports[2],
            ready: ports[3],
            control: ports[4],
            admin: ports[5],
            upstream: ports[6],
        })
    }
}

/// A machine with one node, as its settings describe it.
#[derive(Clone, Debug)]
pub struct Machine {
    pub endpoint: String,
    pub service: String,
    pub zone: String,
    pub ip: IpAddr,
    pub ports: Ports,
}

/// A running node; ends with the value.
pub struct Node {
    pub machine: Machine,
    child: Child,
    record: Record,
}

/// Bounds of a small deployment, as the template of the settings fills them in.
const BOUNDS: &str = "termination_grace_s: 6
retry_ratio: 0.2
retry_slack: 50
retry_window_s: 10
config_apply_ms: 2000
";

impl Machine {
    /// Returns the address of a port of this machine.
    #[must_use]
    pub const fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    fn settings(&self, store: SocketAddr) -> String {
        let Self { endpoint, service, zone, ports, .. } = self;
        format!(
            "fleet: cuminarch
endpoint: \"{endpoint}\"
service: \"{service}\"
zone: \"{zone}\"
region: \"r-a\"
caller_address: \"{}\"
data_address: \"{}\"
registration_address: \"{}\"
readiness_address: \"{}\"
control_address: \"{}\"
admin_address: \"{}\"
upstream_address: \"{}\"
platform_address: \"{store}\"
zones: [\"z-a\",\"z-b\"]
{BOUNDS}",
            self.at(ports.outbound),
            self.at(ports.inbound),
            self.at(ports.registration),
            self.at(ports.ready),
            self.at(ports.control),
            self.at(ports.admin),
            self.at(ports.upstream),
        )
    }

    /// Starts the node with the command of the deploy file.
    ///
    /// # Errors
    ///
    /// Fails if the program or its files cannot be opened.
    pub fn start(&self, store: &Store, folder: &Path, record: &Record) -> std::io::Result<Node> {
        let settings = folder.join(format!("{}.yaml", self.endpoint));
        std::fs::write(&settings, self.settings(store.address))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.endpoint)))?;
        let child = Command::new(program())
            .env(name("boot_variable"), &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(format!("node {} of {} starts at {}", self.endpoint, self.service, self.ip));
        Ok(Node { machine: self.clone(), child, record: record.clone() })
    }
}

/// Returns the path of the program that the deploy file starts.
fn program() -> PathBuf {
    std::env::var_os("SIDECAR")
        .map_or_else(|| "target/release/cuminarch-sidecar".into(), PathBuf::from)
}

impl Node {
    /// Waits until the node reports that it is ready.
    #[must_use]
    pub fn wait_until_ready(&self) -> bool {
        let ready = self.machine.at(self.machine.ports.ready);
        wait_until(Duration::from_secs(10), || ready_status(ready) == Some(200))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.record.line(format!("node {} is killed", self.machine.endpoint));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal to the process by its name, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        self.record.line(format!("node {} gets {signal}", self.machine.endpoint));
        let id = self.child.id().to_string();
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {id}")]).status();
    }

    /// Returns the text of the exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
