//! An upstream: serves requests beside its node and checks in there.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::call::post;
use crate::http::{Connection, Message};
use crate::name;
use crate::record::Record;

/// A request that the upstream ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub caller: String,
}

/// Answers a request after it was recorded as run.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> std::io::Result<()> + Send + Sync;

/// One lifetime of an upstream.
#[derive(Clone)]
pub struct Upstream {
    pub service: String,
    pub instance: String,
    pub address: SocketAddr,
    born_ms: u64,
    sequence: Arc<AtomicU64>,
    is_draining: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    has_deregistered: Arc<AtomicBool>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

/// Returns the head and the body of a complete answer.
#[must_use]
pub fn whole_answer(request: &Message, stamp: &str, body: &str) -> String {
    let id = request.field(name("attempt")).unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: {stamp}\r\ncontent-length: {}\r\n\r\n{body}",
        name("attempt"),
        name("stamp"),
        body.len(),
    )
}

impl Upstream {
    /// Interval between two check-ins.
    pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

    /// Starts an upstream at an address, without check-ins.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn start(
        service: &str,
        instance: &str,
        address: SocketAddr,
        record: &Record,
        answer: Arc<Answer>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let upstream = Self {
            service: service.to_owned(),
            instance: instance.to_owned(),
            address,
            born_ms: u64::try_from(born_ms).unwrap_or(0),
            sequence: Arc::default(),
            is_draining: Arc::default(),
            has_ended: Arc::default(),
            has_deregistered: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        record.line(format!("upstream {instance} of {service} starts at {address}"));
        let server = upstream.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let (server, answer) = (server.clone(), Arc::clone(&answer));
                std::thread::spawn(move || server.serve(stream, &*answer));
            }
        });
        Ok(upstream)
    }

    /// Ends the upstream as a crash does: its address refuses connections.
    pub fn end(&self) {
        self.record.line(format!("upstream {} of {} ends", self.instance, self.service));
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.address));
    }

    /// Stops the check-ins; the connections stay open.
    pub fn fall_silent(&self) {
        self.has_deregistered.store(true, Ordering::SeqCst);
    }

    fn has_left(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst) || self.has_deregistered.load(Ordering::SeqCst)
    }

    /// Returns the requests that have run.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Checks in at the node at `control` from now on, until the upstream ends.
    pub fn check_in_at(&self, control: SocketAddr) {
        let upstream = self.clone();
        std::thread::spawn(move || {
            while !upstream.has_left() {
                // Without an acknowledgement, the next check-in follows soon.
                let is_known = upstream.check_in(control) == Some(200);
                let wait = if is_known { Self::HEARTBEAT } else { Duration::from_millis(100) };
                std::thread::sleep(wait);
            }
        });
    }

    /// Sends one check-in and returns the status of the answer.
    #[must_use]
    pub fn check_in(&self, control: SocketAddr) -> Option<u16> {
        let (path, body) = self.next_check_in();
        post(control, &path, &body)
    }

    /// Returns the path and the body of a check-in that is sent now or later.
    #[must_use]
    pub fn next_check_in(&self) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let Self { service, instance, address, born_ms, .. } = self;
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"z-a","version":"v1","slots":100,"state":"{state}","{}":0,"sequence":{sequence},"born":{born_ms}}}"#,
            name("warm_up"),
        );
        (format!("/instances/{instance}/heartbeat"), body)
    }

    /// Reports that the upstream leaves, after which it checks in no more. Returns the status of the
    /// answer.
    #[must_use]
    pub fn deregister(&self, control: SocketAddr) -> Option<u16> {
        self.has_deregistered.store(true, Ordering::SeqCst);
        let body = format!(r#"{{"born":{}}}"#, self.born_ms);
        let status = post(control, &format!("/instances/{}/deregister", self.instance), &body);
        self.record.line(format!("upstream {} deregisters: {status:?}", self.instance));
        status
    }

    /// Reports with the next check-in that the upstream is leaving.
    pub fn begin_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream, answer: &Answer) {
        let _ = stream.set_nodelay(true);
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(false) {
            if self.has_ended.load(Ordering::SeqCst)
                || self.reply(&request, &mut connection, answer).is_err()
            {
                return;
            }
        }
    }

    fn reply(
        &self,
        request: &Message,
        connection: &mut Connection,
        answer: &Answer,
    ) -> std::io::Result<()> {
        let target = request.field(name("target"));
        let attempt = request.field(name("attempt")).unwrap_or_default().to_owned();
        if target.is_some_and(|target| target != self.instance) {
            let fields = [(name("attempt"), attempt.as_str()), (name("not_executed"), "1")];
            return connection.write("HTTP/1.1 421 Misdirected Request", &fields, b"");
        }
        let run = Run {
            at: Instant::now(),
            attempt,
            method: request.word(0).to_owned(),
            target: request.word(1).to_owned(),
            body: request.body.clone(),
            caller: request.field(name("caller")).unwrap_or_default().to_owned(),
        };
        self.record.line(format!(
            "upstream {} of {} runs attempt {}: {} {}",
            self.instance, self.service, run.attempt, run.method, run.target
        ));
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
        answer(request, &mut connection.stream)?;
        connection.stream.flush()
    }
}
