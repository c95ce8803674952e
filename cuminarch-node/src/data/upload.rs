//! Sends a request body over a data link while the answer is awaited.

use std::time::Duration;

use bytes::Bytes;
use cuminarch_protocol::CallFrame;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio_tungstenite::tungstenite::Message;

use super::body::{BodyReader, frame_chunks};
use super::link_pool::LinkSocket;

/// Receiving half of a link during an upload.
pub type UploadStream = SplitStream<LinkSocket>;
type UploadSink = SplitSink<LinkSocket, Message>;

/// A request body being sent. Dropping it aborts the upload.
pub struct Upload {
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<Option<UploadSink>>,
}

impl Upload {
    const STOP_TIMEOUT: Duration = Duration::from_secs(5);

    /// Starts to send `first` and the rest of the body.
    pub fn start(socket: LinkSocket, first: Bytes, reader: BodyReader) -> (Self, UploadStream) {
        let (sink, stream) = socket.split();
        let (stop, stopped) = oneshot::channel();
        let task = tokio::task::spawn_local(run(sink, first, reader, stopped));
        (Self { stop: Some(stop), task }, stream)
    }

    /// Ends the upload, complete or not. Returns the reunited link if it can be used for further
    /// calls.
    pub async fn stop(mut self, stream: UploadStream) -> Option<LinkSocket> {
        drop(self.stop.take());
        let sink = tokio::time::timeout(Self::STOP_TIMEOUT, &mut self.task).await;
        sink.ok()?.ok()??.reunite(stream).ok()
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    mut sink: UploadSink,
    first: Bytes,
    reader: BodyReader,
    stopped: oneshot::Receiver<()>,
) -> Option<UploadSink> {
    let is_sent = tokio::select! {
        biased;
        _ = stopped => None,
        sent = send(&mut sink, first, reader) => Some(sent.is_some()),
    };
    match is_sent {
        Some(true) => Some(sink),
        Some(false) => {
            let _ = sink.close().await;
            None
        }
        None => {
            sink.send(Message::Binary(CallFrame::Cancel.encode().ok()?)).await.ok()?;
            Some(sink)
        }
    }
}

async fn send(sink: &mut UploadSink, first: Bytes, mut reader: BodyReader) -> Option<()> {
    send_part(sink, first).await?;
    while let Some(chunk) = reader.next().await.ok()? {
        send_part(sink, chunk).await?;
    }
    sink.send(Message::Binary(CallFrame::BodyEnd.encode().ok()?)).await.ok()
}

async fn send_part(sink: &mut UploadSink, chunk: Bytes) -> Option<()> {
    for part in frame_chunks(chunk) {
        sink.feed(Message::Binary(CallFrame::Body(part).encode().ok()?)).await.ok()?;
    }
    sink.flush().await.ok()
}
