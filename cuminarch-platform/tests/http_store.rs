//! Results of the client for missing, malformed and truncated answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use cuminarch_platform::{HttpObjectStore, ObjectPath, ObjectStore, PlatformError, Precondition};
use rstest::rstest;

/// Answers one connection with the given bytes and closes it.
fn answer_once(bytes: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4096];
        let _ = stream.read(&mut head);
        let _ = stream.write_all(bytes.as_bytes());
    });
    address
}

#[rstest]
#[case::nothing("")]
#[case::broken_status("HTTP/1.1 2")]
#[case::no_version("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::fault_behind_the_front("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")]
fn write_with_a_broken_answer_is_ambiguous(#[case] bytes: &'static str) {
    let path: ObjectPath = "config/current".parse().unwrap();
    let result = HttpObjectStore::new(answer_once(bytes)).put(&path, "x", Precondition::Any);
    assert!(matches!(result, Err(PlatformError::Ambiguous { .. })), "{result:?}");
}

#[rstest]
#[case::down("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")]
fn write_refused_by_the_platform_is_not_ambiguous(#[case] bytes: &'static str) {
    let path: ObjectPath = "config/current".parse().unwrap();
    let result = HttpObjectStore::new(answer_once(bytes)).put(&path, "x", Precondition::Any);
    assert!(matches!(result, Err(PlatformError::Unavailable { .. })), "{result:?}");
}

#[rstest]
#[case::nothing("")]
#[case::cut_short("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 10\r\n\r\nabc")]
fn read_with_a_broken_answer_fails(#[case] bytes: &'static str) {
    let path: ObjectPath = "config/current".parse().unwrap();
    let result = HttpObjectStore::new(answer_once(bytes)).get(&path);
    assert!(matches!(result, Err(PlatformError::Unavailable { .. })), "{result:?}");
}
