//! Bodies of requests as they pass through the node.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminarch_once::RequestFingerprint;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::sync::mpsc;

use super::caller_body::CallerBody;

/// Longest part of a body in one frame of a data link, in bytes.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// A body that ended before its end.
#[derive(Clone, Copy, Debug, Error)]
#[error("the body broke off")]
pub struct BrokenBody;

/// Part of a request body that came over a data link.
#[derive(Debug)]
pub enum LinkItem {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// Where the rest of a request body comes from.
pub enum BodyReader {
    /// A caller's connection.
    Caller(CallerBody),
    /// A data link.
    Link(mpsc::Receiver<LinkItem>),
}

impl BodyReader {
    /// Reads the next data; none at the proper end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BrokenBody> {
        match self {
            Self::Caller(body) => body.next().await,
            Self::Link(items) => match items.recv().await {
                Some(LinkItem::Data(bytes)) => Ok(Some(bytes)),
                Some(LinkItem::End) => Ok(None),
                None => Err(BrokenBody),
            },
        }
    }
}

/// Body of a request.
pub enum RequestBody {
    /// Whole and held in memory; can be sent again.
    Held(Bytes),
    /// Still coming, behind a part that was read already.
    Passed(Bytes, BodyReader),
}

impl RequestBody {
    /// Longest body that is held in memory so that it can be sent again.
    pub const MAX_HELD_BYTES: usize = 64 * 1024;

    /// Reads the beginning of a caller's body, all of it if it is short.
    pub async fn read(mut body: CallerBody) -> Result<Self, BrokenBody> {
        let Some(first) = body.next().await? else { return Ok(Self::Held(Bytes::new())) };
        let Some(second) = body.next().await? else { return Ok(Self::Held(first)) };
        let mut held = BytesMut::from(first.as_ref());
        held.extend_from_slice(&second);
        while held.len() <= Self::MAX_HELD_BYTES {
            match body.next().await? {
                Some(chunk) => held.extend_from_slice(&chunk),
                None => return Ok(Self::Held(held.freeze())),
            }
        }
        Ok(Self::Passed(held.freeze(), BodyReader::Caller(body)))
    }

    /// A caller's body of which nothing is read before the call is admitted.
    pub const fn unread(body: CallerBody) -> Self {
        Self::Passed(Bytes::new(), BodyReader::Caller(body))
    }

    /// Digest of the body, if it is short enough to count in a fingerprint.
    pub fn digest(&self) -> Option<u64> {
        match self {
            Self::Held(bytes) => RequestFingerprint::body_digest(bytes),
            Self::Passed(..) => None,
        }
    }

    /// Whether the body can be sent again.
    pub const fn is_held(&self) -> bool {
        matches!(self, Self::Held(_))
    }
}

/// Reads the next data of an HTTP body; none at its end. A body that pauses for
/// longer than `idle_timeout` counts as broken.
pub async fn next_chunk(
    incoming: &mut Incoming,
    idle_timeout: Duration,
) -> Result<Option<Bytes>, BrokenBody> {
    loop {
        let frame = tokio::time::timeout(idle_timeout, incoming.frame()).await;
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

/// Cuts bytes into parts that fit a frame, without copying them.
pub fn parts(mut bytes: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        if bytes.is_empty() {
            return None;
        }
        Some(bytes.split_to(bytes.len().min(MAX_CHUNK_BYTES)))
    })
}
