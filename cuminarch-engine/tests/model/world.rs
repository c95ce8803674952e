use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_engine::{Action, Arrival, Event, Forward, Refusal};
use cuminarch_once::BoundKey;
use cuminarch_protocol::{MemberState, Receipt};
use cuminarch_types::{AttemptId, CallId, MonoTime, Outcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::audit::Audit;
use super::site::{Link, Origin, Process, Site, Step, Tag, Work, member, zone};
use super::{Sabotage, Scenario};

/// All hosts, the network between them, the platform and the clients.
pub struct World {
    pub scenario: Scenario,
    pub now: MonoTime,
    pub audit: Audit,
    pub sites: Vec<Site>,
    pub links: Vec<Link>,
    pub works: Vec<Work>,
    pub claims: BTreeMap<String, BoundKey>,
    pub minted: BTreeMap<usize, BoundKey>,
    /// Number of the last send of each request, and whether a send has completed.
    pub sent: BTreeMap<usize, (u32, bool)>,
    pub zones_cut_until: MonoTime,
    pub rng: ChaCha8Rng,
    queue: BTreeMap<(MonoTime, u64), Step>,
    next_step: u64,
}

impl World {
    /// Runs a history to its end and returns the audit.
    pub fn run(scenario: Scenario) -> Audit {
        let mut world = Self::new(scenario);
        while let Some(((at, _), step)) = world.queue.pop_first() {
            world.now = world.now.max(at);
            world.step(step);
        }
        world.check_sites();
        let Scenario { grant, sends, is_numbered, .. } = world.scenario;
        let granted_sends = if is_numbered { 1 } else { sends };
        world.audit.close(grant * granted_sends);
        world.audit
    }

    fn new(scenario: Scenario) -> Self {
        let now = MonoTime::ZERO;
        let sites = (0..scenario.endpoints()).map(|site| Site::new(site, 1, &scenario, now));
        let mut world = Self {
            now,
            audit: Audit::default(),
            sites: sites.collect(),
            links: Vec::new(),
            works: Vec::new(),
            claims: BTreeMap::new(),
            minted: BTreeMap::new(),
            sent: BTreeMap::new(),
            zones_cut_until: now,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            queue: BTreeMap::new(),
            next_step: 0,
            scenario,
        };
        for request in 0..world.scenario.requests {
            let at_ms = world.random(3_000);
            world.after_ms(at_ms, Step::Send { request, send: 1 });
        }
        let incidents = world.scenario.incidents.clone();
        for (index, (at_ms, _)) in incidents.iter().enumerate() {
            world.after_ms(*at_ms, Step::Incident(index));
        }
        world
    }

    /// Returns a random number below `limit`.
    pub fn random(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit.max(1))
    }

    /// Returns `true` with this probability in thousandths.
    pub fn happens(&mut self, chance: u32) -> bool {
        self.random(1_000) < u64::from(chance)
    }

    pub fn at(&mut self, at: MonoTime, step: Step) {
        let serial = self.next_step;
        self.next_step += 1;
        self.queue.insert((at, serial), step);
    }

    pub fn after_ms(&mut self, delay_ms: u64, step: Step) {
        self.at(self.now.after(Duration::from_millis(delay_ms)), step);
    }

    /// Returns the latency of a message, in milliseconds.
    pub fn latency_ms(&mut self) -> u64 {
        let extra_ms = if self.happens(self.scenario.faults.delay) { 2_000 } else { 3 };
        1 + self.random(extra_ms)
    }

    pub fn is_alive(&self, process: Process) -> bool {
        self.sites[process.0].incarnation == process.1
    }

    pub fn current_process(&self, site: usize) -> Process {
        (site, self.sites[site].incarnation)
    }

    pub fn are_cut(&self, one: usize, other: usize) -> bool {
        zone(one) != zone(other) && self.now < self.zones_cut_until
    }

    /// Passes an event to an engine and executes its actions.
    pub fn feed(&mut self, process: Process, event: Event) {
        if !self.is_alive(process) {
            return;
        }
        let site = &mut self.sites[process.0];
        if self.now < site.paused_until {
            let until = site.paused_until;
            return self.at(until, Step::Engine(process, event));
        }
        let clock = site.clock(self.now);
        let actions = site.engine.handle(event, clock);
        for action in actions {
            self.perform(process, action);
        }
        self.plan_tick(process);
    }

    /// Makes a call arrive at an engine.
    pub fn arrive(&mut self, process: Process, arrival: Arrival, tag: Tag) -> Option<CallId> {
        if !self.is_alive(process) {
            return None;
        }
        let site = &mut self.sites[process.0];
        if self.now < site.paused_until {
            let until = site.paused_until;
            self.at(until, Step::Arrive(process, Box::new(arrival), tag));
            return None;
        }
        let call = site.engine.next_call();
        site.tags.insert(call, tag);
        if let Origin::Link(link) = tag.origin {
            self.links[link].to_call = Some(call);
        }
        self.feed(process, Event::arrive(call, arrival));
        Some(call)
    }

    fn plan_tick(&mut self, process: Process) {
        let site = &mut self.sites[process.0];
        let clock = site.clock(self.now);
        let is_waiting = site.engine.summary(self.now).waiting > 0;
        let poll = is_waiting.then(|| clock.after(Duration::from_millis(5)));
        let wake = match (site.engine.next_wake(), poll) {
            (Some(wake), Some(poll)) => Some(wake.min(poll)),
            (wake, poll) => wake.or(poll),
        };
        let Some(wake) = wake else { return };
        let delay = wake.since(clock).max(Duration::from_micros(100));
        let at = self.now.after(delay);
        if site.next_tick.is_none_or(|planned| planned > at || planned <= self.now) {
            site.next_tick = Some(at);
            self.at(at, Step::Tick(process));
        }
    }

    fn perform(&mut self, process: Process, action: Action) {
        match action {
            Action::RunLocal { call, keep_answer, .. } => {
                self.run_local(process, call, keep_answer);
            }
            Action::Claim { call, key, bound } => {
                self.claim(process, call, key.to_string(), bound);
            }
            Action::Forward { call, attempt, forward } => {
                self.forward(process, call, attempt, &forward);
            }
            Action::Deliver { .. } => {}
            Action::Refuse { call, refusal, receipt } => {
                self.deliver_answer(process, call, refusal.outcome, Some(refusal), receipt);
            }
            Action::Replay { call, receipt, .. } | Action::Close { call, receipt } => {
                self.deliver_answer(process, call, Outcome::Completed, None, receipt);
            }
            Action::CancelLocal { call } => {
                for work in self.works.iter_mut() {
                    work.is_stopped |= work.process == process && work.call == call;
                }
            }
            Action::CancelRemote { call, attempt } => self.cancel_remote(process, call, attempt),
            Action::SendAllotment { .. } | Action::Report(_) => {
                unreachable!("no account has an allotment")
            }
            Action::ReportQuarantine(_) => unreachable!("no upstream ends"),
            // There is nothing to compare, and the model has no datagrams.
            Action::SendSuspicions { .. } => {}
        }
    }

    fn cancel_remote(&mut self, process: Process, call: CallId, attempt: AttemptId) {
        let found = self
            .links
            .iter()
            .position(|l| l.from == process && l.call == call && l.attempt == attempt);
        if let Some(link) = found {
            self.links[link].is_cut = true;
            let delay_ms = self.latency_ms();
            self.after_ms(delay_ms, Step::LinkAbort(link));
        }
    }

    /// Delivers a final answer to its receiver.
    fn deliver_answer(
        &mut self,
        process: Process,
        call: CallId,
        outcome: Outcome,
        refusal: Option<Refusal>,
        receipt: Receipt,
    ) {
        let Some(tag) = self.sites[process.0].tags.get_mut(&call) else {
            return self.audit.violations.push(format!("answer to unknown call {call}"));
        };
        tag.final_answers += 1;
        let tag = *tag;
        if tag.final_answers > 1 {
            self.audit.violations.push(format!("call {call} of {process:?} was answered twice"));
            return;
        }
        if tag.is_cancelled {
            return;
        }
        let is_falsified = self.scenario.sabotage == Sabotage::ClaimNotRun && refusal.is_some();
        let reported = if is_falsified { Outcome::NotRun } else { outcome };
        match tag.origin {
            Origin::Client { request } => {
                self.audit.record_answer(tag.tracked, reported);
                self.client_answered(request, reported);
            }
            Origin::Upstream { work, child, retries } => {
                self.audit.record_answer(tag.tracked, reported);
                self.upstream_answered(work, child, retries, reported);
            }
            Origin::Link(link) => self.answer_link(link, refusal, receipt),
        }
    }

    fn forward(&mut self, process: Process, call: CallId, attempt: AttemptId, forward: &Forward) {
        let name = forward.target.endpoint.as_str();
        let to: usize = name.trim_start_matches("endpoint-").parse().unwrap();
        let tracked = self.sites[process.0].tags[&call].tracked;
        let link = self.links.len();
        self.links.push(Link {
            from: process,
            call,
            attempt,
            to: self.current_process(to),
            to_call: None,
            tracked,
            is_cut: false,
            has_head: false,
        });
        if self.are_cut(process.0, to) || self.happens(self.scenario.faults.connect) {
            let lost = Event::RemoteLost { call, attempt, sent: false };
            let delay_ms = if self.are_cut(process.0, to) { 1_000 } else { 1 };
            return self.after_ms(delay_ms, Step::Engine(process, lost));
        }
        let non_idempotent = self.audit.tracked_calls[tracked].is_non_idempotent;
        let path = if non_idempotent { ("POST", "/once") } else { ("GET", "/work") };
        let root =
            cuminarch_types::RequestId::new(self.audit.tracked_calls[tracked].request as u128 + 1);
        let mut arrival = Arrival::inbound(root, path.0, path.1)
            .with_share(forward.share, forward.rank)
            .with_remaining(Some(forward.remaining))
            .with_idempotent(forward.idempotent)
            .with_key(forward.key.clone());
        if self.scenario.sabotage == Sabotage::FreshGrants {
            arrival.share = None;
        }
        let latency_ms = self.latency_ms();
        if self.happens(self.scenario.faults.cut_request) {
            let lost_ms = 1 + self.random(500);
            self.after_ms(lost_ms, Step::LinkLost(link));
            if self.happens(500) {
                return;
            }
        }
        self.after_ms(latency_ms, Step::LinkArrive(link, Box::new(arrival)));
    }

    fn answer_link(&mut self, link: usize, refusal: Option<Refusal>, receipt: Receipt) {
        let latency_ms = self.latency_ms();
        if self.links[link].is_cut {
            return;
        }
        if self.happens(self.scenario.faults.cut_answer) {
            return self.after_ms(latency_ms, Step::LinkLost(link));
        }
        if let Some(refusal) = refusal {
            let step = Step::LinkRefused(link, Box::new(refusal), receipt);
            return self.after_ms(latency_ms, step);
        }
        self.after_ms(latency_ms, Step::LinkHead(link));
        let is_broken = self.happens(self.scenario.faults.cut_answer);
        let end_ms = latency_ms + 1 + self.random(50);
        self.after_ms(end_ms, Step::LinkEnd(link, (!is_broken).then_some(receipt)));
    }

    /// Checks that the engines keep no state after the last step.
    fn check_sites(&mut self) {
        for (index, site) in self.sites.iter().enumerate() {
            let summary = site.engine.summary(self.now);
            let remaining = summary.calls + summary.running + summary.waiting;
            if remaining > 0 || site.engine.next_wake().is_some() {
                self.audit.violations.push(format!("site {index} keeps state: {summary:?}"));
            }
            for (call, tag) in &site.tags {
                if tag.final_answers == 0 && !tag.is_cancelled {
                    self.audit
                        .violations
                        .push(format!("call {call} of site {index} has no answer"));
                }
            }
        }
    }

    /// Replaces a node by a new process that knows the current members.
    pub fn restart(&mut self, site: usize) {
        let old = self.current_process(site);
        self.sites[site] = Site::new(site, old.1 + 1, &self.scenario, self.now);
        for link in 0..self.links.len() {
            let entry = self.links[link];
            if entry.from == old {
                self.after_ms(5, Step::LinkAbort(link));
            }
            if entry.to == old {
                self.after_ms(5, Step::LinkLost(link));
            }
        }
        for other in 0..self.sites.len() {
            let delay_ms = self.random(1_000);
            let statement = member(site, old.1 + 1, MemberState::Active);
            let statement = Event::Member(Box::new(statement));
            self.after_ms(delay_ms, Step::Engine(self.current_process(other), statement));
            let known = member(other, self.sites[other].incarnation, MemberState::Active);
            self.sites[site].engine.handle(Event::Member(Box::new(known)), MonoTime::ZERO);
        }
    }
}
