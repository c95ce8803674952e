//! HTTP server for callers and for outgoing calls of the local upstream.
//!
//! One task per connection runs a reader and a writer. Each request is answered by a separate
//! task, so pipelined requests run concurrently; their answers are written in order, also those
//! behind the one at which the connection's end was decided. When the caller disconnects, its
//! requests in progress are dropped.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use cuminarch_http::RequestHead;
use log::debug;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;

use super::connection_state::ConnectionState;
use super::connections::Connection;
use super::front_reader::RequestReader;
use super::front_writer::{AnswerWriter, PendingAnswer};
use super::runner::DataContext;
use crate::event::NodeEvent;
use crate::interface::{LocalAnswer, Side};

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Calls.
    Calls(Side),
    /// Registrations of the local upstream.
    Registration,
    /// Readiness checks.
    Readiness,
}

/// Maximum number of concurrent requests of one connection.
const MAX_PIPELINED: usize = 32;
/// Time for which a caller may go on sending after the last answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that a caller may send after the last answer, also later.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Serves one HTTP connection until it ends or, after a stop signal, is idle.
pub async fn serve_connection(
    context: DataContext,
    stream: TcpStream,
    purpose: Purpose,
    connection: Connection,
) {
    let peer = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
    let shared = Rc::new(ConnectionState::new(peer, connection.unanswered()));
    let (mut read, write) = stream.into_split();
    let (pending_answers, receiver) = mpsc::channel::<PendingAnswer>(MAX_PIPELINED);
    let idle_timeout = context.limits().idle_timeout;
    let unsent = connection.unsent();
    let mut writer = AnswerWriter::new(write, Rc::clone(&shared), unsent, context.clone());
    let mut reader =
        RequestReader::new(context, purpose, Rc::clone(&shared), connection, pending_answers);
    let ended = tokio::select! {
        biased;
        written = writer.run(receiver) => written,
        () = reader.run(&mut read) => return,
    };
    if let Err(error) = ended {
        debug!("{} caller: {error}", NodeEvent::ConnectionFault);
        writer.abort();
        return;
    }
    drop(writer);
    linger(&mut read, idle_timeout.max(DISCARD_TIMEOUT)).await;
}

/// Reads and discards input until the caller closes the connection, for which it has as long as a
/// connection may be idle. Input that is not read, or that arrives later, resets the connection
/// and may take away answers that the caller has not read yet.
async fn linger(read: &mut OwnedReadHalf, timeout: Duration) {
    let began_at = Instant::now();
    let mut discarded_bytes = 0;
    let mut buffer = BytesMut::with_capacity(16 * 1024);
    loop {
        let remaining = timeout.saturating_sub(began_at.elapsed());
        match tokio::time::timeout(remaining, read.read_buf(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => discarded_bytes += count,
            _ => return,
        }
        buffer.clear();
        if discarded_bytes > MAX_DISCARDED_BYTES && began_at.elapsed() >= DISCARD_TIMEOUT {
            return;
        }
    }
}

/// Returns an error answer if the head shows that the request is not a valid call.
pub fn refuse_head(context: &DataContext, head: &RequestHead) -> Option<LocalAnswer> {
    let interface = &context.interface;
    let hosts = head.fields.iter().filter(|field| field.name == "host").count();
    if hosts > 1 || (hosts == 0 && !head.is_http_10) {
        return Some(interface.error_answer(400, "one field Host is needed").with_close());
    }
    if head.method == "CONNECT" {
        return Some(interface.error_answer(405, "CONNECT is not carried").with_close());
    }
    let max_len_bytes = context.limits().max_request_body_bytes;
    if head.framing.len_bytes().is_some_and(|len_bytes| len_bytes > max_len_bytes) {
        return Some(interface.error_answer(413, "the request body is too long").with_close());
    }
    None
}
