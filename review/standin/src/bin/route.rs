//! A node freezes. Meanwhile a machine is lost and its address goes to a machine of another service.
//! Checks that no upstream runs a request of another service.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_standin::call::call;
use review_standin::node::{Machine, Ports};
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::upstream::{Answer, Upstream, whole_answer};
use review_standin::{is_disrupted, wait_until};

/// Time after which the address of an upstream that has ended is used again.
const REUSE_DELAY: Duration = Duration::from_millis(2_500);
/// Duration of the freeze.
const FREEZE: Duration = Duration::from_secs(5);
/// Callers that use the frozen node.
const CALLERS: usize = 40;
const TIME_LIMIT: Duration = Duration::from_secs(3);

const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r-parts","host":"a.example","prefix":"/parts/","kind":"unsafe","deadline_ms":3000,"objective_ms":1000,"priority":0,"service":"parts","max_endpoints":3},
{"name":"r-guides","host":"a.example","prefix":"/guides/","kind":"safe","deadline_ms":3000,"objective_ms":1000,"priority":2,"service":"guides","max_endpoints":3}],
"services":[{"name":"parts","healthPath":"/health"},{"name":"guides","healthPath":"/health"},{"name":"entry","healthPath":"/health"}],
"limits":{"max_head_bytes":16384,"max_body_bytes":1000000,"head_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn answer_of(instance: &str) -> Arc<Answer> {
    let instance = instance.to_owned();
    Arc::new(move |request, stream| {
        use std::io::Write;
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(whole_answer(request, &instance, &instance).as_bytes())
    })
}

/// Sends orders for `parts`.
#[derive(Clone)]
struct Sender {
    callers: SocketAddr,
    record: Record,
}

impl Sender {
    fn send(&self, attempt: &str) {
        self.record.line(format!("attempt {attempt} is sent: POST /parts/{attempt}"));
        let line = format!("POST /parts/{attempt}");
        let answer = call(self.callers, &line, "a.example", attempt, TIME_LIMIT, b"order");
        let text = match answer {
            Ok(answer) => format!("{} {}", answer.status(), answer.text()),
            Err(error) => error.to_string(),
        };
        self.record.line(format!("attempt {attempt} is answered: {text}"));
    }
}

fn machine(index: u8, endpoint: &str, service: &str, zone: &str, ports: Ports) -> Machine {
    let ip = IpAddr::from([127, 0, 77, index]);
    Machine { endpoint: endpoint.into(), service: service.into(), zone: zone.into(), ip, ports }
}

fn run(folder: &Path, record: &Record) -> std::io::Result<Option<bool>> {
    let ports = Ports::free()?;
    let store = Store::start()?;
    store.write("config", "main", MANIFEST);
    let entry = machine(1, "m-1", "entry", "z-a", ports);
    let second = machine(2, "m-2", "parts", "z-a", ports);
    let third = machine(3, "m-3", "parts", "z-a", ports);
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
    for (machine, instance) in [(&entry, "i-entry"), (&second, "i-parts-2"), (&third, "i-parts-3")]
    {
        let address = machine.at(ports.upstream);
        let answer = answer_of(instance);
        let upstream = Upstream::start(&machine.service, instance, address, record, answer)?;
        upstream.check_in_at(machine.at(ports.registration));
        nodes.push(machine.start(&store, folder, record)?);
        upstreams.push(upstream);
    }
    if !nodes.iter().all(review_standin::node::Node::wait_until_ready) {
        return Ok(None);
    }
    let sender = Sender { callers: entry.at(ports.outbound), record: record.clone() };
    let mut number = 0;
    let mut served = std::collections::BTreeSet::new();
    let is_served = wait_until(Duration::from_secs(10), || {
        number += 1;
        sender.send(&format!("a{number:05}"));
        for upstream in &upstreams[1..] {
            if !upstream.runs().is_empty() {
                served.insert(upstream.instance.clone());
            }
        }
        served.len() == 2
    });
    if !is_served {
        return Ok(None);
    }
    let frozen_at = Instant::now();
    if is_disrupted() {
        nodes[0].signal("STOP");
    }
    record.line("machine m-3 is lost");
    upstreams[2].end();
    nodes[2].kill();
    std::thread::sleep(REUSE_DELAY);
    record.line("a machine of another service takes over the address of m-3");
    let successor = Machine { endpoint: "m-4".into(), service: "guides".into(), ..third };
    let address = successor.at(ports.upstream);
    let guides = Upstream::start("guides", "i-guides-4", address, record, answer_of("i-guides-4"))?;
    guides.check_in_at(successor.at(ports.registration));
    nodes.push(successor.start(&store, folder, record)?);
    if !nodes[3].wait_until_ready() {
        return Ok(None);
    }
    let sender = sender.clone();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let sender = sender.clone();
            std::thread::spawn(move || {
                for number in 0..5 {
                    sender.send(&format!("b{caller:02}{number:03}"));
                }
            })
        })
        .collect();
    std::thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if is_disrupted() {
        nodes[0].signal("CONT");
    }
    for caller in callers {
        let _ = caller.join();
    }
    let foreign = guides.runs().iter().filter(|run| run.target.starts_with("/parts/")).count();
    record.line(format!("requests for parts that an upstream of guides ran: {foreign}"));
    Ok(Some(foreign == 0))
}

fn main() -> ExitCode {
    review_standin::record::run_case(run)
}
