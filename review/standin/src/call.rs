//! Requests of callers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::name;

/// Time that a caller allows a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens a connection whose reads end after `timeout`.
///
/// # Errors
///
/// Fails if the connection cannot be opened.
pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(Connection::new(stream))
}

/// Returns the head of a request with this attempt id and time limit.
#[must_use]
pub fn request_head(line: &str, host: &str, attempt: &str, limit: Duration) -> String {
    format!(
        "{line} HTTP/1.1\r\nhost: {host}\r\n{}: {attempt}\r\n{}: {}\r\n",
        name("attempt"),
        name("deadline"),
        limit.as_millis(),
    )
}

/// Sends one request on a new connection and returns the answer.
///
/// # Errors
///
/// Fails if there is no complete answer within the time limit.
pub fn call(
    address: SocketAddr,
    line: &str,
    host: &str,
    attempt: &str,
    limit: Duration,
    body: &[u8],
) -> std::io::Result<Message> {
    let mut connection = connect(address, limit)?;
    let head = request_head(line, host, attempt, limit);
    let length =
        if body.is_empty() { String::new() } else { format!("content-length: {}\r\n", body.len()) };
    connection.stream.write_all(format!("{head}{length}\r\n").as_bytes())?;
    connection.stream.write_all(body)?;
    connection.read(true)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

/// Posts a JSON body and returns the status, if an answer comes within a second.
#[must_use]
pub fn post(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let mut connection = connect(address, Duration::from_secs(1)).ok()?;
    let line = format!("POST {path} HTTP/1.1");
    let host = address.to_string();
    let fields = [("host", host.as_str()), ("content-type", "application/json")];
    connection.write(&line, &fields, body.as_bytes()).ok()?;
    connection.read(false).ok()?.map(|answer| answer.status())
}

/// Returns the status of `GET /ready`, if there is an answer.
#[must_use]
pub fn ready_status(address: SocketAddr) -> Option<u16> {
    let mut connection = connect(address, Duration::from_secs(1)).ok()?;
    connection
        .stream
        .write_all(format!("GET /ready HTTP/1.1\r\nhost: {address}\r\n\r\n").as_bytes())
        .ok()?;
    connection.read(false).ok()?.map(|answer| answer.status())
}
