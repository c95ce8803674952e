use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

use super::*;

/// Guards against connections that enter the queue of a listener after its last `accept`: closing it
/// resets them, although their callers have sent requests.
#[test]
fn nothing_enters_the_queue_once_attempts_are_ignored() {
    let listener = bind("127.0.0.1:0".parse().unwrap(), "tests").unwrap();
    let address = listener.local_addr().unwrap();
    let mut early = TcpStream::connect(address).unwrap();
    ignore_connection_attempts(&listener).unwrap();
    early.write_all(b"request").unwrap();
    let late = TcpStream::connect_timeout(&address, Duration::from_millis(200));
    assert_eq!(late.unwrap_err().kind(), ErrorKind::TimedOut);
    let (mut accepted, _) = listener.accept().unwrap();
    accepted.set_nonblocking(false).unwrap();
    let mut request = [0; 7];
    accepted.read_exact(&mut request).unwrap();
    assert_eq!(&request, b"request");
    assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
    drop(listener);
    assert_eq!(TcpStream::connect(address).unwrap_err().kind(), ErrorKind::ConnectionRefused);
    accepted.write_all(b"answer").unwrap();
    let mut answer = [0; 6];
    early.read_exact(&mut answer).unwrap();
}
