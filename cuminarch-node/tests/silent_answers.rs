//! Answers that begin and fall silent end at the deadline of their call.

mod harness;

use std::time::{Duration, Instant};

use cuminarch_testing::{ConnectionAction, RawUpstream};
use harness::{Chain, connect};
use rstest::rstest;

const DEADLINE: Duration = Duration::from_millis(1_000);
/// Time after the deadline at which the final answer is due.
const SLACK: Duration = Duration::from_millis(500);

fn upstream(first: &'static str, parts: usize, last: Option<&'static str>) -> RawUpstream {
    let upstream = RawUpstream::start(move |_, connection| {
        connection.write(format!("HTTP/1.1 200 OK\r\n{first}").as_bytes())?;
        for _ in 0..parts {
            std::thread::sleep(Duration::from_millis(200));
            connection.write(b"4\r\npart\r\n")?;
        }
        match last {
            Some(last) => connection.write(last.as_bytes())?,
            None => std::thread::sleep(DEADLINE * 10),
        }
        Ok(ConnectionAction::Close)
    });
    upstream.unwrap()
}

/// Callers waited for the idle timeout of bodies, a minute, whatever the deadline was.
#[rstest]
#[case::after_the_head("content-length: 100\r\n\r\n", 0)]
#[case::within_the_body("content-length: 100\r\n\r\npart", 0)]
#[case::between_chunks("transfer-encoding: chunked\r\n\r\n", 2)]
fn an_answer_that_falls_silent_ends_at_the_deadline(
    #[values(1, 2)] hops: usize,
    #[values(true, false)] has_key: bool,
    #[case] first: &'static str,
    #[case] parts: usize,
) {
    let upstream = upstream(first, parts, None);
    let chain = Chain::start(hops, upstream.address());
    let mut caller = connect(chain.front());
    let key: &[&str] = if has_key { &["idempotency-key: \"key-1\""] } else { &[] };
    let fields = [&["cuminarch-remaining-ms: 1000"], key].concat();
    let started_at = Instant::now();
    caller.send("GET /", &fields, b"");
    let answer = caller.read();
    let elapsed = started_at.elapsed();
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert!(elapsed > DEADLINE - SLACK && elapsed < DEADLINE + SLACK, "{elapsed:?}");
    chain.shutdown();
}

/// A stream without end that flows has no limit.
#[rstest]
fn an_answer_that_flows_past_the_deadline_is_not_cut(#[values(1, 2)] hops: usize) {
    let parts = 15;
    let upstream = upstream("transfer-encoding: chunked\r\n\r\n", parts, Some("0\r\n\r\n"));
    let chain = Chain::start(hops, upstream.address());
    let mut caller = connect(chain.front());
    caller.send("GET /", &["cuminarch-remaining-ms: 1000"], b"");
    let answer = caller.read();
    assert!(answer.is_complete);
    assert_eq!(answer.text(), "part".repeat(parts));
    chain.shutdown();
}
