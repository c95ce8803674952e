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
use crate::watcher::watch_revisions;
use crate::{Observations, Promise, Sabotage, Schedule, Stop, Violation};

/// One run: a schedule, played against daemons of one program.
#[derive(Clone, Debug)]
pub struct Soak {
    program: PathBuf,
    schedule: Schedule,
    sabotage: Option<Sabotage>,
}

impl Soak {
    const CALLERS: usize = 8;
    /// Time in which requests complete again after the last fault: the users'
    /// `recoveryS`.
    const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
    const WORKERS: usize = 2;

    /// A run of this schedule.
    #[must_use]
    pub const fn new(program: PathBuf, schedule: Schedule) -> Self {
        Self { program, schedule, sabotage: None }
    }

    /// Breaches a promise on purpose.
    #[must_use]
    pub const fn with_sabotage(mut self, sabotage: Option<Sabotage>) -> Self {
        self.sabotage = sabotage;
        self
    }

    /// Starts the daemons, plays the schedule and judges what was seen.
    ///
    /// # Errors
    ///
    /// Fails when the daemons cannot be started or signalled.
    pub fn run(&self) -> Result<SoakReport> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(Self::WORKERS)
            .enable_all()
            .build()?;
        let observations = runtime.block_on(self.play())?;
        let is_completed = |told: &&crate::Told| told.outcome == Some(Outcome::Completed);
        Ok(SoakReport {
            schedule: self.schedule.clone(),
            asked: observations.told.len(),
            completed: observations.told.iter().filter(is_completed).count(),
            recovery: observations.recovery,
            violations: observations.violations(),
        })
    }

    async fn play(&self) -> Result<Observations> {
        let fleet = Arc::new(Fleet::start(&self.program).await?);
        let until = Instant::now() + self.schedule.length;
        let mut callers = JoinSet::new();
        for number in 0..Self::CALLERS {
            let caller = Caller::new(number, fleet.sites.clone(), self.sabotage);
            callers.spawn(caller.run(until));
        }
        let mut watchers = JoinSet::new();
        for (index, site) in fleet.sites.iter().cloned().enumerate() {
            watchers.spawn(async move { (index, watch_revisions(site, until).await) });
        }
        let mut observations =
            Observations { stops: self.disturb(&fleet).await?, ..Default::default() };
        observations.told = callers.join_all().await.into_iter().flatten().collect();
        observations.revisions = watchers.join_all().await.into_iter().collect();
        self.finish(&fleet, &mut observations).await?;
        Ok(observations)
    }

    /// Plays all faults to their ends.
    async fn disturb(&self, fleet: &Arc<Fleet>) -> Result<Vec<Stop>> {
        let mut faults = JoinSet::new();
        for step in self.schedule.steps.clone() {
            let fleet = Arc::clone(fleet);
            faults.spawn(async move {
                tokio::time::sleep(step.at).await;
                fleet.disturb(step).await
            });
        }
        let stops: Result<Vec<Option<Stop>>> = faults.join_all().await.into_iter().collect();
        Ok(stops?.into_iter().flatten().collect())
    }

    async fn finish(&self, fleet: &Fleet, observations: &mut Observations) -> Result<()> {
        let breaches = |promise| self.sabotage == Some(Sabotage(promise));
        if breaches(Promise::Recovery) {
            fleet.signal(Signal::STOP)?;
            observations.recovery = fleet.recover(Duration::ZERO).await.ok();
            fleet.signal(Signal::CONT)?;
        } else {
            observations.recovery = fleet.recover(Self::RECOVERY_LIMIT).await.ok();
        }
        if breaches(Promise::ConfigurationNeverBack) {
            observations.revisions.entry(0).or_default().push(0);
        }
        let signal = if breaches(Promise::GracefulStops) { Signal::KILL } else { Signal::TERM };
        observations.stops.extend(fleet.stop(signal).await?);
        let (fronts, backs) = fleet.sites.split_at(Fleet::FRONTS);
        observations.runs = Fleet::runs(fronts, &observations.told);
        observations.runs_behind = Fleet::runs(backs, &observations.told);
        Ok(())
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The schedule that was played.
    pub schedule: Schedule,
    /// Requests that callers sent.
    pub asked: usize,
    /// Those that completed.
    pub completed: usize,
    /// Time until requests completed again after the last fault.
    pub recovery: Option<Duration>,
    /// The promises that did not hold.
    pub violations: Vec<Violation>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { schedule, asked, completed, recovery, violations } = self;
        let recovery = recovery.map_or_else(|| "never".to_owned(), |time| format!("{time:.1?}"));
        writeln!(
            formatter,
            "seed {}: {completed} of {asked} completed, recovery {recovery}, {} violations",
            schedule.seed,
            violations.len(),
        )?;
        for violation in violations {
            writeln!(formatter, "  {violation}")?;
        }
        if violations.is_empty() { Ok(()) } else { write!(formatter, "{schedule}") }
    }
}
