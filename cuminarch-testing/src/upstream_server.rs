use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use cuminarch_types::ServiceName;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::HttpCaller;

/// How an [`UpstreamServer`] handles each request.
#[derive(Clone, Debug)]
pub struct UpstreamBehaviour {
    /// Time for which a request occupies a slot.
    pub service_time: Duration,
    /// Maximum number of requests served concurrently; the queue of others is unbounded.
    pub slots: usize,
    /// Services called one after another before answering.
    pub downstream_services: Vec<ServiceName>,
    /// Address for outgoing calls at the upstream's node.
    pub egress_address: Option<SocketAddr>,
}

impl UpstreamBehaviour {
    /// Creates a behaviour with this service time, 64 slots and no downstream calls.
    #[must_use]
    pub const fn new(service_time: Duration) -> Self {
        Self { service_time, slots: 64, downstream_services: Vec::new(), egress_address: None }
    }

    /// Sets the number of requests served concurrently.
    #[must_use]
    pub const fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the services called before answering, through the node at `egress_address`.
    #[must_use]
    pub fn with_downstream_services(
        mut self,
        services: Vec<ServiceName>,
        egress_address: SocketAddr,
    ) -> Self {
        self.downstream_services = services;
        self.egress_address = Some(egress_address);
        self
    }
}

#[derive(Debug)]
struct Shared {
    behaviour: Mutex<UpstreamBehaviour>,
    slots: Semaphore,
    runs: AtomicU64,
    runs_by_target: Mutex<BTreeMap<String, u64>>,
    keys_received: AtomicU64,
}

/// An upstream on loopback. Its answer contains the request's target, which lets a
/// caller detect the answer to another request.
#[derive(Debug)]
pub struct UpstreamServer {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl UpstreamServer {
    /// Starts an upstream on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    pub fn start(behaviour: UpstreamBehaviour) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let slots = Semaphore::new(behaviour.slots);
        let shared = Arc::new(Shared {
            behaviour: Mutex::new(behaviour),
            slots,
            runs: AtomicU64::new(0),
            runs_by_target: Mutex::default(),
            keys_received: AtomicU64::new(0),
        });
        let server_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("upstream".to_owned())
            .spawn(move || serve(listener, &server_shared))?;
        Ok(Self { address, shared })
    }

    /// Returns the address on which the upstream listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that were started.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.shared.runs.load(Ordering::Relaxed)
    }

    /// Returns the number of requests for `target` that were started.
    #[must_use]
    pub fn runs_for_target(&self, target: &str) -> u64 {
        let runs = self.shared.runs_by_target.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(target).copied().unwrap_or(0)
    }

    /// Returns the number of requests that carried a key of a client account.
    #[must_use]
    pub fn keys_received(&self) -> u64 {
        self.shared.keys_received.load(Ordering::Relaxed)
    }

    /// Changes the behaviour for later requests, except the number of slots.
    pub fn update(&self, change: impl FnOnce(&mut UpstreamBehaviour)) {
        change(&mut self.shared.behaviour.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

fn serve(listener: std::net::TcpListener, shared: &Arc<Shared>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    runtime.block_on(async move {
        let Ok(listener) = TcpListener::from_std(listener) else { return };
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, Arc::clone(shared)));
        }
    });
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(request, Arc::clone(&shared)));
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let behaviour = shared.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let token = request.headers().get("cuminarch-request").cloned();
    let has_key = request.headers().contains_key("authorization");
    shared.keys_received.fetch_add(u64::from(has_key), Ordering::Relaxed);
    let _ = request.into_body().collect().await;
    shared.runs.fetch_add(1, Ordering::Relaxed);
    count_run(&shared, &target);
    let permit = shared.slots.acquire().await;
    tokio::time::sleep(behaviour.service_time).await;
    drop(permit);
    let mut body = format!("ran {target}");
    for service in &behaviour.downstream_services {
        let Some(egress_address) = behaviour.egress_address else { break };
        let mut headers = vec![("cuminarch-service", service.to_string())];
        if let Some(token) = token.as_ref().and_then(|token| token.to_str().ok()) {
            headers.push(("cuminarch-request", token.to_owned()));
        }
        match HttpCaller::new(egress_address).call("GET", &target, &headers, Bytes::new()).await {
            Ok(answer) if answer.status == 200 && answer.is_complete => {
                body.push_str(&format!(" > {}", String::from_utf8_lossy(&answer.body)));
            }
            _ => return Ok(text_response(StatusCode::BAD_GATEWAY, format!("{service} failed"))),
        }
    }
    Ok(text_response(StatusCode::OK, body))
}

fn count_run(shared: &Shared, target: &str) {
    let mut runs = shared.runs_by_target.lock().unwrap_or_else(PoisonError::into_inner);
    *runs.entry(target.to_owned()).or_default() += 1;
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
