//! Measures memory and processor time of a node at several sizes, with slopes.
//!
//! Objects built for a measurement are never freed; otherwise a later measurement would reuse their
//! memory and show too little growth. The figures are differences of the process's resident memory,
//! so they vary slightly between runs and have no bounds.

mod idle;
mod memory;
mod slope;

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::Policy;
use cuminarch_engine::{Arrival, Engine, EngineSettings, Event};
use cuminarch_node::{Node, NodeSettings};
use cuminarch_once::{KeyResult, KeyTable, KeyTableSettings, RequestFingerprint, StoredAnswer};
use cuminarch_protocol::{AnswerHead, Member, MemberState};
use cuminarch_testing::{PlatformServer, UpstreamBehaviour, UpstreamServer};
use cuminarch_types::{CallId, EndpointId, Incarnation, MonoTime, RequestId};
use eyre::Result;

use crate::Verdict;
use idle::{measure_idle_nodes, print_idle};
use memory::growth_bytes;
use slope::{Point, print_slope};

const MEMBER_COUNTS: [usize; 4] = [120, 240, 430, 860];
const KEY_COUNTS: [usize; 3] = [10_000, 30_000, 90_000];
const CALL_COUNTS: [usize; 3] = [2_000, 6_000, 18_000];
const CONNECTION_COUNTS: [usize; 3] = [300, 900, 1_700];
/// Engines built for one measurement, to make the growth large compared with the noise.
const ENGINES_PER_READING: usize = 50;
/// Calls in progress in one engine, which runs some and queues the rest.
const CALLS_PER_ENGINE: usize = 100;
const STORED_BODY_BYTES: usize = 1_024;

/// Runs the benchmark and prints its tables.
///
/// # Errors
///
/// Returns an error if a node or a stand-in cannot be started.
pub fn run() -> Result<Verdict> {
    print_idle(&measure_idle_nodes()?);
    print_slope("members known to an engine", "member", &measure_members()?);
    print_slope("idempotency keys with an answer of 1 KiB", "key", &measure_keys()?);
    print_slope("calls in progress in an engine", "call", &measure_calls()?);
    print_slope("idle connections of callers at a node", "connection", &measure_connections()?);
    Ok(Verdict::new())
}

fn engine() -> Result<Engine> {
    let settings = EngineSettings::new(
        "katalog-1".parse()?,
        "katalog".parse()?,
        "zrh-a".parse()?,
        "ch-central".parse()?,
    );
    Ok(Engine::new(settings, Arc::new(Policy::safe_default())))
}

fn member(index: usize) -> Result<Member> {
    let address = format!("10.0.{}.{}:7000", index / 250, index % 250).parse()?;
    Ok(Member {
        endpoint: format!("service-{}-endpoint-{index}", index % 160).parse()?,
        service: format!("service-{}", index % 160).parse()?,
        zone: format!("zone-{}", index % 5).parse()?,
        region: format!("region-{}", index % 2).parse()?,
        incarnation: Incarnation::new(1),
        statement: 0,
        data_address: address,
        control_address: address,
        state: MemberState::Active,
        upstream: None,
    })
}

fn measure_members() -> Result<Vec<Point>> {
    let mut points = Vec::new();
    let mut retained = Vec::new();
    for count in MEMBER_COUNTS {
        let mut engines = Vec::new();
        for _ in 0..ENGINES_PER_READING {
            engines.push(engine()?);
        }
        let members: Vec<Member> = (0..count).map(member).collect::<Result<_>>()?;
        let bytes = growth_bytes(|| {
            for engine in &mut engines {
                for member in &members {
                    engine.handle(Event::Member(Box::new(member.clone())), MonoTime::ZERO);
                }
            }
        });
        points.push(Point { count, bytes: bytes / ENGINES_PER_READING as u64 });
        retained.push(engines);
    }
    std::mem::forget(retained);
    Ok(points)
}

fn measure_keys() -> Result<Vec<Point>> {
    let mut points = Vec::new();
    let mut retained = Vec::new();
    for count in KEY_COUNTS {
        let endpoint: EndpointId = "kasse-1".parse()?;
        let settings = KeyTableSettings { max_answer_bytes: usize::MAX, ..KeyTableSettings::new() };
        let mut table = KeyTable::new(settings, endpoint, Incarnation::new(1));
        let fingerprint = RequestFingerprint::new("POST", "/approvals/1", None);
        let bytes = growth_bytes(|| {
            for index in 0..count {
                let key = table.mint(MonoTime::ZERO);
                let call = CallId::new(index as u64);
                table.begin(&key, fingerprint, call, MonoTime::ZERO);
                table.finish(&key, call, KeyResult::Completed(Some(Box::new(stored_answer()))));
            }
        });
        points.push(Point { count: table.len(), bytes });
        retained.push(table);
    }
    std::mem::forget(retained);
    Ok(points)
}

fn stored_answer() -> StoredAnswer {
    let head = AnswerHead { status: 200, headers: Vec::new(), body_len_bytes: Some(1_024) };
    StoredAnswer { head, body: vec![0; STORED_BODY_BYTES] }
}

fn measure_calls() -> Result<Vec<Point>> {
    let mut points = Vec::new();
    let mut retained = Vec::new();
    for count in CALL_COUNTS {
        let mut engines = Vec::new();
        for _ in 0..count / CALLS_PER_ENGINE {
            engines.push(engine()?);
        }
        let bytes = growth_bytes(|| {
            for engine in &mut engines {
                for index in 0..CALLS_PER_ENGINE {
                    let call = engine.next_call();
                    let root = RequestId::new(index as u128);
                    let arrival = Arrival::inbound(root, "GET", "/patterns/1");
                    engine.handle(Event::arrive(call, arrival), MonoTime::ZERO);
                }
            }
        });
        points.push(Point { count, bytes });
        retained.push(engines);
    }
    std::mem::forget(retained);
    Ok(points)
}

fn measure_connections() -> Result<Vec<Point>> {
    let platform = PlatformServer::start()?;
    let upstream = UpstreamServer::start(UpstreamBehaviour::new(Duration::ZERO))?;
    let mut points = Vec::new();
    for count in CONNECTION_COUNTS {
        let settings = node_settings(0, upstream.address(), platform.address())?;
        let node = Node::start(settings)?;
        let mut streams = Vec::new();
        let bytes = growth_bytes(|| {
            for _ in 0..count {
                streams.extend(TcpStream::connect(node.caller_address()));
            }
            std::thread::sleep(Duration::from_millis(500));
        });
        points.push(Point { count: streams.len(), bytes });
        drop(streams);
        node.shutdown();
    }
    Ok(points)
}

/// Returns the settings of one of several nodes of a service, in five zones.
fn node_settings(index: usize, upstream: SocketAddr, platform: SocketAddr) -> Result<NodeSettings> {
    let text = format!(
        "fleet: bench\nendpoint: katalog-{index}\nservice: katalog\nzone: zone-{}\nregion: r\n\
         caller_address: 127.0.0.1:0\negress_address: 127.0.0.1:0\n\
         data_address: 127.0.0.1:0\ncontrol_address: 127.0.0.1:0\n\
         admin_address: 127.0.0.1:0\nupstream_address: {upstream}\n\
         platform_address: {platform}\n",
        index % 5,
    );
    Ok(NodeSettings::parse(&text)?)
}
