//! Nodes on loopback and a caller that speaks raw HTTP.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use cuminarch_node::{Node, NodeSettings};
use cuminarch_testing::PlatformServer;

/// Time in which something that is bound to happen has happened.
pub const LIVENESS: Duration = Duration::from_secs(20);

/// One or two nodes in front of an upstream of the service `back`.
pub struct Chain {
    pub platform: PlatformServer,
    pub nodes: Vec<Node>,
}

impl Chain {
    /// Starts `hops` nodes; the last one stands beside the upstream.
    pub fn start(hops: usize, upstream: SocketAddr) -> Self {
        Self::start_with(hops, upstream, "")
    }

    /// Starts nodes with further lines in their settings.
    pub fn start_with(hops: usize, upstream: SocketAddr, more: &str) -> Self {
        let platform = PlatformServer::start().unwrap();
        let mut nodes = vec![start_node("back", upstream, platform.address(), more)];
        if hops == 2 {
            nodes.insert(0, start_node("front", upstream, platform.address(), more));
        }
        let chain = Self { platform, nodes };
        if hops == 2 {
            chain.wait_until_known();
        }
        chain
    }

    /// Where callers connect.
    pub fn front(&self) -> SocketAddr {
        self.nodes[0].caller_address()
    }

    /// The node beside the upstream.
    pub fn back(&self) -> &Node {
        &self.nodes[self.nodes.len() - 1]
    }

    /// Sends one request to the service `back` on a connection of its own.
    pub fn call(&self, request_line: &str, fields: &[&str], body: &[u8]) -> Reply {
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

pub fn start_node(service: &str, upstream: SocketAddr, platform: SocketAddr, more: &str) -> Node {
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
{more}"
    );
    Node::start(NodeSettings::parse(&text).unwrap()).unwrap()
}

/// Waits until `is_so`, for as long as anybody could want to wait.
pub fn wait_for(mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + LIVENESS;
    while !is_so() {
        assert!(Instant::now() < until, "it did not happen");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// An answer as it came over the socket.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub head: Vec<String>,
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub is_whole: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.iter().skip(1).find_map(|line| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    pub fn outcome(&self) -> &str {
        self.header("cuminarch-outcome").unwrap_or("none")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, request_line: &str, fields: &[&str], body: &[u8]) -> Reply {
    let mut caller = Caller::connect(address);
    caller.send(request_line, fields, body);
    caller.read(request_line.starts_with("HEAD"))
}

/// A caller's end of a connection.
pub struct Caller {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LIVENESS)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self { stream, buffer: Vec::new() }
    }

    /// Sends a request for the service `back`; `HTTP/1.1` and the length are added.
    pub fn send(&mut self, request_line: &str, fields: &[&str], body: &[u8]) {
        let mut text = format!("{request_line} HTTP/1.1\r\nhost: test\r\n");
        text.push_str("cuminarch-service: back\r\n");
        for field in fields {
            text.push_str(field);
            text.push_str("\r\n");
        }
        if !body.is_empty() {
            text.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let bytes = [text.as_bytes(), body].concat();
        self.stream.write_all(&bytes).unwrap();
    }

    /// Reads one answer.
    pub fn read(&mut self, is_head_request: bool) -> Reply {
        let head = self.read_head();
        let status: u16 = head[0].split(' ').nth(1).unwrap().parse().unwrap();
        let mut reply = Reply { status, head, body: Vec::new(), is_whole: true };
        if is_head_request || matches!(status, 100 | 204 | 304) {
            return reply;
        }
        let length = reply.header("content-length").and_then(|value| value.parse().ok());
        if let Some(length) = length {
            reply.is_whole = self.read_exactly(length, &mut reply.body);
        } else if reply.header("transfer-encoding") == Some("chunked") {
            reply.is_whole = self.read_chunks(&mut reply.body);
        } else {
            while self.fill() {}
            reply.body = std::mem::take(&mut self.buffer);
        }
        reply
    }

    fn read_head(&mut self) -> Vec<String> {
        let mut head = Vec::new();
        loop {
            let line = self.read_line().expect("an answer");
            if line.is_empty() {
                return head;
            }
            head.push(line);
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn read_exactly(&mut self, length: usize, body: &mut Vec<u8>) -> bool {
        let end = body.len() + length;
        loop {
            let count = self.buffer.len().min(end - body.len());
            body.extend(self.buffer.drain(..count));
            if body.len() == end {
                return true;
            }
            if !self.fill() {
                return false;
            }
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.read_line() else { return false };
            let Ok(length) = usize::from_str_radix(&line, 16) else { return false };
            if !self.read_exactly(length, body) || self.read_line().is_none() {
                return false;
            }
            if length == 0 {
                return true;
            }
        }
    }

    /// Reads more bytes. Returns whether there were any.
    fn fill(&mut self) -> bool {
        let mut bytes = [0_u8; 64 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }
}
