//! A stopping node completes calls in flight and runs no new ones.

mod harness;

use std::io::Read;
use std::net::TcpStream;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use cuminarch_testing::{ConnectionAction, RawAnswer, RawUpstream};
use harness::{Chain, call, connect, start_node, wait_for};
use rstest::rstest;

const CALLERS: usize = 12;

/// Starts an upstream whose answers pause halfway until `release` is set.
fn paused_upstream(release: &Arc<AtomicBool>) -> RawUpstream {
    let release = Arc::clone(release);
    let upstream = RawUpstream::start(move |request, connection| {
        if request.target().starts_with("/chunked") {
            connection
                .write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")?;
            wait_for(|| release.load(Ordering::SeqCst));
            connection.write(b"4\r\nhalf\r\n0\r\n\r\n")?;
        } else {
            wait_for(|| release.load(Ordering::SeqCst));
            connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf")?;
            thread::sleep(Duration::from_millis(20));
            connection.write(b"half")?;
        }
        Ok(ConnectionAction::KeepAlive)
    });
    upstream.unwrap()
}

fn start_callers(chain: &Chain, upstream: &RawUpstream) -> mpsc::Receiver<RawAnswer> {
    let (done, replies) = mpsc::channel();
    let front = chain.front();
    for number in 0..CALLERS {
        let done = done.clone();
        let target = if number % 2 == 0 { "/chunked" } else { "/known" };
        thread::spawn(move || {
            done.send(call(front, &format!("GET {target}"), &[], b"")).unwrap();
        });
    }
    wait_for(|| upstream.runs() == CALLERS as u64);
    replies
}

/// Waits until a node refuses new calls.
fn wait_until_draining(admin: std::net::SocketAddr) {
    wait_for(|| call(admin, "GET /healthz", &[], b"").text() == "draining\n");
}

#[rstest]
#[case::only_node(1, 0)]
#[case::callers_node(2, 0)]
#[case::upstreams_node(2, 1)]
fn calls_in_flight_end_whole_and_new_ones_are_not_run(
    #[case] hops: usize,
    #[case] stopped_node: usize,
) {
    let release = Arc::new(AtomicBool::new(false));
    let upstream = paused_upstream(&release);
    let mut chain = Chain::start(hops, upstream.address());
    let mut idle = connect(chain.front());
    idle.send("POST /.cuminarch/keys", &[], b"");
    assert_eq!(idle.read().status, 201);
    let replies = start_callers(&chain, &upstream);
    let front = chain.front();
    let node = chain.nodes.remove(stopped_node);
    let (admin, address) = (node.admin_address(), node.caller_address());
    let stopping = thread::spawn(move || node.shutdown());
    wait_until_draining(admin);
    let late = call(front, "GET /late", &[], b"");
    assert_eq!((late.status, late.outcome()), (503, "not-run"));
    release.store(true, Ordering::SeqCst);
    for _ in 0..CALLERS {
        let reply = replies.recv_timeout(cuminarch_testing::LIVENESS_TIMEOUT).unwrap();
        assert_eq!((reply.status, reply.text().as_str()), (200, "halfhalf"));
        assert!(reply.is_complete);
    }
    stopping.join().unwrap();
    assert_eq!(upstream.runs(), CALLERS as u64);
    assert!(TcpStream::connect(address).is_err(), "the stopped node still listens");
    if stopped_node == 0 {
        assert_eq!(idle.stream.read(&mut [0; 16]).unwrap(), 0, "the idle connection is still open");
    }
    chain.shutdown();
}

#[test]
fn an_upstream_can_call_others_until_its_own_calls_have_ended() {
    let release = Arc::new(AtomicBool::new(false));
    let inner = paused_upstream(&release);
    release.store(true, Ordering::SeqCst);
    let chain = Chain::start(1, inner.address());
    let egress: Arc<OnceLock<std::net::SocketAddr>> = Arc::default();
    let is_stopping = Arc::new(AtomicBool::new(false));
    let (egress_address, stop_flag) = (Arc::clone(&egress), Arc::clone(&is_stopping));
    let upstream = RawUpstream::start(move |request, connection| {
        wait_for(|| stop_flag.load(Ordering::SeqCst));
        let token = format!("cuminarch-request: {}", request.header("cuminarch-request").unwrap());
        let reply = call(*egress_address.get().unwrap(), "GET /known", &[&token], b"");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", reply.body.len());
        connection.write(&[head.as_bytes(), &reply.body].concat())?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let node = start_node("top", upstream.address(), chain.platform.address(), "");
    egress.set(node.egress_address()).unwrap();
    wait_for(|| {
        call(node.admin_address(), "GET /dump", &[], b"").text().contains("\"members\": 2")
    });
    let front = node.caller_address();
    let caller = thread::spawn(move || {
        let mut caller = connect(front);
        use std::io::Write;
        caller.stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
        caller.read()
    });
    wait_for(|| upstream.runs() == 1);
    let admin = node.admin_address();
    let stopping = thread::spawn(move || node.shutdown());
    wait_until_draining(admin);
    is_stopping.store(true, Ordering::SeqCst);
    assert_eq!(caller.join().unwrap().text(), "halfhalf");
    stopping.join().unwrap();
    chain.shutdown();
}

#[test]
fn an_upstream_that_hangs_cannot_hold_up_a_shutdown_for_ever() {
    let upstream = paused_upstream(&Arc::new(AtomicBool::new(false)));
    let chain = Chain::start_with(1, upstream.address(), "shutdown_timeout_ms: 200");
    let front = chain.front();
    let caller = thread::spawn(move || call(front, "GET /chunked", &[], b""));
    wait_for(|| upstream.runs() == 1);
    chain.shutdown();
    assert!(!caller.join().unwrap().is_complete);
}
