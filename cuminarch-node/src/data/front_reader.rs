//! The reading part of a caller's connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use cuminarch_http::{BodyDecoder, Decoded, HeadLimits, HttpFault, RequestHead};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};

use super::body::{BodyItem, BodyReader, RequestBody};
use super::connections::Connection;
use super::front::{Purpose, Shared};
use super::front_writer::Slot;
use super::handler::{Handled, Turn, handle};
use super::runner::DataContext;

/// Why reading ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadEnd {
    /// The caller is gone; nobody waits for answers any more.
    Gone,
    /// No further request is read; answers may still be due.
    Finished,
}

/// Reads the requests of one connection.
pub struct Reader {
    context: DataContext,
    purpose: Purpose,
    shared: Rc<Shared>,
    connection: Connection,
    slots: Option<mpsc::Sender<Slot>>,
    buffer: BytesMut,
    /// Number of the next request, from 0.
    next_number: u64,
}

/// Waits until a connection without a request under way has to end. One that has just
/// been opened is about to carry its first request, which still gets an answer.
async fn stopped(connection: &mut Connection, requests: u64) {
    connection.stopping().await;
    if requests == 0 {
        tokio::time::sleep(Reader::FIRST_REQUEST_TIME).await;
    }
}

impl Reader {
    /// Time after the end of a node in which a new connection may send its first request:
    /// some round trips to callers, and less than the node waits for its connections.
    const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
    /// Parts of a request body that wait for the upstream.
    const BODY_RING: usize = 2;
    /// Room for bytes that is made before each read.
    const READ_BYTES: usize = 8 * 1024;
    /// Period in which an idle connection looks at the time.
    const IDLE_LOOK: Duration = Duration::from_secs(1);
    /// Longest time that an unwanted body is read before the connection ends.
    const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

    pub fn new(
        context: DataContext,
        purpose: Purpose,
        shared: Rc<Shared>,
        connection: Connection,
        slots: mpsc::Sender<Slot>,
    ) -> Self {
        let buffer = BytesMut::new();
        let slots = Some(slots);
        Self { context, purpose, shared, connection, slots, buffer, next_number: 0 }
    }

    /// Tells the writing part that no further request comes.
    pub fn close(&mut self) {
        self.slots = None;
    }

    /// Reads requests until there is a reason to stop.
    pub async fn run(&mut self, read: &mut OwnedReadHalf) -> ReadEnd {
        loop {
            let head = match self.read_head(read).await {
                Ok(head) => head,
                Err(end) => return end,
            };
            if let Err(end) = self.take_request(read, head).await {
                return end;
            }
            if self.shared.must_close.get() {
                return self.watch(read).await;
            }
        }
    }

    fn limits(&self) -> HeadLimits {
        HeadLimits::new()
            .with_max_len_bytes(self.context.limits().max_head_bytes)
            .with_refuses_length_beside_chunks(
                self.context.interface.refuses_length_beside_chunks(),
            )
    }

    async fn read_head(&mut self, read: &mut OwnedReadHalf) -> Result<RequestHead, ReadEnd> {
        let limits = self.limits();
        let mut begun_at = None;
        loop {
            match RequestHead::parse(&mut self.buffer, &limits) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(fault) => return Err(self.refuse_fault(fault).await),
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
                None => Self::IDLE_LOOK.min(limits.idle_timeout),
            };
            self.buffer.reserve(Self::READ_BYTES);
            let is_idle = begun_at.is_none() && self.shared.unanswered.get() == 0;
            let count = tokio::select! {
                biased;
                read = read.read_buf(&mut self.buffer) => read.ok(),
                () = stopped(&mut self.connection, self.next_number), if is_idle => {
                    return Err(ReadEnd::Finished);
                }
                () = tokio::time::sleep(left) => {
                    let quiet = self.shared.quiet_since.get().elapsed();
                    let is_idle = self.shared.unanswered.get() == 0;
                    if begun_at.is_some() || (is_idle && quiet >= limits.idle_timeout) {
                        return Err(ReadEnd::Finished);
                    }
                    continue;
                }
            };
            return match count {
                Some(count) if count > 0 => Ok(()),
                _ if self.shared.unanswered.get() > 0 => Err(ReadEnd::Gone),
                _ => Err(ReadEnd::Finished),
            };
        }
    }

    /// Answers what is no request, behind the answers that are due.
    async fn refuse_fault(&mut self, fault: HttpFault) -> ReadEnd {
        let status = if fault == HttpFault::HeadTooLong { 431 } else { 400 };
        let answer = self.context.interface.malformed(status, &fault.to_string()).with_close();
        let (reply, slot) = Slot::new(false, false);
        let _ = reply.send(answer.into());
        self.push(slot).await;
        ReadEnd::Finished
    }

    async fn push(&mut self, slot: Slot) {
        self.shared.unanswered.set(self.shared.unanswered.get() + 1);
        if let Some(slots) = &self.slots {
            // The writing part ends only together with the connection.
            let _ = slots.send(slot).await;
        }
    }

    /// Starts to answer a request, and reads its body.
    async fn take_request(
        &mut self,
        read: &mut OwnedReadHalf,
        head: RequestHead,
    ) -> Result<(), ReadEnd> {
        let framing = head.framing;
        let (reply, mut slot) = Slot::new(head.method == "HEAD", head.is_http_10);
        slot.closes = head.wants_close;
        if head.wants_close {
            self.shared.must_close.set(true);
        }
        let decoder = BodyDecoder::new(framing);
        if let Some(body) = self.whole_body(&decoder) {
            let handled = Handled::new(head, RequestBody::Held(body), self.turn());
            slot.task = handle(&self.context, self.purpose, handled, reply);
            self.push(slot).await;
            return Ok(());
        }
        let (items, ring) = mpsc::channel(Self::BODY_RING);
        let (ask, asked) = oneshot::channel();
        let ask = head.expects_continue.then_some(ask);
        slot.asked = head.expects_continue.then_some(asked);
        let is_long = framing
            .len_bytes()
            .is_some_and(|len_bytes| len_bytes > RequestBody::MAX_HELD_BYTES as u64);
        let is_read_first = !is_long && !head.expects_continue;
        let body = RequestBody::unread(BodyReader::new(ring).with_ask(ask));
        let handled = Handled::new(head, body, self.turn()).with_read_first(is_read_first);
        slot.task = handle(&self.context, self.purpose, handled, reply);
        self.push(slot).await;
        self.pass_body(read, decoder, items).await
    }

    fn turn(&mut self) -> Turn {
        let number = self.next_number;
        self.next_number += 1;
        Turn { shared: Rc::clone(&self.shared), number }
    }

    /// The body, if all of it has arrived with the head.
    fn whole_body(&mut self, decoder: &BodyDecoder) -> Option<Bytes> {
        if decoder.is_ended() {
            return Some(Bytes::new());
        }
        if self.buffer.is_empty() || self.buffer.len() > RequestBody::MAX_HELD_BYTES {
            return None;
        }
        let mut trial = decoder.clone();
        let mut rest = self.buffer.clone();
        match trial.decode(&mut rest) {
            Ok(Decoded::Data(data)) if trial.is_ended() => {
                self.buffer = rest;
                Some(data)
            }
            _ => None,
        }
    }

    /// Hands the parts of a body to whoever answers the request; what nobody
    /// wants is dropped.
    async fn pass_body(
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
                        return self.break_off();
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
                Err(_) => return self.break_off(),
            };
            if items.send(item).await.is_err() {
                let since = *unwanted_since.get_or_insert_with(Instant::now);
                if since.elapsed() > Self::DISCARD_TIMEOUT {
                    return self.break_off();
                }
            }
        }
    }

    async fn fill_body(&mut self, read: &mut OwnedReadHalf) -> Result<(), ReadEnd> {
        self.buffer.reserve(Self::READ_BYTES);
        let idle_timeout = self.context.limits().body_idle_timeout;
        let fill = read.read_buf(&mut self.buffer);
        match tokio::time::timeout(idle_timeout, fill).await {
            Ok(Ok(count)) if count > 0 => Ok(()),
            Ok(_) => Err(ReadEnd::Gone),
            Err(_) => {
                self.shared.must_close.set(true);
                Err(ReadEnd::Finished)
            }
        }
    }

    /// Ends reading within a body, whose request still gets an answer.
    fn break_off(&self) -> Result<(), ReadEnd> {
        self.shared.must_close.set(true);
        Err(ReadEnd::Finished)
    }

    /// Waits until the caller leaves, as nothing it sends matters any more.
    async fn watch(&mut self, read: &mut OwnedReadHalf) -> ReadEnd {
        loop {
            self.buffer.clear();
            self.buffer.reserve(Self::READ_BYTES);
            match read.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ => return ReadEnd::Gone,
            }
        }
    }
}
