use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_protocol::{Suspicion, SuspicionDatagram, SuspicionMessage};
use cuminarch_types::{EndpointId, MonoTime, RequestDigest, RequestIdentity};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{CrashFinding, SuspectTable, Verdict};

/// Requests that crash endpoints, as all nodes together know them.
///
/// A node sends what it finds to other nodes at once. Besides, nodes compare their tables in random
/// pairs, so that one that lost a datagram, was cut off or has just started catches up.
#[derive(Debug)]
pub struct Quarantine {
    table: SuspectTable,
    own: EndpointId,
    /// Other nodes, and whether they serve the same service.
    peers: BTreeMap<EndpointId, bool>,
    rng: ChaCha8Rng,
    outputs: Vec<(EndpointId, SuspicionMessage)>,
    next_round_at: MonoTime,
    /// Entries that may still be sent, and when that number was last raised.
    send_allowance: f64,
    allowance_at: MonoTime,
}

impl Quarantine {
    /// Nodes to which a node sends what it finds; those of its own service come first.
    const MAX_DIRECT_RECIPIENTS: usize = 32;
    /// Nodes to which a node forwards what was new to it.
    const FAN_OUT: usize = 4;
    /// Nodes with which a node compares tables in each round.
    const PEERS_PER_ROUND: usize = 2;
    /// Mean interval between two rounds.
    const ROUND_INTERVAL: Duration = Duration::from_millis(400);
    /// Most entries that answer one comparison.
    const MAX_REPLY_ENTRIES: usize = 240;
    /// Entries that a node sends in the long run; an entry takes about 40 bytes.
    const ENTRIES_PER_S: f64 = 100.0;
    /// Entries that it may send at once after a pause.
    const BURST_ENTRIES: f64 = 8_192.0;

    /// Creates the state of a node that knows of no request and no other node.
    #[must_use]
    pub fn new(own: EndpointId, seed: u64) -> Self {
        Self {
            table: SuspectTable::new(),
            own,
            peers: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outputs: Vec::new(),
            next_round_at: MonoTime::ZERO,
            send_allowance: Self::BURST_ENTRIES,
            allowance_at: MonoTime::ZERO,
        }
    }

    /// Returns the table.
    #[must_use]
    pub const fn table(&self) -> &SuspectTable {
        &self.table
    }

    /// Records that another node is or is no longer a member, and whether it serves the own service.
    pub fn set_member(&mut self, endpoint: &EndpointId, is_member: bool, is_own_service: bool) {
        if !is_member {
            self.peers.remove(endpoint);
        } else if *endpoint != self.own {
            self.peers.insert(endpoint.clone(), is_own_service);
        }
    }

    /// Returns how to treat a request.
    #[must_use]
    pub fn verdict(&self, identity: Option<RequestIdentity>, now: MonoTime) -> Verdict {
        identity.map_or(Verdict::Unsuspected, |identity| self.table.verdict(identity, now))
    }

    /// Returns the place of an endpoint in the order in which endpoints are asked to run a suspected
    /// request; all nodes use the same order, so that one endpoint at a time runs it.
    #[must_use]
    pub fn trial_order(request: RequestDigest, endpoint: &EndpointId) -> u64 {
        let bytes = request.get().to_le_bytes();
        let seed = bytes[..8].iter().fold(0, |seed, byte| seed << 8 | u64::from(*byte));
        xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
    }

    /// Records that the local endpoint ended while it ran these requests, the latest first.
    pub fn record_crash(&mut self, runs: &[RequestIdentity], now: MonoTime) -> CrashFinding {
        let finding = self.table.record_crash(runs, now);
        self.spread_found(now);
        finding
    }

    /// Records that the local endpoint has answered a request. Returns `true` if that clears it.
    pub fn record_answer(&mut self, identity: RequestIdentity, now: MonoTime) -> bool {
        let is_cleared = self.table.record_answer(identity);
        if is_cleared {
            self.spread_found(now);
        }
        is_cleared
    }

    /// Handles a message of another node. Returns the number of entries that were new.
    pub fn receive(
        &mut self,
        from: &EndpointId,
        message: SuspicionMessage,
        now: MonoTime,
    ) -> usize {
        match message {
            SuspicionMessage::Entries(entries) => {
                let newer = self.table.merge(from, &entries, now);
                self.forward_received(now);
                newer
            }
            SuspicionMessage::Summary { digest, is_reply } => {
                if digest != self.table.digest() {
                    self.answer_summary(from, is_reply, now);
                }
                0
            }
        }
    }

    fn answer_summary(&mut self, from: &EndpointId, is_reply: bool, now: MonoTime) {
        let mut entries = self.table.statements(now);
        entries.truncate(Self::MAX_REPLY_ENTRIES);
        self.send_entries(std::slice::from_ref(from), &entries, now);
        if !is_reply {
            let digest = self.table.digest();
            let message = SuspicionMessage::Summary { digest, is_reply: true };
            self.outputs.push((from.clone(), message));
        }
    }

    /// Compares tables with random nodes and drops old entries, when that is due.
    pub fn tick(&mut self, now: MonoTime) {
        if now < self.next_round_at {
            return;
        }
        self.next_round_at =
            now.after(Self::ROUND_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2)));
        self.table.expire(now);
        // A node that has just started is asked by those that know something.
        if self.table.is_empty() {
            return;
        }
        let digest = self.table.digest();
        for peer in self.random_peers(Self::PEERS_PER_ROUND) {
            let message = SuspicionMessage::Summary { digest, is_reply: false };
            self.outputs.push((peer, message));
        }
    }

    /// Returns when the next comparison is due; `None` if there is nothing to compare.
    #[must_use]
    pub fn next_wake(&self) -> Option<MonoTime> {
        (!self.table.is_empty()).then_some(self.next_round_at)
    }

    /// Returns the messages to send, with their receivers.
    pub fn take_outputs(&mut self) -> Vec<(EndpointId, SuspicionMessage)> {
        std::mem::take(&mut self.outputs)
    }

    /// Sends what this node has found to many nodes.
    fn spread_found(&mut self, now: MonoTime) {
        let changes = self.table.take_changes(now);
        let receivers = self.nearest_peers(Self::MAX_DIRECT_RECIPIENTS);
        self.send_entries(&receivers, &changes, now);
    }

    /// Forwards what was new to this node to a few others.
    fn forward_received(&mut self, now: MonoTime) {
        let changes = self.table.take_changes(now);
        if changes.is_empty() {
            return;
        }
        let mut receivers = self.nearest_peers(Self::FAN_OUT / 2);
        receivers.extend(self.random_peers(Self::FAN_OUT / 2));
        self.send_entries(&receivers, &changes, now);
    }

    fn send_entries(&mut self, receivers: &[EndpointId], entries: &[Suspicion], now: MonoTime) {
        let elapsed_s = now.since(self.allowance_at).as_secs_f64();
        self.allowance_at = now;
        self.send_allowance =
            elapsed_s.mul_add(Self::ENTRIES_PER_S, self.send_allowance).min(Self::BURST_ENTRIES);
        for receiver in receivers {
            for part in entries.chunks(SuspicionDatagram::MAX_ENTRIES) {
                // What is not sent here follows when the nodes compare their tables.
                if self.send_allowance < part.len() as f64 {
                    return;
                }
                self.send_allowance -= part.len() as f64;
                let message = SuspicionMessage::Entries(part.to_vec());
                self.outputs.push((receiver.clone(), message));
            }
        }
    }

    /// Chooses random nodes, those of the own service first, which are the ones that run its requests.
    fn nearest_peers(&mut self, count: usize) -> Vec<EndpointId> {
        let own_service = self.peers.iter().filter(|(_, is_own_service)| **is_own_service);
        let mut chosen = own_service.map(|(peer, _)| peer.clone()).collect();
        chosen = choose(&mut self.rng, chosen, count);
        let others = self.peers.iter().filter(|(_, is_own_service)| !**is_own_service);
        let others = others.map(|(peer, _)| peer.clone()).collect();
        chosen.extend(choose(&mut self.rng, others, count - chosen.len()));
        chosen
    }

    fn random_peers(&mut self, count: usize) -> Vec<EndpointId> {
        choose(&mut self.rng, self.peers.keys().cloned().collect(), count)
    }
}

fn choose(rng: &mut ChaCha8Rng, mut peers: Vec<EndpointId>, count: usize) -> Vec<EndpointId> {
    let mut chosen = Vec::new();
    while chosen.len() < count && !peers.is_empty() {
        let index = rng.random_range(0..peers.len());
        chosen.push(peers.swap_remove(index));
    }
    chosen
}
