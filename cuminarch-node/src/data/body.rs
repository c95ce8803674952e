//! Bodies of requests and answers as they pass through the node.

use std::time::Duration;

use bytes::Bytes;
use cuminarch_engine::{Action, Event, LocalEnd};
use cuminarch_once::StoredAnswer;
use cuminarch_protocol::{AnswerFrame, AnswerHead, Receipt};
use cuminarch_types::AttemptId;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use super::driver::CallGuard;
use super::link_client::Link;
use super::local::LocalConnection;

/// Longest pause within a body.
pub const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A body that ended before its end.
#[derive(Clone, Copy, Debug, Error)]
#[error("the body broke off")]
pub struct BrokenBody;

/// Body of a request.
pub enum RequestBody {
    /// Whole and held in memory; can be sent again.
    Held(Bytes),
    /// Still coming from a caller, behind a part that was read already.
    Caller(Bytes, Incoming),
}

impl RequestBody {
    /// Longest body that is held in memory so that it can be sent again.
    pub const MAX_HELD_BYTES: usize = 64 * 1024;

    /// Reads the beginning of a caller's body, all of it if it is short.
    pub async fn read(mut incoming: Incoming) -> Result<Self, BrokenBody> {
        let mut held = Vec::new();
        while held.len() <= Self::MAX_HELD_BYTES {
            match next_chunk(&mut incoming).await? {
                Some(chunk) => held.extend_from_slice(&chunk),
                None => return Ok(Self::Held(Bytes::from(held))),
            }
        }
        Ok(Self::Caller(Bytes::from(held), incoming))
    }

    /// Whether the body can be sent again.
    pub const fn is_held(&self) -> bool {
        matches!(self, Self::Held(_))
    }
}

/// Reads the next data of an HTTP body; none at its end.
pub async fn next_chunk(incoming: &mut Incoming) -> Result<Option<Bytes>, BrokenBody> {
    loop {
        let frame = tokio::time::timeout(BODY_IDLE_TIMEOUT, incoming.frame()).await;
        match frame {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(Some(Err(_))) | Err(_) => return Err(BrokenBody),
        }
    }
}

/// Answer of the own upstream, kept while it passes if it is short.
pub struct LocalSource {
    pub incoming: Incoming,
    pub connection: LocalConnection,
    pub kept: Option<StoredAnswer>,
}

/// Where the body of an answer comes from.
pub enum AnswerSource {
    /// The own upstream.
    Local(Box<LocalSource>),
    /// Another node.
    Remote(AttemptId, Box<Link>),
    /// Memory.
    Held(Bytes),
}

/// Body of an answer that is passed on as it comes.
pub struct AnswerBody {
    guard: CallGuard,
    source: Option<AnswerSource>,
    receipt: Receipt,
}

impl AnswerBody {
    /// Longest answer that is kept for resends of its idempotency key.
    const MAX_KEPT_BYTES: usize = 64 * 1024;

    pub const fn new(guard: CallGuard, source: AnswerSource) -> Self {
        Self {
            guard,
            source: Some(source),
            receipt: Receipt {
                unspent: cuminarch_types::Attempts::ZERO,
                level: cuminarch_types::Rank::MIN,
                level_age_ms: 0,
            },
        }
    }

    /// A body held in memory, of a call that is over.
    pub const fn held(guard: CallGuard, bytes: Bytes, receipt: Receipt) -> Self {
        Self { guard, source: Some(AnswerSource::Held(bytes)), receipt }
    }

    /// What the call leaves of its share; known once the body has ended.
    pub const fn receipt(&self) -> Receipt {
        self.receipt
    }

    /// The next part; none once the body is whole.
    pub async fn next(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        match self.source.take()? {
            AnswerSource::Local(source) => self.next_local(source).await,
            AnswerSource::Remote(attempt, link) => self.next_remote(attempt, link).await,
            AnswerSource::Held(bytes) => (!bytes.is_empty()).then_some(Ok(bytes)),
        }
    }

    async fn next_local(
        &mut self,
        mut source: Box<LocalSource>,
    ) -> Option<Result<Bytes, BrokenBody>> {
        let call = self.guard.call();
        match next_chunk(&mut source.incoming).await {
            Ok(Some(chunk)) => {
                if source
                    .kept
                    .as_ref()
                    .is_some_and(|kept| kept.body.len() + chunk.len() > Self::MAX_KEPT_BYTES)
                {
                    source.kept = None;
                }
                if let Some(kept) = &mut source.kept {
                    kept.body.extend_from_slice(&chunk);
                }
                self.source = Some(AnswerSource::Local(source));
                Some(Ok(chunk))
            }
            Ok(None) => {
                source.connection.release();
                let end = LocalEnd::Complete(source.kept.map(Box::new));
                self.close(Event::LocalEnd(call, end));
                None
            }
            Err(broken) => {
                self.close(Event::LocalEnd(call, LocalEnd::Broken));
                Some(Err(broken))
            }
        }
    }

    async fn next_remote(
        &mut self,
        attempt: AttemptId,
        mut link: Box<Link>,
    ) -> Option<Result<Bytes, BrokenBody>> {
        let call = self.guard.call();
        match link.receive(BODY_IDLE_TIMEOUT).await {
            Ok(AnswerFrame::Body(bytes)) => {
                self.source = Some(AnswerSource::Remote(attempt, link));
                Some(Ok(Bytes::from(bytes)))
            }
            Ok(AnswerFrame::BodyEnd(receipt)) => {
                link.release();
                self.close(Event::RemoteEnd { call, attempt, receipt: Some(receipt) });
                None
            }
            Ok(AnswerFrame::Broken(receipt)) => {
                link.release();
                self.close(Event::RemoteEnd { call, attempt, receipt: Some(receipt) });
                Some(Err(BrokenBody))
            }
            Ok(_) | Err(_) => {
                self.close(Event::RemoteEnd { call, attempt, receipt: None });
                Some(Err(BrokenBody))
            }
        }
    }

    fn close(&mut self, event: Event) {
        self.guard.driver().post(event);
        while let Some(action) = self.guard.try_next() {
            if let Action::Close { receipt, .. } = action {
                self.receipt = receipt;
            }
        }
    }
}

/// Status and header fields of an answer, with its body.
pub struct Answer {
    pub head: AnswerHead,
    pub body: AnswerBody,
}
