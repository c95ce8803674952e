use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// The answer to one call.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields in order.
    pub headers: Vec<(String, String)>,
    /// The received part of the body.
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

impl CallerAnswer {
    /// Returns the first header field of this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let is_named = |(field, _): &&(String, String)| field.eq_ignore_ascii_case(name);
        self.headers.iter().find(is_named).map(|(_, value)| value.as_str())
    }
}

/// An HTTP/1.1 client that opens a connection for each call.
#[derive(Clone, Copy, Debug)]
pub struct HttpCaller {
    address: SocketAddr,
}

impl HttpCaller {
    /// Creates a caller of the node or upstream at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer head is received.
    pub async fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> io::Result<CallerAnswer> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let connection = tokio::spawn(connection);
        let mut request =
            Request::builder().method(method).uri(target).header("host", self.address.to_string());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body)).map_err(io::Error::other)?;
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        let answer = read_answer(response).await;
        connection.abort();
        Ok(answer)
    }
}

async fn read_answer(response: hyper::Response<hyper::body::Incoming>) -> CallerAnswer {
    let (parts, mut incoming) = response.into_parts();
    let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    let headers =
        parts.headers.iter().map(|(name, value)| (name.to_string(), text(value))).collect();
    let mut answer = CallerAnswer {
        status: parts.status.as_u16(),
        headers,
        body: Vec::new(),
        is_complete: true,
    };
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => {
                if let Some(data) = frame.data_ref() {
                    answer.body.extend_from_slice(data);
                }
            }
            Err(_) => {
                answer.is_complete = false;
                break;
            }
        }
    }
    answer
}
