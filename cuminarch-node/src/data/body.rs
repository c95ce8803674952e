//! Request bodies.

use bytes::{Bytes, BytesMut};
use cuminarch_once::RequestFingerprint;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Maximum body bytes in one frame of a data link.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Error for a body that ended prematurely.
#[derive(Clone, Copy, Debug, Error)]
#[error("the body ended prematurely")]
pub struct BrokenBody;

/// Item of a request body stream.
#[derive(Debug)]
pub enum BodyItem {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Receives the rest of a request body from its connection or link.
#[derive(Debug)]
pub struct BodyReader {
    items: mpsc::Receiver<BodyItem>,
    /// Triggers `100 Continue` for a sender that waits for it.
    continue_signal: Option<oneshot::Sender<()>>,
}

impl BodyReader {
    /// Creates a reader of `items`. If they end without [`BodyItem::End`], the body is broken.
    pub const fn new(items: mpsc::Receiver<BodyItem>) -> Self {
        Self { items, continue_signal: None }
    }

    /// Sets the signal that triggers `100 Continue` at the first read.
    #[must_use]
    pub fn with_continue_signal(mut self, signal: Option<oneshot::Sender<()>>) -> Self {
        self.continue_signal = signal;
        self
    }

    /// Reads the next chunk, or `None` at the proper end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BrokenBody> {
        if let Some(signal) = self.continue_signal.take() {
            // A disconnected sender shows up as a broken body below.
            let _ = signal.send(());
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
    /// Complete in memory; can be sent again.
    Buffered(Bytes),
    /// Bytes that were read already, and a reader for the rest.
    Streaming(Bytes, BodyReader),
}

impl RequestBody {
    /// Longest body that is buffered so that it can be sent again.
    pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

    /// Reads the beginning of a body, or all of it if it is short.
    pub async fn read(mut body: BodyReader) -> Result<Self, BrokenBody> {
        let Some(first) = body.next().await? else { return Ok(Self::Buffered(Bytes::new())) };
        let Some(second) = body.next().await? else { return Ok(Self::Buffered(first)) };
        let mut buffered = BytesMut::from(first.as_ref());
        buffered.extend_from_slice(&second);
        while buffered.len() <= Self::MAX_BUFFERED_BYTES {
            match body.next().await? {
                Some(chunk) => buffered.extend_from_slice(&chunk),
                None => return Ok(Self::Buffered(buffered.freeze())),
            }
        }
        Ok(Self::Streaming(buffered.freeze(), body))
    }

    /// Creates a body of which nothing is read before the call is admitted.
    pub const fn unread(body: BodyReader) -> Self {
        Self::Streaming(Bytes::new(), body)
    }

    /// Returns the digest of the body if it is short enough to be part of a fingerprint.
    pub fn digest(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => RequestFingerprint::body_digest(bytes),
            Self::Streaming(..) => None,
        }
    }

    /// Returns the part of the body that has been read.
    pub fn available(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) | Self::Streaming(bytes, _) => bytes,
        }
    }

    /// Returns `true` if a receiving node has the entire body before it starts the call.
    pub const fn is_short(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.len() < Self::MAX_BUFFERED_BYTES)
    }

    /// Returns `true` if the body can be sent again.
    pub const fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }
}

/// Splits bytes into chunks that fit a frame, without copying.
pub fn frame_chunks(mut bytes: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        if bytes.is_empty() {
            return None;
        }
        Some(bytes.split_to(bytes.len().min(MAX_CHUNK_BYTES)))
    })
}
