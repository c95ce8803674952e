use std::collections::BTreeMap;

use cuminarch_types::{MonoTime, Outcome};

/// One request of a client or an upstream to a node, which gets one final answer.
#[derive(Clone, Debug)]
pub struct TrackedCall {
    /// The client's request that caused it.
    pub request: usize,
    /// The client's send that caused it; `None` for that send itself.
    pub client_send: Option<usize>,
    /// Attempts that the client's send was granted.
    pub granted: u32,
    pub key: Option<String>,
    pub is_non_idempotent: bool,
    pub started: MonoTime,
    pub reported_outcome: Option<Outcome>,
    pub runs: Vec<MonoTime>,
}

/// Record of what ran, compared with the reported outcomes.
#[derive(Debug, Default)]
pub struct Audit {
    pub tracked_calls: Vec<TrackedCall>,
    pub violations: Vec<String>,
    runs_of_request: BTreeMap<usize, u32>,
    runs_of_send: BTreeMap<usize, u32>,
    runs_of_key: BTreeMap<String, Vec<(MonoTime, usize)>>,
}

impl Audit {
    pub fn track(&mut self, call: TrackedCall) -> usize {
        self.tracked_calls.push(call);
        self.tracked_calls.len() - 1
    }

    /// Records that an upstream ran a request for the call `id`.
    pub fn record_run(&mut self, id: usize, now: MonoTime) {
        let entry = &mut self.tracked_calls[id];
        entry.runs.push(now);
        *self.runs_of_request.entry(entry.request).or_default() += 1;
        *self.runs_of_send.entry(entry.client_send.unwrap_or(id)).or_default() += 1;
        if let Some(key) = entry.key.clone().filter(|_| entry.is_non_idempotent) {
            self.runs_of_key.entry(key).or_default().push((now, id));
        }
    }

    /// Records that a caller got its final answer.
    pub fn record_answer(&mut self, id: usize, outcome: Outcome) {
        if self.tracked_calls[id].reported_outcome.replace(outcome).is_some() {
            self.violations.push(format!("call {id} was answered twice"));
        }
    }

    /// Compares all reported outcomes with all runs.
    pub fn close(&mut self, grant: u32) {
        let mut violations = Vec::new();
        for (request, runs) in &self.runs_of_request {
            if *runs > grant {
                violations.push(format!("request {request} ran {runs} times, granted {grant}"));
            }
        }
        for (send, runs) in &self.runs_of_send {
            let granted = self.tracked_calls[*send].granted;
            if *runs > granted {
                violations.push(format!("send {send} ran {runs} times, its share is {granted}"));
            }
        }
        for (key, runs) in &self.runs_of_key {
            if runs.len() > 1 {
                violations.push(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
        }
        for (id, call) in self.tracked_calls.iter().enumerate() {
            self.check_tracked_call(id, call, &mut violations);
        }
        self.violations.extend(violations);
    }

    fn check_tracked_call(&self, id: usize, call: &TrackedCall, violations: &mut Vec<String>) {
        if call.is_non_idempotent && call.runs.len() > 1 {
            violations.push(format!("call {id} ran {} times", call.runs.len()));
        }
        let key_runs = call.key.as_ref().and_then(|key| self.runs_of_key.get(key));
        let ran_before = key_runs.is_some_and(|runs| runs.iter().any(|(at, _)| *at < call.started));
        match call.reported_outcome {
            Some(Outcome::NotRun) if !call.runs.is_empty() => {
                violations.push(format!("call {id} was reported as not-run, but ran"));
            }
            Some(Outcome::NotRun) if ran_before => {
                violations.push(format!("call {id} was reported as not-run, but its key had run"));
            }
            Some(Outcome::Completed) if call.runs.is_empty() && key_runs.is_none() => {
                violations.push(format!("call {id} was reported as completed, but never ran"));
            }
            _ => {}
        }
    }
}
