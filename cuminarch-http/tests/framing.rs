//! Parsing of heads and bodies, complete and in parts.

use bytes::BytesMut;
use cuminarch_http::{
    BodyDecoder, BodyFraming, Decoded, HeadLimits, HttpError, RequestHead, ResponseHead,
    write_chunk,
};
use proptest::prelude::*;
use rstest::rstest;

fn request(text: &str, limits: HeadLimits) -> Result<Option<RequestHead>, HttpError> {
    RequestHead::parse(&mut BytesMut::from(text), &limits)
}

#[rstest]
#[case::two_lengths("content-length: 1\r\ncontent-length: 1\r\n", HttpError::AmbiguousLength)]
#[case::signed_length("content-length: +1\r\n", HttpError::AmbiguousLength)]
#[case::list_of_lengths("content-length: 1, 1\r\n", HttpError::AmbiguousLength)]
#[case::length_beside_chunks(
    "content-length: 1\r\ntransfer-encoding: chunked\r\n",
    HttpError::AmbiguousLength
)]
#[case::other_coding("transfer-encoding: gzip, chunked\r\n", HttpError::UnsupportedTransferCoding)]
#[case::two_codings(
    "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
    HttpError::UnsupportedTransferCoding
)]
#[case::bare_line_feed("a: b\nc: d\r\n", HttpError::Malformed)]
#[case::folded("a: b\r\n c\r\n", HttpError::Malformed)]
#[case::space_before_colon("a : b\r\n", HttpError::Malformed)]
fn ambiguous_requests_are_refused(#[case] fields: &str, #[case] error: HttpError) {
    let strict = HeadLimits::new().with_rejects_length_with_chunked(true);
    let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n");
    assert_eq!(request(&text, strict), Err(error));
}

#[rstest]
#[case::empty("", BodyFraming::Empty)]
#[case::zero("content-length: 0\r\n", BodyFraming::Empty)]
#[case::length("content-length: 12\r\n", BodyFraming::Length(12))]
#[case::chunks("Transfer-Encoding: Chunked\r\n", BodyFraming::Chunked)]
fn framing_of_a_request(#[case] fields: &str, #[case] framing: BodyFraming) {
    let text = format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n");
    assert_eq!(request(&text, HeadLimits::new()).unwrap().unwrap().framing, framing);
}

#[rstest]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\n", false, BodyFraming::UntilClose, false)]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n", false, BodyFraming::Length(3), true)]
#[case::head("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n", true, BodyFraming::Empty, true)]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n", false, BodyFraming::Empty, true)]
#[case::interim(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\n",
    false,
    BodyFraming::Length(1),
    false
)]
fn framing_of_an_answer(
    #[case] text: &str,
    #[case] is_head_request: bool,
    #[case] framing: BodyFraming,
    #[case] keeps_alive: bool,
) {
    let mut buffer = BytesMut::from(text);
    let head = ResponseHead::parse(&mut buffer, &HeadLimits::new(), is_head_request);
    let head = head.unwrap().unwrap();
    assert_eq!((head.framing, head.keeps_alive), (framing, keeps_alive));
    assert!(buffer.is_empty());
}

#[test]
fn a_head_that_is_too_long_is_refused_before_its_end() {
    let limits = HeadLimits::new().with_max_len_bytes(64);
    let text = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(64));
    assert_eq!(request(&text, limits), Err(HttpError::HeadTooLong));
}

#[rstest]
#[case::length(BodyFraming::Length(5), Err(HttpError::Truncated))]
#[case::chunks(BodyFraming::Chunked, Err(HttpError::Truncated))]
#[case::until_close(BodyFraming::UntilClose, Ok(()))]
#[case::empty(BodyFraming::Empty, Ok(()))]
fn the_end_of_the_connection(
    #[case] framing: BodyFraming,
    #[case] expected: Result<(), HttpError>,
) {
    assert_eq!(BodyDecoder::new(framing).on_eof(), expected);
}

/// Decodes a body from parts of a given length. Returns the body and the bytes after it.
fn decode_in_parts(bytes: &[u8], framing: BodyFraming, part: usize) -> (Vec<u8>, Vec<u8>) {
    let mut decoder = BodyDecoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    let mut parts = bytes.chunks(part);
    loop {
        match decoder.decode(&mut buffer).unwrap() {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::End => break,
            Decoded::Incomplete => buffer.extend_from_slice(parts.next().expect("bytes left")),
        }
    }
    let rest = parts.flatten().copied();
    (body, buffer.iter().copied().chain(rest).collect())
}

proptest! {
    #[test]
    fn chunks_survive_any_split(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..8),
        part in 1_usize..50,
    ) {
        let mut bytes = BytesMut::new();
        pieces.iter().for_each(|piece| write_chunk(&mut bytes, piece));
        bytes.extend_from_slice(b"0\r\nx: y\r\n\r\nnext");
        let (body, rest) = decode_in_parts(&bytes, BodyFraming::Chunked, part);
        prop_assert_eq!(body, pieces.concat());
        prop_assert_eq!(rest, b"next");
    }

    #[test]
    fn no_bytes_make_the_parser_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = RequestHead::parse(&mut buffer, &HeadLimits::new());
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = ResponseHead::parse(&mut buffer, &HeadLimits::new(), false);
        let mut buffer = BytesMut::from(&bytes[..]);
        let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
        while let Ok(Decoded::Data(_)) = decoder.decode(&mut buffer) {}
    }
}
