//! Announces the endpoint on the platform and learns of members and configuration.

use std::thread::{self, JoinHandle};

use cuminarch_config::{ConfigDocument, ConfigGate, GateDecision};
use cuminarch_engine::ClaimResult;
use cuminarch_membership::{MemberTable, Merge};
use cuminarch_platform::{Expect, HttpObjectStore, ObjectPath, ObjectStore, PlatformError};
use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::MonoTime;
use flume::{Receiver, Sender};
use log::{info, warn};

use crate::NodeError;
use crate::data::{ClaimRequest, DataCommand};
use crate::event::NodeEvent;
use crate::timer::Subscription;

/// Everything the control thread starts with.
pub struct ControlThread {
    pub member: Member,
    pub store: HttpObjectStore,
    pub ticks: Subscription,
    pub claims: Receiver<ClaimRequest>,
    pub commands: Sender<DataCommand>,
    pub stop: Receiver<()>,
}

impl ControlThread {
    /// Starts the thread; it ends when the stop channel closes.
    pub fn spawn(self) -> Result<JoinHandle<()>, NodeError> {
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || self.run())
            .map_err(|source| NodeError::Thread { duty: "control", source })
    }

    fn run(self) {
        let mut table = MemberTable::new();
        let mut gate = ConfigGate::new();
        let mut available = true;
        self.refresh(&mut table, &mut gate, &mut available);
        loop {
            let is_stopped = flume::Selector::new()
                .recv(&self.stop, |_| true)
                .recv(&self.claims, |claim| claim.map(|claim| self.claim(&claim)).is_err())
                .recv(&self.ticks, |_| {
                    self.refresh(&mut table, &mut gate, &mut available);
                    false
                })
                .wait();
            if is_stopped {
                break;
            }
        }
        let mut member = self.member.clone();
        member.state = MemberState::Gone;
        let _ = self.announce(&member);
    }

    fn refresh(&self, table: &mut MemberTable, gate: &mut ConfigGate, available: &mut bool) {
        let result = self
            .announce(&self.member)
            .and_then(|()| self.read_members(table))
            .and_then(|()| self.read_config(gate));
        match result {
            Ok(()) if !*available => info!("{}", NodeEvent::PlatformAvailable),
            Err(ref error) if *available => warn!("{}: {error}", NodeEvent::PlatformUnavailable),
            _ => {}
        }
        *available = result.is_ok();
    }

    fn announce(&self, member: &Member) -> Result<(), PlatformError> {
        let path = path(&format!("members/{}", member.endpoint))?;
        let value = serde_json::to_string(member).map_err(protocol)?;
        self.store.put(&path, &value, Expect::Any).map(|_| ())
    }

    fn read_members(&self, table: &mut MemberTable) -> Result<(), PlatformError> {
        let listing = self.store.list(&path("members")?)?;
        for object in &listing.objects {
            let Ok(member) = serde_json::from_str::<Member>(&object.value) else { continue };
            let statement = std::sync::Arc::new(member.clone());
            if table.merge(&statement, MonoTime::ZERO) == Merge::Newer {
                let _ = self.commands.send(DataCommand::Member(Box::new(member)));
            }
        }
        Ok(())
    }

    fn read_config(&self, gate: &mut ConfigGate) -> Result<(), PlatformError> {
        let Some(object) = self.store.get(&path("config/current")?)? else { return Ok(()) };
        let document: ConfigDocument = serde_json::from_str(&object.value).map_err(protocol)?;
        let revision = document.revision;
        match gate.offer(&document) {
            GateDecision::Accepted(policy) => {
                info!("{} revision={revision}", NodeEvent::ConfigInForce);
                let _ = self.commands.send(DataCommand::Policy(policy));
            }
            GateDecision::NotNewer => {}
            GateDecision::Refused(error) => {
                warn!("{} revision={revision}: {error}", NodeEvent::ConfigRefused);
            }
        }
        Ok(())
    }

    fn claim(&self, claim: &ClaimRequest) {
        let result = self.try_claim(claim).unwrap_or(ClaimResult::Unavailable);
        let _ = self.commands.send(DataCommand::Claimed(claim.call, result));
    }

    fn try_claim(&self, claim: &ClaimRequest) -> Result<ClaimResult, PlatformError> {
        let path = path(&format!("claims/{}", claim.key))?;
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

fn path(text: &str) -> Result<ObjectPath, PlatformError> {
    text.parse().map_err(protocol)
}

fn protocol(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Protocol { reason: error.to_string() }
}
