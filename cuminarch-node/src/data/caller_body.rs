//! Request body on a caller's connection.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};

use super::body::{BrokenBody, next_chunk};
use super::limits::DataLimits;

/// Longest time that an unwanted body is read, so that the caller gets to see
/// its answer before the connection closes.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// A body that is still coming. What is left of it when it is dropped is read
/// and discarded.
pub struct CallerBody {
    incoming: Option<Incoming>,
    left_bytes: u64,
    idle_timeout: Duration,
    is_awaited: bool,
}

impl CallerBody {
    /// A body within the limits.
    pub const fn new(incoming: Incoming, limits: DataLimits) -> Self {
        Self {
            incoming: Some(incoming),
            left_bytes: limits.max_request_body_bytes,
            idle_timeout: limits.body_idle_timeout,
            is_awaited: false,
        }
    }

    /// Sets whether the caller sends the body only when asked to.
    #[must_use]
    pub const fn with_awaited(mut self, is_awaited: bool) -> Self {
        self.is_awaited = is_awaited;
        self
    }

    /// Reads the next data; none at the proper end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BrokenBody> {
        self.is_awaited = false;
        let incoming = self.incoming.as_mut().ok_or(BrokenBody)?;
        let Some(chunk) = next_chunk(incoming, self.idle_timeout).await? else { return Ok(None) };
        let len_bytes = u64::try_from(chunk.len()).unwrap_or(u64::MAX);
        self.left_bytes = self.left_bytes.checked_sub(len_bytes).ok_or(BrokenBody)?;
        Ok(Some(chunk))
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        let Some(incoming) = self.incoming.take() else { return };
        if !self.is_awaited && !incoming.is_end_stream() {
            tokio::task::spawn_local(tokio::time::timeout(DISCARD_TIMEOUT, discard(incoming)));
        }
    }
}

async fn discard(mut incoming: Incoming) {
    while let Ok(Some(_)) = next_chunk(&mut incoming, DISCARD_TIMEOUT).await {}
}
