//! Reads the requests of an HTTP connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use cuminarch_http::{BodyDecoder, Decoded, HeadLimits, HttpError, RequestHead};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};

use super::body::{BodyItem, BodyReader, RequestBody};
use super::connection_state::ConnectionState;
use super::connections::Connection;
use super::front::Purpose;
use super::front_writer::PendingAnswer;
use super::handler::{PendingRequest, PipelinePosition, handle};
use super::runner::DataContext;

/// Reason why reading ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadEnd {
    /// The caller has disconnected; pending answers are dropped.
    Disconnected,
    /// No further request is read; pending answers are still written.
    Finished,
}

/// Reads the requests of one connection.
pub struct RequestReader {
    context: DataContext,
    purpose: Purpose,
    shared: Rc<ConnectionState>,
    connection: Connection,
    pending_answers: Option<mpsc::Sender<PendingAnswer>>,
    buffer: BytesMut,
    /// Number of the next request, from 0.
    next_number: u64,
}

/// Waits until an idle connection must close at shutdown. A connection without any request so
/// far gets a grace period, as its first request is probably on its way.
async fn wait_for_idle_stop(connection: &mut Connection, requests: u64) {
    connection.wait_for_stop().await;
    if requests == 0 {
        tokio::time::sleep(RequestReader::FIRST_REQUEST_GRACE).await;
    }
}

impl RequestReader {
    /// Grace period for the first request of a connection when the node stops: a few round trips
    /// to callers, but less than the node waits for its connections to close.
    const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
    /// Request body chunks buffered for the upstream.
    const BODY_RING_CAPACITY: usize = 2;
    /// Buffer space reserved before each read.
    const READ_BUFFER_BYTES: usize = 8 * 1024;
    /// Interval at which an idle connection checks its idle timeout.
    const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
    /// Time limit for discarding an unwanted body before the connection closes.
    const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

    pub fn new(
        context: DataContext,
        purpose: Purpose,
        shared: Rc<ConnectionState>,
        connection: Connection,
        pending_answers: mpsc::Sender<PendingAnswer>,
    ) -> Self {
        let buffer = BytesMut::new();
        let pending_answers = Some(pending_answers);
        Self { context, purpose, shared, connection, pending_answers, buffer, next_number: 0 }
    }

    /// Reads requests until the caller disconnects. Once the connection is closing, the input is
    /// discarded, and the writer ends after the last answer.
    pub async fn run(&mut self, read: &mut OwnedReadHalf) {
        while !self.shared.is_closing() {
            match self.read_request(read).await {
                Ok(()) => {}
                Err(ReadEnd::Finished) => self.shared.begin_close(),
                Err(ReadEnd::Disconnected) => return,
            }
        }
        self.pending_answers = None;
        self.wait_until_closed(read).await;
    }

    /// Reads one request and starts to answer it, unless the connection began to close while its
    /// head was awaited.
    async fn read_request(&mut self, read: &mut OwnedReadHalf) -> Result<(), ReadEnd> {
        let head = self.read_head(read).await?;
        if self.shared.is_closing() {
            return Err(ReadEnd::Finished);
        }
        self.start_request(read, head).await
    }

    fn limits(&self) -> HeadLimits {
        HeadLimits::new()
            .with_max_len_bytes(self.context.limits().max_head_bytes)
            .with_rejects_length_with_chunked(self.context.interface.rejects_length_with_chunked())
    }

    async fn read_head(&mut self, read: &mut OwnedReadHalf) -> Result<RequestHead, ReadEnd> {
        let limits = self.limits();
        let mut started_at = None;
        loop {
            match RequestHead::parse(&mut self.buffer, &limits) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(_) if self.shared.is_closing() => return Err(ReadEnd::Finished),
                Err(error) => return Err(self.refuse_malformed(error).await),
            }
            if !self.buffer.is_empty() {
                started_at.get_or_insert_with(Instant::now);
            }
            self.fill_head(read, started_at).await?;
        }
    }

    /// Reads more bytes of a head, within the head or idle timeout.
    async fn fill_head(
        &mut self,
        read: &mut OwnedReadHalf,
        started_at: Option<Instant>,
    ) -> Result<(), ReadEnd> {
        loop {
            let limits = self.context.limits();
            let remaining = match started_at {
                Some(started_at) => limits.head_timeout.saturating_sub(started_at.elapsed()),
                None => Self::IDLE_CHECK_INTERVAL.min(limits.idle_timeout),
            };
            self.buffer.reserve(Self::READ_BUFFER_BYTES);
            let is_idle = started_at.is_none() && self.shared.unanswered() == 0;
            let count = tokio::select! {
                biased;
                read = read.read_buf(&mut self.buffer) => read.ok(),
                () = wait_for_idle_stop(&mut self.connection, self.next_number), if is_idle => {
                    return Err(ReadEnd::Finished);
                }
                () = tokio::time::sleep(remaining) => {
                    let idle = self.shared.idle_time();
                    let is_idle = self.shared.unanswered() == 0;
                    if started_at.is_some() || (is_idle && idle >= limits.idle_timeout) {
                        return Err(ReadEnd::Finished);
                    }
                    continue;
                }
            };
            return match count {
                Some(count) if count > 0 => Ok(()),
                _ if self.shared.unanswered() > 0 => Err(ReadEnd::Disconnected),
                _ => Err(ReadEnd::Finished),
            };
        }
    }

    /// Queues an error answer for malformed input after the pending answers.
    async fn refuse_malformed(&mut self, error: HttpError) -> ReadEnd {
        let status = if error == HttpError::HeadTooLong { 431 } else { 400 };
        let answer = self.context.interface.error_answer(status, &error.to_string()).with_close();
        let (reply, pending) = PendingAnswer::new(false, false);
        let _ = reply.send(answer.into());
        self.push(pending).await;
        ReadEnd::Finished
    }

    async fn push(&mut self, pending: PendingAnswer) {
        self.shared.record_accepted();
        if let Some(pending_answers) = &self.pending_answers {
            // The writer ends only together with the connection.
            let _ = pending_answers.send(pending).await;
        }
    }

    /// Starts to answer a request and reads its body.
    async fn start_request(
        &mut self,
        read: &mut OwnedReadHalf,
        head: RequestHead,
    ) -> Result<(), ReadEnd> {
        let framing = head.framing;
        let (reply, mut pending) = PendingAnswer::new(head.method == "HEAD", head.is_http_10);
        if head.wants_close || head.is_http_10 {
            self.shared.begin_close();
        }
        let decoder = BodyDecoder::new(framing);
        if let Some(body) = self.whole_body(&decoder) {
            let request =
                PendingRequest::new(head, RequestBody::Buffered(body), self.next_position());
            pending.task = handle(&self.context, self.purpose, request, reply);
            self.push(pending).await;
            return Ok(());
        }
        let (items, receiver) = mpsc::channel(Self::BODY_RING_CAPACITY);
        let (continue_sender, continue_receiver) = oneshot::channel();
        let continue_sender = head.expects_continue.then_some(continue_sender);
        pending.continue_signal = head.expects_continue.then_some(continue_receiver);
        let is_long = framing
            .len_bytes()
            .is_some_and(|len_bytes| len_bytes > RequestBody::MAX_BUFFERED_BYTES as u64);
        let buffers_body = !is_long && !head.expects_continue;
        let body =
            RequestBody::unread(BodyReader::new(receiver).with_continue_signal(continue_sender));
        let request =
            PendingRequest::new(head, body, self.next_position()).with_buffered_body(buffers_body);
        pending.task = handle(&self.context, self.purpose, request, reply);
        self.push(pending).await;
        self.forward_body(read, decoder, items).await
    }

    fn next_position(&mut self) -> PipelinePosition {
        let number = self.next_number;
        self.next_number += 1;
        PipelinePosition { shared: Rc::clone(&self.shared), number }
    }

    /// Returns the body if all of it has arrived with the head.
    fn whole_body(&mut self, decoder: &BodyDecoder) -> Option<Bytes> {
        if decoder.is_complete() {
            return Some(Bytes::new());
        }
        if self.buffer.is_empty() || self.buffer.len() > RequestBody::MAX_BUFFERED_BYTES {
            return None;
        }
        let mut lookahead = decoder.clone();
        let mut rest = self.buffer.clone();
        match lookahead.decode(&mut rest) {
            Ok(Decoded::Data(data)) if lookahead.is_complete() => {
                self.buffer = rest;
                Some(data)
            }
            _ => None,
        }
    }

    /// Forwards the chunks of a body to the task that answers the request. Once that task no longer
    /// reads them, they are discarded for a limited time.
    async fn forward_body(
        &mut self,
        read: &mut OwnedReadHalf,
        mut decoder: BodyDecoder,
        items: mpsc::Sender<BodyItem>,
    ) -> Result<(), ReadEnd> {
        let mut unwanted_since = None;
        let mut remaining_bytes = self.context.limits().max_request_body_bytes;
        loop {
            let item = match decoder.decode(&mut self.buffer) {
                Ok(Decoded::Data(data)) => {
                    let len_bytes = data.len() as u64;
                    if len_bytes > remaining_bytes {
                        return self.abort_reading();
                    }
                    remaining_bytes -= len_bytes;
                    BodyItem::Data(data)
                }
                Ok(Decoded::End) => {
                    let _ = items.send(BodyItem::End).await;
                    return Ok(());
                }
                Ok(Decoded::Incomplete) => {
                    self.fill_body(read).await?;
                    continue;
                }
                Err(_) => return self.abort_reading(),
            };
            if items.send(item).await.is_err() {
                let since = *unwanted_since.get_or_insert_with(Instant::now);
                if since.elapsed() > Self::DISCARD_TIMEOUT {
                    return self.abort_reading();
                }
            }
        }
    }

    async fn fill_body(&mut self, read: &mut OwnedReadHalf) -> Result<(), ReadEnd> {
        self.buffer.reserve(Self::READ_BUFFER_BYTES);
        let idle_timeout = self.context.limits().body_idle_timeout;
        let fill = read.read_buf(&mut self.buffer);
        match tokio::time::timeout(idle_timeout, fill).await {
            Ok(Ok(count)) if count > 0 => Ok(()),
            Ok(_) => Err(ReadEnd::Disconnected),
            Err(_) => {
                self.shared.begin_close();
                Err(ReadEnd::Finished)
            }
        }
    }

    /// Stops reading in the middle of a body. The request still gets an answer.
    fn abort_reading(&self) -> Result<(), ReadEnd> {
        self.shared.begin_close();
        Err(ReadEnd::Finished)
    }

    /// Waits until the caller disconnects, discarding all input.
    async fn wait_until_closed(&mut self, read: &mut OwnedReadHalf) {
        loop {
            self.buffer.clear();
            self.buffer.reserve(Self::READ_BUFFER_BYTES);
            match read.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
    }
}
