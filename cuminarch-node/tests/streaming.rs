//! Bodies stream in bounded memory, and a slow peer does not delay other calls.

mod harness;

use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use cuminarch_testing::{ConnectionAction, RawUpstream};
use harness::{Chain, connect, wait_for};
use rstest::rstest;

const PIECE_BYTES: usize = 64 * 1024;
const BODY_BYTES: usize = 160 * 1024 * 1024;
/// Maximum bytes between a sender and a receiver that reads none, socket buffers included: a
/// quarter of a node's memory limit.
const MAX_IN_FLIGHT_BYTES: u64 = 64 * 1024 * 1024;

/// Returns the byte at an offset of a body; differs between offsets that a bug could swap.
fn byte_at(offset: usize) -> u8 {
    (offset % 251) as u8 ^ (offset / PIECE_BYTES % 241) as u8
}

fn piece(number: usize) -> Vec<u8> {
    (number * PIECE_BYTES..(number + 1) * PIECE_BYTES).map(byte_at).collect()
}

fn check(offset: &mut usize, bytes: &[u8]) {
    for byte in bytes {
        assert_eq!(*byte, byte_at(*offset), "byte {offset} differs");
        *offset += 1;
    }
}

/// Waits until a count no longer grows, and returns it.
fn settled(count: &AtomicU64) -> u64 {
    let mut last = 0;
    wait_for(|| {
        thread::sleep(Duration::from_millis(300));
        let now = count.load(Ordering::SeqCst);
        now > 0 && std::mem::replace(&mut last, now) == now
    });
    count.load(Ordering::SeqCst)
}

#[test]
fn a_download_waits_for_a_slow_reader_in_bounded_memory_and_holds_up_nobody() {
    let written = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&written);
    let upstream = RawUpstream::start(move |request, connection| {
        if request.target() != "/big" {
            connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nquick")?;
            return Ok(ConnectionAction::KeepAlive);
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        connection.write(head.as_bytes())?;
        for number in 0..BODY_BYTES / PIECE_BYTES {
            connection.write(&piece(number))?;
            counted.fetch_add(PIECE_BYTES as u64, Ordering::SeqCst);
        }
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(2, upstream.address());
    let mut slow = connect(chain.front());
    slow.send("GET /big", &["connection: close"], b"");
    let in_flight = settled(&written);
    assert!(in_flight < MAX_IN_FLIGHT_BYTES, "{in_flight} bytes in flight");
    for _ in 0..20 {
        assert_eq!(chain.call("GET /small", &[], b"").text(), "quick");
    }
    let reply = slow.read();
    assert!(reply.is_complete);
    let mut offset = 0;
    check(&mut offset, &reply.body);
    assert_eq!(offset, BODY_BYTES);
    chain.shutdown();
}

#[test]
fn an_upload_waits_for_a_slow_upstream_in_bounded_memory() {
    let is_reading = Arc::new(AtomicBool::new(false));
    let may_read = Arc::clone(&is_reading);
    let upstream = RawUpstream::start_streaming(move |request, connection| {
        wait_for(|| may_read.load(Ordering::SeqCst));
        let mut offset = 0;
        connection.read_body(request, |bytes| check(&mut offset, bytes))?;
        let body = offset.to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        connection.write(format!("{head}{body}").as_bytes())?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(2, upstream.address());
    let mut caller = connect(chain.front());
    caller.send("PUT /big", &[&format!("content-length: {BODY_BYTES}")], b"");
    let written = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&written);
    let mut stream = caller.stream.try_clone().unwrap();
    let writer = thread::spawn(move || {
        for number in 0..BODY_BYTES / PIECE_BYTES {
            stream.write_all(&piece(number)).unwrap();
            counted.fetch_add(PIECE_BYTES as u64, Ordering::SeqCst);
        }
    });
    let in_flight = settled(&written);
    assert!(in_flight < MAX_IN_FLIGHT_BYTES, "{in_flight} bytes in flight");
    is_reading.store(true, Ordering::SeqCst);
    let reply = caller.read();
    assert_eq!((reply.status, reply.text()), (200, BODY_BYTES.to_string()));
    writer.join().unwrap();
    chain.shutdown();
}

#[rstest]
fn a_part_of_an_answer_is_not_held_back_until_more_comes(#[values(1, 2)] hops: usize) {
    let (first_seen, receiver) = mpsc::channel::<()>();
    let receiver = std::sync::Mutex::new(receiver);
    let upstream = RawUpstream::start(move |_, connection| {
        connection.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n")?;
        let _ = receiver.lock().unwrap().recv_timeout(cuminarch_testing::LIVENESS_TIMEOUT);
        connection.write(b"4\r\nlast\r\n0\r\n\r\n")?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let mut caller = connect(chain.front());
    caller.send("GET /", &["connection: close"], b"");
    let mut text = String::new();
    while !text.contains("first") {
        let mut bytes = [0_u8; 1024];
        let count = caller.stream.read(&mut bytes).unwrap();
        assert!(count > 0);
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    first_seen.send(()).unwrap();
    caller.stream.read_to_string(&mut text).unwrap();
    assert!(text.ends_with("0\r\n\r\n"));
    chain.shutdown();
}

/// An address on which no other test listens, so that a released port stays closed.
const UNUSED_ADDRESS: &str = "127.77.0.1:0";

#[rstest]
fn an_early_refusal_reaches_a_caller_that_still_sends(#[values(1, 2)] hops: usize) {
    let closed = std::net::TcpListener::bind(UNUSED_ADDRESS).unwrap().local_addr().unwrap();
    let chain = Chain::start(hops, closed);
    let body = vec![7_u8; 8 * 1024 * 1024];
    for _ in 0..3 {
        let reply = chain.call("PUT /photo", &[], &body);
        assert_eq!((reply.status, reply.outcome()), (503, "not-run"));
    }
    chain.shutdown();
}

#[rstest]
fn an_early_answer_reaches_a_caller_that_still_sends(#[values(1, 2)] hops: usize) {
    let upstream = RawUpstream::start_streaming(|request, connection| {
        connection.write(b"HTTP/1.1 409 Conflict\r\ncontent-length: 5\r\n\r\nearly")?;
        connection.read_body(request, |_| {})?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let body = vec![7_u8; 8 * 1024 * 1024];
    for _ in 0..3 {
        let reply = chain.call("PUT /photo", &[], &body);
        assert_eq!((reply.status, reply.text().as_str()), (409, "early"));
    }
    chain.shutdown();
}

#[rstest]
#[case::known_length("content-length: 1000000", b"only this much")]
#[case::chunked("transfer-encoding: chunked", b"ffff\r\nonly this much")]
fn an_upload_that_breaks_off_never_looks_whole_to_the_upstream(
    #[values(1, 2)] hops: usize,
    #[case] field: &str,
    #[case] beginning: &[u8],
) {
    let whole = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&whole);
    let upstream = RawUpstream::start_streaming(move |request, connection| {
        connection.read_body(request, |_| {})?;
        counted.fetch_add(1, Ordering::SeqCst);
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let filler = vec![b'x'; 0x2_0000];
    for _ in 0..3 {
        let mut caller = connect(chain.front());
        caller.send("PUT /photo", &[field], b"");
        if field.starts_with("transfer") {
            let head = format!("{:x}\r\n", filler.len());
            caller.stream.write_all(&[head.as_bytes(), &filler, b"\r\n"].concat()).unwrap();
        } else {
            caller.stream.write_all(&filler).unwrap();
        }
        caller.stream.write_all(beginning).unwrap();
        caller.stream.shutdown(Shutdown::Both).unwrap();
    }
    assert_eq!(chain.call("GET /", &[], b"").text(), "ok");
    assert_eq!(whole.load(Ordering::SeqCst), 1);
    chain.shutdown();
}
