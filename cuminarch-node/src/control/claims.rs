//! Binds clients' keys on the platform.

use std::thread::JoinHandle;

use cuminarch_engine::ClaimResult;
use cuminarch_platform::{Expect, HttpObjectStore, ObjectPath, ObjectStore, PlatformError};
use flume::{Receiver, Sender};

use crate::NodeError;
use crate::data::{ClaimRequest, DataCommand};
use crate::duty::Duties;

/// Everything the claims thread starts with.
pub struct ClaimThread {
    pub store: HttpObjectStore,
    pub claims: Receiver<ClaimRequest>,
    pub commands: Sender<DataCommand>,
}

impl ClaimThread {
    /// Starts the thread; it ends when the data thread has ended.
    pub fn spawn(self, duties: &Duties) -> Result<JoinHandle<()>, NodeError> {
        duties.spawn("claims", move || {
            while let Ok(claim) = self.claims.recv() {
                let result = self.try_claim(&claim).unwrap_or(ClaimResult::Unavailable);
                let _ = self.commands.send(DataCommand::Claimed(claim.call, result));
            }
        })
    }

    fn try_claim(&self, claim: &ClaimRequest) -> Result<ClaimResult, PlatformError> {
        let protocol = |reason: cuminarch_types::ParseError| PlatformError::Protocol {
            reason: reason.to_string(),
        };
        let path: ObjectPath = format!("claims/{}", claim.key).parse().map_err(protocol)?;
        let text = claim.bound.to_string();
        match self.store.put(&path, &text, Expect::Absent) {
            Ok(_) => Ok(ClaimResult::Granted),
            Err(PlatformError::Conflict { current: Some(object), .. }) => {
                if object.value == text {
                    return Ok(ClaimResult::Granted);
                }
                object.value.parse().map(ClaimResult::HeldBy).map_err(protocol)
            }
            Err(error) => Err(error),
        }
    }
}
