//! Answers as they pass through the node.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use cuminarch_engine::{Action, Event, LocalEnd};
use cuminarch_once::StoredAnswer;
use cuminarch_protocol::{AnswerFrame, AnswerHead, Receipt};
use cuminarch_types::{AttemptId, Outcome};
use log::{debug, info};
use tokio::sync::mpsc;

use super::body::BrokenBody;
use super::driver::CallGuard;
use super::link_pool::Link;
use super::upstream_connection::UpstreamConnection;
use super::upstream_pool::UpstreamPool;
use crate::decisions::LogRateLimiter;
use crate::event::NodeEvent;
use crate::metrics::{Direction, Metrics};

/// Answer of the own upstream, kept while it passes if it is short.
pub struct LocalSource {
    pub connection: UpstreamConnection,
    pub pool: UpstreamPool,
    pub stored: Option<StoredAnswer>,
    pub node_time: NodeTime,
    pub idle_timeout: Duration,
}

/// Measures the time that a call spends in the node itself.
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

/// Answer that comes from another node.
pub struct RemoteSource {
    pub attempt: AttemptId,
    pub link: Link,
    pub node_time: NodeTime,
    pub idle_timeout: Duration,
}

/// Part of an answer whose call goes on without its caller.
#[derive(Debug)]
pub enum DetachedItem {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End(Receipt),
    /// The body broke off.
    Broken(Receipt),
}

/// Where the body of an answer comes from.
pub enum AnswerSource {
    /// The own upstream.
    Local(Box<LocalSource>),
    /// Another node.
    Remote(Box<RemoteSource>),
    /// Memory.
    Buffered(Bytes),
    /// A task that carries the call to its end.
    Detached(mpsc::Receiver<DetachedItem>),
}

/// What is written if an answer breaks off while it is passed on.
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

/// Body of an answer that is passed on as it comes.
///
/// The last part of a body of known length is handed out only once the body is
/// known to be whole: who writes it out asks for nothing after that part.
pub struct AnswerBody {
    log: Option<BrokenAnswerLog>,
    source: Option<AnswerSource>,
    guard: Option<CallGuard>,
    receipt: Receipt,
    remaining_bytes: Option<u64>,
    passed_bytes: u64,
    /// When the answer is broken off; nobody waits for its end any more by then.
    deadline: Option<Instant>,
}

impl AnswerBody {
    /// Longest answer that is kept for resends of its idempotency key.
    const MAX_STORED_BYTES: usize = 64 * 1024;

    /// The body of a call in progress.
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
            deadline: None,
        }
    }

    /// Sets when the answer is broken off if it has not ended.
    #[must_use]
    pub const fn with_deadline(mut self, until: Option<Instant>) -> Self {
        self.deadline = until;
        self
    }

    /// Sets what is written if the answer breaks off.
    #[must_use]
    pub fn with_log(mut self, log: BrokenAnswerLog) -> Self {
        self.log = Some(log);
        self
    }

    /// A body held in memory, of a call that is over.
    pub fn buffered(bytes: Bytes, receipt: Receipt) -> Self {
        let source = Some(AnswerSource::Buffered(bytes));
        Self {
            log: None,
            source,
            guard: None,
            receipt,
            remaining_bytes: None,
            passed_bytes: 0,
            deadline: None,
        }
    }

    /// The body of a call that another task carries to its end.
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
            deadline: None,
        }
    }

    /// What the call leaves of its share; known once the body has ended.
    pub fn receipt(&self) -> Receipt {
        self.receipt.clone()
    }

    /// Takes in the end of a body that has no bytes.
    pub async fn expect_end(&mut self) -> Result<(), BrokenBody> {
        match self.pull().await {
            None => Ok(()),
            Some(_) => Err(BrokenBody),
        }
    }

    /// The next part; none once the body is whole.
    pub async fn next(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        let next = self.read_part().await;
        match (&next, &self.log) {
            (Some(Ok(bytes)), _) => self.passed_bytes += bytes.len() as u64,
            (Some(Err(_)), Some(log)) => log.log_broken(self.passed_bytes),
            _ => {}
        }
        next
    }

    async fn read_part(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        if self.deadline.is_some_and(|until| Instant::now() >= until) {
            self.source = None;
            return Some(Err(BrokenBody));
        }
        let bytes = match self.pull().await? {
            Ok(bytes) => bytes,
            Err(broken) => return Some(Err(broken)),
        };
        let Some(left) = self.remaining_bytes else { return Some(Ok(bytes)) };
        let len_bytes = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let Some(left) = left.checked_sub(len_bytes) else {
            self.source = None;
            return Some(Err(BrokenBody));
        };
        self.remaining_bytes = Some(left);
        if left == 0 && self.expect_end().await.is_err() {
            return Some(Err(BrokenBody));
        }
        Some(Ok(bytes))
    }

    async fn pull(&mut self) -> Option<Result<Bytes, BrokenBody>> {
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
            Err(fault) => {
                debug!("{} {fault}", NodeEvent::ConnectionFault);
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

/// Adds a part to a kept answer; gives the answer up once it is too long.
fn append_stored(kept: &mut Option<StoredAnswer>, chunk: &[u8]) {
    let Some(answer) = kept else { return };
    if answer.body.len() + chunk.len() > AnswerBody::MAX_STORED_BYTES {
        *kept = None;
    } else {
        answer.body.extend_from_slice(chunk);
    }
}

/// Status and header fields of an answer, with its body.
pub struct Answer {
    pub head: AnswerHead,
    pub body: AnswerBody,
}
