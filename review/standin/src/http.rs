//! HTTP/1.1 messages over a blocking connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    #[must_use]
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of an answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read but not consumed.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    #[must_use]
    pub const fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 64 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn fill_more(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill_more()?;
        }
    }

    fn take_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill_more()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head, or returns `None` if the peer has closed the connection before it.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or ends within the head.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let mut message = Message { first_line: self.take_line()?, ..Message::default() };
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else { return Ok(Some(message)) };
            message.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads a message; `has_until_close` lets a body without a length end with the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or ends within the message.
    pub fn read(&mut self, has_until_close: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        let is_chunked = message.field("transfer-encoding").is_some();
        message.body = match length {
            Some(length) => self.take_bytes(length)?,
            None if is_chunked => self.read_chunks()?,
            None if message.status() / 100 == 1 => Vec::new(),
            None if has_until_close => {
                while self.fill()? > 0 {}
                std::mem::take(&mut self.buffer)
            }
            None => Vec::new(),
        };
        Ok(Some(message))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.take_bytes(size)?);
            self.take_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads some bytes, `max` at most.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or ends.
    pub fn some_bytes(&mut self, max: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() {
            self.fill_more()?;
        }
        let count = max.min(self.buffer.len());
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a line without its ending.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or ends.
    pub fn some_line(&mut self) -> io::Result<String> {
        self.take_line()
    }

    /// Writes a message with its length.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub fn write(&mut self, line: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{line}\r\n").into_bytes();
        for (name, value) in fields {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
