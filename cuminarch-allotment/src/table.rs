use std::collections::{BTreeMap, BTreeSet};

use cuminarch_protocol::AllotmentMessage;
use cuminarch_types::{AccountName, Allotment, CallId, EndpointId, MonoTime, ZoneName};

use crate::{AccountUsage, AllotmentOutput, AllotmentSettings, TokenDecision};

/// Allotments as one node sees them: parts that it holds, and tokens that it was handed.
#[derive(Clone, Debug)]
pub struct AllotmentTable {
    settings: AllotmentSettings,
    accounts: BTreeMap<AccountName, Allotment>,
    members: BTreeMap<ZoneName, BTreeSet<EndpointId>>,
    outputs: Vec<AllotmentOutput>,
}

impl AllotmentTable {
    /// Creates a table without accounts.
    #[must_use]
    pub const fn new(settings: AllotmentSettings) -> Self {
        Self { settings, accounts: BTreeMap::new(), members: BTreeMap::new(), outputs: Vec::new() }
    }

    /// Sets the accounts with an allotment; all others are not limited.
    pub fn set_accounts(&mut self, accounts: BTreeMap<AccountName, Allotment>, _now: MonoTime) {
        self.accounts = accounts;
    }

    /// Records whether an endpoint belongs to the fleet. Being unreachable for a while does not end
    /// that.
    pub fn set_member(
        &mut self,
        endpoint: &EndpointId,
        zone: &ZoneName,
        is_member: bool,
        _now: MonoTime,
    ) {
        let members = self.members.entry(zone.clone()).or_default();
        if is_member {
            members.insert(endpoint.clone());
        } else {
            members.remove(endpoint);
        }
    }

    /// Decides whether a request of an account may start.
    pub fn request(
        &mut self,
        _account: &AccountName,
        _call: CallId,
        _now: MonoTime,
    ) -> TokenDecision {
        TokenDecision::Granted
    }

    /// Records a request of an account that was refused before it asked for a token.
    pub fn record_refused(&mut self, _account: &AccountName, _now: MonoTime) {}

    /// Returns the token of a request that was granted one and then did not start.
    pub fn give_back(&mut self, _account: &AccountName, _now: MonoTime) {}

    /// Forgets a waiting request.
    pub fn cancel(&mut self, _call: CallId) {}

    /// Handles a message of another node.
    pub fn receive(&mut self, _from: &EndpointId, _message: AllotmentMessage, _now: MonoTime) {}

    /// Handles what is due.
    pub fn tick(&mut self, _now: MonoTime) {}

    /// Returns when [`AllotmentTable::tick`] is due, if ever.
    #[must_use]
    pub const fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// Returns what the driver has to do, in order.
    pub fn take_outputs(&mut self) -> Vec<AllotmentOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the usage of an account, if a holder has reported it recently.
    #[must_use]
    pub const fn usage(&self, _account: &AccountName, _now: MonoTime) -> Option<AccountUsage> {
        None
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &AllotmentSettings {
        &self.settings
    }
}
