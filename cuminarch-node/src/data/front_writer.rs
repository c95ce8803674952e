//! Writes the answers of an HTTP connection.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use cuminarch_http::{LAST_CHUNK, find_field, write_chunk, write_continue, write_response_head};
use cuminarch_protocol::HeaderField;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, oneshot};

use super::ahead_budget::AheadReservation;
use super::connection_state::ConnectionState;
use super::connections::UnsentCounter;
use super::delivery::wait_until_sent;
use super::http_reply::{HttpReply, ReplyBody, StreamedBody};
use super::runner::DataContext;
use super::tasks::TaskGuard;

/// An answer that is due on a connection, in the order of the requests.
pub struct PendingAnswer {
    reply: oneshot::Receiver<HttpReply>,
    /// Fires when the body is needed, if the sender expects `100 Continue`.
    pub continue_signal: Option<oneshot::Receiver<()>>,
    /// The task that answers the request; dropping the guard aborts it.
    pub task: Option<TaskGuard>,
    is_head: bool,
    is_http_10: bool,
}

impl PendingAnswer {
    /// Creates a pending answer and the sender for its reply.
    pub fn new(is_head: bool, is_http_10: bool) -> (oneshot::Sender<HttpReply>, Self) {
        let (sender, reply) = oneshot::channel();
        let pending = Self { reply, continue_signal: None, task: None, is_head, is_http_10 };
        (sender, pending)
    }
}

/// How an answer was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Written {
    /// Completely.
    Whole,
    /// Up to the point at which the upstream broke off; no answer can follow.
    Truncated,
}

/// How a caller finds the end of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyFraming {
    /// By its length.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Writes the answers of one connection in order.
pub struct AnswerWriter {
    write: OwnedWriteHalf,
    shared: Rc<ConnectionState>,
    unsent: UnsentCounter,
    context: DataContext,
    buffer: BytesMut,
}

impl AnswerWriter {
    pub fn new(
        write: OwnedWriteHalf,
        shared: Rc<ConnectionState>,
        unsent: UnsentCounter,
        context: DataContext,
    ) -> Self {
        Self { write, shared, unsent, context, buffer: BytesMut::new() }
    }

    /// Writes the answers to all accepted requests and ends the connection for writing once the
    /// caller has taken them.
    pub async fn run(&mut self, pending_answers: mpsc::Receiver<PendingAnswer>) -> io::Result<()> {
        self.write_answers(pending_answers).await?;
        let _unsent = self.unsent.count_one();
        wait_until_sent(self.write.as_ref()).await;
        self.write.shutdown().await
    }

    /// Writes the answers to all accepted requests in order, until none can follow.
    async fn write_answers(
        &mut self,
        mut pending_answers: mpsc::Receiver<PendingAnswer>,
    ) -> io::Result<()> {
        while let Some(mut pending) = pending_answers.recv().await {
            let Some(reply) = self.receive_reply(&mut pending).await? else { break };
            // Without `100 Continue`, the sender may send the body or not, so the position of the
            // next request in the byte stream is unknown.
            let awaits_continue = pending.continue_signal.is_some();
            let (reply, _reservation) = self.receive_ahead(reply).await;
            if reply.closes || awaits_continue || self.context.driver.is_leaving() {
                self.shared.begin_close();
            }
            let is_last = self.shared.is_last_answer();
            if self.write_reply(reply, &pending, is_last).await? == Written::Truncated {
                self.shared.begin_close();
                self.shared.abandon_unanswered();
                break;
            }
            self.shared.record_answered();
            if is_last {
                break;
            }
        }
        Ok(())
    }

    /// Receives the body of an answer before its head is written if further requests have been
    /// passed on behind it: an answer that breaks off after its head ends the connection for all
    /// of them. A long one needs a part of the node's memory for such answers.
    async fn receive_ahead(&self, reply: HttpReply) -> (HttpReply, Option<AheadReservation>) {
        if self.shared.unanswered() <= 1 {
            return (reply, None);
        }
        let interface = &*self.context.interface;
        let reply = reply.receive_body(interface, Self::UNRESERVED_AHEAD_BYTES).await;
        if !matches!(reply.body, ReplyBody::Streaming(_)) {
            return (reply, None);
        }
        match self.context.ahead_budget.reserve(reply.len_bytes) {
            Some(reservation) => {
                let reply = reply.receive_body(interface, reservation.len_bytes).await;
                (reply, Some(reservation))
            }
            None => (reply, None),
        }
    }

    /// Waits for a reply, and sends `100 Continue` if the body of the request is needed.
    async fn receive_reply(
        &mut self,
        pending: &mut PendingAnswer,
    ) -> io::Result<Option<HttpReply>> {
        if let Some(signal) = &mut pending.continue_signal {
            tokio::select! {
                biased;
                reply = &mut pending.reply => return Ok(reply.ok()),
                fired = signal => {
                    if fired.is_ok() {
                        pending.continue_signal = None;
                        self.buffer.clear();
                        write_continue(&mut self.buffer);
                        self.write.write_all(&self.buffer).await?;
                    }
                }
            }
        }
        Ok((&mut pending.reply).await.ok())
    }

    async fn write_reply(
        &mut self,
        reply: HttpReply,
        pending: &PendingAnswer,
        is_last: bool,
    ) -> io::Result<Written> {
        let HttpReply { status, mut fields, len_bytes, body, .. } = reply;
        let is_streamed = matches!(body, ReplyBody::Streaming(_));
        let framing = match len_bytes {
            Some(_) => BodyFraming::Length,
            None if is_streamed && !pending.is_http_10 => BodyFraming::Chunked,
            None => BodyFraming::UntilClose,
        };
        match len_bytes {
            Some(_) if find_field(&fields, "content-length").is_some() => {}
            Some(len_bytes) => {
                fields.push(HeaderField::new("content-length", len_bytes.to_string()));
            }
            None if framing == BodyFraming::Chunked => {
                fields.push(HeaderField::new("transfer-encoding", "chunked"));
            }
            None => {}
        }
        if is_last {
            fields.push(HeaderField::new("connection", "close"));
        }
        self.buffer.clear();
        write_response_head(&mut self.buffer, status, &fields);
        match body {
            ReplyBody::Buffered(bytes) if !pending.is_head => self.buffer.extend_from_slice(&bytes),
            ReplyBody::Buffered(_) | ReplyBody::None => {}
            ReplyBody::Streaming(body) => return self.write_body(*body, framing).await,
        }
        self.write.write_all(&self.buffer).await.map(|()| Written::Whole)
    }

    /// Streams a body, preceded by the contents of the buffer.
    async fn write_body(
        &mut self,
        body: StreamedBody,
        framing: BodyFraming,
    ) -> io::Result<Written> {
        self.shared.record_streaming();
        let StreamedBody { received, mut rest, .. } = body;
        self.append(&received, framing);
        loop {
            match rest.next_after_flush(self.flush()).await? {
                Some(Ok(bytes)) => self.append(&bytes, framing),
                None => {
                    if framing == BodyFraming::Chunked {
                        self.buffer.extend_from_slice(LAST_CHUNK);
                    }
                    return self.flush().await.map(|()| Written::Whole);
                }
                Some(Err(_)) => {
                    self.flush().await?;
                    return self.truncate(framing).await;
                }
            }
            if self.buffer.len() >= Self::FLUSH_THRESHOLD_BYTES {
                self.flush().await?;
            }
        }
    }

    /// Adds bytes of a body to the buffer.
    fn append(&mut self, bytes: &[u8], framing: BodyFraming) {
        if framing == BodyFraming::Chunked && !bytes.is_empty() {
            write_chunk(&mut self.buffer, bytes);
        } else {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Longest body that is received ahead without a reservation.
    const UNRESERVED_AHEAD_BYTES: usize = 64 * 1024;
    /// Buffer size that forces a write while further chunks are available immediately.
    const FLUSH_THRESHOLD_BYTES: usize = 32 * 1024;

    async fn flush(&mut self) -> io::Result<()> {
        if !self.buffer.is_empty() {
            self.write.write_all(&self.buffer).await?;
            self.buffer.clear();
        }
        Ok(())
    }

    /// Leaves the end of a connection that failed, or has to be reset, to its close: an end for
    /// writing before the reset would look like the end of a whole answer.
    pub fn abort(self) {
        self.write.forget();
    }

    /// Ends an answer that broke off. An orderly end of the connection shows that a body with a
    /// length or chunks is truncated, and keeps the answers in front of it. Only a reset shows it
    /// for a body that ends with the connection; as it drops what is unsent, it waits for that.
    async fn truncate(&self, framing: BodyFraming) -> io::Result<Written> {
        if framing != BodyFraming::UntilClose {
            return Ok(Written::Truncated);
        }
        wait_until_sent(self.write.as_ref()).await;
        SockRef::from(self.write.as_ref()).set_linger(Some(Duration::ZERO))?;
        Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the upstream ended its answer prematurely",
        ))
    }
}
