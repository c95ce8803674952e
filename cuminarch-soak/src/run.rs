use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cuminarch_types::Outcome;
use eyre::Result;
use rustix::process::Signal;
use tokio::task::JoinSet;

use crate::callers::Caller;
use crate::fleet::Fleet;
use crate::watcher::poll_revisions;
use crate::{Observations, Promise, Sabotage, Schedule, Termination, Violation};

/// A run of a schedule against daemons of one program.
#[derive(Clone, Debug)]
pub struct Soak {
    program: PathBuf,
    schedule: Schedule,
    sabotage: Option<Sabotage>,
}

impl Soak {
    const CALLER_COUNT: usize = 8;
    /// Time within which requests complete again after the last fault: the users'
    /// `recoveryS`.
    const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
    const WORKER_THREADS: usize = 2;

    /// Creates a run of this schedule.
    #[must_use]
    pub const fn new(program: PathBuf, schedule: Schedule) -> Self {
        Self { program, schedule, sabotage: None }
    }

    /// Sets a promise to be violated on purpose.
    #[must_use]
    pub const fn with_sabotage(mut self, sabotage: Option<Sabotage>) -> Self {
        self.sabotage = sabotage;
        self
    }

    /// Starts the daemons, runs the schedule and evaluates the observations.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemons cannot be started or signalled.
    pub fn run(&self) -> Result<SoakReport> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(Self::WORKER_THREADS)
            .enable_all()
            .build()?;
        let observations = runtime.block_on(self.run_schedule())?;
        let is_completed =
            |result: &&crate::CallerResult| result.outcome == Some(Outcome::Completed);
        Ok(SoakReport {
            schedule: self.schedule.clone(),
            requests: observations.caller_results.len(),
            completed: observations.caller_results.iter().filter(is_completed).count(),
            recovery: observations.recovery,
            violations: observations.violations(),
        })
    }

    async fn run_schedule(&self) -> Result<Observations> {
        let fleet = Arc::new(Fleet::start(&self.program).await?);
        let deadline = Instant::now() + self.schedule.duration;
        let mut callers = JoinSet::new();
        for index in 0..Self::CALLER_COUNT {
            let caller = Caller::new(index, fleet.sites.clone(), self.sabotage);
            callers.spawn(caller.run(deadline));
        }
        let mut watchers = JoinSet::new();
        for (index, site) in fleet.sites.iter().cloned().enumerate() {
            watchers.spawn(async move { (index, poll_revisions(site, deadline).await) });
        }
        let mut observations =
            Observations { terminations: self.inject_faults(&fleet).await?, ..Default::default() };
        observations.caller_results = callers.join_all().await.into_iter().flatten().collect();
        observations.revisions = watchers.join_all().await.into_iter().collect();
        self.finish(&fleet, &mut observations).await?;
        Ok(observations)
    }

    /// Injects all faults and waits until they have ended.
    async fn inject_faults(&self, fleet: &Arc<Fleet>) -> Result<Vec<Termination>> {
        let mut faults = JoinSet::new();
        for scheduled in self.schedule.faults.clone() {
            let fleet = Arc::clone(fleet);
            faults.spawn(async move {
                tokio::time::sleep(scheduled.start_offset).await;
                fleet.inject_fault(scheduled).await
            });
        }
        let terminations: Result<Vec<Option<Termination>>> =
            faults.join_all().await.into_iter().collect();
        Ok(terminations?.into_iter().flatten().collect())
    }

    async fn finish(&self, fleet: &Fleet, observations: &mut Observations) -> Result<()> {
        let violates = |promise| self.sabotage == Some(Sabotage(promise));
        if violates(Promise::Recovery) {
            fleet.signal(Signal::STOP)?;
            observations.recovery = fleet.wait_until_recovered(Duration::ZERO).await.ok();
            fleet.signal(Signal::CONT)?;
        } else {
            observations.recovery = fleet.wait_until_recovered(Self::RECOVERY_TIMEOUT).await.ok();
        }
        if violates(Promise::ConfigurationNeverBack) {
            observations.revisions.entry(0).or_default().push(0);
        }
        let signal = if violates(Promise::GracefulStops) { Signal::KILL } else { Signal::TERM };
        observations.terminations.extend(fleet.stop(signal).await?);
        let (entry_sites, downstream_sites) = fleet.sites.split_at(Fleet::ENTRY_SITE_COUNT);
        let keys = fleet.sites.iter().map(|site| site.upstream.keys_received());
        observations.keys_at_upstreams = keys.sum();
        observations.runs = Fleet::runs(entry_sites, &observations.caller_results);
        observations.downstream_runs = Fleet::runs(downstream_sites, &observations.caller_results);
        Ok(())
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The schedule of the run.
    pub schedule: Schedule,
    /// Number of requests sent by callers.
    pub requests: usize,
    /// Number of requests that completed.
    pub completed: usize,
    /// Time until requests completed again after the last fault; `None` if that took too long.
    pub recovery: Option<Duration>,
    /// Violations of promises.
    pub violations: Vec<Violation>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { schedule, requests, completed, recovery, violations } = self;
        let recovery = recovery.map_or_else(|| "never".to_owned(), |time| format!("{time:.1?}"));
        writeln!(
            formatter,
            "seed {}: {completed} of {requests} completed, recovery {recovery}, {} violations",
            schedule.seed,
            violations.len(),
        )?;
        for violation in violations {
            writeln!(formatter, "  {violation}")?;
        }
        if violations.is_empty() { Ok(()) } else { write!(formatter, "{schedule}") }
    }
}
