use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

/// A request as a [`RawUpstream`] received it.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Request line and header lines, without line ends.
    pub head: Vec<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Path and query of the request line.
    #[must_use]
    pub fn target(&self) -> &str {
        self.head.first().and_then(|line| line.split(' ').nth(1)).unwrap_or_default()
    }

    /// The first header field of this name.
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

/// Answers one request byte by byte; gets the request's head, and the rest of
/// the connection to read the body from if it did not ask for whole requests.
type RequestHandler =
    dyn Fn(&RawRequest, &mut RawConnection) -> io::Result<ConnectionAction> + Send + Sync;

/// The upstream's end of a connection.
#[derive(Debug)]
pub struct RawConnection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl RawConnection {
    /// Writes bytes as they are.
    ///
    /// # Errors
    ///
    /// Fails when the peer has closed the connection.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Reads the body that the request's head announces, piece by piece.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off.
    pub fn read_body(
        &mut self,
        request: &RawRequest,
        mut piece: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        if request.header("transfer-encoding").is_some() {
            loop {
                let mut line = String::new();
                self.reader.read_line(&mut line)?;
                let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                self.read_exactly(len, &mut piece)?;
                self.reader.read_line(&mut line)?;
                if len == 0 {
                    return Ok(());
                }
            }
        }
        let len = request.header("content-length").and_then(|value| value.parse().ok());
        self.read_exactly(len.unwrap_or(0), &mut piece)
    }

    fn read_exactly(&mut self, mut left: usize, piece: &mut impl FnMut(&[u8])) -> io::Result<()> {
        let mut buffer = vec![0_u8; 64 * 1024];
        while left > 0 {
            let wanted = left.min(buffer.len());
            let count = self.reader.read(&mut buffer[..wanted])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            piece(&buffer[..count]);
            left -= count;
        }
        Ok(())
    }
}

/// An upstream on loopback that answers by a script, also in ways that no HTTP
/// library would: it may break off, stall, or send what it likes.
pub struct RawUpstream {
    address: SocketAddr,
    runs: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl RawUpstream {
    /// Starts an upstream whose script gets whole requests.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub fn start(
        script: impl Fn(&RawRequest, &mut RawConnection) -> io::Result<ConnectionAction>
        + Send
        + Sync
        + 'static,
    ) -> io::Result<Self> {
        Self::start_streaming(move |head, connection| {
            let mut request = head.clone();
            connection.read_body(head, |piece| request.body.extend_from_slice(piece))?;
            script(&request, connection)
        })
    }

    /// Starts an upstream whose script reads the body of the request itself.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub fn start_streaming(
        script: impl Fn(&RawRequest, &mut RawConnection) -> io::Result<ConnectionAction>
        + Send
        + Sync
        + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let runs = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let script: Arc<RequestHandler> = Arc::new(script);
        let (counted, watched) = (Arc::clone(&runs), Arc::clone(&stopped));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if watched.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (script, counted) = (Arc::clone(&script), Arc::clone(&counted));
                thread::spawn(move || serve(stream, &*script, &counted));
            }
        });
        Ok(Self { address, runs, stopped })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests whose head arrived.
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

fn serve(stream: TcpStream, script: &RequestHandler, runs: &AtomicU64) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let reader = BufReader::new(stream.try_clone().ok()?);
    let mut connection = RawConnection { reader, writer: stream };
    loop {
        let request = read_head(&mut connection.reader)?;
        runs.fetch_add(1, Ordering::Relaxed);
        if script(&request, &mut connection).ok()? == ConnectionAction::Close {
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
