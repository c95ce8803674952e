//! An upstream falls silent in the middle of its answers, without closing its connections. Checks
//! that its callers have a final answer half a second after the timeout of the route.

use std::io::Write;
use std::net::IpAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use review_standin::call::{connect, request_head};
use review_standin::is_disrupted;
use review_standin::name;
use review_standin::node::{Machine, Node, Ports};
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::upstream::{Answer, Upstream};

/// Timeout of the route, in the manifest.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after that timeout at which the final answer is due.
const SLACK: Duration = Duration::from_millis(500);
/// Time that the callers wait.
const TIME_LIMIT: Duration = Duration::from_secs(12);
const CALLERS: usize = 24;
/// Unanswered requests from which the rule is broken, and their smallest share.
const MIN_UNANSWERED: usize = 8;
const MIN_SHARE_DIVISOR: usize = 4;
const PART: &[u8] = &[b'p'; 4_000];

const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r-photos","host":"a.example","prefix":"/photos/","kind":"download","deadline_ms":4000,"objective_ms":1500,"priority":2,"service":"photos","max_endpoints":2}],
"services":[{"name":"photos","healthPath":"/health"},{"name":"entry","healthPath":"/health"}],
"limits":{"max_head_bytes":16384,"max_body_bytes":1000000,"head_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn machine(index: u8, endpoint: &str, service: &str, ports: Ports) -> Machine {
    let ip = IpAddr::from([127, 0, 80, index]);
    Machine { endpoint: endpoint.into(), service: service.into(), zone: "z-a".into(), ip, ports }
}

/// Returns an answer in two parts, a second apart. Once `is_silent` is set, no more is written.
fn answer_of(is_silent: &Arc<AtomicBool>) -> Arc<Answer> {
    let is_silent = Arc::clone(is_silent);
    Arc::new(move |request, stream| {
        let id = request.field(name("attempt")).unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s.{id}\r\ncontent-length: {}\r\n\r\n",
            name("attempt"),
            name("stamp"),
            2 * PART.len(),
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(PART)?;
        std::thread::sleep(Duration::from_secs(1));
        while is_silent.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(50));
        }
        stream.write_all(PART)
    })
}

/// Sends a request and returns what the caller had by the time at which a final answer is due, and
/// the time at which the request had ended.
fn ask(entry: &Machine, attempt: &str) -> (Option<Duration>, String) {
    let sent_at = Instant::now();
    let exchange = || {
        let mut connection = connect(entry.at(entry.ports.outbound), TIME_LIMIT)?;
        let line = format!("GET /photos/{attempt}");
        let head = request_head(&line, "a.example", attempt, TIME_LIMIT);
        connection.stream.write_all(format!("{head}\r\n").as_bytes())?;
        connection.read(false)
    };
    match exchange() {
        Ok(Some(answer)) => {
            let text = format!("{} with {} bytes", answer.status(), answer.body.len());
            (Some(sent_at.elapsed()), text)
        }
        Ok(None) => (Some(sent_at.elapsed()), "closed".to_owned()),
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
            (None, format!("nothing more within {TIME_LIMIT:?}"))
        }
        Err(error) => (Some(sent_at.elapsed()), error.to_string()),
    }
}

fn run(folder: &Path, record: &Record) -> std::io::Result<Option<bool>> {
    let ports = Ports::free()?;
    let store = Store::start()?;
    store.write("config", "main", MANIFEST);
    let machines = [
        machine(1, "m-1", "entry", ports),
        machine(2, "m-2", "photos", ports),
        machine(3, "m-3", "photos", ports),
    ];
    let silences: Vec<Arc<AtomicBool>> = machines.iter().map(|_| Arc::default()).collect();
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
    for (machine, is_silent) in machines.iter().zip(&silences) {
        let address = machine.at(ports.upstream);
        let instance = format!("i-{}", machine.endpoint);
        let answer = answer_of(is_silent);
        let upstream = Upstream::start(&machine.service, &instance, address, record, answer)?;
        upstream.check_in_at(machine.at(ports.registration));
        upstreams.push(upstream);
        nodes.push(machine.start(&store, folder, record)?);
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(4));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (entry, record) = (machines[0].clone(), record.clone());
            std::thread::spawn(move || {
                let attempt = format!("a{caller:03}");
                record.line(format!("attempt {attempt} is sent: GET /photos/{attempt}"));
                let (ended_after, text) = ask(&entry, &attempt);
                record.line(format!("attempt {attempt} ended after {ended_after:?}: {text}"));
                ended_after
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    if is_disrupted() {
        record.line("upstream i-m-3 falls silent");
        silences[2].store(true, Ordering::SeqCst);
        // A silent upstream checks in no more.
        upstreams[2].fall_silent();
    }
    let ended: Vec<Option<Duration>> =
        callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
    let is_long = |after: &&Option<Duration>| after.is_none_or(|after| after > ROUTE_TIMEOUT);
    let is_late =
        |after: &&Option<Duration>| after.is_none_or(|after| after > ROUTE_TIMEOUT + SLACK);
    let long = ended.iter().filter(is_long).count();
    let late = ended.iter().filter(is_late).count();
    record.line(format!(
        "requests that lasted longer than the timeout: {long}; without a final answer 0.5 s after it: {late}"
    ));
    Ok(Some(late < MIN_UNANSWERED || late * MIN_SHARE_DIVISOR <= long))
}

fn main() -> ExitCode {
    review_standin::record::run_case(run)
}
