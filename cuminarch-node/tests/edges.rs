//! Invalid input and stalled peers: the node refuses them and keeps running.

mod harness;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use cuminarch_membership::ZoneMembers;
use cuminarch_platform::ObjectStore;
use cuminarch_testing::{ConnectionAction, LIVENESS_TIMEOUT, RawCaller, RawUpstream};
use harness::{Chain, call, connect, wait_for};
use rstest::rstest;

fn upstream() -> RawUpstream {
    RawUpstream::start(|_, connection| {
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")?;
        Ok(ConnectionAction::KeepAlive)
    })
    .unwrap()
}

/// Returns the data link address of the last node of a chain.
fn data_address(chain: &Chain) -> SocketAddr {
    let path = "members/zrh-a".parse().unwrap();
    let find = || {
        let object = chain.platform.store().get(&path).unwrap()?;
        let zone: ZoneMembers = serde_json::from_str(&object.value).unwrap();
        zone.members.into_iter().find(|member| member.endpoint.as_str() == "back-1")
    };
    wait_for(|| find().is_some());
    find().unwrap().data_address
}

fn open_link(address: SocketAddr, query: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIVENESS_TIMEOUT)).unwrap();
    let request = format!(
        "GET /data{query} HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
         sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0_u8; 1];
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            break;
        }
        head.push(byte[0]);
    }
    (stream, String::from_utf8_lossy(&head).into_owned())
}

#[rstest]
#[case::own("?fleet=tests&protocol=3", "HTTP/1.1 101")]
#[case::other_fleet("?fleet=others&protocol=3", "HTTP/1.1 403")]
#[case::other_version("?fleet=tests&protocol=1", "HTTP/1.1 403")]
#[case::none("", "HTTP/1.1 403")]
#[case::rubbish("?fleet&protocol==&=", "HTTP/1.1 403")]
fn a_link_of_another_fleet_or_version_is_refused(#[case] query: &str, #[case] status: &str) {
    let upstream = upstream();
    let chain = Chain::start(1, upstream.address());
    let (_, head) = open_link(data_address(&chain), query);
    assert!(head.starts_with(status), "{head}");
    chain.shutdown();
}

#[rstest]
#[case::empty_frame(&[0x82, 0x80, 0, 0, 0, 0])]
#[case::unknown_tag(&[0x82, 0x81, 0, 0, 0, 0, 99])]
#[case::body_before_head(&[0x82, 0x82, 0, 0, 0, 0, 2, 7])]
#[case::head_that_is_no_cbor(&[0x82, 0x83, 0, 0, 0, 0, 1, 0xff, 0xff])]
#[case::text(&[0x81, 0x82, 0, 0, 0, 0, b'h', b'i'])]
#[case::not_masked(&[0x82, 0x01, 3])]
#[case::too_long(&[0x82, 0xff, 0, 0, 0, 0, 0x40, 0, 0, 0, 0, 0, 0, 0])]
#[case::no_websocket(b"GET / HTTP/1.1\r\n\r\n")]
fn rubbish_on_a_link_closes_it_and_harms_nothing(#[case] bytes: &[u8]) {
    let upstream = upstream();
    let chain = Chain::start(1, upstream.address());
    let (mut stream, _) = open_link(data_address(&chain), "?fleet=tests&protocol=3");
    stream.write_all(bytes).unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    assert_eq!(chain.call("GET /", &[], b"").text(), "ok");
    assert!(chain.back().duty_errors().is_empty());
    chain.shutdown();
}

#[test]
fn connections_above_the_limit_are_closed_and_the_others_go_on() {
    let upstream = upstream();
    let chain = Chain::start_with(1, upstream.address(), "max_connections: 3");
    let mut callers: Vec<RawCaller> = (0..3).map(|_| connect(chain.front())).collect();
    for caller in &mut callers {
        caller.send("GET /", &[], b"");
        assert_eq!(caller.read().text(), "ok");
    }
    let mut refused = connect(chain.front());
    assert_eq!(refused.stream.read(&mut [0; 16]).unwrap_or(0), 0);
    for caller in &mut callers {
        caller.send("GET /", &[], b"");
        assert_eq!(caller.read().text(), "ok");
    }
    let metrics = call(chain.back().admin_address(), "GET /metrics", &[], b"").text();
    assert!(metrics.contains("cuminarch_connections_refused_total 1"), "{metrics}");
    chain.shutdown();
}

#[test]
fn the_admin_address_shows_metrics_state_and_health() {
    let upstream = upstream();
    let chain = Chain::start(1, upstream.address());
    chain.call("GET /", &[], b"");
    let admin = chain.back().admin_address();
    assert_eq!(call(admin, "GET /healthz", &[], b"").text(), "ok\n");
    let dump = call(admin, "GET /dump", &[], b"").text();
    let dump: serde_json::Value = serde_json::from_str(&dump).unwrap();
    for duty in ["admin", "control", "data", "timer"] {
        assert_eq!(dump["duties"][duty]["state"], "running", "{duty}");
    }
    assert_eq!(dump["engine"]["calls"], 0);
    let metrics = call(admin, "GET /metrics", &[], b"").text();
    let names = metrics.lines().filter(|line| line.starts_with("# TYPE")).collect::<Vec<_>>();
    insta::assert_snapshot!("metric_names", names.join("\n"));
    let counted = "cuminarch_calls_total{direction=\"inbound\",outcome=\"completed\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
    chain.shutdown();
}

#[test]
fn a_sender_that_stops_within_the_head_is_disconnected() {
    let upstream = upstream();
    let chain = Chain::start_with(1, upstream.address(), "head_timeout_ms: 100");
    let mut caller = connect(chain.front());
    caller.stream.write_all(b"GET / HTTP/1.1\r\nhost:").unwrap();
    let mut rest = Vec::new();
    let _ = caller.stream.read_to_end(&mut rest);
    assert_eq!(upstream.runs(), 0);
    assert_eq!(chain.call("GET /", &[], b"").text(), "ok");
    chain.shutdown();
}

#[rstest]
#[case::short(100)]
#[case::long(1_000_000)]
fn a_sender_that_stops_within_the_body_gets_an_answer(
    #[values(1, 2)] hops: usize,
    #[case] length: usize,
) {
    let upstream = upstream();
    let chain = Chain::start_with(hops, upstream.address(), "body_idle_timeout_ms: 100");
    let mut caller = connect(chain.front());
    caller.send("PUT /", &[&format!("content-length: {length}")], b"");
    caller.stream.write_all(b"only this much").unwrap();
    let reply = caller.read();
    assert!(matches!(reply.status, 400 | 502 | 503), "{reply:?}");
    assert_eq!(chain.call("GET /", &[], b"").text(), "ok");
    chain.shutdown();
}

#[rstest]
fn an_upstream_that_stops_within_its_answer_breaks_the_callers_body(#[values(1, 2)] hops: usize) {
    let upstream = RawUpstream::start(|_, connection| {
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this much")?;
        std::thread::sleep(LIVENESS_TIMEOUT);
        Ok(ConnectionAction::Close)
    });
    let upstream = upstream.unwrap();
    let chain = Chain::start_with(hops, upstream.address(), "body_idle_timeout_ms: 100");
    let reply = chain.call("GET /", &[], b"");
    assert_eq!((reply.status, reply.is_complete), (200, false));
    chain.shutdown();
}
