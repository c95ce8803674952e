use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as StdStream};
use std::thread;

use socket2::SockRef;
use tokio::runtime::{Builder, LocalOptions};
use tokio::sync::mpsc;

use super::super::body::BodyItem;
use super::*;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart";
/// Time for a segment to arrive over loopback.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// How an upstream ends its answer while the request is being sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Closed,
    Reset,
}

/// Sends part of an answer without a length as soon as the request begins.
fn answer_early(listener: &TcpListener) -> StdStream {
    let (mut stream, _) = listener.accept().unwrap();
    let mut head = [0; 64];
    assert!(stream.read(&mut head).unwrap() > 0);
    stream.write_all(ANSWER).unwrap();
    stream
}

/// Returns the end of the body of an early answer, read after the upload has met the end of the
/// connection.
fn end_of_early_answer(end: End) -> Result<Option<Bytes>, ReceiveError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = thread::spawn(move || answer_early(&listener));
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.unwrap().block_on(async {
        let stream = TcpStream::connect(address).await.unwrap();
        let mut connection = UpstreamConnection::new(stream);
        let (items, receiver) = mpsc::channel(1);
        let body = RequestBody::unread(BodyReader::new(receiver));
        let head = Bytes::from_static(b"POST / HTTP/1.1\r\ncontent-length: 1000000\r\n\r\n");
        connection.send(&head, body, false).await.unwrap();
        connection.read_head(&HeadLimits::new(), false).await.unwrap();
        let part = connection.next(Duration::from_secs(1)).await.unwrap();
        assert_eq!(part.as_deref(), Some(&b"part"[..]));
        let upstream = upstream.join().unwrap();
        if end == End::Reset {
            SockRef::from(&upstream).set_linger(Some(Duration::ZERO)).unwrap();
            drop(upstream);
            tokio::time::sleep(ARRIVAL_TIME).await;
            // The upload learns of the reset before the answer is read on.
            items.send(BodyItem::Data(Bytes::from_static(b"more"))).await.unwrap();
            tokio::time::sleep(ARRIVAL_TIME).await;
        } else {
            upstream.shutdown(std::net::Shutdown::Write).unwrap();
            tokio::time::sleep(ARRIVAL_TIME).await;
        }
        connection.next(Duration::from_secs(1)).await
    })
}

/// Guards against a reset that the upload learns of first and that the answer then takes for its
/// end.
#[test]
fn an_early_answer_that_is_reset_does_not_end_properly() {
    let end = end_of_early_answer(End::Reset);
    assert!(matches!(end, Err(ReceiveError::Connection(_))), "{end:?}");
}

#[test]
fn an_early_answer_that_is_closed_ends_properly() {
    assert!(matches!(end_of_early_answer(End::Closed), Ok(None)));
}
