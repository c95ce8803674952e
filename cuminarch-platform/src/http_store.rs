use std::net::SocketAddr;
use std::time::Duration;

use minreq::{Method, Request, Response};

use crate::{Expect, Listing, Object, ObjectPath, ObjectStore, ObjectVersion, PlatformError};

/// Client of the platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    base: String,
    timeout: Duration,
}

impl HttpObjectStore {
    /// Largest value in bytes.
    pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

    /// A client of the platform at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { base: format!("http://{address}/v1"), timeout: Duration::from_secs(2) }
    }

    /// Sets the time that a call may take.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn request(&self, method: Method, tail: &str, timeout: Duration) -> Request {
        let timeout_secs = timeout.as_secs().max(1);
        Request::new(method, format!("{}{tail}", self.base)).with_timeout(timeout_secs)
    }

    fn write(
        &self,
        request: Request,
        path: &ObjectPath,
        expect: Expect,
    ) -> Result<Response, PlatformError> {
        let request = match expect {
            Expect::Any => request,
            Expect::Absent => request.with_header("If-None-Match", "*"),
            Expect::Version(version) => request.with_header("If-Match", format!("\"{version}\"")),
        };
        let response = request
            .send()
            .map_err(|error| PlatformError::Ambiguous { reason: error.to_string() })?;
        match response.status_code {
            200..=299 | 404 => Ok(response),
            412 => {
                let current = self.get(path).ok().flatten().map(Box::new);
                Err(PlatformError::Conflict { path: path.clone(), current })
            }
            429 => Err(PlatformError::RateLimited),
            503 => Err(PlatformError::Unavailable { reason: "status 503".to_owned() }),
            status => Err(PlatformError::Ambiguous { reason: format!("status {status}") }),
        }
    }
}

impl ObjectStore for HttpObjectStore {
    fn get(&self, path: &ObjectPath) -> Result<Option<Object>, PlatformError> {
        let response = read(self.request(Method::Get, &format!("/objects/{path}"), self.timeout))?;
        if response.status_code == 404 {
            return Ok(None);
        }
        let version = version_of(&response)?;
        let value = text_of(&response)?;
        Ok(Some(Object { path: path.clone(), version, value }))
    }

    fn put(
        &self,
        path: &ObjectPath,
        value: &str,
        expect: Expect,
    ) -> Result<ObjectVersion, PlatformError> {
        if value.len() > Self::MAX_VALUE_BYTES {
            let max_bytes = Self::MAX_VALUE_BYTES;
            return Err(PlatformError::TooLarge { len_bytes: value.len(), max_bytes });
        }
        let request = self
            .request(Method::Put, &format!("/objects/{path}"), self.timeout)
            .with_body(value.as_bytes());
        let response = self.write(request, path, expect)?;
        version_of(&response)
    }

    fn delete(&self, path: &ObjectPath, expect: Expect) -> Result<(), PlatformError> {
        let request = self.request(Method::Delete, &format!("/objects/{path}"), self.timeout);
        self.write(request, path, expect).map(|_| ())
    }

    fn list(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError> {
        let tail = format!("/list/{prefix}");
        listing_of(&read(self.request(Method::Get, &tail, self.timeout))?)
    }

    fn watch(
        &self,
        prefix: &ObjectPath,
        after: ObjectVersion,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        let tail = format!("/watch/{prefix}?after={after}&timeout_ms={}", timeout.as_millis());
        listing_of(&read(self.request(Method::Get, &tail, timeout + self.timeout))?)
    }
}

fn read(request: Request) -> Result<Response, PlatformError> {
    let response =
        request.send().map_err(|error| PlatformError::Unavailable { reason: error.to_string() })?;
    match response.status_code {
        200..=299 | 404 => Ok(response),
        429 => Err(PlatformError::RateLimited),
        status => Err(PlatformError::Unavailable { reason: format!("status {status}") }),
    }
}

fn text_of(response: &Response) -> Result<String, PlatformError> {
    response
        .as_str()
        .map(str::to_owned)
        .map_err(|error| PlatformError::Protocol { reason: error.to_string() })
}

fn version_of(response: &Response) -> Result<ObjectVersion, PlatformError> {
    let is_version = |name: &str| name.eq_ignore_ascii_case("etag");
    let header = response.headers.iter().find(|(name, _)| is_version(name));
    let text = header.map_or("", |(_, value)| value.trim_matches('"'));
    text.parse().map_err(|_| PlatformError::Protocol { reason: "no version".to_owned() })
}

fn listing_of(response: &Response) -> Result<Listing, PlatformError> {
    if response.status_code == 404 {
        return Ok(Listing::default());
    }
    serde_json::from_str(&text_of(response)?)
        .map_err(|error| PlatformError::Protocol { reason: error.to_string() })
}
