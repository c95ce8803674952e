//! HTTP towards callers and towards the own upstream's outgoing calls.
//!
//! A connection is read and written by two parts of one task. Each request is
//! answered by a task of its own, so that requests that a caller sends one
//! behind the other run side by side; their answers go out in order. When the
//! caller leaves, everything under way for it is dropped.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use cuminarch_http::RequestHead;
use log::debug;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Notify, mpsc};

use super::connections::Connection;
use super::front_reader::{ReadEnd, RequestReader};
use super::front_writer::{AnswerWriter, PendingAnswer};
use super::runner::DataContext;
use crate::event::NodeEvent;
use crate::interface::{LocalAnswer, Side};

/// What a listener of the node is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Calls.
    Calls(Side),
    /// Registrations of the own upstream.
    Registration,
    /// Questions whether the node takes calls.
    Readiness,
}

/// What the two parts of a connection share.
#[derive(Debug)]
pub struct ConnectionState {
    /// Requests whose answers are not written yet.
    pub unanswered: Cell<usize>,
    /// When the last answer was written, or the connection opened.
    pub idle_since: Cell<Instant>,
    /// Answers that were written.
    pub answered: Cell<u64>,
    /// Told of each answer.
    pub answer_written: Notify,
    /// Whether the connection has to end after the present answer.
    pub must_close: Cell<bool>,
    pub peer: IpAddr,
}

impl ConnectionState {
    /// Notes that an answer was written.
    pub fn record_answered(&self) {
        self.unanswered.set(self.unanswered.get() - 1);
        self.answered.set(self.answered.get() + 1);
        self.idle_since.set(Instant::now());
        self.answer_written.notify_waiters();
    }

    /// Waits until all requests before the one of this number are answered.
    pub async fn wait_for_earlier_answers(&self, number: u64) {
        while self.answered.get() < number {
            self.answer_written.notified().await;
        }
    }
}

/// Most requests of one connection that run side by side.
const MAX_PIPELINED: usize = 32;
/// Longest time that the rest of a request is read after the last answer, so
/// that the caller gets to see it before the connection is reset.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves one HTTP connection until it ends or, once told to, is idle.
pub async fn serve_connection(
    context: DataContext,
    stream: TcpStream,
    purpose: Purpose,
    connection: Connection,
) {
    let peer = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
    let shared = Rc::new(ConnectionState {
        unanswered: Cell::new(0),
        idle_since: Cell::new(Instant::now()),
        answered: Cell::new(0),
        answer_written: Notify::new(),
        must_close: Cell::new(false),
        peer,
    });
    let (mut read, write) = stream.into_split();
    let (slots, ring) = mpsc::channel::<PendingAnswer>(MAX_PIPELINED);
    let mut writer = AnswerWriter::new(write, Rc::clone(&shared), context.clone());
    let mut reader = RequestReader::new(context, purpose, Rc::clone(&shared), connection, slots);
    let ended = {
        let writing = writer.run(ring);
        tokio::pin!(writing);
        tokio::select! {
            biased;
            written = &mut writing => written,
            end = reader.run(&mut read) => match end {
                ReadEnd::Disconnected => return,
                ReadEnd::Finished => {
                    reader.close();
                    writing.await
                }
            },
        }
    };
    if let Err(error) = ended {
        debug!("{} caller: {error}", NodeEvent::ConnectionFault);
        return;
    }
    drop(writer);
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discard(&mut read)).await;
}

/// Reads until the caller closes.
async fn discard(read: &mut OwnedReadHalf) {
    let mut buffer = BytesMut::with_capacity(16 * 1024);
    while read.read_buf(&mut buffer).await.is_ok_and(|count| count > 0) {
        buffer.clear();
    }
}

/// Answers a request that its head shows to be no call.
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
