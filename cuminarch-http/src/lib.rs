//! Message framing of HTTP/1.1 without I/O, on top of `httparse`.
//!
//! Parses heads and bodies from a buffer that the caller fills, and writes them to a buffer.
//! General-purpose HTTP libraries answer the requests of a connection strictly in order and mistake
//! a late answer for the next one. A node runs such requests concurrently and has to tell answers
//! apart, so it needs the framing alone.
//!
//! ```
//! use bytes::BytesMut;
//! use cuminarch_http::{BodyDecoder, Decoded, HeadLimits, RequestHead};
//!
//! let request = b"PUT /a HTTP/1.1\r\nhost: b\r\ncontent-length: 2\r\n\r\nhi";
//! let mut buffer = BytesMut::from(&request[..]);
//! let head = RequestHead::parse(&mut buffer, &HeadLimits::new())?.expect("a complete head");
//! assert_eq!(head.target, "/a");
//! let mut body = BodyDecoder::new(head.framing);
//! assert_eq!(body.decode(&mut buffer)?, Decoded::Data("hi".into()));
//! assert_eq!(body.decode(&mut buffer)?, Decoded::End);
//! # Ok::<(), cuminarch_http::HttpError>(())
//! ```

mod answer;
mod body;
mod error;
mod fields;
mod framing;
mod head_limits;
mod request;
mod response;
mod write;

pub use answer::check_answer;
pub use body::{BodyDecoder, Decoded};
pub use error::HttpError;
pub use fields::{find_field, has_list_token};
pub use framing::BodyFraming;
pub use head_limits::HeadLimits;
pub use request::RequestHead;
pub use response::ResponseHead;
pub use write::{LAST_CHUNK, write_chunk, write_continue, write_request_head, write_response_head};
