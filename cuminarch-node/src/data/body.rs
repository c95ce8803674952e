//! Bodies of requests as they pass through the node.

use bytes::{Bytes, BytesMut};
use cuminarch_once::RequestFingerprint;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Longest part of a body in one frame of a data link, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// A body that ended before its end.
#[derive(Clone, Copy, Debug, Error)]
#[error("the body broke off")]
pub struct BrokenBody;

/// Part of a request body.
#[derive(Debug)]
pub enum BodyItem {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// The rest of a request body, as its connection or link brings it.
#[derive(Debug)]
pub struct BodyReader {
    items: mpsc::Receiver<BodyItem>,
    /// Asks a sender that waits for a word to send the body.
    continue_signal: Option<oneshot::Sender<()>>,
}

impl BodyReader {
    /// A body whose parts come here; without its end it has broken off.
    pub const fn new(items: mpsc::Receiver<BodyItem>) -> Self {
        Self { items, continue_signal: None }
    }

    /// Sets how the sender is asked to send it.
    #[must_use]
    pub fn with_continue_signal(mut self, ask: Option<oneshot::Sender<()>>) -> Self {
        self.continue_signal = ask;
        self
    }

    /// Reads the next data; none at the proper end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BrokenBody> {
        if let Some(ask) = self.continue_signal.take() {
            // A sender that is gone shows as a broken body below.
            let _ = ask.send(());
        }
        match self.items.recv().await {
            Some(BodyItem::Data(bytes)) => Ok(Some(bytes)),
            Some(BodyItem::End) => Ok(None),
            None => Err(BrokenBody),
        }
    }
}

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Whole and held in memory; can be sent again.
    Buffered(Bytes),
    /// Still coming, behind a part that was read already.
    Streaming(Bytes, BodyReader),
}

impl RequestBody {
    /// Longest body that is held in memory so that it can be sent again.
    pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

    /// Reads the beginning of a body, all of it if it is short.
    pub async fn read(mut body: BodyReader) -> Result<Self, BrokenBody> {
        let Some(first) = body.next().await? else { return Ok(Self::Buffered(Bytes::new())) };
        let Some(second) = body.next().await? else { return Ok(Self::Buffered(first)) };
        let mut held = BytesMut::from(first.as_ref());
        held.extend_from_slice(&second);
        while held.len() <= Self::MAX_BUFFERED_BYTES {
            match body.next().await? {
                Some(chunk) => held.extend_from_slice(&chunk),
                None => return Ok(Self::Buffered(held.freeze())),
            }
        }
        Ok(Self::Streaming(held.freeze(), body))
    }

    /// A body of which nothing is read before the call is admitted.
    pub const fn unread(body: BodyReader) -> Self {
        Self::Streaming(Bytes::new(), body)
    }

    /// Digest of the body, if it is short enough to count in a fingerprint.
    pub fn digest(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => RequestFingerprint::body_digest(bytes),
            Self::Streaming(..) => None,
        }
    }

    /// Whether a node that gets the body has all of it before it begins the call.
    pub const fn is_short(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.len() < Self::MAX_BUFFERED_BYTES)
    }

    /// Whether the body can be sent again.
    pub const fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// Cuts bytes into parts that fit a frame, without copying them.
pub fn frame_chunks(mut bytes: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        if bytes.is_empty() {
            return None;
        }
        Some(bytes.split_to(bytes.len().min(MAX_CHUNK_BYTES)))
    })
}
