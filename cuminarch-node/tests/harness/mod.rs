//! Nodes on loopback and a raw HTTP caller.
#![allow(dead_code)]

use std::net::SocketAddr;

use cuminarch_node::{Node, NodeSettings};
use cuminarch_testing::{PlatformServer, RawAnswer, RawCaller};

/// One or two nodes in front of an upstream of the service `back`.
pub struct Chain {
    pub platform: PlatformServer,
    pub nodes: Vec<Node>,
}

impl Chain {
    /// Starts `hops` nodes; the last one is the serving node of the upstream.
    pub fn start(hops: usize, upstream: SocketAddr) -> Self {
        Self::start_with(hops, upstream, "")
    }

    /// Starts nodes with additional lines in their settings.
    pub fn start_with(hops: usize, upstream: SocketAddr, settings: &str) -> Self {
        let platform = PlatformServer::start().unwrap();
        let mut nodes = vec![start_node("back", upstream, platform.address(), settings)];
        if hops == 2 {
            nodes.insert(0, start_node("front", upstream, platform.address(), settings));
        }
        let chain = Self { platform, nodes };
        if hops == 2 {
            chain.wait_until_known();
        }
        chain
    }

    /// Returns the address that callers connect to.
    pub fn front(&self) -> SocketAddr {
        self.nodes[0].caller_address()
    }

    /// Returns the serving node of the upstream.
    pub fn back(&self) -> &Node {
        &self.nodes[self.nodes.len() - 1]
    }

    /// Sends one request to the service `back` on a new connection.
    pub fn call(&self, request_line: &str, fields: &[&str], body: &[u8]) -> RawAnswer {
        call(self.front(), request_line, fields, body)
    }

    /// Waits until the first node knows the second.
    fn wait_until_known(&self) {
        let admin = self.nodes[0].admin_address();
        wait_for(|| {
            let dump = call(admin, "GET /dump", &[], b"");
            dump.text().contains("\"members\": 2")
        });
    }

    pub fn shutdown(self) {
        for node in self.nodes {
            node.shutdown();
        }
    }
}

pub fn start_node(
    service: &str,
    upstream: SocketAddr,
    platform: SocketAddr,
    settings: &str,
) -> Node {
    let text = format!(
        "fleet: tests
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
{settings}"
    );
    Node::start(NodeSettings::parse(&text).unwrap()).unwrap()
}

/// Waits until the condition holds. Panics after the liveness timeout.
pub fn wait_for(condition: impl FnMut() -> bool) {
    cuminarch_testing::wait_for("the condition of the test", condition);
}

/// Connects a caller of the service `back`.
pub fn connect(address: SocketAddr) -> RawCaller {
    RawCaller::connect(address).with_field("cuminarch-service: back")
}

/// Sends one request on a new connection and reads the answer.
pub fn call(address: SocketAddr, request_line: &str, fields: &[&str], body: &[u8]) -> RawAnswer {
    let mut caller = connect(address);
    caller.send(request_line, fields, body);
    if request_line.starts_with("HEAD") { caller.read_head() } else { caller.read() }
}
