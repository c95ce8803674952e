//! The daemon as a process: checking of settings, and shutdown on signals.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use cuminarch_testing::{ConnectionAction, PlatformServer, RawUpstream};

fn wait_for(condition: impl FnMut() -> bool) {
    cuminarch_testing::wait_for("the condition of the test", condition);
}

fn settings_file(name: &str, upstream: SocketAddr, platform: SocketAddr) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = format!(
        "fleet: tests
endpoint: back-1
service: back
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
    std::fs::write(&path, text).unwrap();
    path
}

fn daemon(path: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cuminarchd"));
    command.arg("--settings").arg(path);
    command
}

/// A running daemon; killed on drop.
struct Daemon {
    child: Child,
    caller_address: SocketAddr,
}

impl Daemon {
    fn start(path: &PathBuf) -> Self {
        let mut child = daemon(path).stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("CU1001") {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the daemon ended without the line CU1001"
            );
        }
        let caller_address = line.split("callers=").nth(1).unwrap().trim().parse().unwrap();
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self { child, caller_address }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn blocking_upstream(release: &Arc<AtomicBool>) -> RawUpstream {
    let release = Arc::clone(release);
    let upstream = RawUpstream::start(move |_, connection| {
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf")?;
        wait_for(|| release.load(Ordering::SeqCst));
        connection.write(b"half")?;
        Ok(ConnectionAction::KeepAlive)
    });
    upstream.unwrap()
}

fn send_request(address: SocketAddr, request_line: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let text = format!("{request_line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let _ = stream.write_all(text.as_bytes());
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

fn wait_until_draining(caller_address: SocketAddr) {
    let mint_key = || send_request(caller_address, "POST /.cuminarch/keys");
    wait_for(|| mint_key().contains("cuminarch-outcome: not-run"));
}

#[test]
fn a_call_in_flight_ends_whole_when_the_daemon_is_terminated() {
    let release = Arc::new(AtomicBool::new(false));
    let upstream = blocking_upstream(&release);
    let platform = PlatformServer::start().unwrap();
    let path = settings_file("graceful.yaml", upstream.address(), platform.address());
    let mut daemon = Daemon::start(&path);
    let caller_address = daemon.caller_address;
    let caller = thread::spawn(move || send_request(caller_address, "GET /"));
    wait_for(|| upstream.runs() == 1);
    daemon.terminate();
    wait_until_draining(caller_address);
    assert!(send_request(caller_address, "GET /").contains("cuminarch-outcome: not-run"));
    assert!(daemon.child.try_wait().unwrap().is_none(), "the daemon did not wait for the call");
    release.store(true, Ordering::SeqCst);
    assert!(caller.join().unwrap().ends_with("halfhalf"));
    assert!(daemon.child.wait().unwrap().success());
    assert_eq!(upstream.runs(), 1);
}

#[test]
fn a_second_signal_ends_the_daemon_at_once() {
    let upstream = blocking_upstream(&Arc::new(AtomicBool::new(false)));
    let platform = PlatformServer::start().unwrap();
    let path = settings_file("second.yaml", upstream.address(), platform.address());
    let mut daemon = Daemon::start(&path);
    let caller_address = daemon.caller_address;
    let caller = thread::spawn(move || send_request(caller_address, "GET /"));
    wait_for(|| upstream.runs() == 1);
    daemon.terminate();
    wait_until_draining(caller_address);
    daemon.terminate();
    assert_eq!(daemon.child.wait().unwrap().code(), Some(1));
    caller.join().unwrap();
}

#[test]
fn settings_can_be_checked_without_starting() {
    let address = "127.0.0.1:9".parse().unwrap();
    let good = settings_file("good.yaml", address, address);
    let output = daemon(&good).arg("--check").output().unwrap();
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).ends_with("good.yaml: ok\n"));
    let bad = settings_file("bad.yaml", address, "127.0.0.1:0".parse().unwrap());
    let output = daemon(&bad).arg("--check").output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("bad.yaml"), "{error}");
    assert!(error.contains("line 12: platform_address: needs a port"), "{error}");
}
