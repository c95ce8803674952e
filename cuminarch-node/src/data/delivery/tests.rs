use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use cuminarch_testing::wait_for;
use socket2::SockRef;

use super::*;

/// Returns both ends of a connection whose second end has a small window.
fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).set_recv_buffer_size(4 * 1024).unwrap();
    let sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (sender, listener.accept().unwrap().0)
}

/// Writes until the buffers of both ends are full, and returns the number of bytes.
fn fill(sender: &mut TcpStream) -> usize {
    sender.set_nonblocking(true).unwrap();
    std::iter::from_fn(|| sender.write(&[1; 1024]).ok()).sum()
}

#[test]
fn bytes_count_as_sent_once_the_peer_has_taken_them() {
    let (mut sender, mut receiver) = connect();
    assert!(is_sent(&sender));
    let written_bytes = fill(&mut sender);
    assert!(!is_sent(&sender));
    receiver.read_exact(&mut vec![0; written_bytes]).unwrap();
    wait_for("the bytes are sent", || is_sent(&sender));
}

#[test]
fn a_connection_that_failed_has_nothing_to_send() {
    let (mut sender, receiver) = connect();
    fill(&mut sender);
    // Unread bytes make the kernel reset the connection.
    drop(receiver);
    wait_for("the connection has failed", || is_sent(&sender));
}
