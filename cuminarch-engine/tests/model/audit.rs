use std::collections::BTreeMap;

use cuminarch_types::{MonoTime, Outcome};

/// One request of a client or an upstream to a node, which gets one final answer.
#[derive(Clone, Debug)]
pub struct TrackedCall {
    /// The client's request behind it.
    pub request: usize,
    /// The client's send behind it; none for that send itself.
    pub client_send: Option<usize>,
    /// Attempts that the client's send was granted.
    pub granted: u32,
    pub key: Option<String>,
    pub is_non_idempotent: bool,
    pub started: MonoTime,
    pub reported_outcome: Option<Outcome>,
    pub runs: Vec<MonoTime>,
}

/// What really happened, and how it compares with what was told.
#[derive(Debug, Default)]
pub struct Audit {
    pub tracked_calls: Vec<TrackedCall>,
    pub violations: Vec<String>,
    runs_of_request: BTreeMap<usize, u32>,
    runs_of_send: BTreeMap<usize, u32>,
    runs_of_key: BTreeMap<String, Vec<(MonoTime, usize)>>,
}

impl Audit {
    pub fn track(&mut self, ask: TrackedCall) -> usize {
        self.tracked_calls.push(ask);
        self.tracked_calls.len() - 1
    }

    /// An upstream has run a request for `ask`.
    pub fn record_run(&mut self, ask: usize, now: MonoTime) {
        let entry = &mut self.tracked_calls[ask];
        entry.runs.push(now);
        *self.runs_of_request.entry(entry.request).or_default() += 1;
        *self.runs_of_send.entry(entry.client_send.unwrap_or(ask)).or_default() += 1;
        if let Some(key) = entry.key.clone().filter(|_| entry.is_non_idempotent) {
            self.runs_of_key.entry(key).or_default().push((now, ask));
        }
    }

    /// A caller got its final answer.
    pub fn record_answer(&mut self, ask: usize, outcome: Outcome) {
        if self.tracked_calls[ask].reported_outcome.replace(outcome).is_some() {
            self.violations.push(format!("ask {ask} was answered twice"));
        }
    }

    /// Compares everything told with everything run.
    pub fn close(&mut self, grant: u32) {
        let mut faults = Vec::new();
        for (request, runs) in &self.runs_of_request {
            if *runs > grant {
                faults.push(format!("request {request} ran {runs} times, granted {grant}"));
            }
        }
        for (send, runs) in &self.runs_of_send {
            let granted = self.tracked_calls[*send].granted;
            if *runs > granted {
                faults.push(format!("send {send} ran {runs} times, its share is {granted}"));
            }
        }
        for (key, runs) in &self.runs_of_key {
            if runs.len() > 1 {
                faults.push(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
        }
        for (id, ask) in self.tracked_calls.iter().enumerate() {
            self.check_tracked_call(id, ask, &mut faults);
        }
        self.violations.extend(faults);
    }

    fn check_tracked_call(&self, id: usize, ask: &TrackedCall, faults: &mut Vec<String>) {
        if ask.is_non_idempotent && ask.runs.len() > 1 {
            faults.push(format!("ask {id} ran {} times", ask.runs.len()));
        }
        let key_runs = ask.key.as_ref().and_then(|key| self.runs_of_key.get(key));
        let ran_before = key_runs.is_some_and(|runs| runs.iter().any(|(at, _)| *at < ask.started));
        match ask.reported_outcome {
            Some(Outcome::NotRun) if !ask.runs.is_empty() => {
                faults.push(format!("ask {id} was told not-run, but ran"));
            }
            Some(Outcome::NotRun) if ran_before => {
                faults.push(format!("ask {id} was told not-run, but its key had run"));
            }
            Some(Outcome::Completed) if ask.runs.is_empty() && key_runs.is_none() => {
                faults.push(format!("ask {id} was told completed, but never ran"));
            }
            _ => {}
        }
    }
}
