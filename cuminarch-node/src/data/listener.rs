use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use socket2::{Domain, Protocol, SockFilter, SockRef, Socket, Type};

use crate::NodeError;

const BACKLOG: i32 = 1_024;
/// Attempts to find a port that is free for both protocols.
const MAX_FREE_PORT_ATTEMPTS: u32 = 16;
/// Time after which a connection is closed if the peer accepts no bytes.
const STALLED_PEER_TIMEOUT: Duration = Duration::from_secs(60);

/// Listens on `address` with Nagle's algorithm disabled and `TCP_USER_TIMEOUT` set for peers that
/// accept no bytes. Accepted connections inherit both options.
pub fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, NodeError> {
    let open = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(STALLED_PEER_TIMEOUT))?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Ok(TcpListener::from(socket))
    };
    open().map_err(|source| NodeError::Listen { address, purpose, source })
}

/// Listens on `address` and receives datagrams at the same port.
pub fn bind_with_datagrams(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<(TcpListener, UdpSocket), NodeError> {
    let mut attempts_left = if address.port() == 0 { MAX_FREE_PORT_ATTEMPTS } else { 1 };
    loop {
        attempts_left -= 1;
        let listener = bind(address, purpose)?;
        let open = || {
            let datagrams = UdpSocket::bind(listener.local_addr()?)?;
            datagrams.set_nonblocking(true)?;
            Ok(datagrams)
        };
        match open() {
            Ok(datagrams) => return Ok((listener, datagrams)),
            Err(_) if attempts_left > 0 => {}
            Err(source) => return Err(NodeError::Listen { address, purpose, source }),
        }
    }
}

/// Makes the kernel drop further connection attempts, so that nothing enters the queue of a
/// listener between its last `accept` and its close. Handshakes in progress are completed; a caller
/// whose attempt is dropped repeats it after a second and finds the port closed.
///
/// # Errors
///
/// Returns the error of the operating system if it attaches no filter.
pub fn ignore_connection_attempts(listener: &TcpListener) -> io::Result<()> {
    const LOAD_BYTE: u16 = 0x30;
    const SKIP_UNLESS_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    /// Offset of the flags in a TCP header, where the filter of a TCP socket starts.
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(SKIP_UNLESS_SET, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ])
}

#[cfg(test)]
mod tests;
