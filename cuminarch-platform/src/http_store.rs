use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use minreq::{Method, Request, Response};

use crate::{
    CallCounter, CallCounts, CallKind, Listing, Object, ObjectPath, ObjectStore, ObjectVersion,
    PlatformError, Precondition,
};

/// HTTP client of the platform.
///
/// Each call opens its own connection and ends within its timeout, which is rounded up to whole
/// seconds.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    base_url: String,
    timeout: Duration,
    user_agent: Option<CompactString>,
    counter: Arc<CallCounter>,
}

impl HttpObjectStore {
    /// Maximum length of a value in bytes.
    pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            base_url: format!("http://{address}/v1"),
            timeout: Self::DEFAULT_TIMEOUT,
            user_agent: None,
            counter: Arc::default(),
        }
    }

    /// Sets the `User-Agent` of the calls.
    #[must_use]
    pub fn with_user_agent(mut self, user_agent: impl Into<CompactString>) -> Self {
        self.user_agent = Some(user_agent.into());
        self
    }

    /// Returns the number of calls so far by this client and its clones, by kind.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.counter.counts()
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn request(&self, method: Method, path_and_query: &str, timeout: Duration) -> Request {
        let round_up_secs = u64::from(timeout.subsec_nanos() > 0);
        let timeout_secs = timeout.as_secs().saturating_add(round_up_secs).max(1);
        let request = Request::new(method, format!("{}{path_and_query}", self.base_url))
            .with_header("Connection", "close")
            .with_timeout(timeout_secs);
        match &self.user_agent {
            Some(user_agent) => request.with_header("User-Agent", user_agent.as_str()),
            None => request,
        }
    }

    fn send_write(
        &self,
        request: Request,
        path: &ObjectPath,
        precondition: Precondition,
    ) -> Result<Response, PlatformError> {
        let request = match precondition {
            Precondition::Any => request,
            Precondition::Absent => request.with_header("If-None-Match", "*"),
            Precondition::Version(version) => {
                request.with_header("If-Match", format!("\"{version}\""))
            }
        };
        self.counter.count(CallKind::Write);
        let response = request.send().map_err(write_error)?;
        match response.status_code {
            200..=299 | 404 => Ok(response),
            412 => Err(self.conflict(path, &response)),
            429 => Err(PlatformError::RateLimited),
            503 if has_status_line(&response) => {
                Err(PlatformError::Unavailable { reason: "status 503".to_owned() })
            }
            status => Err(PlatformError::Ambiguous { reason: format!("status {status}") }),
        }
    }

    /// Creates the error of a failed precondition, with the current object from the answer or from
    /// another call.
    fn conflict(&self, path: &ObjectPath, response: &Response) -> PlatformError {
        let current = match (parse_version(response), body_text(response)) {
            (Ok(version), Ok(value)) => Some(Object { path: path.clone(), version, value }),
            _ => self.get(path).ok().flatten(),
        };
        PlatformError::Conflict { path: path.clone(), current: current.map(Box::new) }
    }
}

impl ObjectStore for HttpObjectStore {
    fn get(&self, path: &ObjectPath) -> Result<Option<Object>, PlatformError> {
        self.counter.count(CallKind::Get);
        let response =
            send_read(self.request(Method::Get, &format!("/objects/{path}"), self.timeout))?;
        if response.status_code == 404 {
            return Ok(None);
        }
        let version = parse_version(&response)?;
        let value = body_text(&response)?;
        Ok(Some(Object { path: path.clone(), version, value }))
    }

    fn put(
        &self,
        path: &ObjectPath,
        value: &str,
        precondition: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        if value.len() > Self::MAX_VALUE_BYTES {
            let max_bytes = Self::MAX_VALUE_BYTES;
            return Err(PlatformError::TooLarge { len_bytes: value.len(), max_bytes });
        }
        let request = self
            .request(Method::Put, &format!("/objects/{path}"), self.timeout)
            .with_body(value.as_bytes());
        let response = self.send_write(request, path, precondition)?;
        parse_version(&response)
            .map_err(|error| PlatformError::Ambiguous { reason: error.to_string() })
    }

    fn delete(&self, path: &ObjectPath, precondition: Precondition) -> Result<(), PlatformError> {
        let request = self.request(Method::Delete, &format!("/objects/{path}"), self.timeout);
        self.send_write(request, path, precondition).map(|_| ())
    }

    fn list(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError> {
        self.counter.count(CallKind::List);
        let path_and_query = format!("/list/{prefix}");
        parse_listing(&send_read(self.request(Method::Get, &path_and_query, self.timeout))?)
    }

    fn watch(
        &self,
        prefix: &ObjectPath,
        after: ObjectVersion,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        self.counter.count(CallKind::Watch);
        let path_and_query =
            format!("/watch/{prefix}?after={after}&timeout_ms={}", timeout.as_millis());
        parse_listing(&send_read(self.request(
            Method::Get,
            &path_and_query,
            timeout + self.timeout,
        ))?)
    }
}

/// Returns the error of a write without an answer. If no connection could be made, nothing was
/// written.
fn write_error(error: minreq::Error) -> PlatformError {
    let reason = error.to_string();
    match error {
        minreq::Error::IoError(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            PlatformError::Unavailable { reason }
        }
        _ => PlatformError::Ambiguous { reason },
    }
}

fn send_read(request: Request) -> Result<Response, PlatformError> {
    let response =
        request.send().map_err(|error| PlatformError::Unavailable { reason: error.to_string() })?;
    match response.status_code {
        200..=299 | 404 => Ok(response),
        429 => Err(PlatformError::RateLimited),
        status => Err(PlatformError::Unavailable { reason: format!("status {status}") }),
    }
}

/// Returns `true` if the answer began with a status line. Without one, for example because the
/// connection was closed early, `minreq` reports status 503 itself.
fn has_status_line(response: &Response) -> bool {
    response.reason_phrase != "Server did not provide a status line"
}

/// Returns the body as text if it is complete.
fn body_text(response: &Response) -> Result<String, PlatformError> {
    let is_length = |name: &str| name.eq_ignore_ascii_case("content-length");
    let length = response.headers.iter().find(|(name, _)| is_length(name));
    let declared_len_bytes = length.and_then(|(_, value)| value.parse::<usize>().ok());
    if declared_len_bytes.is_some_and(|declared| declared != response.as_bytes().len()) {
        return Err(PlatformError::Unavailable { reason: "the answer was cut short".to_owned() });
    }
    response
        .as_str()
        .map(str::to_owned)
        .map_err(|error| PlatformError::Protocol { reason: error.to_string() })
}

fn parse_version(response: &Response) -> Result<ObjectVersion, PlatformError> {
    let is_version = |name: &str| name.eq_ignore_ascii_case("etag");
    let header = response.headers.iter().find(|(name, _)| is_version(name));
    let text = header.map_or("", |(_, value)| value.trim_matches('"'));
    text.parse().map_err(|_| PlatformError::Protocol {
        reason: "the ETag is not an object version".to_owned(),
    })
}

fn parse_listing(response: &Response) -> Result<Listing, PlatformError> {
    if response.status_code == 404 {
        return Ok(Listing::default());
    }
    serde_json::from_str(&body_text(response)?)
        .map_err(|error| PlatformError::Protocol { reason: error.to_string() })
}
