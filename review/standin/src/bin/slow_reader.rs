//! A node is stopped as planned while callers read their answers slowly. Checks that every answer
//! is complete that its caller has read within the grace period.

use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standin::call::{connect, request_head};
use review_standin::http::Connection;
use review_standin::is_disrupted;
use review_standin::node::{Machine, Node, Ports};
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::upstream::{Answer, Upstream, whole_answer};

/// Pause of the callers in the middle of their answers; shorter than the grace period of 6 s.
const PAUSE: Duration = Duration::from_millis(3_400);
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Callers with an answer that they have not read when the node is stopped.
const CALLERS: usize = 10;
/// Time in which the node takes over an answer, as far as it has room.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time between the requests of two callers.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(120);
const STEP_BYTES: usize = 2 * 1024;
const MAX_BYTES: usize = 32 * 1024 * 1024;

const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r-photos","host":"a.example","prefix":"/photos/","kind":"download","deadline_ms":20000,"objective_ms":10000,"priority":2,"service":"photos","max_endpoints":2}],
"services":[{"name":"photos","healthPath":"/health"},{"name":"entry","healthPath":"/health"}],
"limits":{"max_head_bytes":16384,"max_body_bytes":1000000,"head_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn photo(len_bytes: usize) -> String {
    "0123456789abcdef".chars().cycle().take(len_bytes).collect()
}

fn machine(index: u8, endpoint: &str, service: &str, ports: Ports) -> Machine {
    let ip = IpAddr::from([127, 0, 78, index]);
    Machine { endpoint: endpoint.into(), service: service.into(), zone: "z-a".into(), ip, ports }
}

/// Sends a request for a photo and reads nothing yet.
fn ask(callers: SocketAddr, attempt: &str, len_bytes: usize) -> std::io::Result<Connection> {
    let mut connection = connect(callers, TIME_LIMIT)?;
    let line = format!("GET /photos/{len_bytes}");
    let head = request_head(&line, "a.example", attempt, TIME_LIMIT);
    connection.stream.write_all(format!("{head}\r\n").as_bytes())?;
    Ok(connection)
}

/// Returns the number of calls for which the node still waits for its peer.
fn calls_in_progress(node: &Node) -> Option<u64> {
    let admin = node.machine.at(node.machine.ports.admin);
    let mut connection = connect(admin, Duration::from_secs(2)).ok()?;
    connection
        .stream
        .write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .ok()?;
    let text = connection.read(true).ok()??.text();
    let line =
        text.lines().find(|line| line.contains("calls_in_progress") && !line.starts_with('#'))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Returns the largest answer that the node takes over from its peer while the caller reads
/// nothing, in steps.
fn largest_taken_over(node: &Node, callers: SocketAddr, record: &Record) -> Option<usize> {
    let (mut taken, mut refused) = (0, MAX_BYTES);
    let mut number = 0;
    while refused - taken > STEP_BYTES {
        let len_bytes = (taken + refused) / 2;
        number += 1;
        let connection = ask(callers, &format!("p{number:05}"), len_bytes).ok()?;
        std::thread::sleep(SETTLE_TIME);
        let is_taken = calls_in_progress(node)? == 0;
        drop(connection);
        std::thread::sleep(Duration::from_millis(50));
        if is_taken { taken = len_bytes } else { refused = len_bytes }
    }
    record.line(format!("the node takes over answers of up to {taken} bytes from its peer"));
    Some(taken)
}

fn run(folder: &Path, record: &Record) -> std::io::Result<Option<bool>> {
    let ports = Ports::free()?;
    let store = Store::start()?;
    store.write("config", "main", MANIFEST);
    let entry = machine(1, "m-1", "entry", ports);
    let photos = machine(2, "m-2", "photos", ports);
    let answer: Arc<Answer> = Arc::new(|request, stream| {
        let len_bytes = request.word(1).rsplit('/').next().and_then(|text| text.parse().ok());
        let answer = whole_answer(request, "s.photos", &photo(len_bytes.unwrap_or(0)));
        stream.write_all(answer.as_bytes())
    });
    let mut nodes = Vec::new();
    for machine in [&entry, &photos] {
        let (service, address) = (&machine.service, machine.at(ports.upstream));
        let instance = format!("i-{service}");
        let upstream = Upstream::start(service, &instance, address, record, Arc::clone(&answer))?;
        upstream.check_in_at(machine.at(ports.registration));
        nodes.push(machine.start(&store, folder, record)?);
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return Ok(None);
    }
    std::thread::sleep(Duration::from_secs(2));
    let callers = entry.at(ports.outbound);
    let Some(taken) = largest_taken_over(&nodes[0], callers, record) else { return Ok(None) };
    let mut open = Vec::new();
    for caller in 0..CALLERS {
        let attempt = format!("a{caller:05}");
        let len_bytes = taken.saturating_sub(caller * STEP_BYTES);
        let connection = ask(callers, &attempt, len_bytes)?;
        std::thread::sleep(ARRIVAL_INTERVAL);
        // A caller whose answer the node has not taken over leaves again.
        if calls_in_progress(&nodes[0]) == Some(0) {
            record.line(format!("attempt {attempt} was sent: GET /photos/{len_bytes}"));
            open.push((attempt, len_bytes, connection));
        }
    }
    if open.is_empty() {
        return Ok(None);
    }
    record.line(format!("calls in progress: {:?}", calls_in_progress(&nodes[0])));
    let stopped_at = Instant::now();
    if is_disrupted() {
        nodes[0].signal("TERM");
    }
    std::thread::sleep(PAUSE);
    let mut lost = 0;
    for (attempt, len_bytes, connection) in &mut open {
        let result = connection.read(false);
        let text = match &result {
            Ok(Some(answer)) if answer.body == photo(*len_bytes).as_bytes() => "whole".to_owned(),
            Ok(Some(answer)) => {
                format!("status {} with {} bytes", answer.status(), answer.body.len())
            }
            Ok(None) => "closed without an answer".to_owned(),
            Err(error) => format!("broke off: {error}"),
        };
        lost += usize::from(text != "whole");
        let at_s = stopped_at.elapsed().as_secs_f64();
        record.line(format!("attempt {attempt}, {at_s:.2} s after the signal: {text}"));
    }
    if let Some(status) = nodes[0].ended() {
        record.line(format!("the node has ended: {status}"));
    }
    record.line(format!("answers that are not complete: {lost} of {}", open.len()));
    Ok(Some(lost == 0))
}

fn main() -> ExitCode {
    review_standin::record::run_case(run)
}
