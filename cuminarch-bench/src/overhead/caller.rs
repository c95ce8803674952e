use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A keep-alive connection over which one request is sent repeatedly.
pub struct MinimalCaller {
    stream: TcpStream,
    request: Vec<u8>,
    buffer: Vec<u8>,
}

impl MinimalCaller {
    /// Connects, to request answers of `answer_bytes` bytes from `service`.
    pub async fn connect(
        address: SocketAddr,
        service: &str,
        answer_bytes: usize,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let request = format!(
            "GET /{answer_bytes} HTTP/1.1\r\nhost: bench\r\naccept: text/plain\r\n\
             user-agent: cuminarch-bench\r\ncuminarch-service: {service}\r\n\r\n"
        );
        Ok(Self { stream, request: request.into_bytes(), buffer: Vec::with_capacity(32 * 1024) })
    }

    /// Sends the request and reads the whole answer. Returns the time that this took, or `None` if
    /// the status was not 200.
    pub async fn call(&mut self) -> io::Result<Option<Duration>> {
        let begun_at = Instant::now();
        self.stream.write_all(&self.request).await?;
        self.buffer.clear();
        let (head_len, body_len) = loop {
            self.read().await?;
            if let Some(lengths) = lengths(&self.buffer) {
                break lengths;
            }
        };
        while self.buffer.len() < head_len + body_len {
            self.read().await?;
        }
        let is_ok = self.buffer.starts_with(b"HTTP/1.1 200");
        Ok(is_ok.then(|| begun_at.elapsed()))
    }

    async fn read(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

/// Returns the lengths of an answer's head and body, once the head is complete.
fn lengths(bytes: &[u8]) -> Option<(usize, usize)> {
    const NAME: &[u8] = b"content-length: ";
    let head_len = bytes.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let at = bytes[..head_len].windows(NAME.len()).position(|name| name == NAME)? + NAME.len();
    let digits = bytes[at..].split(|byte| *byte == b'\r').next()?;
    Some((head_len, std::str::from_utf8(digits).ok()?.parse().ok()?))
}
