//! A chain of three services under load, on loopback in one process.
//!
//! Starts a platform test double, two endpoints of each service with real nodes,
//! and callers that retry. The last service of the chain slows down temporarily.
//! Prints progress and a final table; fails if an invariant was violated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch::config::ConfigDocument;
use cuminarch::node::{Node, NodeSettings};
use cuminarch::platform::{HttpObjectStore, ObjectStore, Precondition};
use cuminarch::types::{RequestId, Revision, ServiceName};
use cuminarch_testing::{HttpCaller, PlatformServer, UpstreamBehaviour, UpstreamServer};
use eyre::{Result, ensure};
use tokio::sync::mpsc;

const CHAIN: [&str; 3] = ["katalog", "auftrag", "bildarchiv"];
const ENDPOINTS_PER_SERVICE: usize = 2;
const GRANT_ATTEMPTS: u64 = 32;
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const STEADY_DURATION: Duration = Duration::from_secs(3);
const SLOWDOWN_DURATION: Duration = Duration::from_secs(3);
const RECOVERY_DURATION: Duration = Duration::from_secs(4);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const NORMAL_SERVICE_TIME: Duration = Duration::from_millis(5);
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(400);

const SHEET: &str = "
classes:
  - {name: browse, grant_attempts: 32, deadline_ms: 1000, retry_percent: 10}
  - {name: approval, grant_attempts: 32, deadline_ms: 2000, retry_percent: 10, protected: true}
rules:
  - {class: approval, methods: [POST], path: /approvals/**, idempotent: false}
  - {class: browse, path: /**, idempotent: true}
default_class: browse
";

struct Endpoint {
    node: Node,
    upstream: UpstreamServer,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u64,
    completed: u64,
    refused: u64,
    failed: u64,
    unknown: u64,
    wrong_answers: u64,
}

/// Runs at all upstreams, compared with the answers.
#[derive(Clone, Copy, Debug, Default)]
struct Runs {
    total: u64,
    max_per_request: u64,
    false_refusals: u64,
    duplicate_approvals: u64,
}

#[derive(Debug)]
struct RequestResult {
    target: String,
    is_approval: bool,
    at: Instant,
    outcome: String,
    is_own_answer: bool,
    sends: u32,
}

fn settings(
    service: &str,
    index: usize,
    upstream: SocketAddr,
    platform: SocketAddr,
) -> Result<NodeSettings> {
    let text = format!(
        "fleet: quickstart
endpoint: {service}-{index}
service: {service}
zone: zrh-{zone}
region: ch-central
caller_address: 127.0.0.1:0
egress_address: 127.0.0.1:0
data_address: 127.0.0.1:0
control_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
upstream_address: {upstream}
platform_address: {platform}
",
        zone = if index == 0 { "a" } else { "b" },
    );
    Ok(NodeSettings::parse(&text)?)
}

fn start_endpoints(platform: SocketAddr) -> Result<Vec<Endpoint>> {
    let mut endpoints = Vec::new();
    for (depth, service) in CHAIN.iter().enumerate() {
        for index in 0..ENDPOINTS_PER_SERVICE {
            let behaviour = UpstreamBehaviour::new(NORMAL_SERVICE_TIME).with_slots(40);
            let upstream = UpstreamServer::start(behaviour)?;
            let node = Node::start(settings(service, index, upstream.address(), platform)?)?;
            if let Some(downstream) = CHAIN.get(depth + 1) {
                let downstream: ServiceName = downstream.parse()?;
                let egress = node.egress_address();
                upstream.update(|behaviour| {
                    behaviour.downstream_services = vec![downstream];
                    behaviour.egress_address = Some(egress);
                });
            }
            endpoints.push(Endpoint { node, upstream });
        }
    }
    Ok(endpoints)
}

/// Waits until all nodes list all members and have the configuration in force.
async fn wait_until_ready(endpoints: &[Endpoint]) -> Result<Duration> {
    let started_at = Instant::now();
    let members = format!("\"members\": {}", endpoints.len());
    for endpoint in endpoints {
        let admin = HttpCaller::new(endpoint.node.admin_address());
        loop {
            ensure!(started_at.elapsed() < READY_TIMEOUT, "the nodes did not become ready in time");
            let dump = admin.call("GET", "/dump", &[], Bytes::new()).await?;
            let text = String::from_utf8_lossy(&dump.body);
            if text.contains(&members) && text.contains("\"revision\": 1") {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(started_at.elapsed())
}

async fn send_request(
    caller_address: SocketAddr,
    number: u64,
    done: mpsc::UnboundedSender<RequestResult>,
) {
    let is_approval = number.is_multiple_of(10);
    let (method, target) = if is_approval {
        ("POST", format!("/approvals/{number}"))
    } else {
        ("GET", format!("/patterns/{number}"))
    };
    let root = RequestId::new(u128::from(number) + 1);
    let expected = format!("ran {target} > ran {target} > ran {target}");
    let mut result = RequestResult {
        target: target.clone(),
        is_approval,
        at: Instant::now(),
        outcome: "lost".to_owned(),
        is_own_answer: true,
        sends: 0,
    };
    for send in 1..=3_u32 {
        result.sends = send;
        let headers =
            [("cuminarch-request", root.to_string()), ("cuminarch-send", send.to_string())];
        let call =
            HttpCaller::new(caller_address).call(method, &target, &headers, Bytes::new()).await;
        let Ok(answer) = call else { break };
        result.outcome = answer.header("cuminarch-outcome").unwrap_or("none").to_owned();
        if answer.status == 200 {
            result.is_own_answer = answer.is_complete && answer.body == expected.as_bytes();
            break;
        }
        if result.outcome == "completed" {
            result.outcome = "failed".to_owned();
        }
        if is_approval {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    result.at = Instant::now();
    let _ = done.send(result);
}

async fn run_load(
    endpoints: &[Endpoint],
    stop_at: Instant,
    is_slowed_down: Arc<AtomicBool>,
) -> Vec<RequestResult> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let start = Instant::now();
    let mut ticker = tokio::time::interval(REQUEST_INTERVAL);
    let mut number = 0_u64;
    while Instant::now() < stop_at {
        ticker.tick().await;
        let caller_address =
            endpoints[(number % ENDPOINTS_PER_SERVICE as u64) as usize].node.caller_address();
        tokio::spawn(send_request(caller_address, number, sender.clone()));
        number += 1;
        let elapsed = start.elapsed();
        let is_slow = elapsed > STEADY_DURATION && elapsed < STEADY_DURATION + SLOWDOWN_DURATION;
        if is_slowed_down.swap(is_slow, Ordering::Relaxed) != is_slow {
            let service_time = if is_slow { SLOW_SERVICE_TIME } else { NORMAL_SERVICE_TIME };
            println!(
                "{:>5} ms  service time of the last service: {service_time:?}",
                elapsed.as_millis()
            );
            let last_service = endpoints.len() - ENDPOINTS_PER_SERVICE;
            for endpoint in &endpoints[last_service..] {
                endpoint.upstream.update(|behaviour| behaviour.service_time = service_time);
            }
        }
        if number.is_multiple_of(200) {
            println!("{:>5} ms  {number} requests sent", elapsed.as_millis());
        }
    }
    drop(sender);
    let mut results = Vec::new();
    while let Some(result) = receiver.recv().await {
        results.push(result);
    }
    results
}

fn tally(results: &[RequestResult]) -> Tally {
    let mut tally = Tally::default();
    for result in results {
        tally.requests += 1;
        match result.outcome.as_str() {
            "completed" => tally.completed += 1,
            "not-run" => tally.refused += 1,
            "failed" => tally.failed += 1,
            _ => tally.unknown += 1,
        }
        tally.wrong_answers += u64::from(!result.is_own_answer);
    }
    tally
}

/// Counts the runs of each request and compares them with the outcome reported to the caller.
fn count_runs(endpoints: &[Endpoint], results: &[RequestResult]) -> Runs {
    let mut counted = Runs::default();
    for result in results {
        let runs_of = |endpoint: &Endpoint| endpoint.upstream.runs_for_target(&result.target);
        let total: u64 = endpoints.iter().map(runs_of).sum();
        let first_service: u64 = endpoints[..ENDPOINTS_PER_SERVICE].iter().map(runs_of).sum();
        counted.total += total;
        counted.max_per_request = counted.max_per_request.max(total);
        counted.duplicate_approvals += u64::from(result.is_approval && first_service > 1);
        let is_false_refusal =
            result.outcome == "not-run" && result.sends == 1 && first_service > 0;
        counted.false_refusals += u64::from(is_false_refusal);
    }
    counted
}

/// Returns the time from the end of the slowdown to the last request that did not complete.
fn recovery_time(results: &[RequestResult], slow_ended_at: Instant) -> Duration {
    let failed = results.iter().filter(|result| result.outcome != "completed");
    let last = failed.map(|result| result.at).max().unwrap_or(slow_ended_at);
    last.saturating_duration_since(slow_ended_at)
}

fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let platform = PlatformServer::start()?;
    let document = ConfigDocument {
        revision: Revision::new(1),
        change: "morning".parse()?,
        sheet: SHEET.to_owned(),
    };
    let store = HttpObjectStore::new(platform.address());
    store.put(
        &"config/current".parse()?,
        &serde_json::to_string(&document)?,
        Precondition::Absent,
    )?;
    let endpoints = start_endpoints(platform.address())?;
    println!("started {} nodes; waiting until all of them are ready", endpoints.len());
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let ready_after = runtime.block_on(wait_until_ready(&endpoints))?;
    println!("ready after {} ms", ready_after.as_millis());
    let start = Instant::now();
    let stop_at = start + STEADY_DURATION + SLOWDOWN_DURATION + RECOVERY_DURATION;
    let results = runtime.block_on(run_load(&endpoints, stop_at, Arc::default()));
    let tally = tally(&results);
    let sends: u64 = results.iter().map(|result| u64::from(result.sends)).sum();
    let runs = count_runs(&endpoints, &results);
    println!("\nrequests   {:>6}", tally.requests);
    println!("completed  {:>6}", tally.completed);
    println!("not run    {:>6}", tally.refused);
    println!("failed     {:>6}  (an upstream answered with an error)", tally.failed);
    println!("unknown    {:>6}", tally.unknown);
    println!("sends per request by clients  {:.2}", sends as f64 / tally.requests as f64);
    let mean = runs.total as f64 / tally.requests as f64;
    println!(
        "attempts per request  mean {mean:.2}, max {}, granted {GRANT_ATTEMPTS}",
        runs.max_per_request
    );
    println!(
        "recovery   {:>6} ms",
        recovery_time(&results, start + STEADY_DURATION + SLOWDOWN_DURATION).as_millis()
    );
    for endpoint in endpoints {
        endpoint.node.shutdown();
    }
    ensure!(tally.wrong_answers == 0, "{} answers were wrong or incomplete", tally.wrong_answers);
    ensure!(tally.completed > 0, "no request completed");
    ensure!(runs.max_per_request <= GRANT_ATTEMPTS, "a request made more attempts than granted");
    ensure!(
        runs.duplicate_approvals == 0,
        "{} approvals ran more than once",
        runs.duplicate_approvals
    );
    ensure!(
        runs.false_refusals == 0,
        "{} requests ran but were answered not-run",
        runs.false_refusals
    );
    Ok(())
}
