use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An upstream that answers `GET /<bytes>` with a body of that length and does nothing else.
pub struct MinimalUpstream {
    pub address: SocketAddr,
}

impl MinimalUpstream {
    /// Starts the upstream on a free port, in its own thread.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        thread::Builder::new().name("upstream".to_owned()).spawn(move || serve(listener))?;
        Ok(Self { address })
    }
}

fn serve(listener: TcpListener) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    runtime.block_on(async {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(connection(stream));
        }
    });
}

async fn connection(mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut request = Vec::new();
    let mut answer = Vec::new();
    loop {
        while !request.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut request).await.ok()? == 0 {
                return None;
            }
        }
        let len: usize = std::str::from_utf8(&request)
            .ok()?
            .strip_prefix("GET /")?
            .split(' ')
            .next()?
            .parse()
            .ok()?;
        request.clear();
        answer.clear();
        answer.extend_from_slice(b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n");
        answer.extend_from_slice(format!("content-length: {len}\r\n\r\n").as_bytes());
        answer.resize(answer.len() + len, b'x');
        stream.write_all(&answer).await.ok()?;
    }
}
