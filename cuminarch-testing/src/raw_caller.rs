use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use socket2::{Domain, Socket, Type};

use crate::{LIVENESS_TIMEOUT, RawAnswer};

/// The caller's end of a connection: writes requests as raw bytes and parses answers
/// strictly. For tests: panics if the connection fails.
#[derive(Debug)]
pub struct RawCaller {
    /// The connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    common_fields: Vec<String>,
}

impl RawCaller {
    /// Size of the read buffer.
    const READ_BUFFER_BYTES: usize = 64 * 1_024;

    /// Connects to a node or upstream.
    ///
    /// # Panics
    ///
    /// Panics if the connection cannot be opened.
    #[must_use]
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("failed to connect"))
    }

    /// Connects with a receive buffer of about this size, so that answers wait at the sender.
    ///
    /// # Panics
    ///
    /// Panics if the connection cannot be opened.
    #[must_use]
    pub fn connect_with_window(address: SocketAddr, window_bytes: usize) -> Self {
        let open = || {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
            socket.set_recv_buffer_size(window_bytes)?;
            socket.connect(&address.into())?;
            std::io::Result::Ok(TcpStream::from(socket))
        };
        Self::new(open().expect("failed to connect"))
    }

    fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(LIVENESS_TIMEOUT))
            .expect("the read timeout must be above zero");
        stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
        Self { stream, buffer: Vec::new(), common_fields: Vec::new() }
    }

    /// Adds a header field to all requests.
    #[must_use]
    pub fn with_field(mut self, field: &str) -> Self {
        self.common_fields.push(field.to_owned());
        self
    }

    /// Sends a request; adds `HTTP/1.1`, the content length, and a host field if there is none.
    ///
    /// # Panics
    ///
    /// Panics if the connection breaks.
    pub fn send(&mut self, request_line: &str, fields: &[&str], body: &[u8]) {
        let mut text = format!("{request_line} HTTP/1.1\r\n");
        if !fields.iter().any(|field| field.starts_with("host:")) {
            text.push_str("host: test\r\n");
        }
        for field in self.common_fields.iter().map(String::as_str).chain(fields.iter().copied()) {
            text.push_str(field);
            text.push_str("\r\n");
        }
        if !body.is_empty() {
            text.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        self.stream
            .write_all(&[text.as_bytes(), body].concat())
            .expect("failed to send the request");
    }

    /// Reads one answer.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends within the head.
    pub fn read(&mut self) -> RawAnswer {
        let mut answer = self.read_head();
        if matches!(answer.status, 100 | 204 | 304) {
            return answer;
        }
        let length = answer.header("content-length").and_then(|value| value.parse().ok());
        if let Some(length) = length {
            answer.is_complete = self.read_exactly(length, &mut answer.body);
        } else if answer.header("transfer-encoding") == Some("chunked") {
            answer.is_complete = self.read_chunks(&mut answer.body);
        } else {
            while self.fill_buffer() {}
            answer.body = std::mem::take(&mut self.buffer);
        }
        answer
    }

    /// Reads an answer without a body, whatever its head declares (answers to `HEAD`).
    ///
    /// # Panics
    ///
    /// Panics if the connection ends within the head.
    pub fn read_head(&mut self) -> RawAnswer {
        let mut head = Vec::new();
        loop {
            let line = self.read_line().expect("the connection ended within the answer head");
            if line.is_empty() {
                break;
            }
            head.push(line);
        }
        let status = head.first().and_then(|line| line.split(' ').nth(1));
        let status = status.and_then(|status| status.parse().ok()).expect("invalid status line");
        RawAnswer { status, head, body: Vec::new(), is_complete: true }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill_buffer() {
                return None;
            }
        }
    }

    fn read_exactly(&mut self, length: usize, body: &mut Vec<u8>) -> bool {
        let end = body.len() + length;
        loop {
            let count = self.buffer.len().min(end - body.len());
            body.extend(self.buffer.drain(..count));
            if body.len() == end {
                return true;
            }
            if !self.fill_buffer() {
                return false;
            }
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.read_line() else { return false };
            let Ok(length) = usize::from_str_radix(&line, 16) else { return false };
            if !self.read_exactly(length, body) || self.read_line().is_none() {
                return false;
            }
            if length == 0 {
                return true;
            }
        }
    }

    /// Reads more bytes into the buffer. Returns `false` at the end of the connection and on
    /// errors: the answer is incomplete then.
    fn fill_buffer(&mut self) -> bool {
        let mut bytes = [0_u8; Self::READ_BUFFER_BYTES];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }
}
