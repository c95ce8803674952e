//! The naive mesh for comparison: retries at each layer, no shared budget, unbounded queues, static
//! limits, and no propagation of deadlines or cancellation.

use std::collections::BTreeMap;

use rand::RngExt;

use super::scenario::Cause;
use super::world::{CausePhase, Mesh, ScheduledEvent, World};

const CALL_TIMEOUT_US: u64 = 500_000;
const MAX_CHILD_ATTEMPTS: u32 = 3;

/// Events of the naive mesh.
#[derive(Clone, Debug)]
pub enum NaiveEvent {
    Arrive { call: u64 },
    Answer { call: u64, is_ok: bool },
    Timeout { call: u64 },
    ClientAnswer { root: usize, send: u32, is_ok: bool },
}

#[derive(Clone, Copy, Debug)]
enum Origin {
    Client { send: u32 },
    Parent { call: u64 },
}

#[derive(Clone, Copy, Debug)]
struct NaiveCall {
    root: usize,
    depth: usize,
    endpoint: usize,
    origin: Origin,
    child_attempts: u32,
    child: Option<u64>,
}

/// The naive mesh; the id of a call is also the id of its job.
#[derive(Debug, Default)]
pub struct NaiveMesh {
    calls: BTreeMap<u64, NaiveCall>,
    last_call_id: u64,
    has_false_reports: bool,
}

type NaiveWorld = World<NaiveEvent>;

impl NaiveMesh {
    fn start_call(&mut self, world: &mut NaiveWorld, call: NaiveCall, delay_us: u64) -> u64 {
        self.last_call_id += 1;
        world.roots[call.root].attempts += 1;
        self.calls.insert(self.last_call_id, call);
        world.schedule_after(
            delay_us,
            ScheduledEvent::Mesh(NaiveEvent::Arrive { call: self.last_call_id }),
        );
        self.last_call_id
    }

    fn call_downstream(&mut self, world: &mut NaiveWorld, id: u64) {
        let Some(parent) = self.calls.get(&id).copied() else { return };
        let kind = world.roots[parent.root].kind;
        let service = world.scenario.system.kinds[kind].chain[parent.depth + 1];
        let endpoint = self.choose_endpoint(world, service);
        let delay_us = world.one_way_delay_us(parent.endpoint, endpoint);
        let origin = Origin::Parent { call: id };
        let depth = parent.depth + 1;
        let child = NaiveCall { depth, endpoint, origin, child_attempts: 0, child: None, ..parent };
        let child = self.start_call(world, child, delay_us);
        if let Some(parent) = self.calls.get_mut(&id) {
            parent.child_attempts += 1;
            parent.child = Some(child);
        }
        world.schedule_after(
            CALL_TIMEOUT_US,
            ScheduledEvent::Mesh(NaiveEvent::Timeout { call: child }),
        );
    }

    /// Returns the endpoint with the lower reported load of two random ones.
    fn choose_endpoint(&self, world: &mut NaiveWorld, service: usize) -> usize {
        let all: Vec<usize> = (0..world.servers.len())
            .filter(|index| world.servers[*index].service == service)
            .collect();
        let first = all[world.rng.random_range(0..all.len())];
        let second = all[world.rng.random_range(0..all.len())];
        let reported_load = |endpoint| {
            let is_false = self.has_false_reports && endpoint == all[0];
            if is_false { 0 } else { world.load(endpoint) }
        };
        if reported_load(second) < reported_load(first) { second } else { first }
    }

    fn finish_call(&mut self, world: &mut NaiveWorld, id: u64, is_ok: bool) {
        let Some(call) = self.calls.remove(&id) else { return };
        world.release(call.endpoint, id);
        match call.origin {
            Origin::Client { send } => {
                let event = NaiveEvent::ClientAnswer { root: call.root, send, is_ok };
                world.schedule_after(NaiveWorld::client_delay_us(), ScheduledEvent::Mesh(event));
            }
            Origin::Parent { call: parent } => {
                let Some(parent) = self.calls.get(&parent) else { return };
                let delay_us = world.one_way_delay_us(call.endpoint, parent.endpoint);
                let event = NaiveEvent::Answer { call: id, is_ok };
                self.calls.insert(id, call);
                world.schedule_after(delay_us, ScheduledEvent::Mesh(event));
            }
        }
    }

    fn handle_child_result(&mut self, world: &mut NaiveWorld, child: u64, is_ok: bool) {
        let Some(Origin::Parent { call: id }) = self.calls.get(&child).map(|call| call.origin)
        else {
            return;
        };
        let Some(parent) = self.calls.get_mut(&id) else { return };
        if parent.child != Some(child) {
            return;
        }
        parent.child = None;
        if is_ok {
            self.finish_call(world, id, true);
        } else if parent.child_attempts < MAX_CHILD_ATTEMPTS {
            self.call_downstream(world, id);
        } else {
            self.finish_call(world, id, false);
        }
    }
}

impl Mesh for NaiveMesh {
    type Event = NaiveEvent;

    fn client_send(&mut self, world: &mut NaiveWorld, root: usize, endpoint: usize) {
        let origin = Origin::Client { send: world.roots[root].sends };
        let call = NaiveCall { root, depth: 0, endpoint, origin, child_attempts: 0, child: None };
        self.start_call(world, call, NaiveWorld::client_delay_us());
    }

    fn client_cancel(&mut self, _world: &mut NaiveWorld, _root: usize) {}

    fn work_done(&mut self, world: &mut NaiveWorld, _endpoint: usize, job: u64) {
        let Some(call) = self.calls.get(&job) else { return };
        let chain = &world.scenario.system.kinds[world.roots[call.root].kind].chain;
        if call.depth + 1 < chain.len() {
            self.call_downstream(world, job);
        } else {
            self.finish_call(world, job, true);
        }
    }

    fn handle_event(&mut self, world: &mut NaiveWorld, event: NaiveEvent) {
        match event {
            NaiveEvent::Arrive { call } => {
                let Some(found) = self.calls.get(&call).copied() else { return };
                if !world.servers[found.endpoint].is_lost {
                    world.enqueue(found.endpoint, call, found.root, found.depth);
                }
            }
            NaiveEvent::Answer { call, is_ok } => {
                self.handle_child_result(world, call, is_ok);
                self.calls.remove(&call);
            }
            NaiveEvent::Timeout { call } => self.handle_child_result(world, call, false),
            NaiveEvent::ClientAnswer { root, send, is_ok } => {
                world.client_answer(root, send, is_ok);
            }
        }
    }

    fn handle_cause(&mut self, world: &mut NaiveWorld, phase: CausePhase) {
        if world.scenario.cause == Cause::FalseReports {
            self.has_false_reports = phase != CausePhase::Ends;
        }
        if phase == CausePhase::Begins && world.scenario.cause == Cause::LostZone {
            self.calls.retain(|_, call| world.servers[call.endpoint].zone != 0);
        }
    }
}
