use std::collections::BTreeMap;

use cuminarch_types::{MonoTime, Outcome};

/// One request of a client or an upstream to a node, which gets one final answer.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The client's request behind it.
    pub request: usize,
    /// The client's send behind it; none for that send itself.
    pub top: Option<usize>,
    /// Attempts that the client's send was granted.
    pub granted: u32,
    pub key: Option<String>,
    pub is_once: bool,
    pub started: MonoTime,
    pub told: Option<Outcome>,
    pub runs: Vec<MonoTime>,
}

/// What really happened, and how it compares with what was told.
#[derive(Debug, Default)]
pub struct Audit {
    pub asks: Vec<Ask>,
    pub faults: Vec<String>,
    runs_of_request: BTreeMap<usize, u32>,
    runs_of_send: BTreeMap<usize, u32>,
    runs_of_key: BTreeMap<String, Vec<(MonoTime, usize)>>,
}

impl Audit {
    pub fn ask(&mut self, ask: Ask) -> usize {
        self.asks.push(ask);
        self.asks.len() - 1
    }

    /// An upstream has run a request for `ask`.
    pub fn ran(&mut self, ask: usize, now: MonoTime) {
        let entry = &mut self.asks[ask];
        entry.runs.push(now);
        *self.runs_of_request.entry(entry.request).or_default() += 1;
        *self.runs_of_send.entry(entry.top.unwrap_or(ask)).or_default() += 1;
        if let Some(key) = entry.key.clone().filter(|_| entry.is_once) {
            self.runs_of_key.entry(key).or_default().push((now, ask));
        }
    }

    /// A caller got its final answer.
    pub fn tell(&mut self, ask: usize, outcome: Outcome) {
        if self.asks[ask].told.replace(outcome).is_some() {
            self.faults.push(format!("ask {ask} was answered twice"));
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
            let granted = self.asks[*send].granted;
            if *runs > granted {
                faults.push(format!("send {send} ran {runs} times, its share is {granted}"));
            }
        }
        for (key, runs) in &self.runs_of_key {
            if runs.len() > 1 {
                faults.push(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
        }
        for (id, ask) in self.asks.iter().enumerate() {
            self.check_ask(id, ask, &mut faults);
        }
        self.faults.extend(faults);
    }

    fn check_ask(&self, id: usize, ask: &Ask, faults: &mut Vec<String>) {
        if ask.is_once && ask.runs.len() > 1 {
            faults.push(format!("ask {id} ran {} times", ask.runs.len()));
        }
        let key_runs = ask.key.as_ref().and_then(|key| self.runs_of_key.get(key));
        let ran_before = key_runs.is_some_and(|runs| runs.iter().any(|(at, _)| *at < ask.started));
        match ask.told {
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
