//! What upstreams state about themselves, over cuminarch's own interface.

mod harness;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use cuminarch_testing::{ConnectionAction, RawUpstream};
use harness::{Chain, call};
use rstest::rstest;

const RATE_LIMIT_PER_S: f64 = 5.0;
const CALLERS: usize = 30;
/// An upstream may get this many times its limit, and a few requests more.
const MAX_LOAD_RATIO: f64 = 1.5;
const MAX_EXTRA_REQUESTS: f64 = 5.0;

#[rstest]
fn upstream_gets_no_more_than_the_limit_that_it_states(#[values(1, 2)] hops: usize) {
    let requests = Arc::new(AtomicUsize::new(0));
    let received = Arc::clone(&requests);
    let upstream = RawUpstream::start(move |_, connection| {
        received.fetch_add(1, Ordering::SeqCst);
        connection
            .write(b"HTTP/1.1 200 OK\r\ncuminarch-rate-limit: 5\r\ncontent-length: 2\r\n\r\nok")?;
        Ok(ConnectionAction::KeepAlive)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start(hops, upstream.address());
    assert_eq!(chain.call("GET /", &[], b"").header("cuminarch-rate-limit"), Some("5"));
    let dump = call(chain.back().admin_address(), "GET /dump", &[], b"");
    assert!(dump.text().contains("\"rate_limit_per_s\": 5.0"), "{}", dump.text());
    let (before, begin, front) = (requests.load(Ordering::SeqCst), Instant::now(), chain.front());
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| thread::spawn(move || call(front, "GET /", &[], b"").outcome().to_owned()))
        .collect();
    let outcomes: Vec<String> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let received = requests.load(Ordering::SeqCst) - before;
    let seconds = begin.elapsed().as_secs_f64();
    let allowed = RATE_LIMIT_PER_S * MAX_LOAD_RATIO * seconds + MAX_EXTRA_REQUESTS;
    assert!(received as f64 <= allowed, "{received} requests, {allowed} allowed");
    assert!(outcomes.iter().all(|outcome| ["completed", "not-run"].contains(&outcome.as_str())));
    chain.shutdown();
}
