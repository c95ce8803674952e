//! Announces the endpoint on the platform and learns of members and configuration.

use std::thread::JoinHandle;

use cuminarch_config::{ConfigDocument, ConfigGate, GateDecision};
use cuminarch_engine::ClaimResult;
use cuminarch_platform::{Expect, HttpObjectStore, ObjectPath, ObjectStore, PlatformError};
use cuminarch_protocol::{Member, MemberState};
use flume::{Receiver, Sender};
use log::{info, warn};

use crate::NodeError;
use crate::data::{ClaimRequest, DataCommand};
use crate::duty::Duties;
use crate::event::NodeEvent;
use crate::timer::Subscription;

/// What the control thread wakes for.
enum Wake {
    Stop,
    Leave,
    Claim(ClaimRequest),
    Tick,
}

/// Everything the control thread starts with.
pub struct ControlThread {
    pub member: Member,
    pub store: HttpObjectStore,
    pub ticks: Subscription,
    pub claims: Receiver<ClaimRequest>,
    pub commands: Sender<DataCommand>,
    /// Told when the node takes no new calls.
    pub leave: Receiver<()>,
    /// Closes when the node's calls have ended.
    pub stop: Receiver<()>,
}

impl ControlThread {
    /// Starts the thread; it ends when the stop channel closes.
    pub fn spawn(self, duties: &Duties) -> Result<JoinHandle<()>, NodeError> {
        duties.spawn("control", move || self.run())
    }

    fn run(mut self) {
        let mut gate = ConfigGate::new();
        let mut available = true;
        self.refresh(&mut gate, &mut available);
        loop {
            let wake = flume::Selector::new()
                .recv(&self.stop, |_| Wake::Stop)
                .recv(&self.leave, |told| told.map_or(Wake::Stop, |()| Wake::Leave))
                .recv(&self.claims, |claim| claim.map_or(Wake::Stop, Wake::Claim))
                .recv(&self.ticks, |_| Wake::Tick)
                .wait();
            match wake {
                Wake::Stop => break,
                Wake::Leave => {
                    self.member.state = MemberState::Leaving;
                    let _ = self.announce(&self.member);
                }
                Wake::Claim(claim) => self.claim(&claim),
                Wake::Tick => self.refresh(&mut gate, &mut available),
            }
        }
        self.member.state = MemberState::Gone;
        let _ = self.announce(&self.member);
    }

    fn refresh(&self, gate: &mut ConfigGate, available: &mut bool) {
        let result = self
            .announce(&self.member)
            .and_then(|()| self.read_members())
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

    fn read_members(&self) -> Result<(), PlatformError> {
        let listing = self.store.list(&path("members")?)?;
        for object in &listing.objects {
            let Ok(member) = serde_json::from_str::<Member>(&object.value) else { continue };
            let _ = self.commands.send(DataCommand::Member(Box::new(member)));
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
