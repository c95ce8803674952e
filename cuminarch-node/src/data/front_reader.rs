//! The reading part of a caller's connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use cuminarch_http::{BodyDecoder, Decoded, HeadLimits, HttpError, RequestHead};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};

use super::body::{BodyItem, BodyReader, RequestBody};
use super::connections::Connection;
use super::front::{ConnectionState, Purpose};
use super::front_writer::PendingAnswer;
use super::handler::{PendingRequest, PipelinePosition, handle};
use super::runner::DataContext;

/// Why reading ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadEnd {
    /// The caller is gone; nobody waits for answers any more.
    Disconnected,
    /// No further request is read; answers may still be due.
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

/// Waits until a connection without a request under way has to end. One that has just
/// been opened is about to carry its first request, which still gets an answer.
async fn wait_for_idle_stop(connection: &mut Connection, requests: u64) {
    connection.wait_for_stop().await;
    if requests == 0 {
        tokio::time::sleep(RequestReader::FIRST_REQUEST_GRACE).await;
    }
}

impl RequestReader {
    /// Time after the end of a node in which a new connection may send its first request:
    /// some round trips to callers, and less than the node waits for its connections.
    const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
    /// Parts of a request body that wait for the upstream.
    const BODY_RING_CAPACITY: usize = 2;
    /// Room for bytes that is made before each read.
    const READ_BUFFER_BYTES: usize = 8 * 1024;
    /// Period in which an idle connection looks at the time.
    const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
    /// Longest time that an unwanted body is read before the connection ends.
    const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

    pub fn new(
        context: DataContext,
        purpose: Purpose,
        shared: Rc<ConnectionState>,
        connection: Connection,
        slots: mpsc::Sender<PendingAnswer>,
    ) -> Self {
        let buffer = BytesMut::new();
        let slots = Some(slots);
        Self {
            context,
            purpose,
            shared,
            connection,
            pending_answers: slots,
            buffer,
            next_number: 0,
        }
    }

    /// Tells the writing part that no further request comes.
    pub fn close(&mut self) {
        self.pending_answers = None;
    }

    /// Reads requests until there is a reason to stop.
    pub async fn run(&mut self, read: &mut OwnedReadHalf) -> ReadEnd {
        loop {
            let head = match self.read_head(read).await {
                Ok(head) => head,
                Err(end) => return end,
            };
            if let Err(end) = self.start_request(read, head).await {
                return end;
            }
            if self.shared.must_close.get() {
                return self.wait_until_closed(read).await;
            }
        }
    }

    fn limits(&self) -> HeadLimits {
        HeadLimits::new()
            .with_max_len_bytes(self.context.limits().max_head_bytes)
            .with_rejects_length_with_chunked(self.context.interface.rejects_length_with_chunked())
    }

    async fn read_head(&mut self, read: &mut OwnedReadHalf) -> Result<RequestHead, ReadEnd> {
        let limits = self.limits();
        let mut begun_at = None;
        loop {
            match RequestHead::parse(&mut self.buffer, &limits) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(fault) => return Err(self.refuse_malformed(fault).await),
            }
            if !self.buffer.is_empty() {
                begun_at.get_or_insert_with(Instant::now);
            }
            self.fill_head(read, begun_at).await?;
        }
    }

    /// Reads more of a head, within the time that it may take.
    async fn fill_head(
        &mut self,
        read: &mut OwnedReadHalf,
        begun_at: Option<Instant>,
    ) -> Result<(), ReadEnd> {
        loop {
            let limits = self.context.limits();
            let left = match begun_at {
                Some(begun_at) => limits.head_timeout.saturating_sub(begun_at.elapsed()),
                None => Self::IDLE_CHECK_INTERVAL.min(limits.idle_timeout),
            };
            self.buffer.reserve(Self::READ_BUFFER_BYTES);
            let is_idle = begun_at.is_none() && self.shared.unanswered.get() == 0;
            let count = tokio::select! {
                biased;
                read = read.read_buf(&mut self.buffer) => read.ok(),
                () = wait_for_idle_stop(&mut self.connection, self.next_number), if is_idle => {
                    return Err(ReadEnd::Finished);
                }
                () = tokio::time::sleep(left) => {
                    let quiet = self.shared.idle_since.get().elapsed();
                    let is_idle = self.shared.unanswered.get() == 0;
                    if begun_at.is_some() || (is_idle && quiet >= limits.idle_timeout) {
                        return Err(ReadEnd::Finished);
                    }
                    continue;
                }
            };
            return match count {
                Some(count) if count > 0 => Ok(()),
                _ if self.shared.unanswered.get() > 0 => Err(ReadEnd::Disconnected),
                _ => Err(ReadEnd::Finished),
            };
        }
    }

    /// Answers what is no request, behind the answers that are due.
    async fn refuse_malformed(&mut self, fault: HttpError) -> ReadEnd {
        let status = if fault == HttpError::HeadTooLong { 431 } else { 400 };
        let answer = self.context.interface.error_answer(status, &fault.to_string()).with_close();
        let (reply, slot) = PendingAnswer::new(false, false);
        let _ = reply.send(answer.into());
        self.push(slot).await;
        ReadEnd::Finished
    }

    async fn push(&mut self, slot: PendingAnswer) {
        self.shared.unanswered.set(self.shared.unanswered.get() + 1);
        if let Some(slots) = &self.pending_answers {
            // The writing part ends only together with the connection.
            let _ = slots.send(slot).await;
        }
    }

    /// Starts to answer a request, and reads its body.
    async fn start_request(
        &mut self,
        read: &mut OwnedReadHalf,
        head: RequestHead,
    ) -> Result<(), ReadEnd> {
        let framing = head.framing;
        let (reply, mut slot) = PendingAnswer::new(head.method == "HEAD", head.is_http_10);
        slot.closes = head.wants_close;
        if head.wants_close {
            self.shared.must_close.set(true);
        }
        let decoder = BodyDecoder::new(framing);
        if let Some(body) = self.whole_body(&decoder) {
            let handled =
                PendingRequest::new(head, RequestBody::Buffered(body), self.next_position());
            slot.task = handle(&self.context, self.purpose, handled, reply);
            self.push(slot).await;
            return Ok(());
        }
        let (items, ring) = mpsc::channel(Self::BODY_RING_CAPACITY);
        let (ask, asked) = oneshot::channel();
        let ask = head.expects_continue.then_some(ask);
        slot.continue_signal = head.expects_continue.then_some(asked);
        let is_long = framing
            .len_bytes()
            .is_some_and(|len_bytes| len_bytes > RequestBody::MAX_BUFFERED_BYTES as u64);
        let is_read_first = !is_long && !head.expects_continue;
        let body = RequestBody::unread(BodyReader::new(ring).with_continue_signal(ask));
        let handled =
            PendingRequest::new(head, body, self.next_position()).with_buffered_body(is_read_first);
        slot.task = handle(&self.context, self.purpose, handled, reply);
        self.push(slot).await;
        self.forward_body(read, decoder, items).await
    }

    fn next_position(&mut self) -> PipelinePosition {
        let number = self.next_number;
        self.next_number += 1;
        PipelinePosition { shared: Rc::clone(&self.shared), number }
    }

    /// The body, if all of it has arrived with the head.
    fn whole_body(&mut self, decoder: &BodyDecoder) -> Option<Bytes> {
        if decoder.is_complete() {
            return Some(Bytes::new());
        }
        if self.buffer.is_empty() || self.buffer.len() > RequestBody::MAX_BUFFERED_BYTES {
            return None;
        }
        let mut trial = decoder.clone();
        let mut rest = self.buffer.clone();
        match trial.decode(&mut rest) {
            Ok(Decoded::Data(data)) if trial.is_complete() => {
                self.buffer = rest;
                Some(data)
            }
            _ => None,
        }
    }

    /// Hands the parts of a body to whoever answers the request; what nobody
    /// wants is dropped.
    async fn forward_body(
        &mut self,
        read: &mut OwnedReadHalf,
        mut decoder: BodyDecoder,
        items: mpsc::Sender<BodyItem>,
    ) -> Result<(), ReadEnd> {
        let mut unwanted_since = None;
        let mut left_bytes = self.context.limits().max_request_body_bytes;
        loop {
            let item = match decoder.decode(&mut self.buffer) {
                Ok(Decoded::Data(data)) => {
                    let len_bytes = data.len() as u64;
                    if len_bytes > left_bytes {
                        return self.abort_reading();
                    }
                    left_bytes -= len_bytes;
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
                self.shared.must_close.set(true);
                Err(ReadEnd::Finished)
            }
        }
    }

    /// Ends reading within a body, whose request still gets an answer.
    fn abort_reading(&self) -> Result<(), ReadEnd> {
        self.shared.must_close.set(true);
        Err(ReadEnd::Finished)
    }

    /// Waits until the caller leaves, as nothing it sends matters any more.
    async fn wait_until_closed(&mut self, read: &mut OwnedReadHalf) -> ReadEnd {
        loop {
            self.buffer.clear();
            self.buffer.reserve(Self::READ_BUFFER_BYTES);
            match read.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ => return ReadEnd::Disconnected,
            }
        }
    }
}
