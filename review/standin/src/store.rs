//! The platform's store: objects by kind and name, conditional writes, listings and watches.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{Json, quoted};
use crate::name;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Default)]
struct Content {
    objects: BTreeMap<(String, String), Object>,
    /// Latest changes: revision, kind, name, object.
    history: VecDeque<(u64, String, String, Object)>,
    revision: u64,
    is_silent: bool,
}

/// The store on loopback.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    /// Changes that a watch can catch up with.
    const HISTORY: usize = 4_096;

    /// Starts the store on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let content = Content { revision: 10, ..Content::default() };
        let content = Arc::new((Mutex::new(content), Condvar::new()));
        let store = Self { address: listener.local_addr()?, content };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Makes the store accept connections without answering, or answer again.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.content.1.notify_all();
    }

    /// Writes an object, as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        self.lock().write(kind, name, spec);
        self.content.1.notify_all();
    }

    /// Returns the `spec` of all objects of a kind.
    #[must_use]
    pub fn specs(&self, kind: &str) -> Vec<String> {
        let content = self.lock();
        let of_kind = content.objects.iter().filter(|((found, _), _)| found == kind);
        of_kind.map(|(_, object)| object.spec.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(false) {
            let mut content = self.lock();
            while content.is_silent {
                let waited = self.content.1.wait_timeout(content, Duration::from_secs(1));
                let Ok((next, timeout)) = waited else { return };
                content = next;
                if timeout.timed_out() && content.is_silent {
                    continue;
                }
                if !content.is_silent {
                    // The call got no answer in time; its caller has given up.
                    return;
                }
            }
            drop(content);
            let (status, body) = self.execute(&request);
            let line = format!("HTTP/1.1 {status} Status");
            let fields = [("content-type", "application/json"), (name("era"), "1")];
            if connection.write(&line, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn execute(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let mut parts = path.trim_start_matches('/').splitn(3, '/');
        let (Some("objects"), Some(kind)) = (parts.next(), parts.next()) else {
            return (404, "{}".to_owned());
        };
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let body_name = || body.field("metadata")?.field("name")?.text().map(str::to_owned);
        match (request.word(0), parts.next()) {
            ("GET", None) => match parameter(query, "watch").and_then(|text| text.parse().ok()) {
                Some(after) => self.watch(kind, after, query),
                None => self.list(kind, parameter(query, "after").unwrap_or_default()),
            },
            ("GET", Some(name)) => {
                let content = self.lock();
                let found = content.objects.get(&(kind.to_owned(), name.to_owned()));
                found.map_or((404, "{}".to_owned()), |object| (200, object.to_json(name)))
            }
            ("POST", None) => match body_name() {
                Some(name) => self.put(kind, &name, &body, true),
                None => (400, "{}".to_owned()),
            },
            ("PUT", Some(name)) => self.put(kind, name, &body, false),
            _ => (405, "{}".to_owned()),
        }
    }

    fn put(&self, kind: &str, name: &str, body: &Json, is_new: bool) -> (u16, String) {
        let mut content = self.lock();
        let held = content.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let expected = body.field("metadata").and_then(|found| found.field("revision")?.number());
        match held {
            None if !is_new => return (404, "{}".to_owned()),
            Some(held) if is_new || expected.is_some_and(|expected| expected != held.revision) => {
                return (409, held.to_json(name));
            }
            _ => {}
        }
        let spec = body.field("spec").unwrap_or(&Json::Null).to_string();
        let object = content.write(kind, name, &spec);
        drop(content);
        self.content.1.notify_all();
        (200, object.to_json(name))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let content = self.lock();
        let of_kind = content.objects.iter();
        let of_kind = of_kind.filter(|((found, name), _)| found == kind && name.as_str() > after);
        let items: Vec<String> = of_kind.map(|((_, name), object)| object.to_json(name)).collect();
        let (items, revision) = (items.join(","), content.revision);
        (200, format!(r#"{{"items":[{items}],"hasMore":false,"atRev":{revision}}}"#))
    }

    fn watch(&self, kind: &str, after: u64, query: &str) -> (u16, String) {
        let wait_ms = parameter(query, "waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let ends_at = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.lock();
        loop {
            let later =
                content.history.iter().filter(|(at, found, ..)| *at > after && found == kind);
            let events: Vec<String> = later
                .map(|(_, _, name, object)| {
                    format!(r#"{{"deleted":false,"object":{}}}"#, object.to_json(name))
                })
                .collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), content.revision);
                return (200, format!(r#"{{"events":[{events}],"atRev":{revision}}}"#));
            }
            let waited = self.content.1.wait_timeout(content, left);
            content = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Content {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(self.revision, |held| held.created);
        let object = Object { revision: self.revision, created, spec: spec.to_owned() };
        self.objects.insert(key, object.clone());
        self.history.push_back((self.revision, kind.to_owned(), name.to_owned(), object.clone()));
        if self.history.len() > Store::HISTORY {
            self.history.pop_front();
        }
        object
    }
}

impl Object {
    fn to_json(&self, name: &str) -> String {
        let Self { revision, created, spec } = self;
        let name = quoted(name);
        format!(
            r#"{{"metadata":{{"name":{name},"revision":{revision},"createdRev":{created},"finalizers":[],"deleteRequested":false}},"spec":{spec},"status":null}}"#
        )
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}
