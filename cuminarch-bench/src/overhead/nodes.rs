use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use cuminarch_node::{Node, NodeSettings};
use cuminarch_testing::PlatformServer;
use eyre::{Result, ensure, eyre};

use super::upstream::MinimalUpstream;
use super::usage::{self, Usage};

/// A node and the id of its data thread, which carries the calls.
pub struct BenchNode {
    pub node: Node,
    thread: u32,
}

/// Resource usage of a node's data thread, and the time that calls spent in the node by its clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    pub usage: Usage,
    pub node_time_seconds: f64,
    pub node_time_calls: f64,
}

/// An upstream, a single node in front of it, and a pair of nodes in front of it.
pub struct BenchNodes {
    pub upstream: MinimalUpstream,
    pub single: BenchNode,
    pub first: BenchNode,
    pub second: BenchNode,
    _platform: PlatformServer,
}

impl BenchNodes {
    /// Starts the stand-ins and the nodes; waits until the first node knows all nodes.
    pub fn start() -> Result<Self> {
        let platform = PlatformServer::start()?;
        let upstream = MinimalUpstream::start()?;
        let start = |service| BenchNode::start(service, upstream.address, platform.address());
        let (single, first, second) = (start("single")?, start("first")?, start("second")?);
        first.wait_for_members(3)?;
        Ok(Self { upstream, single, first, second, _platform: platform })
    }

    /// Runs an unpaced load until the nodes' concurrency limits have adapted.
    pub fn warm_up(&self) -> Result<()> {
        let load = super::Load {
            connections: 32,
            answer_bytes: 200,
            rate_per_s: None,
            duration: Duration::from_secs(2),
        };
        load.run(self).map(|_| ())
    }

    /// Stops the nodes.
    pub fn stop(self) {
        for bench_node in [self.single, self.first, self.second] {
            bench_node.node.shutdown();
        }
    }
}

impl BenchNode {
    const START_TIMEOUT: Duration = Duration::from_secs(10);

    /// Waits until the node knows `count` members.
    pub fn wait_for_members(&self, count: usize) -> Result<()> {
        let line = format!("cuminarch_members {count}\n");
        let until = Instant::now() + Self::START_TIMEOUT;
        while !fetch_page(self.node.admin_address(), "/metrics")?.contains(&line) {
            ensure!(Instant::now() < until, "the node did not discover {count} members in time");
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Starts a node beside an upstream and finds its data thread.
    pub fn start(service: &str, upstream: SocketAddr, platform: SocketAddr) -> Result<Self> {
        let text = format!(
            "fleet: bench
endpoint: {service}-1
service: {service}
zone: zrh-a
region: ch-central
caller_address: 127.0.0.1:0
egress_address: 127.0.0.1:0
data_address: 127.0.0.1:0
control_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
upstream_address: {upstream}
platform_address: {platform}
"
        );
        let before = usage::threads_named("data")?;
        let node = Node::start(NodeSettings::parse(&text)?)?;
        // A new thread sets its name shortly after it starts.
        std::thread::sleep(Duration::from_millis(100));
        let mut after = usage::threads_named("data")?;
        after.retain(|thread| !before.contains(thread));
        let thread = after
            .first()
            .copied()
            .ok_or_else(|| eyre!("found no data thread of the node of service {service}"))?;
        Ok(Self { node, thread })
    }

    /// Reads the usage of the node since it started.
    pub fn read(&self) -> Result<Reading> {
        let usage = usage::thread_usage(self.thread)?;
        let metrics = fetch_page(self.node.admin_address(), "/metrics")?;
        let sum = |suffix: &str| -> f64 {
            let name = format!("cuminarch_node_time_seconds_{suffix}{{");
            let lines = metrics.lines().filter(|line| line.starts_with(&name));
            lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
        };
        Ok(Reading { usage, node_time_seconds: sum("sum"), node_time_calls: sum("count") })
    }
}

impl Reading {
    /// Returns the difference from an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            usage: self.usage - earlier.usage,
            node_time_seconds: self.node_time_seconds - earlier.node_time_seconds,
            node_time_calls: self.node_time_calls - earlier.node_time_calls,
        }
    }

    /// Returns the mean time of a call in the node, in microseconds.
    pub fn node_time_us(&self) -> f64 {
        self.node_time_seconds * 1e6 / self.node_time_calls.max(1.0)
    }
}

/// Fetches a page from a node's admin address.
fn fetch_page(address: SocketAddr, path: &str) -> Result<String> {
    let mut stream = TcpStream::connect(address)?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}
