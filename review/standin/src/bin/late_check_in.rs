//! An upstream deregisters, its node is killed and starts again, and a check-in that the upstream
//! sent before it left arrives late. Checks that the upstream gets no new requests after that.

use std::io::Write;
use std::net::IpAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use review_standin::call::{call, post};
use review_standin::node::{Machine, Node, Ports};
use review_standin::record::Record;
use review_standin::store::Store;
use review_standin::upstream::{Answer, Upstream, whole_answer};
use review_standin::{is_disrupted, wait_until};

/// Time after an acknowledged departure from which no request may reach the upstream.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after its start from which a machine is in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Delay of the check-in.
const LATENESS: Duration = Duration::from_millis(4_500);
/// Time for which the upstream serves on after the acknowledgement.
const STAY: Duration = Duration::from_secs(9);
const CALLERS: usize = 4;
const TIME_LIMIT: Duration = Duration::from_secs(3);

const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r-parts","host":"a.example","prefix":"/parts/","kind":"unsafe","deadline_ms":3000,"objective_ms":1000,"priority":0,"service":"parts","max_endpoints":3}],
"services":[{"name":"parts","healthPath":"/health"},{"name":"entry","healthPath":"/health"}],
"limits":{"max_head_bytes":16384,"max_body_bytes":1000000,"head_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

fn machine(index: u8, endpoint: &str, service: &str, ports: Ports) -> Machine {
    let ip = IpAddr::from([127, 0, 79, index]);
    Machine { endpoint: endpoint.into(), service: service.into(), zone: "z-a".into(), ip, ports }
}

fn run(folder: &Path, record: &Record) -> std::io::Result<Option<bool>> {
    let ports = Ports::free()?;
    let store = Store::start()?;
    store.write("config", "main", MANIFEST);
    let machines = [
        machine(1, "m-1", "entry", ports),
        machine(2, "m-2", "parts", ports),
        machine(3, "m-3", "parts", ports),
    ];
    let answer: Arc<Answer> = Arc::new(|request, stream| {
        std::thread::sleep(Duration::from_millis(100));
        stream.write_all(whole_answer(request, "s.parts", "done").as_bytes())
    });
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
    for machine in &machines {
        let address = machine.at(ports.upstream);
        let instance = format!("i-{}", machine.endpoint);
        let upstream =
            Upstream::start(&machine.service, &instance, address, record, Arc::clone(&answer))?;
        upstream.check_in_at(machine.at(ports.registration));
        upstreams.push(upstream);
        nodes.push(machine.start(&store, folder, record)?);
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return Ok(None);
    }
    let has_ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (has_ended, record) = (Arc::clone(&has_ended), record.clone());
            let address = machines[0].at(ports.outbound);
            std::thread::spawn(move || {
                for number in 0.. {
                    if has_ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("a{caller:02}{number:05}");
                    let line = format!("POST /parts/{attempt}");
                    let answer = call(address, &line, "a.example", &attempt, TIME_LIMIT, b"order");
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(format!("attempt {attempt} is answered: {status}"));
                }
            })
        })
        .collect();
    let leaving = &upstreams[2];
    let control = machines[2].at(ports.registration);
    let is_used = wait_until(Duration::from_secs(10), || leaving.runs().len() > 20);
    // All machines are in touch when the departure is acknowledged.
    std::thread::sleep(CONTACT_TIME + Duration::from_millis(500));
    let (path, body) = leaving.next_check_in();
    record.line("upstream i-m-3 sends a check-in that arrives late");
    let sent_at = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let is_acknowledged = leaving.deregister(control) == Some(200);
    let acknowledged_at = Instant::now();
    if !is_used || !is_acknowledged {
        return Ok(None);
    }
    let mut in_touch_from = acknowledged_at;
    std::thread::sleep(Duration::from_millis(300));
    if is_disrupted() {
        nodes[2].kill();
        nodes[2] = machines[2].start(&store, folder, record)?;
        in_touch_from = Instant::now() + CONTACT_TIME;
    }
    std::thread::sleep(LATENESS.saturating_sub(sent_at.elapsed()));
    record.line(format!("the late check-in is answered: {:?}", post(control, &path, &body)));
    std::thread::sleep(STAY.saturating_sub(acknowledged_at.elapsed()));
    leaving.end();
    std::thread::sleep(Duration::from_millis(500));
    has_ended.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let forbidden_from = in_touch_from.max(acknowledged_at + DRAIN_TIME);
    let late = leaving.runs().iter().filter(|run| run.at > forbidden_from).count();
    record.line(format!("requests that reached the leaving upstream too late: {late}"));
    Ok(Some(late == 0))
}

fn main() -> ExitCode {
    review_standin::record::run_case(run)
}
