use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cuminarch_platform::{
    Object, ObjectPath, ObjectStore, ObjectVersion, PlatformError, Precondition,
};
use tiny_http::{Header, Method, Request, Response, Server};

use crate::MemoryStore;

type Answer = Response<io::Cursor<Vec<u8>>>;

/// The platform's object API over HTTP on loopback.
pub struct PlatformServer {
    address: SocketAddr,
    server: Arc<Server>,
    store: MemoryStore,
    threads: Vec<JoinHandle<()>>,
}

impl PlatformServer {
    /// Threads that answer calls; limits the number of waiting watches.
    const WORKER_THREADS: usize = 32;

    /// Starts an empty platform on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn start() -> io::Result<Self> {
        let server = Server::http("127.0.0.1:0").map_err(io::Error::other)?;
        let address = server.server_addr().to_ip().ok_or_else(|| io::Error::other("no address"))?;
        let server = Arc::new(server);
        let store = MemoryStore::new();
        let threads = (0..Self::WORKER_THREADS).map(|_| spawn_worker(&server, &store)).collect();
        Ok(Self { address, server, store, threads })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the store behind the server, for fault injection and inspection.
    #[must_use]
    pub const fn store(&self) -> &MemoryStore {
        &self.store
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        for _ in &self.threads {
            self.server.unblock();
        }
    }
}

fn spawn_worker(server: &Arc<Server>, store: &MemoryStore) -> JoinHandle<()> {
    let server = Arc::clone(server);
    let store = store.clone();
    thread::spawn(move || {
        while let Ok(mut request) = server.recv() {
            let store = store.for_client(header(&request, "User-Agent").unwrap_or_default());
            match answer(&store, &mut request) {
                Some(answer) => drop(request.respond(answer)),
                None => drop(request.into_writer()),
            }
        }
    })
}

/// Returns the answer to a request, or `None` if the answer is to be lost: the worker
/// then closes the connection without writing a byte. (`tiny_http` answers a request
/// that is merely dropped with status 500.)
fn answer(store: &MemoryStore, request: &mut Request) -> Option<Answer> {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let parts = path.strip_prefix("/v1/").and_then(|rest| rest.split_once('/'));
    let Some((kind, path)) = parts else { return Some(status(404)) };
    let Ok(path) = path.parse::<ObjectPath>() else { return Some(status(400)) };
    let result = match (kind, request.method()) {
        ("objects", Method::Get) => get(store, &path),
        ("objects", Method::Put) => put(store, &path, request),
        ("objects", Method::Delete) => {
            store.delete(&path, parse_precondition(request)).map(|()| status(204))
        }
        ("list", Method::Get) => store.list(&path).map(|listing| json(&listing)),
        ("watch", Method::Get) => {
            let after = ObjectVersion::new(query_parameter(query, "after"));
            let timeout = Duration::from_millis(query_parameter(query, "timeout_ms"));
            store.watch(&path, after, timeout).map(|listing| json(&listing))
        }
        _ => return Some(status(405)),
    };
    match result {
        Ok(answer) => Some(answer),
        Err(PlatformError::Conflict { current, .. }) => Some(conflict(current.as_deref())),
        Err(PlatformError::TooLarge { .. }) => Some(status(413)),
        Err(PlatformError::Ambiguous { .. }) => None,
        Err(PlatformError::RateLimited) => Some(status(429)),
        Err(_) => Some(status(503)),
    }
}

fn get(store: &MemoryStore, path: &ObjectPath) -> Result<Answer, PlatformError> {
    Ok(match store.get(path)? {
        None => status(404),
        Some(object) => with_etag(Response::from_string(object.value), object.version),
    })
}

fn put(
    store: &MemoryStore,
    path: &ObjectPath,
    request: &mut Request,
) -> Result<Answer, PlatformError> {
    let mut value = String::new();
    if request.as_reader().read_to_string(&mut value).is_err() {
        return Ok(status(400));
    }
    let version = store.put(path, &value, parse_precondition(request))?;
    Ok(with_etag(status(200), version))
}

/// Returns the answer to a write whose precondition failed, with the current object.
fn conflict(current: Option<&Object>) -> Answer {
    match current {
        None => status(412),
        Some(object) => {
            let answer = Response::from_string(object.value.as_str()).with_status_code(412);
            with_etag(answer, object.version)
        }
    }
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request.headers().iter().find(|header| header.field.equiv(name)).map(|h| h.value.as_str())
}

fn parse_precondition(request: &Request) -> Precondition {
    if header(request, "If-None-Match").is_some() {
        return Precondition::Absent;
    }
    match header(request, "If-Match").and_then(|value| value.trim_matches('"').parse().ok()) {
        Some(version) => Precondition::Version(version),
        None => Precondition::Any,
    }
}

fn query_parameter(query: &str, name: &str) -> u64 {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn status(code: u16) -> Answer {
    Response::from_data(Vec::new()).with_status_code(code)
}

fn json<T: serde::Serialize>(value: &T) -> Answer {
    Response::from_data(serde_json::to_vec(value).unwrap_or_default())
}

fn with_etag(answer: Answer, version: ObjectVersion) -> Answer {
    match Header::from_bytes("ETag", format!("\"{version}\"")) {
        Ok(header) => answer.with_header(header),
        Err(()) => answer,
    }
}
