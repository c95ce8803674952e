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

use super::answer::AnswerBody;
use super::front::ConnectionState;
use super::http_reply::{HttpReply, ReplyBody};
use super::runner::DataContext;
use super::tasks::TaskGuard;

/// An answer that is due on a connection, in the order of the requests.
pub struct PendingAnswer {
    reply: oneshot::Receiver<HttpReply>,
    /// Fires when the body is needed, if the sender expects `100 Continue`.
    pub continue_signal: Option<oneshot::Receiver<()>>,
    /// The task that answers the request; dropping the guard aborts it.
    pub task: Option<TaskGuard>,
    /// Set if the caller asked to close the connection after this answer.
    pub closes: bool,
    is_head: bool,
    is_http_10: bool,
}

impl PendingAnswer {
    /// Creates a pending answer and the sender for its reply.
    pub fn new(is_head: bool, is_http_10: bool) -> (oneshot::Sender<HttpReply>, Self) {
        let (sender, reply) = oneshot::channel();
        let pending =
            Self { reply, continue_signal: None, task: None, closes: false, is_head, is_http_10 };
        (sender, pending)
    }
}

/// Writes the answers of one connection in order.
pub struct AnswerWriter {
    write: OwnedWriteHalf,
    shared: Rc<ConnectionState>,
    context: DataContext,
    buffer: BytesMut,
}

impl AnswerWriter {
    pub fn new(write: OwnedWriteHalf, shared: Rc<ConnectionState>, context: DataContext) -> Self {
        Self { write, shared, context, buffer: BytesMut::new() }
    }

    /// Writes answers in order until there are no more or the connection must close.
    pub async fn run(
        &mut self,
        mut pending_answers: mpsc::Receiver<PendingAnswer>,
    ) -> io::Result<()> {
        while let Some(mut pending) = pending_answers.recv().await {
            let Some(reply) = self.receive_reply(&mut pending).await? else { break };
            // Without `100 Continue`, the sender may send the body or not, so the position of the
            // next request in the byte stream is unknown.
            let awaits_continue = pending.continue_signal.is_some();
            let must_close = pending.closes
                || reply.closes
                || awaits_continue
                || pending.is_http_10
                || self.shared.must_close.get()
                || self.context.driver.is_leaving();
            if must_close {
                self.shared.must_close.set(true);
            }
            self.write_reply(reply, &pending, must_close).await?;
            self.shared.record_answered();
            if must_close {
                break;
            }
        }
        self.write.shutdown().await
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
        must_close: bool,
    ) -> io::Result<()> {
        let HttpReply { status, mut fields, len_bytes, body, .. } = reply;
        let is_chunked =
            matches!(body, ReplyBody::Streaming(_)) && len_bytes.is_none() && !pending.is_http_10;
        match len_bytes {
            Some(_) if find_field(&fields, "content-length").is_some() => {}
            Some(len_bytes) => {
                fields.push(HeaderField::new("content-length", len_bytes.to_string()));
            }
            None if is_chunked => fields.push(HeaderField::new("transfer-encoding", "chunked")),
            None => {}
        }
        if must_close {
            fields.push(HeaderField::new("connection", "close"));
        }
        self.buffer.clear();
        write_response_head(&mut self.buffer, status, &fields);
        match body {
            ReplyBody::Buffered(bytes) if !pending.is_head => self.buffer.extend_from_slice(&bytes),
            ReplyBody::Buffered(_) | ReplyBody::None => {}
            ReplyBody::Streaming(body) => return self.write_body(*body, is_chunked).await,
        }
        self.write.write_all(&self.buffer).await
    }

    /// Streams a body, preceded by the contents of the buffer.
    async fn write_body(&mut self, mut body: AnswerBody, is_chunked: bool) -> io::Result<()> {
        loop {
            match body.next_after_flush(self.flush()).await? {
                Some(Ok(bytes)) if is_chunked => write_chunk(&mut self.buffer, &bytes),
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                None => {
                    if is_chunked {
                        self.buffer.extend_from_slice(LAST_CHUNK);
                    }
                    return self.flush().await;
                }
                Some(Err(_)) => {
                    self.flush().await?;
                    return self.reset();
                }
            }
            if self.buffer.len() >= Self::FLUSH_THRESHOLD_BYTES {
                self.flush().await?;
            }
        }
    }

    /// Buffer size that forces a write while further chunks are available immediately.
    const FLUSH_THRESHOLD_BYTES: usize = 32 * 1024;

    async fn flush(&mut self) -> io::Result<()> {
        if !self.buffer.is_empty() {
            self.write.write_all(&self.buffer).await?;
            self.buffer.clear();
        }
        Ok(())
    }

    /// Resets the connection, so that even an answer delimited by the end of the connection
    /// appears truncated.
    fn reset(&self) -> io::Result<()> {
        let socket = SockRef::from(self.write.as_ref());
        socket.set_linger(Some(Duration::ZERO))?;
        Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            "the upstream ended its answer prematurely",
        ))
    }
}
