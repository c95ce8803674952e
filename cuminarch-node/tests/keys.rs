//! A call with an idempotency key continues after its caller disconnects.

mod harness;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cuminarch_testing::{ConnectionAction, RawUpstream};
use harness::{Chain, call, connect, wait_for};
use rstest::rstest;

#[rstest]
fn a_resend_gets_the_answer_of_a_run_whose_caller_left(#[values(1, 2)] hops: usize) {
    let release = Arc::new(AtomicBool::new(false));
    let is_released = Arc::clone(&release);
    let upstream = RawUpstream::start(move |request, connection| {
        wait_for(|| is_released.load(Ordering::SeqCst));
        let body = format!("approved {}", request.target());
        let head = format!("HTTP/1.1 201 Created\r\ncontent-length: {}\r\n\r\n", body.len());
        connection.write(format!("{head}{body}").as_bytes())?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let minted = call(chain.back().caller_address(), "POST /.cuminarch/keys", &[], b"");
    assert_eq!(minted.status, 201);
    let key = format!("idempotency-key: {}", minted.text());
    let mut disconnecting = connect(chain.front());
    disconnecting.send("POST /approvals/7", &[&key], b"yes");
    wait_for(|| upstream.runs() == 1);
    drop(disconnecting);
    let resend = || chain.call("POST /approvals/7", &[&key], b"yes");
    let running = resend();
    assert_eq!(
        (running.status, running.header("cuminarch-reason")),
        (409, Some("key-in-progress"))
    );
    assert!(running.header("retry-after").is_some());
    release.store(true, Ordering::SeqCst);
    wait_for(|| resend().status != 409);
    let reply = resend();
    assert_eq!((reply.status, reply.outcome()), (201, "completed"));
    assert_eq!(reply.text(), "approved /approvals/7");
    let other = chain.call("POST /approvals/8", &[&key], b"yes");
    assert_eq!((other.status, other.header("cuminarch-reason")), (422, Some("key-conflict")));
    assert_eq!(upstream.runs(), 1);
    chain.shutdown();
}

#[test]
fn a_call_without_key_is_cancelled_when_its_caller_leaves() {
    let cancelled = Arc::new(AtomicBool::new(false));
    let observed = Arc::clone(&cancelled);
    let upstream = RawUpstream::start(move |_, connection| {
        connection.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
        wait_for(|| connection.write(b"1\r\nx\r\n").is_err());
        observed.store(true, Ordering::SeqCst);
        Ok(ConnectionAction::Close)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(2, upstream.address());
    let mut disconnecting = connect(chain.front());
    disconnecting.send("GET /", &[], b"");
    disconnecting.stream.flush().unwrap();
    wait_for(|| upstream.runs() == 1);
    drop(disconnecting);
    wait_for(|| cancelled.load(Ordering::SeqCst));
    chain.shutdown();
}

#[rstest]
fn a_key_is_bound_to_the_first_body_sent_with_it(#[values(1, 2)] hops: usize) {
    let upstream = RawUpstream::start(move |_, connection| {
        connection.write(b"HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\nok")?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let minted = call(chain.back().caller_address(), "POST /.cuminarch/keys", &[], b"");
    let key = format!("idempotency-key: {}", minted.text());
    let send = |body: &[u8]| chain.call("POST /approvals/7", &[&key], body);
    assert_eq!(send(b"yes").status, 201);
    let other = send(b"no");
    assert_eq!((other.status, other.outcome()), (422, "unknown"));
    assert_eq!(other.header("cuminarch-reason"), Some("key-conflict"));
    assert_eq!(send(b"yes").status, 201);
    assert_eq!(upstream.runs(), 1);
    chain.shutdown();
}
