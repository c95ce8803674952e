//! Binds clients' keys on the platform.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

use cuminarch_claims::run_claim;
use cuminarch_engine::ClaimResult;
use cuminarch_once::{Claim, ClaimOutcome, ClaimSettings};
use cuminarch_platform::ObjectStore;
use cuminarch_types::ServiceName;
use flume::{Receiver, Sender};

use crate::NodeError;
use crate::data::{ClaimRequest, DataCommand};
use crate::duty::Duties;

/// Start parameters of the claims thread.
pub struct ClaimThread {
    store: Arc<dyn ObjectStore>,
    service: ServiceName,
    claims: Receiver<ClaimRequest>,
    commands: Sender<DataCommand>,
}

impl ClaimThread {
    /// Creates the thread's parameters for a node of `service`.
    pub const fn new(
        store: Arc<dyn ObjectStore>,
        service: ServiceName,
        claims: Receiver<ClaimRequest>,
        commands: Sender<DataCommand>,
    ) -> Self {
        Self { store, service, claims, commands }
    }

    /// Starts the thread; it ends when the data thread has ended.
    pub fn spawn(self, duties: &Duties) -> Result<JoinHandle<()>, NodeError> {
        duties.spawn("claims", move || {
            while let Ok(claim) = self.claims.recv() {
                let call = claim.call;
                let result = self.run(claim);
                let _ = self.commands.send(DataCommand::Claimed(call, result));
            }
        })
    }

    fn run(&self, claim: ClaimRequest) -> ClaimResult {
        let claim = Claim::new(ClaimSettings::new(), claim.key, claim.bound, wall_clock_s());
        match run_claim(&*self.store, &self.service, claim) {
            ClaimOutcome::Granted => ClaimResult::Granted,
            ClaimOutcome::HeldBy(key) => ClaimResult::HeldBy(key),
            ClaimOutcome::Unavailable => ClaimResult::Unavailable,
        }
    }
}

/// Returns the seconds since the Unix epoch, which determine when a claim expires.
fn wall_clock_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
