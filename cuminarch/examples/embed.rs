//! Drives the decision engine without HTTP, threads or a clock.
//!
//! A program with its own transport feeds events to the engine and executes the
//! actions that it returns. Here requests arrive at twice the rate that the
//! upstream serves, and half of them are protected. Time is simulated.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminarch::engine::LocalEnd;
use cuminarch::prelude::*;
use eyre::{Result, eyre};

const SHEET: &str = "
classes:
  - {name: browse, grant_attempts: 4, deadline_ms: 500}
  - {name: booking, grant_attempts: 4, deadline_ms: 500, protected: true}
rules:
  - {class: booking, path: /bookings/**, idempotent: true}
default_class: browse
";
const REQUESTS: u64 = 2_000;
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_millis(32);
const SLOTS: usize = 16;

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    completed: u64,
    refused: u64,
}

/// Simulated upstream with a fixed number of slots, and the engine in front of it.
struct Simulation {
    engine: Engine,
    slots_free_at: [MonoTime; SLOTS],
    completions: BTreeSet<(MonoTime, CallId)>,
    is_booking: BTreeMap<CallId, bool>,
    tallies: [Tally; 2],
}

impl Simulation {
    fn new() -> Result<Self> {
        let settings = EngineSettings::new(
            "benk-1".parse()?,
            "benk".parse()?,
            "nordvest-a".parse()?,
            "nordvest".parse()?,
        );
        let policy = Policy::from_sheet(Revision::new(1), &Sheet::parse(SHEET)?)?;
        let engine = Engine::new(settings, Arc::new(policy));
        let tallies = [Tally::default(); 2];
        Ok(Self {
            engine,
            slots_free_at: [MonoTime::ZERO; SLOTS],
            completions: BTreeSet::new(),
            is_booking: BTreeMap::new(),
            tallies,
        })
    }

    fn arrive(&mut self, number: u64, now: MonoTime) {
        let is_booking = number.is_multiple_of(2);
        let target = if is_booking { "/bookings/7" } else { "/guides/7" };
        let call = self.engine.next_call();
        self.is_booking.insert(call, is_booking);
        let root = RequestId::new(u128::from(number) * 0x9e37_79b9);
        self.handle_event(Event::arrive(call, Arrival::inbound(root, "GET", target)), now);
    }

    fn handle_event(&mut self, event: Event, now: MonoTime) {
        for action in self.engine.handle(event, now) {
            match action {
                Action::RunLocal { call, .. } => self.start_run(call, now),
                Action::Close { call, .. } => self.tally(call).completed += 1,
                Action::Refuse { call, .. } => self.tally(call).refused += 1,
                Action::CancelLocal { call } => self.completions.retain(|(_, id)| *id != call),
                _ => {}
            }
        }
    }

    fn start_run(&mut self, call: CallId, now: MonoTime) {
        self.slots_free_at.sort_unstable();
        let end = self.slots_free_at[0].max(now).after(SERVICE_TIME);
        self.slots_free_at[0] = end;
        self.completions.insert((end, call));
    }

    fn complete_until(&mut self, now: MonoTime) {
        while let Some((at, call)) = self.completions.first().copied().filter(|(at, _)| *at <= now)
        {
            self.completions.pop_first();
            self.handle_event(Event::LocalHead(call), at);
            self.handle_event(Event::LocalEnd(call, LocalEnd::Complete(None)), at);
        }
        self.handle_event(Event::Tick, now);
    }

    fn tally(&mut self, call: CallId) -> &mut Tally {
        let is_booking = self.is_booking.remove(&call).unwrap_or(false);
        &mut self.tallies[usize::from(is_booking)]
    }
}

fn main() -> Result<()> {
    let mut simulation = Simulation::new()?;
    let mut now = MonoTime::ZERO;
    for number in 0..REQUESTS {
        now = now.after(ARRIVAL_INTERVAL);
        simulation.complete_until(now);
        simulation.arrive(number, now);
    }
    simulation.complete_until(now.after(Duration::from_secs(1)));
    let [browse, booking] = simulation.tallies;
    println!("browse   completed {:>5}  refused {:>5}", browse.completed, browse.refused);
    println!("booking  completed {:>5}  refused {:>5}", booking.completed, booking.refused);
    if booking.completed < browse.completed {
        return Err(eyre!("more browse requests than bookings were completed"));
    }
    Ok(())
}
