use std::fmt::Debug;

use cuminarch_protocol::ControlMessage;
use cuminarch_types::MonoTime;

use crate::{Fleet, FleetAction, FleetEvent, FleetSummary, Roster};

/// State machine for the membership and configuration of one node: it handles events
/// and returns actions.
pub trait ControlPlane: Debug + Send {
    /// Handles an event and returns the actions to execute.
    fn handle(&mut self, event: FleetEvent, now: MonoTime) -> Vec<FleetAction>;

    /// Returns the message that this node sends first on a link.
    fn hello(&self) -> ControlMessage;

    /// Returns the state for operators.
    fn summary(&self, now: MonoTime) -> FleetSummary;

    /// Returns `true` if the own upstream has left and no later process of the node would know of it.
    fn owes_departure(&self) -> bool;
}

impl ControlPlane for Fleet {
    fn handle(&mut self, event: FleetEvent, now: MonoTime) -> Vec<FleetAction> {
        Self::handle(self, event, now)
    }

    fn hello(&self) -> ControlMessage {
        Self::hello(self)
    }

    fn summary(&self, _: MonoTime) -> FleetSummary {
        Self::summary(self)
    }

    fn owes_departure(&self) -> bool {
        false
    }
}

impl ControlPlane for Roster {
    fn handle(&mut self, event: FleetEvent, now: MonoTime) -> Vec<FleetAction> {
        Self::handle(self, event, now)
    }

    fn hello(&self) -> ControlMessage {
        Self::hello(self)
    }

    fn summary(&self, now: MonoTime) -> FleetSummary {
        Self::summary(self, now)
    }

    fn owes_departure(&self) -> bool {
        Self::owes_departure(self)
    }
}
