//! Shows why `tiny_http` is not used on the data path: it keeps the connection open after
//! a truncated answer. A caller cannot distinguish that answer from a complete one, or
//! reads the next answer as the rest of it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use tiny_http::{Response, Server, StatusCode};

const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns ten bytes, then an error.
struct FailingBody {
    has_started: bool,
}

impl Read for FailingBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.has_started {
            return Err(io::Error::other("the upstream failed"));
        }
        self.has_started = true;
        buffer[..10].copy_from_slice(b"0123456789");
        Ok(10)
    }
}

fn serve_truncated_then_complete(length: Option<usize>) -> SocketAddr {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    thread::spawn(move || {
        let body = FailingBody { has_started: false };
        let truncated = Response::new(StatusCode(200), Vec::new(), body, length, None);
        let _ = server.recv().unwrap().respond(truncated.with_chunked_threshold(usize::MAX));
        let _ = server.recv().unwrap().respond(Response::from_string("second answer"));
    });
    address
}

/// Returns the bytes that a caller reads after the head of the truncated answer.
fn read_two_answers(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream.write_all(request).unwrap();
    thread::sleep(Duration::from_millis(100));
    stream.write_all(request).unwrap();
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    text.split_once("\r\n\r\n").unwrap().1.to_owned()
}

#[rstest]
#[case::known_length(Some(1_000))]
#[case::chunked(None)]
fn tiny_http_keeps_the_connection_after_a_truncated_answer(#[case] length: Option<usize>) {
    let rest = read_two_answers(serve_truncated_then_complete(length));
    println!("{length:?}: {rest:?}");
    assert!(rest.contains("second answer"), "the connection was closed: {rest:?}");
}
