use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use cuminarch_allotment::{AllotmentOutput, AllotmentSettings, AllotmentTable, TokenDecision};
use cuminarch_protocol::{AllotmentDatagram, Member};
use cuminarch_types::{AccountName, Allotment, CallId, EndpointId, Incarnation, MonoTime};

use crate::allotment_counts::AllotmentState;
use crate::allotment_peers::AllotmentPeers;
use crate::{AllotmentNotice, AllotmentSummary, EngineSettings};

/// The allotments of client accounts as this node knows them, and the nodes that share them.
#[derive(Debug)]
pub struct Allotments {
    pub table: AllotmentTable,
    pub peers: AllotmentPeers,
    /// Outputs of the table that have not been applied yet.
    pub outputs: VecDeque<AllotmentOutput>,
    /// Whether a policy came into force whose allotments have not been applied yet.
    pub is_policy_changed: bool,
    /// Allotments in force.
    accounts: BTreeMap<AccountName, Allotment>,
    pub summary: AllotmentSummary,
    /// Number of parts held here by account.
    held_parts: BTreeMap<AccountName, usize>,
    pub notices: Vec<AllotmentNotice>,
    /// Time of the latest event.
    pub now: MonoTime,
    /// Incarnation of this process as other nodes know it; higher than the one that it started with
    /// if the clock of the host was set back.
    pub incarnation: Incarnation,
}

impl Allotments {
    pub fn new(settings: &EngineSettings) -> Self {
        let allotment_settings =
            AllotmentSettings::new(settings.endpoint.clone(), settings.zone.clone())
                .with_zones(settings.zones.clone())
                .with_seed(settings.seed);
        let mut table = AllotmentTable::new(allotment_settings);
        table.set_member(&settings.endpoint, &settings.zone, true, MonoTime::ZERO);
        Self {
            table,
            peers: AllotmentPeers::default(),
            outputs: VecDeque::new(),
            is_policy_changed: true,
            accounts: BTreeMap::new(),
            summary: AllotmentSummary::default(),
            held_parts: BTreeMap::new(),
            notices: Vec::new(),
            now: MonoTime::ZERO,
            incarnation: settings.incarnation,
        }
    }

    /// Applies a statement about a member. The own endpoint stays a member.
    pub fn record_member(&mut self, member: &Member, now: MonoTime) {
        let endpoint = &member.endpoint;
        if *endpoint == self.table.settings().endpoint {
            self.incarnation = self.incarnation.max(member.incarnation);
            return;
        }
        let Some((previous, peer)) = self.peers.apply(member) else { return };
        let previous = previous.filter(|previous| previous.is_member).map(|peer| peer.zone);
        let current = peer.is_member.then_some(peer.zone);
        if previous == current {
            return;
        }
        if let Some(zone) = previous {
            self.table.set_member(endpoint, &zone, false, now);
        }
        if let Some(zone) = current {
            self.table.set_member(endpoint, &zone, true, now);
        }
        self.note_held_parts();
    }

    /// Notes which parts this node has come to hold, or no longer holds.
    fn note_held_parts(&mut self) {
        let known = self.table.summary(self.now).into_iter();
        let held = known.map(|known| (known.account, known.held.len()));
        let held: BTreeMap<AccountName, usize> = held.filter(|(_, parts)| *parts > 0).collect();
        let accounts: BTreeSet<&AccountName> = held.keys().chain(self.held_parts.keys()).collect();
        for account in accounts {
            let parts =
                |held: &BTreeMap<AccountName, usize>| held.get(account).copied().unwrap_or(0);
            let (from_parts, to_parts) = (parts(&self.held_parts), parts(&held));
            if from_parts != to_parts {
                let account = account.clone();
                self.notices.push(AllotmentNotice::Held { account, from_parts, to_parts });
            }
        }
        self.held_parts = held;
    }

    /// Handles what is due.
    pub fn tick(&mut self, now: MonoTime) {
        self.table.tick(now);
        self.notices.extend(self.table.take_silent().into_iter().map(AllotmentNotice::Silent));
    }

    /// Handles a datagram. One that was not sent from the control address of the member that it
    /// names, or by an earlier process of it, is dropped.
    pub fn receive(&mut self, source: SocketAddr, datagram: AllotmentDatagram, now: MonoTime) {
        if self.accounts.is_empty() {
            return;
        }
        if self.peers.is_sender(&datagram.from, datagram.incarnation, source) {
            self.table.receive(&datagram.from, datagram.message, now);
        } else {
            self.summary.ignored_datagrams += 1;
        }
    }

    /// Notes each account whose allotment gets lower.
    fn note_lowered(&mut self, to: &BTreeMap<AccountName, Allotment>) {
        let lowered = self.accounts.iter().filter_map(|(account, from)| {
            let to = *to.get(account)?;
            let is_lower = to.rate < from.rate || to.burst_requests < from.burst_requests;
            let (account, from) = (account.clone(), *from);
            is_lower.then_some(AllotmentNotice::Lowered { account, from, to })
        });
        self.notices.extend(lowered);
    }

    /// Puts the allotments of a policy into force.
    pub fn set_accounts(&mut self, accounts: BTreeMap<AccountName, Allotment>, now: MonoTime) {
        self.note_lowered(&accounts);
        self.accounts.clone_from(&accounts);
        self.summary.allotted_accounts = accounts.len();
        self.table.set_accounts(accounts, now);
        self.note_held_parts();
    }

    /// Returns the address for datagrams to a member.
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let peer = self.peers.get(endpoint).filter(|peer| peer.is_member)?;
        Some(peer.control_address)
    }

    /// Asks for a token.
    pub fn request(&mut self, account: &AccountName, id: CallId, now: MonoTime) -> TokenDecision {
        let decision = self.table.request(account, id, now);
        self.summary.record(account, decision);
        decision
    }

    /// Returns a token that was not used.
    pub fn give_back(&mut self, account: &AccountName, id: CallId, now: MonoTime) {
        self.summary.counts_mut(account).given_back += 1;
        self.table.give_back_call(account, id, now);
    }

    /// Withdraws the waiting request of a call that ends. If its token has been granted in the
    /// meantime, it is given back.
    pub fn withdraw(&mut self, account: &AccountName, id: CallId, now: MonoTime) {
        self.collect_outputs();
        let is_decision = |output: &AllotmentOutput| matches!(output, AllotmentOutput::Decided(of, _) if *of == id);
        let Some(index) = self.outputs.iter().position(is_decision) else {
            return self.table.cancel(id);
        };
        if let Some(AllotmentOutput::Decided(_, TokenDecision::Granted)) =
            self.outputs.remove(index)
        {
            self.give_back(account, id, now);
        }
    }

    /// Returns the state for dumps and metrics.
    pub fn summary(&self, waiting: usize) -> AllotmentSummary {
        let known = self.table.summary(self.now).into_iter().take(AllotmentSummary::MAX_ACCOUNTS);
        let states = known.map(|known| {
            let usage_age = |at| u64::try_from(self.now.since(at).as_millis()).unwrap_or(u64::MAX);
            let state = AllotmentState {
                parts: known.parts,
                held_parts: known.held.len(),
                held_tokens_milli: known.held.iter().map(|part| part.level_milli).sum(),
                own_tokens_milli: known.tokens_milli,
                usage_milli: known.usage.map(|usage| usage.usage_milli),
                usage_age_ms: known.usage.map(|usage| usage_age(usage.reported_at)),
            };
            (known.account, state)
        });
        AllotmentSummary { waiting, states: states.collect(), ..self.summary.clone() }
    }

    /// Returns the next output of the table.
    pub fn next_output(&mut self) -> Option<AllotmentOutput> {
        self.collect_outputs();
        self.outputs.pop_front()
    }

    fn collect_outputs(&mut self) {
        self.outputs.extend(self.table.take_outputs());
    }
}
