use std::time::Duration;

use cuminarch_engine::{Arrival, ClaimResult, Event, LocalEnd, RemoteRefusal, RequestKey};
use cuminarch_once::{BoundKey, StoredAnswer};
use cuminarch_protocol::{AnswerHead, MemberState};
use cuminarch_types::{CallId, MonoTime, Outcome, RequestId, ResendNumber};

use super::audit::TrackedCall;
use super::site::{Origin, Process, Step, Tag, Work, member, service};
use super::{Incident, KeyKind, Sabotage, Scenario, World};

impl World {
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Send { request, send } => self.client_send(request, send),
            Step::Engine(process, event) => self.feed(process, event),
            Step::Arrive(process, arrival, tag) => {
                self.arrive(process, *arrival, tag);
            }
            Step::LinkArrive(link, arrival) => self.link_arrive(link, *arrival),
            Step::LinkLost(link) => self.link_lost(link),
            Step::LinkAbort(link) => self.link_abort(link),
            Step::LinkHead(link) => {
                let entry = &mut self.links[link];
                if !entry.is_cut {
                    entry.has_head = true;
                    let event = Event::RemoteHead {
                        call: entry.call,
                        attempt: entry.attempt,
                        is_failure: false,
                    };
                    let from = entry.from;
                    self.feed(from, event);
                }
            }
            Step::LinkEnd(link, receipt) => {
                let entry = self.links[link];
                if !entry.is_cut {
                    let event =
                        Event::RemoteEnd { call: entry.call, attempt: entry.attempt, receipt };
                    self.feed(entry.from, event);
                }
            }
            Step::LinkRefused(link, refusal, receipt) => {
                let entry = self.links[link];
                if !entry.is_cut {
                    let refused = Box::new(RemoteRefusal {
                        refusal: *refusal,
                        reached_upstream: false,
                        receipt,
                        member: None,
                    });
                    let event = Event::RemoteRefused(entry.call, entry.attempt, refused);
                    self.feed(entry.from, event);
                }
            }
            Step::Children(work) => self.call_children(work),
            Step::Finish(work) => self.finish_work(work),
            Step::GiveUp(process, call, tag) => self.give_up(process, call, tag),
            Step::Tick(process) => {
                if self.is_alive(process) {
                    self.sites[process.0].next_tick = None;
                }
                self.feed(process, Event::Tick);
            }
            Step::Incident(index) => self.incident(index),
        }
    }

    fn incident(&mut self, index: usize) {
        let sites = self.sites.len();
        match self.scenario.incidents[index].1 {
            Incident::Restart(site) => self.restart(site % sites),
            Incident::Pause(site, duration_ms) => {
                let until = self.now.after(Duration::from_millis(duration_ms));
                self.sites[site % sites].paused_until = until;
            }
            Incident::Drain(site) => {
                let site = site % sites;
                let process = self.current_process(site);
                self.feed(process, Event::Drain);
                for other in 0..sites {
                    let statement = member(site, process.1, MemberState::Leaving);
                    let statement = Event::Member(Box::new(statement));
                    self.after_ms(100, Step::Engine(self.current_process(other), statement));
                }
            }
            Incident::CutZones(duration_ms) => self.cut_zones(duration_ms),
        }
    }

    fn cut_zones(&mut self, duration_ms: u64) {
        self.zones_cut_until = self.now.after(Duration::from_millis(duration_ms));
        for link in 0..self.links.len() {
            let entry = self.links[link];
            if self.are_cut(entry.from.0, entry.to.0) {
                let lost_ms = 1 + self.random(3_000);
                self.after_ms(lost_ms, Step::LinkLost(link));
                let abort_ms = 1 + self.random(3_000);
                self.after_ms(abort_ms, Step::LinkAbort(link));
            }
        }
    }

    fn client_send(&mut self, request: usize, send: u32) {
        let (last_send, is_done) = self.sent.get(&request).copied().unwrap_or((0, false));
        if is_done || send <= last_send || send > self.scenario.sends || self.is_over() {
            return;
        }
        self.sent.insert(request, (send, false));
        let resend_ms = if self.happens(self.scenario.faults.early_resend) { 40 } else { 6_000 };
        self.after_ms(resend_ms, Step::Send { request, send: send + 1 });
        let non_idempotent = self.scenario.non_idempotent;
        let key = self.client_key(request);
        let path = if non_idempotent { ("POST", "/once") } else { ("GET", "/work") };
        let root = RequestId::new(request as u128 + 1);
        let site = self.random(self.sites.len() as u64) as usize;
        let is_direct = self.sites[site].service == 0;
        let arrival = if is_direct {
            Arrival::inbound(root, path.0, path.1)
        } else {
            Arrival::outbound(service(0), root, path.0, path.1)
        };
        let number = self.scenario.is_numbered.then(|| ResendNumber::new(send));
        let arrival = arrival.with_send(number).with_key(key.clone());
        let tracked = self.track_call(request, None, key.as_ref(), non_idempotent);
        let effective_send = if self.scenario.is_numbered { send } else { 1 };
        self.audit.tracked_calls[tracked].granted = self.scenario.grant >> effective_send;
        let tag = Tag {
            tracked,
            origin: Origin::Client { request },
            final_answers: 0,
            is_cancelled: false,
        };
        self.arrive(self.current_process(site), arrival, tag);
    }

    fn client_key(&mut self, request: usize) -> Option<RequestKey> {
        match self.scenario.key {
            KeyKind::None => None,
            KeyKind::Client => Some(RequestKey::Client(format!("key-{request}").parse().unwrap())),
            KeyKind::Bound => {
                if !self.minted.contains_key(&request) {
                    let site = self.random(2) as usize;
                    let clock = self.sites[site].clock(self.now);
                    let key = self.sites[site].engine.mint_key(clock);
                    self.minted.insert(request, key);
                }
                self.minted.get(&request).cloned().map(RequestKey::Bound)
            }
        }
    }

    fn track_call(
        &mut self,
        request: usize,
        send: Option<usize>,
        key: Option<&RequestKey>,
        non_idempotent: bool,
    ) -> usize {
        let key = key.map(|key| match key {
            RequestKey::Bound(key) => key.to_string(),
            RequestKey::Client(key) => key.to_string(),
        });
        let started = self.now;
        let (granted, outcome, runs) = (0, None, Vec::new());
        self.audit.track(TrackedCall {
            request,
            client_send: send,
            granted,
            key,
            is_non_idempotent: non_idempotent,
            started,
            reported_outcome: outcome,
            runs,
        })
    }

    pub fn client_answered(&mut self, request: usize, outcome: Outcome) {
        let (send, _) = self.sent[&request];
        if outcome == Outcome::Completed {
            self.sent.insert(request, (send, true));
        } else {
            let pause_ms = 1 + self.random(1_500);
            self.after_ms(pause_ms, Step::Send { request, send: send + 1 });
        }
    }

    fn is_over(&self) -> bool {
        self.now.since(MonoTime::ZERO) > Scenario::END
    }

    fn link_arrive(&mut self, link: usize, arrival: Arrival) {
        let entry = self.links[link];
        let origin = Origin::Link(link);
        let tag = Tag { tracked: entry.tracked, origin, final_answers: 0, is_cancelled: false };
        self.arrive(entry.to, arrival, tag);
    }

    fn link_lost(&mut self, link: usize) {
        let Self { links, scenario, .. } = self;
        let entry = &mut links[link];
        if entry.is_cut {
            return;
        }
        entry.is_cut = true;
        let (from, call, attempt) = (entry.from, entry.call, entry.attempt);
        let sent = scenario.sabotage != Sabotage::ResendAfterLoss;
        let event = if entry.has_head {
            Event::RemoteEnd { call, attempt, receipt: None }
        } else {
            Event::RemoteLost { call, attempt, sent }
        };
        self.feed(from, event);
        let delay_ms = self.latency_ms();
        self.after_ms(delay_ms, Step::LinkAbort(link));
    }

    fn link_abort(&mut self, link: usize) {
        let entry = self.links[link];
        let Some(call) = entry.to_call.filter(|_| self.is_alive(entry.to)) else { return };
        if let Some(tag) = self.sites[entry.to.0].tags.get_mut(&call) {
            tag.is_cancelled = true;
        }
        let tracked = &self.audit.tracked_calls[entry.tracked];
        let may_detach = tracked.is_non_idempotent && tracked.key.is_some();
        if may_detach && self.happens(500) {
            return;
        }
        self.feed(entry.to, Event::Cancel(call));
    }

    pub fn claim(&mut self, process: Process, call: CallId, key: String, bound: BoundKey) {
        let is_failed = self.happens(self.scenario.faults.claim_fails);
        let is_lost = self.happens(self.scenario.faults.claim_lost);
        let is_granted = self.scenario.sabotage == Sabotage::GrantEveryClaim;
        let result = if is_failed {
            ClaimResult::Unavailable
        } else {
            let holder = self.claims.entry(key).or_insert_with(|| bound.clone());
            match holder {
                _ if is_granted => ClaimResult::Granted,
                _ if is_lost => ClaimResult::Unavailable,
                holder if *holder == bound => ClaimResult::Granted,
                holder => ClaimResult::HeldBy(holder.clone()),
            }
        };
        let delay_ms = 2 + self.latency_ms();
        self.after_ms(delay_ms, Step::Engine(process, Event::Claimed(call, result)));
    }

    pub fn run_local(&mut self, process: Process, call: CallId, keep_answer: bool) {
        if self.happens(self.scenario.faults.upstream_closed) {
            let failed = Event::LocalFailed { call, sent: false };
            return self.after_ms(1, Step::Engine(process, failed));
        }
        let tracked = self.sites[process.0].tags[&call].tracked;
        self.audit.record_run(tracked, self.now);
        let work = self.works.len();
        let open_children = 0;
        let is_stopped = false;
        self.works.push(Work { process, call, tracked, open_children, keep_answer, is_stopped });
        let delay_ms = 1 + self.random(4);
        self.after_ms(delay_ms, Step::Children(work));
    }

    fn call_children(&mut self, work: usize) {
        let site = self.works[work].process.0;
        if self.sites[site].service + 1 >= self.scenario.depth {
            return self.after_ms(1, Step::Finish(work));
        }
        self.works[work].open_children = self.scenario.width;
        for child in 0..self.scenario.width {
            self.call_child(work, child, 0);
        }
    }

    /// Makes an upstream's call to the next service, through the node beside it.
    fn call_child(&mut self, work: usize, child: usize, retries: u32) {
        let Work { process, call, tracked, .. } = self.works[work].clone();
        let parent = self.audit.tracked_calls[tracked].clone();
        let non_idempotent = self.scenario.non_idempotent_downstream;
        let key = parent.key.filter(|_| non_idempotent && self.scenario.key == KeyKind::Client);
        let key = key.map(|key| RequestKey::Client(format!("{key}-{child}").parse().unwrap()));
        let path = if non_idempotent { ("POST", "/once") } else { ("GET", "/work") };
        let next = service(self.sites[process.0].service + 1);
        let root = RequestId::new(parent.request as u128 + 1);
        let arrival = Arrival::outbound(next, root, path.0, path.1)
            .with_parent(Some(call))
            .with_key(key.clone());
        let send = parent.client_send.or(Some(tracked));
        let tracked = self.track_call(parent.request, send, key.as_ref(), non_idempotent);
        let origin = Origin::Upstream { work, child, retries };
        let tag = Tag { tracked, origin, final_answers: 0, is_cancelled: false };
        let process = self.current_process(process.0);
        let call = self.arrive(process, arrival, tag);
        if let Some(call) = call.filter(|_| self.happens(self.scenario.faults.upstream_cancels)) {
            let delay_ms = self.random(100);
            self.after_ms(delay_ms, Step::GiveUp(process, call, tag));
        }
    }

    fn give_up(&mut self, process: Process, call: CallId, tag: Tag) {
        let Origin::Upstream { work, child, retries } = tag.origin else { return };
        if !self.is_alive(process) {
            return;
        }
        let tags = &mut self.sites[process.0].tags;
        let Some(tag) = tags.get_mut(&call).filter(|tag| tag.final_answers == 0) else { return };
        tag.is_cancelled = true;
        self.feed(process, Event::Cancel(call));
        self.upstream_answered(work, child, retries, Outcome::Unknown);
    }

    pub fn upstream_answered(&mut self, work: usize, child: usize, retries: u32, outcome: Outcome) {
        let entry = &mut self.works[work];
        if outcome != Outcome::Completed
            && retries < self.scenario.upstream_retries
            && !entry.is_stopped
        {
            return self.call_child(work, child, retries + 1);
        }
        entry.open_children -= 1;
        if entry.open_children == 0 {
            self.after_ms(1, Step::Finish(work));
        }
    }

    fn finish_work(&mut self, work: usize) {
        let Work { process, call, keep_answer, is_stopped, .. } = self.works[work].clone();
        if is_stopped && !self.happens(self.scenario.faults.ignores_cancel) {
            return;
        }
        if self.happens(self.scenario.faults.upstream_fails) {
            return self.feed(process, Event::LocalFailed { call, sent: true });
        }
        self.feed(process, Event::LocalHead(call));
        let is_broken = self.happens(self.scenario.faults.upstream_breaks);
        let answer = keep_answer.then(|| {
            let head = AnswerHead { status: 200, headers: Vec::new(), body_len_bytes: Some(2) };
            Box::new(StoredAnswer { head, body: b"ok".to_vec() })
        });
        let end = if is_broken { LocalEnd::Broken } else { LocalEnd::Complete(answer) };
        let delay_ms = 1 + self.random(20);
        self.after_ms(delay_ms, Step::Engine(process, Event::LocalEnd(call, end)));
    }
}
