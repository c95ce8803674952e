use bytes::{Buf, Bytes, BytesMut};

use crate::answer::is_field_line;
use crate::{BodyFraming, HttpError};

/// Result of a step of a [`BodyDecoder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decoded {
    /// More bytes are needed.
    Incomplete,
    /// Part of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    End,
}

/// Incremental decoder of a message body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    trailer_len_bytes: usize,
}

impl BodyDecoder {
    /// Maximum length of a chunk-size line in bytes, including extensions.
    const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
    /// Maximum length of the trailer section in bytes; trailers are discarded.
    const MAX_TRAILER_BYTES: usize = 8 * 1024;

    /// Creates a decoder for the start of a body.
    #[must_use]
    pub const fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty => State::End,
            BodyFraming::Length(len_bytes) => State::Length(len_bytes),
            BodyFraming::Chunked => State::ChunkSize,
            BodyFraming::UntilClose => State::UntilClose,
        };
        Self { state, trailer_len_bytes: 0 }
    }

    /// Returns `true` if the body is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::End | State::Length(0))
    }

    /// Removes the next part of the body from the front of `buffer` and returns it.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is malformed.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, HttpError> {
        loop {
            match self.state {
                State::End | State::Length(0) => {
                    self.state = State::End;
                    return Ok(Decoded::End);
                }
                _ if buffer.is_empty() => return Ok(Decoded::Incomplete),
                State::Length(remaining) => {
                    let data = take(buffer, remaining);
                    self.state = State::Length(remaining - data.len() as u64);
                    return Ok(Decoded::Data(data));
                }
                State::UntilClose => return Ok(Decoded::Data(buffer.split().freeze())),
                State::Chunk(remaining) => {
                    let data = take(buffer, remaining);
                    let remaining = remaining - data.len() as u64;
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkSize => match take_line(buffer, Self::MAX_CHUNK_SIZE_LINE_BYTES)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(line) => {
                        let size = chunk_size(&line)?;
                        self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                    }
                },
                State::ChunkEnd => match take_line(buffer, 0)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(_) => self.state = State::ChunkSize,
                },
                State::Trailer => match take_line(buffer, Self::MAX_TRAILER_BYTES)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(line) if line.is_empty() => self.state = State::End,
                    Some(line) if !is_field_line(&line) => return Err(HttpError::MalformedChunk),
                    Some(line) => {
                        self.trailer_len_bytes += line.len();
                        if self.trailer_len_bytes > Self::MAX_TRAILER_BYTES {
                            return Err(HttpError::MalformedChunk);
                        }
                    }
                },
            }
        }
    }

    /// Handles an orderly end of the connection.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Truncated`] if the body is incomplete.
    pub fn on_eof(&mut self) -> Result<(), HttpError> {
        if self.is_complete() || self.state == State::UntilClose {
            self.state = State::End;
            return Ok(());
        }
        Err(HttpError::Truncated)
    }
}

fn take(buffer: &mut BytesMut, max: u64) -> Bytes {
    let count = usize::try_from(max).unwrap_or(usize::MAX).min(buffer.len());
    buffer.split_to(count).freeze()
}

/// Removes a line of at most `max_len_bytes` from the buffer and returns it without its line
/// ending.
fn take_line(buffer: &mut BytesMut, max_len_bytes: usize) -> Result<Option<Bytes>, HttpError> {
    let Some(end) = memchr::memchr(b'\n', buffer) else {
        let is_too_long = buffer.len() > max_len_bytes + 1;
        return if is_too_long { Err(HttpError::MalformedChunk) } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' || end - 1 > max_len_bytes {
        return Err(HttpError::MalformedChunk);
    }
    let line = buffer.split_to(end - 1).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    if line.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t') {
        return Err(HttpError::MalformedChunk);
    }
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    let is_hex = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    text.and_then(|text| u64::from_str_radix(text, 16).ok()).ok_or(HttpError::MalformedChunk)
}
