use std::fmt::Write;

use bytes::BytesMut;
use cuminarch_protocol::HeaderField;
use http::StatusCode;

/// Zero-sized last chunk and empty trailer section, which end a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes the head of a request.
pub fn write_request_head(
    buffer: &mut BytesMut,
    method: &str,
    target: &str,
    fields: &[HeaderField],
) {
    buffer.extend_from_slice(method.as_bytes());
    buffer.extend_from_slice(b" ");
    buffer.extend_from_slice(target.as_bytes());
    buffer.extend_from_slice(b" HTTP/1.1\r\n");
    write_fields(buffer, fields);
}

/// Writes the head of an answer.
pub fn write_response_head(buffer: &mut BytesMut, status: u16, fields: &[HeaderField]) {
    let known = StatusCode::from_u16(status).ok();
    let reason = known.and_then(|known| known.canonical_reason()).unwrap_or("Unknown");
    // Writing to memory cannot fail.
    let _ = write!(buffer, "HTTP/1.1 {status} {reason}\r\n");
    write_fields(buffer, fields);
}

/// Writes the interim answer `100 Continue`.
pub fn write_continue(buffer: &mut BytesMut) {
    buffer.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
}

/// Writes a chunk; empty data is skipped, because an empty chunk would end the body.
pub fn write_chunk(buffer: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    let _ = write!(buffer, "{:x}\r\n", data.len());
    buffer.extend_from_slice(data);
    buffer.extend_from_slice(b"\r\n");
}

fn write_fields(buffer: &mut BytesMut, fields: &[HeaderField]) {
    for field in fields {
        buffer.extend_from_slice(field.name.as_bytes());
        buffer.extend_from_slice(b": ");
        buffer.extend_from_slice(&field.value);
        buffer.extend_from_slice(b"\r\n");
    }
    buffer.extend_from_slice(b"\r\n");
}
