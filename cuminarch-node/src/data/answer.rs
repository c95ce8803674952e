//! Answers and their bodies.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use cuminarch_engine::{Action, Event, LocalEnd};
use cuminarch_once::StoredAnswer;
use cuminarch_protocol::{AnswerFrame, AnswerHead, Receipt};
use cuminarch_types::{AttemptId, Outcome};
use futures_util::future::poll_immediate;
use log::{debug, info};
use tokio::sync::mpsc;

use super::answer_pace::AnswerPace;
use super::body::BrokenBody;
use super::driver::CallGuard;
use super::link_pool::Link;
use super::upstream_connection::UpstreamConnection;
use super::upstream_pool::UpstreamPool;
use crate::decisions::LogRateLimiter;
use crate::event::NodeEvent;
use crate::metrics::{Direction, Metrics};

/// Answer of the local upstream. A short one is stored while it is forwarded.
pub struct LocalSource {
    pub connection: UpstreamConnection,
    pub pool: UpstreamPool,
    pub stored: Option<StoredAnswer>,
    pub node_time: NodeTime,
    pub idle_timeout: Duration,
}

/// Measures the time that a call spends in the node: until its request is sent, and from the
/// head of its answer to the end.
pub struct NodeTime {
    pub metrics: Arc<Metrics>,
    pub direction: Direction,
    pub time_to_send: Duration,
    pub head_received_at: Instant,
}

impl NodeTime {
    fn record(&self) {
        self.metrics
            .record_node_time(self.direction, self.time_to_send + self.head_received_at.elapsed());
    }
}

/// Answer of another node.
pub struct RemoteSource {
    pub attempt: AttemptId,
    pub link: Link,
    pub node_time: NodeTime,
    pub idle_timeout: Duration,
}

/// Item of an answer whose call is independent of its caller.
#[derive(Debug)]
pub enum DetachedItem {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End(Receipt),
    /// The body broke off.
    Broken(Receipt),
}

/// Source of an answer's body.
pub enum AnswerSource {
    /// The local upstream.
    Local(Box<LocalSource>),
    /// Another node.
    Remote(Box<RemoteSource>),
    /// Memory.
    Buffered(Bytes),
    /// A task that runs the call to completion.
    Detached(mpsc::Receiver<DetachedItem>),
}

/// Data for the log line of an answer that breaks off while it is forwarded.
pub struct BrokenAnswerLog {
    pub decisions: Rc<LogRateLimiter>,
    pub request: CompactString,
    pub route: CompactString,
    pub received_at: Instant,
}

impl BrokenAnswerLog {
    fn log_broken(&self, passed_bytes: u64) {
        let event = NodeEvent::AnswerBroken;
        let Some(left_out) = self.decisions.admit(event) else { return };
        info!(
            request:% = self.request,
            route:% = self.route,
            passed_bytes = passed_bytes,
            age_ms = self.received_at.elapsed().as_millis() as u64,
            left_out = left_out;
            "{event}"
        );
    }
}

/// Body of an answer, forwarded as it arrives.
///
/// The last chunk of a body of known length is returned only once the end of the body has been
/// received: a consumer that has all bytes does not poll again.
pub struct AnswerBody {
    log: Option<BrokenAnswerLog>,
    source: Option<AnswerSource>,
    guard: Option<CallGuard>,
    receipt: Receipt,
    remaining_bytes: Option<u64>,
    passed_bytes: u64,
    /// How long its parts are awaited; `None` if another task limits that.
    pace: Option<AnswerPace>,
}

impl AnswerBody {
    /// Longest answer body that is stored for retries with the same idempotency key.
    const MAX_STORED_BYTES: usize = 64 * 1024;

    /// Creates the body of a call in progress.
    pub fn new(guard: CallGuard, source: AnswerSource, len_bytes: Option<u64>) -> Self {
        let receipt = Receipt::default();
        let (source, guard) = (Some(source), Some(guard));
        Self {
            log: None,
            source,
            guard,
            receipt,
            remaining_bytes: len_bytes,
            passed_bytes: 0,
            pace: None,
        }
    }

    /// Limits how long the parts of the answer are awaited.
    #[must_use]
    pub const fn with_pace(mut self, pace: AnswerPace) -> Self {
        self.pace = Some(pace);
        self
    }

    /// Sets the log data for an answer that breaks off.
    #[must_use]
    pub fn with_log(mut self, log: BrokenAnswerLog) -> Self {
        self.log = Some(log);
        self
    }

    /// Creates a body in memory, for a call that has ended.
    pub fn buffered(bytes: Bytes, receipt: Receipt) -> Self {
        let source = Some(AnswerSource::Buffered(bytes));
        Self {
            log: None,
            source,
            guard: None,
            receipt,
            remaining_bytes: None,
            passed_bytes: 0,
            pace: None,
        }
    }

    /// Creates the body of a call that another task runs to completion.
    pub fn detached(items: mpsc::Receiver<DetachedItem>, len_bytes: Option<u64>) -> Self {
        let source = Some(AnswerSource::Detached(items));
        let receipt = Receipt::default();
        Self {
            log: None,
            source,
            guard: None,
            receipt,
            remaining_bytes: len_bytes,
            passed_bytes: 0,
            pace: None,
        }
    }

    /// Returns the call's receipt with the unspent part of its share; final at the end of the body.
    pub fn receipt(&self) -> Receipt {
        self.receipt.clone()
    }

    /// Expects the end of the body without further bytes.
    pub async fn expect_end(&mut self) -> Result<(), BrokenBody> {
        match self.pull(nothing_to_flush()).await {
            Ok(None) => Ok(()),
            _ => Err(BrokenBody),
        }
    }

    /// Returns the next chunk, or `None` at the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        match self.next_after_flush(nothing_to_flush()).await {
            Ok(next) => next,
            Err(never) => match never {},
        }
    }

    /// Returns the next chunk, or `None` at the end of the body. Unless one is available
    /// immediately, what was read before is flushed first; that time does not count as silence of
    /// the source.
    ///
    /// # Errors
    ///
    /// Returns the error of the flush.
    pub async fn next_after_flush<E>(
        &mut self,
        flush: impl Future<Output = Result<(), E>>,
    ) -> Result<Option<Result<Bytes, BrokenBody>>, E> {
        let next = self.read_part(flush).await?;
        match (&next, &self.log) {
            (Some(Ok(bytes)), _) => self.passed_bytes += bytes.len() as u64,
            (Some(Err(_)), Some(log)) => log.log_broken(self.passed_bytes),
            _ => {}
        }
        Ok(next)
    }

    async fn read_part<E>(
        &mut self,
        flush: impl Future<Output = Result<(), E>>,
    ) -> Result<Option<Result<Bytes, BrokenBody>>, E> {
        let bytes = match self.pull(flush).await? {
            Some(Ok(bytes)) => bytes,
            end => return Ok(end),
        };
        let Some(remaining) = self.remaining_bytes else { return Ok(Some(Ok(bytes))) };
        let len_bytes = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let Some(remaining) = remaining.checked_sub(len_bytes) else {
            self.source = None;
            return Ok(Some(Err(BrokenBody)));
        };
        self.remaining_bytes = Some(remaining);
        if remaining == 0 && self.expect_end().await.is_err() {
            return Ok(Some(Err(BrokenBody)));
        }
        Ok(Some(Ok(bytes)))
    }

    /// Reads the next part of the source. Bytes that complete no part, such as those of a chunk's
    /// size or a trailer, do not prolong the wait.
    async fn pull<E>(
        &mut self,
        flush: impl Future<Output = Result<(), E>>,
    ) -> Result<Option<Result<Bytes, BrokenBody>>, E> {
        let mut pace = self.pace;
        let attempt = match &self.source {
            Some(AnswerSource::Remote(source)) => Some(source.attempt),
            _ => None,
        };
        record_reader(&mut pace);
        let next = {
            let mut next = pin!(self.pull_source());
            match (poll_immediate(&mut next).await, &mut pace) {
                (Some(Some(Ok(_))), Some(pace)) if pace.is_over(Instant::now()) => None,
                (Some(next), _) => Some(next),
                (None, pace) => {
                    flush.await?;
                    record_reader(pace);
                    match pace {
                        Some(pace) => pace.wait(next).await,
                        None => Some(next.await),
                    }
                }
            }
        };
        self.pace = pace;
        if let Some(next) = next {
            return Ok(next);
        }
        self.source = None;
        match attempt {
            Some(attempt) => self.close_remote(attempt, None, Outcome::Unknown),
            None => self.close_local(LocalEnd::Broken),
        }
        Ok(Some(Err(BrokenBody)))
    }

    async fn pull_source(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        match self.source.take()? {
            AnswerSource::Local(source) => self.pull_local(source).await,
            AnswerSource::Remote(source) => self.pull_remote(source).await,
            AnswerSource::Buffered(bytes) => (!bytes.is_empty()).then_some(Ok(bytes)),
            AnswerSource::Detached(items) => self.pull_detached(items).await,
        }
    }

    async fn pull_local(
        &mut self,
        mut source: Box<LocalSource>,
    ) -> Option<Result<Bytes, BrokenBody>> {
        match source.connection.next(source.idle_timeout).await {
            Ok(Some(chunk)) => {
                append_stored(&mut source.stored, &chunk);
                self.source = Some(AnswerSource::Local(source));
                Some(Ok(chunk))
            }
            Ok(None) => {
                source.pool.put_back(source.connection);
                source.node_time.record();
                self.close_local(LocalEnd::Complete(source.stored.map(Box::new)));
                None
            }
            Err(error) => {
                debug!("{} {error}", NodeEvent::ConnectionFault);
                if error.is_disconnect() && source.pool.has_ended().await {
                    self.report_upstream_ended();
                }
                self.close_local(LocalEnd::Broken);
                Some(Err(BrokenBody))
            }
        }
    }

    async fn pull_remote(
        &mut self,
        mut source: Box<RemoteSource>,
    ) -> Option<Result<Bytes, BrokenBody>> {
        let attempt = source.attempt;
        match source.link.receive(source.idle_timeout, true).await {
            Ok(AnswerFrame::Body(bytes)) => {
                self.source = Some(AnswerSource::Remote(source));
                Some(Ok(bytes))
            }
            Ok(AnswerFrame::BodyEnd(receipt)) => {
                source.link.release();
                source.node_time.record();
                self.close_remote(attempt, Some(receipt), Outcome::Completed);
                None
            }
            Ok(AnswerFrame::Truncated(receipt)) => {
                source.link.release();
                self.close_remote(attempt, Some(receipt), Outcome::Unknown);
                Some(Err(BrokenBody))
            }
            Ok(_) | Err(_) => {
                self.close_remote(attempt, None, Outcome::Unknown);
                Some(Err(BrokenBody))
            }
        }
    }

    async fn pull_detached(
        &mut self,
        mut items: mpsc::Receiver<DetachedItem>,
    ) -> Option<Result<Bytes, BrokenBody>> {
        match items.recv().await {
            Some(DetachedItem::Data(bytes)) => {
                self.source = Some(AnswerSource::Detached(items));
                Some(Ok(bytes))
            }
            Some(DetachedItem::End(receipt)) => {
                self.receipt = receipt;
                None
            }
            Some(DetachedItem::Broken(receipt)) => {
                self.receipt = receipt;
                Some(Err(BrokenBody))
            }
            None => Some(Err(BrokenBody)),
        }
    }

    fn report_upstream_ended(&self) {
        if let Some(guard) = &self.guard {
            guard.driver().post(Event::UpstreamEnded);
        }
    }

    fn close_local(&mut self, end: LocalEnd) {
        let Some(guard) = self.guard.as_mut() else { return };
        let outcome = match &end {
            LocalEnd::Complete(_) => Outcome::Completed,
            LocalEnd::Broken => Outcome::Unknown,
        };
        guard.driver().post(Event::LocalEnd(guard.call(), end));
        self.close(outcome);
    }

    fn close_remote(&mut self, attempt: AttemptId, receipt: Option<Receipt>, outcome: Outcome) {
        let Some(guard) = self.guard.as_mut() else { return };
        guard.driver().post(Event::RemoteEnd { call: guard.call(), attempt, receipt });
        self.close(outcome);
    }

    fn close(&mut self, outcome: Outcome) {
        let Some(mut guard) = self.guard.take() else { return };
        guard.end(outcome);
        while let Some(action) = guard.try_next() {
            if let Action::Close { receipt, .. } = action {
                self.receipt = receipt;
            }
        }
    }
}

/// Records that the reader has taken all parts so far.
fn record_reader(pace: &mut Option<AnswerPace>) {
    if let Some(pace) = pace {
        pace.record_reader(Instant::now());
    }
}

/// Returns the flush of a reader that keeps nothing back.
async fn nothing_to_flush() -> Result<(), Infallible> {
    Ok(())
}

/// Appends a chunk to a stored answer, and drops the answer if it becomes too long.
fn append_stored(stored: &mut Option<StoredAnswer>, chunk: &[u8]) {
    let Some(answer) = stored else { return };
    if answer.body.len() + chunk.len() > AnswerBody::MAX_STORED_BYTES {
        *stored = None;
    } else {
        answer.body.extend_from_slice(chunk);
    }
}

/// Head and body of an answer.
pub struct Answer {
    pub head: AnswerHead,
    pub body: AnswerBody,
}
