use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// A request as a [`RawUpstream`] received it.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Request line and header lines, without line ends.
    pub head: Vec<String>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Returns path and query of the request line.
    #[must_use]
    pub fn target(&self) -> &str {
        self.head.first().and_then(|line| line.split(' ').nth(1)).unwrap_or_default()
    }

    /// Returns the first header field of this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.iter().skip(1).find_map(|line| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

/// What to do with the connection after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAction {
    /// Read the next request.
    KeepAlive,
    /// Close the connection.
    Close,
}

/// Answers one request with raw bytes. With [`RawUpstream::start_streaming`] the request
/// has a head only, and the handler reads the body from the connection.
type RequestHandler =
    dyn Fn(&RawRequest, &mut RawConnection) -> io::Result<ConnectionAction> + Send + Sync;

/// The upstream's end of a connection.
#[derive(Debug)]
pub struct RawConnection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    last_written: Vec<u8>,
}

impl RawConnection {
    /// Writes once more what was written last.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer has closed the connection.
    pub fn repeat(&mut self) -> io::Result<()> {
        self.writer.write_all(&self.last_written)
    }

    /// Writes raw bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer has closed the connection.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.last_written = bytes.to_vec();
        self.writer.write_all(bytes)
    }

    /// Resets the connection when the handler closes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket does not take the option.
    pub fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(&self.writer).set_linger(Some(Duration::ZERO))
    }

    /// Reads the body declared in the request's head and calls `on_data` with each piece.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated.
    pub fn read_body(
        &mut self,
        request: &RawRequest,
        mut on_data: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        if request.header("transfer-encoding").is_some() {
            loop {
                let mut line = String::new();
                self.reader.read_line(&mut line)?;
                let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                self.read_exactly(len, &mut on_data)?;
                self.reader.read_line(&mut line)?;
                if len == 0 {
                    return Ok(());
                }
            }
        }
        let len = request.header("content-length").and_then(|value| value.parse().ok());
        self.read_exactly(len.unwrap_or(0), &mut on_data)
    }

    fn read_exactly(
        &mut self,
        mut remaining: usize,
        on_data: &mut impl FnMut(&[u8]),
    ) -> io::Result<()> {
        let mut buffer = vec![0_u8; 64 * 1024];
        while remaining > 0 {
            let wanted = remaining.min(buffer.len());
            let count = self.reader.read(&mut buffer[..wanted])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            on_data(&buffer[..count]);
            remaining -= count;
        }
        Ok(())
    }
}

/// An upstream on loopback whose handler writes raw bytes, to test answers that no HTTP
/// library sends: truncated, stalled or malformed ones.
pub struct RawUpstream {
    address: SocketAddr,
    runs: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl RawUpstream {
    /// Starts an upstream whose handler receives complete requests.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn start(
        handler: impl Fn(&RawRequest, &mut RawConnection) -> io::Result<ConnectionAction>
        + Send
        + Sync
        + 'static,
    ) -> io::Result<Self> {
        Self::start_streaming(move |head, connection| {
            let mut request = head.clone();
            connection.read_body(head, |piece| request.body.extend_from_slice(piece))?;
            handler(&request, connection)
        })
    }

    /// Starts an upstream whose handler reads the body of the request itself.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn start_streaming(
        handler: impl Fn(&RawRequest, &mut RawConnection) -> io::Result<ConnectionAction>
        + Send
        + Sync
        + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let runs = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let handler: Arc<RequestHandler> = Arc::new(handler);
        let (run_counter, stop_flag) = (Arc::clone(&runs), Arc::clone(&stopped));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stop_flag.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (handler, run_counter) = (Arc::clone(&handler), Arc::clone(&run_counter));
                thread::spawn(move || serve(stream, &*handler, &run_counter));
            }
        });
        Ok(Self { address, runs, stopped })
    }

    /// Returns the address on which the upstream listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests whose head was received.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }
}

impl Drop for RawUpstream {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(stream: TcpStream, handler: &RequestHandler, runs: &AtomicU64) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let reader = BufReader::new(stream.try_clone().ok()?);
    let mut connection = RawConnection { reader, writer: stream, last_written: Vec::new() };
    loop {
        let request = read_head(&mut connection.reader)?;
        runs.fetch_add(1, Ordering::Relaxed);
        if handler(&request, &mut connection).ok()? == ConnectionAction::Close {
            return Some(());
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<RawRequest> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(RawRequest { head, body: Vec::new() });
        }
        head.push(line.to_owned());
    }
}
