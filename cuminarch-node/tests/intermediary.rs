//! Duties of an HTTP intermediary, over real sockets, through one node and through two.

mod harness;

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use cuminarch_testing::{ConnectionAction, RawAnswer, RawCaller, RawRequest, RawUpstream};
use harness::{Chain, call, connect};
use rstest::rstest;

/// Starts an upstream that answers every request with these bytes.
fn answering(bytes: &'static [u8], after: ConnectionAction) -> RawUpstream {
    RawUpstream::start(move |_, connection| connection.write(bytes).map(|()| after)).unwrap()
}

/// Returns the header lines without those whose values vary between runs.
fn stable(head: &[String]) -> String {
    let varies = |line: &&String| {
        ["date:", "cuminarch-request:", "cuminarch-remaining-ms:"]
            .iter()
            .all(|name| !line.starts_with(name))
    };
    head.iter().filter(varies).cloned().collect::<Vec<_>>().join("\n")
}

#[rstest]
fn a_request_reaches_the_upstream_without_its_hop_by_hop_fields(#[values(1, 2)] hops: usize) {
    let seen = Arc::new(Mutex::new(RawRequest::default()));
    let recorded = Arc::clone(&seen);
    let upstream = RawUpstream::start(move |request, connection| {
        *recorded.lock().unwrap() = request.clone();
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let fields = [
        "x-many: one",
        "x-many: two, three",
        "accept: text/plain",
        "connection: keep-alive, x-private",
        "x-private: for this hop only",
        "keep-alive: timeout=5",
        "te: trailers",
        "upgrade: h2c",
        "proxy-authorization: Basic c2VjcmV0",
        "cookie: a=b; c=d",
    ];
    let reply = chain.call("POST /a%20b/c?x=1&y=%2F&x=2", &fields, b"the body");
    assert_eq!((reply.status, reply.outcome()), (200, "completed"));
    let seen = seen.lock().unwrap().clone();
    assert!(seen.header("cuminarch-request").unwrap().contains('-'));
    assert_eq!(seen.body, b"the body");
    insta::assert_snapshot!("request_at_upstream", stable(&seen.head));
    chain.shutdown();
}

#[rstest]
fn an_answer_reaches_the_caller_without_its_hop_by_hop_fields(#[values(1, 2)] hops: usize) {
    let upstream = answering(
        b"HTTP/1.1 201 Created\r\nset-cookie: a=1\r\nset-cookie: b=2\r\nlocation: /x?y=z\r\n\
          connection: x-private\r\nx-private: 1\r\nkeep-alive: timeout=9\r\nx-bytes: \xe9\r\n\
          cuminarch-outcome: forged\r\ncontent-length: 5\r\n\r\nhello",
        ConnectionAction::KeepAlive,
    );
    let chain = Chain::start(hops, upstream.address());
    let reply = chain.call("GET /", &[], b"");
    assert_eq!(reply.text(), "hello");
    insta::assert_snapshot!("answer_at_caller", stable(&reply.head));
    chain.shutdown();
}

#[rstest]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n", 200, Some("1000"))]
#[case::no_content("DELETE", "HTTP/1.1 204 No Content\r\n\r\n", 204, None)]
#[case::not_modified("GET", "HTTP/1.1 304 Not Modified\r\netag: \"a\"\r\n\r\n", 304, None)]
#[case::empty("GET", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 200, Some("0"))]
fn an_answer_without_body_leaves_the_connection_usable(
    #[values(1, 2)] hops: usize,
    #[case] method: &str,
    #[case] answer: &'static str,
    #[case] status: u16,
    #[case] length: Option<&str>,
) {
    let upstream = answering(answer.as_bytes(), ConnectionAction::KeepAlive);
    let chain = Chain::start(hops, upstream.address());
    let mut caller = connect(chain.front());
    for _ in 0..3 {
        caller.send(&format!("{method} /thing"), &[], b"");
        let reply = if method == "HEAD" { caller.read_head() } else { caller.read() };
        assert_eq!((reply.status, reply.body.len()), (status, 0));
        assert_eq!(reply.header("content-length"), length);
        assert_eq!(reply.outcome(), "completed");
    }
    chain.shutdown();
}

#[rstest]
#[case::chunked(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
    ConnectionAction::KeepAlive
)]
#[case::length_beside_chunks(
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n",
    ConnectionAction::KeepAlive
)]
#[case::until_close(
    b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello world",
    ConnectionAction::Close
)]
fn an_answer_of_unknown_length_arrives_whole(
    #[values(1, 2)] hops: usize,
    #[case] answer: &'static [u8],
    #[case] after: ConnectionAction,
) {
    let upstream = answering(answer, after);
    let chain = Chain::start(hops, upstream.address());
    let mut caller = connect(chain.front());
    for _ in 0..2 {
        caller.send("GET /", &[], b"");
        let reply = caller.read();
        assert_eq!((reply.text().as_str(), reply.is_complete), ("hello world", true));
        assert_eq!(reply.header("transfer-encoding"), Some("chunked"));
    }
    chain.shutdown();
}

#[rstest]
#[case::known_length(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this much")]
#[case::chunked(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\ne\r\nonly this much\r\n")]
#[case::within_a_chunk(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nff\r\nonly this much"
)]
fn an_upstream_that_dies_halfway_breaks_the_callers_body(
    #[values(1, 2)] hops: usize,
    #[case] answer: &'static [u8],
) {
    let upstream = answering(answer, ConnectionAction::Close);
    let chain = Chain::start(hops, upstream.address());
    for _ in 0..3 {
        let reply = chain.call("GET /", &[], b"");
        assert_eq!(reply.status, 200);
        assert!(!reply.is_complete, "the truncated body looks complete: {reply:?}");
    }
    chain.shutdown();
}

#[rstest]
#[case::no_request(b"rubbish\r\n\r\n".to_vec(), 400)]
#[case::no_version(b"GET /\r\n\r\n".to_vec(), 400)]
#[case::bad_field(b"GET / HTTP/1.1\r\nhost: a\r\nno colon\r\n\r\n".to_vec(), 400)]
#[case::two_lengths(
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_vec(), 400)]
#[case::bad_length(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n".to_vec(), 400)]
#[case::no_host(b"GET / HTTP/1.1\r\n\r\n".to_vec(), 400)]
#[case::two_hosts(b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n".to_vec(), 400)]
#[case::bad_chunk(
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(), 400)]
#[case::long_field(
    [b"GET / HTTP/1.1\r\nhost: a\r\nx: ".to_vec(), vec![b'x'; 100_000], b"\r\n\r\n".to_vec()].concat(),
    431)]
#[case::many_fields(
    [b"GET / HTTP/1.1\r\nhost: a\r\n".to_vec(), b"x: y\r\n".repeat(300), b"\r\n".to_vec()].concat(),
    431)]
#[case::long_body(
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5000000\r\n\r\n".to_vec(), 413)]
#[case::connect(b"CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n".to_vec(), 405)]
#[case::bad_service(b"GET / HTTP/1.1\r\nhost: a\r\ncuminarch-service: a b\r\n\r\n".to_vec(), 400)]
#[case::bad_request_id(b"GET / HTTP/1.1\r\nhost: a\r\ncuminarch-request: xyz\r\n\r\n".to_vec(), 400)]
#[case::bad_key(b"GET / HTTP/1.1\r\nhost: a\r\nidempotency-key: ck1:no\r\n\r\n".to_vec(), 400)]
fn malformed_input_is_refused_and_harms_nothing(#[case] input: Vec<u8>, #[case] status: u16) {
    let upstream =
        answering(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", ConnectionAction::KeepAlive);
    let settings = "max_request_body_bytes: 1000000";
    let chain = Chain::start_with(1, upstream.address(), settings);
    let mut caller = connect(chain.front());
    caller.stream.write_all(&input).unwrap();
    assert_eq!(caller.read().status, status);
    assert_eq!(upstream.runs(), 0);
    assert_eq!(chain.call("GET /", &[], b"").text(), "ok");
    chain.shutdown();
}

#[rstest]
fn expect_100_continue_gets_a_100_response(#[values(1, 2)] hops: usize) {
    let upstream = RawUpstream::start(|request, connection| {
        assert_eq!(request.header("expect"), None);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", request.body.len());
        connection.write(head.as_bytes())?;
        connection.write(&request.body)?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let mut caller = connect(chain.front());
    caller.send("PUT /photo", &["expect: 100-continue", "content-length: 5"], b"");
    assert_eq!(caller.read().status, 100);
    caller.stream.write_all(b"photo").unwrap();
    assert_eq!(caller.read().text(), "photo");
    chain.shutdown();
}

#[test]
fn expect_100_continue_is_refused_without_a_100_response() {
    let upstream =
        answering(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", ConnectionAction::KeepAlive);
    let chain = Chain::start(1, upstream.address());
    let mut caller = connect(chain.front());
    let fields = ["expect: 100-continue", "content-length: 5000000", "x: y"];
    let request = "PUT / HTTP/1.1\r\nhost: a\r\ncuminarch-service: nowhere\r\n";
    let text = format!("{request}{}\r\n\r\n", fields.join("\r\n"));
    caller.stream.write_all(text.as_bytes()).unwrap();
    let reply = caller.read();
    assert_eq!((reply.status, reply.outcome()), (503, "not-run"));
    assert!(reply.header("retry-after").is_some());
    chain.shutdown();
}

/// Retries a request until the outcome is no longer `not-run`.
fn retry_until_run(caller: &mut RawCaller, request_line: &str) -> RawAnswer {
    loop {
        caller.send(request_line, &[], b"");
        let reply = caller.read();
        if reply.outcome() != "not-run" {
            return reply;
        }
        assert!(reply.header("retry-after").is_some());
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn every_concurrent_caller_gets_its_own_whole_answer() {
    let upstream = RawUpstream::start(|request, connection| {
        let number: usize = request.target()[1..].parse().unwrap();
        thread::sleep(Duration::from_millis(number as u64 * 7 % 50));
        let body = format!("{number},").repeat(1 + number * 37 % 4_000);
        if number.is_multiple_of(2) {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            connection.write(head.as_bytes())?;
            connection.write(body.as_bytes())?;
        } else {
            connection.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
            connection.write(format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()).as_bytes())?;
        }
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(2, upstream.address());
    let front = chain.front();
    let callers: Vec<_> = (0..48)
        .map(|caller| {
            thread::spawn(move || {
                let mut connection = connect(front);
                for round in 0..10_usize {
                    let number = caller * 10 + round;
                    let reply = retry_until_run(&mut connection, &format!("GET /{number}"));
                    let expected = format!("{number},").repeat(1 + number * 37 % 4_000);
                    assert_eq!((reply.status, reply.is_complete), (200, true));
                    assert!(
                        reply.text() == expected,
                        "request {number} got the answer to another request"
                    );
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    chain.shutdown();
}

#[test]
fn an_answer_that_comes_after_its_caller_left_reaches_nobody_else() {
    let upstream = RawUpstream::start(|request, connection| {
        if request.target() == "/late" {
            thread::sleep(Duration::from_millis(50));
        }
        let body = request.target();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        connection.write(format!("{head}{body}").as_bytes())?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(2, upstream.address());
    for number in 0..20 {
        let mut disconnecting = connect(chain.front());
        disconnecting.send("GET /late", &[], b"");
        thread::sleep(Duration::from_millis(number * 4));
        drop(disconnecting);
        let target = format!("/own{number}");
        assert_eq!(chain.call(&format!("GET {target}"), &[], b"").text(), target);
    }
    chain.shutdown();
}

#[test]
fn an_idle_connection_that_the_upstream_closed_costs_no_request() {
    let upstream = RawUpstream::start(|_, connection| {
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")?;
        Ok(ConnectionAction::Close)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(1, upstream.address());
    for _ in 0..20 {
        assert_eq!(call(chain.front(), "GET /", &[], b"").text(), "ok");
        thread::sleep(Duration::from_millis(5));
    }
    chain.shutdown();
}

#[rstest]
fn large_header_fields_pass_in_both_directions(#[values(1, 2)] hops: usize) {
    let upstream = RawUpstream::start(|request, connection| {
        let value = request.header("x-large").unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nx-large: {value}\r\ncontent-length: 0\r\n\r\n");
        connection.write(head.as_bytes())?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let value = "0123456789".repeat(3_000);
    let reply = chain.call("GET /", &[&format!("x-large: {value}")], b"");
    assert_eq!((reply.status, reply.header("x-large")), (200, Some(value.as_str())));
    chain.shutdown();
}

#[rstest]
#[case::length_first("content-length: 3", "transfer-encoding: chunked")]
#[case::chunks_first("transfer-encoding: chunked", "content-length: 3")]
fn chunked_framing_overrides_content_length(
    #[values(1, 2)] hops: usize,
    #[case] one: &str,
    #[case] other: &str,
) {
    let upstream = RawUpstream::start(|request, connection| {
        assert_eq!(request.head.iter().filter(|line| line.starts_with("host:")).count(), 1);
        let framing = ["content-length", "transfer-encoding"].map(|name| request.header(name));
        let is_valid = framing.iter().flatten().count() == 1 && request.body == b"hello";
        let body = if is_valid { "sound" } else { "wrong" };
        connection
            .write(format!("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{body}").as_bytes())?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    let mut caller = connect(chain.front());
    caller.send("POST /", &[one, other], b"");
    caller.stream.write_all(b"5\r\nhello\r\n0\r\n\r\n").unwrap();
    assert_eq!(caller.read().text(), "sound");
    chain.shutdown();
}
