use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use cuminarch_http::{
    BodyDecoder, BodyFraming, Decoded, HeadLimits, HttpError, LAST_CHUNK, ResponseHead, write_chunk,
};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;

use super::body::{BodyReader, RequestBody};

/// Failure to send a request.
#[derive(Debug)]
pub enum SendError {
    /// No byte was sent; the body can be sent over another connection.
    NotSent(RequestBody),
    /// Part of the request may have reached the upstream.
    MaybeSent,
}

/// Failure to read an answer.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// The connection broke.
    #[error("connection: {0}")]
    Connection(#[from] io::Error),
    /// The upstream sent a malformed or truncated answer.
    #[error("upstream: {0}")]
    Http(#[from] HttpError),
    /// The upstream paused for longer than the idle timeout.
    #[error("no bytes within the idle timeout")]
    IdleTimeout,
    /// The body is too long to be discarded.
    #[error("the body is too long to be discarded")]
    TooLong,
}

impl ReceiveError {
    /// Returns `true` if the upstream has closed or reset the connection within the answer.
    pub const fn is_disconnect(&self) -> bool {
        matches!(self, Self::Connection(_) | Self::Http(HttpError::Truncated))
    }
}

/// Task that sends a body. It returns the write half of the connection if the body was sent
/// completely.
type UploadTask = JoinHandle<Option<OwnedWriteHalf>>;

enum SendState {
    Idle(OwnedWriteHalf),
    Uploading(UploadTask),
    Broken,
}

/// A connection to the local upstream that carries one request at a time.
pub struct UpstreamConnection {
    read: OwnedReadHalf,
    send_state: SendState,
    buffer: BytesMut,
    decoder: BodyDecoder,
    keeps_alive: bool,
    idle_limit: Duration,
    /// Labels of the requests that the upstream turned away on this connection.
    turned_away: Vec<CompactString>,
}

impl UpstreamConnection {
    /// Idle timeout assumed if the upstream does not state one.
    const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
    /// Margin by which an idle connection is given up before the stated timeout.
    const IDLE_MARGIN: Duration = Duration::from_millis(900);
    /// Turned away requests after which a connection is closed, because it keeps their labels.
    const MAX_TURNED_AWAY: usize = 16;
    const READ_BUFFER_BYTES: usize = 8 * 1024;

    pub fn new(stream: TcpStream) -> Self {
        let (read, write) = stream.into_split();
        Self {
            read,
            send_state: SendState::Idle(write),
            buffer: BytesMut::new(),
            decoder: BodyDecoder::new(BodyFraming::Empty),
            keeps_alive: true,
            idle_limit: Self::DEFAULT_IDLE_LIMIT,
            turned_away: Vec::new(),
        }
    }

    /// Records that the upstream turned a request away on this connection.
    pub fn record_turned_away(&mut self, label: Option<CompactString>) {
        self.turned_away.extend(label);
    }

    /// Returns `true` if the connection can carry a request with this label. After the same request
    /// was turned away here, a second copy of that answer could not be told from the next one.
    pub fn may_carry(&self, label: Option<&str>) -> bool {
        label.is_none_or(|label| self.turned_away.iter().all(|other| other != label))
    }

    /// Returns the maximum time that the connection may be idle.
    pub const fn idle_limit(&self) -> Duration {
        self.idle_limit
    }

    /// Returns `true` if the upstream has neither closed the idle connection nor sent unsolicited
    /// bytes.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        let read = self.read.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns `true` if the connection can carry another request.
    pub fn is_reusable(&self) -> bool {
        let is_sent = matches!(self.send_state, SendState::Idle(_));
        let has_room = self.turned_away.len() < Self::MAX_TURNED_AWAY;
        let is_complete = self.decoder.is_complete() && self.buffer.is_empty();
        is_sent && self.keeps_alive && is_complete && has_room
    }

    /// Sends a request. A long or streaming body is sent by a separate task, so that an early
    /// answer can be read in the meantime.
    pub async fn send(
        &mut self,
        head: &Bytes,
        body: RequestBody,
        is_chunked: bool,
    ) -> Result<(), SendError> {
        let SendState::Idle(mut write) = std::mem::replace(&mut self.send_state, SendState::Broken)
        else {
            return Err(SendError::NotSent(body));
        };
        let first = with_short_body(head, &body, is_chunked);
        match write.try_write(&first) {
            Ok(count) if count == first.len() => {}
            Ok(count) => {
                if write.write_all(&first[count..]).await.is_err() {
                    return Err(SendError::MaybeSent);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                if write.write_all(&first).await.is_err() {
                    return Err(SendError::MaybeSent);
                }
            }
            Err(_) => return Err(SendError::NotSent(body)),
        }
        if first.len() > head.len() {
            self.send_state = SendState::Idle(write);
            return Ok(());
        }
        let (first, reader) = match body {
            RequestBody::Buffered(bytes) if bytes.is_empty() => {
                self.send_state = SendState::Idle(write);
                return Ok(());
            }
            RequestBody::Buffered(bytes) => (bytes, None),
            RequestBody::Streaming(bytes, reader) => (bytes, Some(reader)),
        };
        let upload = upload(write, first, reader, is_chunked);
        self.send_state = SendState::Uploading(tokio::task::spawn_local(upload));
        Ok(())
    }

    /// Reads the head of the next answer.
    pub async fn read_head(
        &mut self,
        limits: &HeadLimits,
        is_head_request: bool,
    ) -> Result<ResponseHead, ReceiveError> {
        let mut interim_bytes = 0;
        loop {
            let buffered_bytes = self.buffer.len();
            if let Some(head) = ResponseHead::parse(&mut self.buffer, limits, is_head_request)? {
                self.decoder = BodyDecoder::new(head.framing);
                self.keeps_alive = head.keeps_alive;
                self.update_idle_limit(&head);
                return Ok(head);
            }
            // Interim answers are discarded and may come without end.
            interim_bytes += buffered_bytes - self.buffer.len();
            if interim_bytes > limits.max_len_bytes {
                return Err(HttpError::HeadTooLong.into());
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Truncated.into());
            }
        }
    }

    /// Reads the next chunk of the answer's body, or `None` at its end.
    pub async fn next(&mut self, idle_timeout: Duration) -> Result<Option<Bytes>, ReceiveError> {
        loop {
            match self.decoder.decode(&mut self.buffer)? {
                Decoded::Data(bytes) => return Ok(Some(bytes)),
                Decoded::End => {
                    self.reclaim_write_half().await;
                    return Ok(None);
                }
                Decoded::Incomplete => {}
            }
            let fill = tokio::time::timeout(idle_timeout, self.fill()).await;
            if fill.map_err(|_| ReceiveError::IdleTimeout)?? == 0 {
                if self.has_send_failed().await {
                    return Err(ReceiveError::Connection(io::ErrorKind::ConnectionReset.into()));
                }
                self.decoder.on_eof()?;
            }
        }
    }

    /// Reads and discards the rest of an answer's body.
    pub async fn discard_body(&mut self, max_len_bytes: usize) -> Result<(), ReceiveError> {
        let mut len_bytes = 0;
        while let Some(bytes) = self.next(Self::DEFAULT_IDLE_LIMIT).await? {
            len_bytes += bytes.len();
            if len_bytes > max_len_bytes {
                return Err(ReceiveError::TooLong);
            }
        }
        Ok(())
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(Self::READ_BUFFER_BYTES);
        self.read.read_buf(&mut self.buffer).await
    }

    /// Takes the write half back if the request has been sent. If not, the upstream has answered
    /// early and still expects the rest of the body; another request must not take its place, so
    /// the connection is not reused.
    async fn reclaim_write_half(&mut self) {
        if let SendState::Uploading(task) = &mut self.send_state
            && task.is_finished()
        {
            let write = task.await.ok().flatten();
            self.send_state = write.map_or(SendState::Broken, SendState::Idle);
        }
    }

    /// Returns `true` if the request could not be sent. Of a reset, the system informs only one side of
    /// the socket; if the write half was first, the read half sees what looks like an orderly end.
    async fn has_send_failed(&mut self) -> bool {
        self.reclaim_write_half().await;
        matches!(self.send_state, SendState::Broken)
    }

    fn update_idle_limit(&mut self, head: &ResponseHead) {
        let Some(value) = head.field("keep-alive") else { return };
        let text = std::str::from_utf8(value).unwrap_or_default();
        let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        if let Some(seconds) = seconds.and_then(|seconds| seconds.parse().ok()) {
            self.idle_limit = Duration::from_secs(seconds).saturating_sub(Self::IDLE_MARGIN);
        }
    }
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        if let SendState::Uploading(task) = &self.send_state {
            task.abort();
        }
    }
}

/// Returns the head, followed by the whole body if that is short enough for a single write.
fn with_short_body(head: &Bytes, body: &RequestBody, is_chunked: bool) -> Bytes {
    const SHORT_BYTES: usize = 8 * 1024;
    match body {
        RequestBody::Buffered(bytes)
            if !bytes.is_empty() && !is_chunked && bytes.len() <= SHORT_BYTES =>
        {
            let mut joined = BytesMut::with_capacity(head.len() + bytes.len());
            joined.extend_from_slice(head);
            joined.extend_from_slice(bytes);
            joined.freeze()
        }
        _ => head.clone(),
    }
}

/// Sends a body. Returns the write half if the body was sent completely. If the body breaks
/// off, the write half is dropped and the connection ends.
async fn upload(
    mut write: OwnedWriteHalf,
    first: Bytes,
    reader: Option<BodyReader>,
    is_chunked: bool,
) -> Option<OwnedWriteHalf> {
    send_part(&mut write, &first, is_chunked).await?;
    if let Some(mut reader) = reader {
        while let Some(bytes) = reader.next().await.ok()? {
            send_part(&mut write, &bytes, is_chunked).await?;
        }
    }
    if is_chunked {
        write.write_all(LAST_CHUNK).await.ok()?;
    }
    Some(write)
}

async fn send_part(write: &mut OwnedWriteHalf, bytes: &[u8], is_chunked: bool) -> Option<()> {
    if !is_chunked {
        return write.write_all(bytes).await.ok();
    }
    let mut chunk = BytesMut::with_capacity(bytes.len() + 16);
    write_chunk(&mut chunk, bytes);
    write.write_all(&chunk).await.ok()
}

#[cfg(test)]
mod tests;
