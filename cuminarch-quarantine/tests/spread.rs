//! How what one node finds reaches the others, over a network that loses datagrams.

use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_protocol::{SuspicionDatagram, SuspicionMessage};
use cuminarch_quarantine::{Quarantine, Verdict};
use cuminarch_types::{
    EndpointId, Incarnation, MonoTime, RequestDigest, RequestIdentity, RequestVariant,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(5);
/// Time after which all nodes that can be reached have to know a conviction.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Bytes that a node may spend for control, per second.
const MAX_BYTES_PER_S: f64 = 8.0 * 1024.0;

struct Net {
    nodes: Vec<Quarantine>,
    now: MonoTime,
    cut: BTreeSet<usize>,
    sent_bytes: Vec<usize>,
    in_transit: Vec<(usize, usize, SuspicionMessage)>,
    loss: f64,
    rng: ChaCha8Rng,
}

fn name(node: usize) -> EndpointId {
    format!("node-{node}").parse().unwrap()
}

fn id(request: u128) -> RequestIdentity {
    RequestIdentity { request: RequestDigest::new(request), variant: RequestVariant::new(0) }
}

impl Net {
    /// Creates nodes of which each tenth serves the service that crashes.
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        let nodes = (0..count).map(|node| Self::node(count, node, seed)).collect();
        Self {
            nodes,
            now: MonoTime::from_millis(1),
            cut: BTreeSet::new(),
            sent_bytes: vec![0; count],
            in_transit: Vec::new(),
            loss,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn node(count: usize, node: usize, seed: u64) -> Quarantine {
        let mut quarantine = Quarantine::new(name(node), seed + node as u64);
        for other in 0..count {
            quarantine.set_member(&name(other), true, other % 10 == node % 10);
        }
        quarantine
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now.after(time);
        while self.now < until {
            self.now = self.now.after(STEP);
            for (from, to, message) in std::mem::take(&mut self.in_transit) {
                let is_lost = self.rng.random_bool(self.loss);
                if !is_lost && !self.cut.contains(&from) && !self.cut.contains(&to) {
                    self.nodes[to].receive(&name(from), message, self.now);
                }
            }
            for node in 0..self.nodes.len() {
                self.nodes[node].tick(self.now);
                for (to, message) in self.nodes[node].take_outputs() {
                    self.send(node, &to, message);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &EndpointId, message: SuspicionMessage) {
        let incarnation = Incarnation::new(1_700_000_000_000);
        let datagram =
            SuspicionDatagram { from: name(from), incarnation, message: message.clone() };
        let bytes = datagram.encode().unwrap();
        assert!(bytes.len() <= 1_280, "a datagram of {} bytes", bytes.len());
        assert_eq!(SuspicionDatagram::decode(&bytes).unwrap(), datagram);
        self.sent_bytes[from] += bytes.len();
        let to = to.as_str().strip_prefix("node-").unwrap().parse().unwrap();
        self.in_transit.push((from, to, message));
    }

    /// Lets the endpoints of two nodes end while they run request 1 beside others.
    fn convict(&mut self) {
        let runs = |first: u128| -> Vec<RequestIdentity> {
            std::iter::once(id(1)).chain((first..first + 59).map(id)).collect()
        };
        self.nodes[0].record_crash(&runs(1_000), self.now);
        let suspected_by = self.now.after(CONTACT_TIME);
        while self.nodes[10].verdict(Some(id(1)), self.now) != Verdict::Suspected {
            assert!(self.now < suspected_by, "node 10 does not suspect the request");
            self.run_for(Duration::from_millis(50));
        }
        self.nodes[10].record_crash(&runs(2_000), self.now);
    }

    fn ignorant(&self) -> Vec<usize> {
        let is_refused = |node: &Quarantine| {
            matches!(node.verdict(Some(id(1)), self.now), Verdict::Refused { .. })
        };
        (0..self.nodes.len()).filter(|node| !is_refused(&self.nodes[*node])).collect()
    }
}

#[rstest]
fn all_nodes_know_a_conviction_within_the_contact_time(
    #[values(20, 100, 200)] count: usize,
    #[values(0.0, 0.2)] loss: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut net = Net::new(count, loss, seed);
    net.convict();
    net.run_for(CONTACT_TIME);
    assert!(net.ignorant().is_empty(), "{:?} do not know", net.ignorant());
}

#[rstest]
fn a_node_that_was_cut_off_or_restarted_learns_within_the_contact_time(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(false, true)] is_restarted: bool,
) {
    let mut net = Net::new(50, 0.05, seed);
    net.cut.insert(20);
    net.convict();
    net.run_for(Duration::from_secs(20));
    assert_eq!(net.ignorant(), [20]);
    if is_restarted {
        net.nodes[20] = Net::node(50, 20, seed + 100);
    }
    net.cut.clear();
    net.run_for(CONTACT_TIME);
    assert!(net.ignorant().is_empty(), "{:?} do not know", net.ignorant());
}

#[test]
fn an_answer_at_one_node_clears_a_request_at_all_nodes() {
    let mut net = Net::new(100, 0.1, 1);
    net.convict();
    net.run_for(CONTACT_TIME);
    net.nodes[30].record_answer(id(1_005), net.now);
    net.run_for(CONTACT_TIME);
    for node in &net.nodes {
        assert_eq!(node.verdict(Some(id(1_005)), net.now), Verdict::Unsuspected);
    }
}

#[rstest]
fn nodes_stay_within_their_bytes_while_endpoints_keep_ending(#[values(50, 100)] count: usize) {
    let mut net = Net::new(count, 0.01, 1);
    for second in 0..20 {
        let node = usize::try_from(second).unwrap() * 7 % count;
        let first = 10_000 + u128::from(second as u64) * 100;
        let runs: Vec<RequestIdentity> = (first..first + 60).map(id).collect();
        net.nodes[node].record_crash(&runs, net.now);
        net.run_for(Duration::from_secs(1));
    }
    net.run_for(Duration::from_secs(20));
    let most = net.sent_bytes.iter().max().unwrap();
    let rate = *most as f64 / 40.0;
    println!("{count} nodes: at most {rate:.0} bytes a second");
    assert!(rate <= MAX_BYTES_PER_S, "{rate} bytes a second");
}

#[test]
fn nodes_that_know_of_nothing_send_nothing() {
    let mut net = Net::new(20, 0.0, 1);
    net.run_for(Duration::from_secs(30));
    assert_eq!(net.sent_bytes, vec![0; 20]);
}
