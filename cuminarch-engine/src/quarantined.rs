//! Requests that crash the endpoints that run them.

use std::time::Duration;

use cuminarch_types::{MonoTime, RequestIdentity};

use crate::call::Stage;
use crate::{Action, Engine, QuarantineNotice};

impl Engine {
    /// Shortest time from the end of a process of the upstream to the end of the next one, unless
    /// the upstream answered a call in between.
    const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

    /// Notes which requests the local upstream was running when its process ended.
    ///
    /// The calls of a process that ended report its end one after the other; the first report counts.
    pub(crate) fn upstream_ended(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let is_known = self.ended_at.is_some_and(|at| now.since(at) < Self::MIN_RESTART_TIME);
        self.ended_at = Some(now);
        if is_known {
            return;
        }
        let instance = self.upstream.as_ref().and_then(|upstream| upstream.instance.clone());
        let runs = self.runs(now);
        let runs = runs.into_iter().map(|(identity, age)| (identity.request, age)).collect();
        actions.push(Action::ReportQuarantine(QuarantineNotice::UpstreamEnded { instance, runs }));
    }

    /// Returns the requests that the local upstream runs and the age of their runs, the latest
    /// first.
    fn runs(&self, now: MonoTime) -> Vec<(RequestIdentity, Duration)> {
        let mut runs: Vec<(RequestIdentity, Duration)> = self
            .calls
            .values()
            .filter_map(|call| match call.stage {
                Stage::Running { since, .. } => Some((call.identity?, now.since(since))),
                _ => None,
            })
            .collect();
        runs.sort_by_key(|(_, age)| *age);
        runs
    }
}
