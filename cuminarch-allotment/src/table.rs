use std::collections::BTreeMap;

use cuminarch_protocol::{AllotmentGrant, AllotmentMessage};
use cuminarch_types::{AccountName, Allotment, CallId, EndpointId, MonoTime, ZoneName};

use crate::account::{Account, Members, first_refill};
use crate::account_holder::not_holder;
use crate::bounds::{IDLE_AGE, QUARANTINE, STALL};
use crate::shared::{Purpose, Shared};
use crate::{AccountSummary, AccountUsage, AllotmentOutput, AllotmentSettings, TokenDecision};

/// Allotments as one node sees them: parts that it holds, and tokens that it was handed.
#[derive(Clone, Debug)]
pub struct AllotmentTable {
    settings: AllotmentSettings,
    pub(crate) accounts: BTreeMap<AccountName, Account>,
    members: Members,
    /// When the members of the own zone last changed.
    zone_changed_at: Option<MonoTime>,
    pub(crate) shared: Shared,
    cleanup_at: Option<MonoTime>,
    /// Time of the last event.
    observed_at: Option<MonoTime>,
}

impl AllotmentTable {
    /// Creates a table without accounts.
    #[must_use]
    pub fn new(settings: AllotmentSettings) -> Self {
        let shared = Shared::new(&settings);
        Self {
            settings,
            accounts: BTreeMap::new(),
            members: Members::new(),
            zone_changed_at: None,
            shared,
            cleanup_at: None,
            observed_at: None,
        }
    }

    /// Sets the accounts with an allotment; all others are not limited.
    pub fn set_accounts(&mut self, accounts: BTreeMap<AccountName, Allotment>, now: MonoTime) {
        self.observe(now);
        let removed: Vec<AccountName> =
            self.accounts.keys().filter(|name| !accounts.contains_key(*name)).cloned().collect();
        for name in removed {
            self.remove_account(&name);
        }
        let mut refills_from = first_refill(self.zone_changed_at, now);
        // A process that has just been configured may not know all members yet.
        if self.accounts.is_empty() {
            refills_from = refills_from.max(now.after(QUARANTINE));
        }
        for (name, limit) in accounts {
            if let Some(account) = self.accounts.get_mut(&name) {
                account.set_limit(limit, &self.settings, &self.members, now);
                account.resume(now, &mut self.shared);
            } else {
                let account =
                    Account::new(name.clone(), limit, &self.settings, &self.members, refills_from);
                self.accounts.insert(name, account);
            }
        }
    }

    /// Records whether an endpoint belongs to the fleet. Being unreachable for a while does not end
    /// that.
    pub fn set_member(
        &mut self,
        endpoint: &EndpointId,
        zone: &ZoneName,
        is_member: bool,
        now: MonoTime,
    ) {
        self.observe(now);
        // Without a division all members are candidates for the one part.
        let zone =
            if self.settings.zones.is_empty() { self.settings.zone.clone() } else { zone.clone() };
        let members = self.members.entry(zone.clone()).or_default();
        let is_changed =
            if is_member { members.insert(endpoint.clone()) } else { members.remove(endpoint) };
        if !is_changed {
            return;
        }
        if !is_member {
            self.shared.heard(endpoint);
        }
        if zone == self.settings.zone {
            self.zone_changed_at = Some(now);
        }
        for account in self.accounts.values_mut() {
            account.set_member(endpoint, &zone, is_member, &self.settings, (&self.members, now));
            account.resume(now, &mut self.shared);
        }
    }

    /// Decides whether a request of an account may start.
    pub fn request(&mut self, account: &AccountName, call: CallId, now: MonoTime) -> TokenDecision {
        self.observe(now);
        let Some(account) = self.accounts.get_mut(account) else { return TokenDecision::Granted };
        self.cleanup_at.get_or_insert(now.after(IDLE_AGE));
        account.request(call, now, &mut self.shared)
    }

    /// Records a request of an account that was refused before it asked for a token.
    pub fn record_refused(&mut self, account: &AccountName, now: MonoTime) {
        self.observe(now);
        if let Some(account) = self.accounts.get_mut(account) {
            self.cleanup_at.get_or_insert(now.after(IDLE_AGE));
            account.record_refused(now, &mut self.shared);
        }
    }

    /// Returns the token of a request that was granted one in the last 10 s and did not start. As it is not
    /// known which one, the oldest grant of that time is taken, so the token may have expired;
    /// [`AllotmentTable::give_back_call`] loses fewer.
    pub fn give_back(&mut self, account: &AccountName, now: MonoTime) {
        self.return_token(account, None, now);
    }

    /// Returns the token of a request that was granted one and then did not start.
    pub fn give_back_call(&mut self, account: &AccountName, call: CallId, now: MonoTime) {
        self.return_token(account, Some(call), now);
    }

    /// Forgets a waiting request.
    pub fn cancel(&mut self, call: CallId) {
        if let Some(name) = self.shared.waiting.remove(&call)
            && let Some(account) = self.accounts.get_mut(&name)
        {
            account.cancel(call);
        }
    }

    /// Handles a message of another node.
    pub fn receive(&mut self, from: &EndpointId, message: AllotmentMessage, now: MonoTime) {
        self.observe(now);
        self.shared.heard(from);
        match message {
            AllotmentMessage::Ask(ask) => {
                if self.shared.is_repeated(from, ask.id) {
                    return;
                }
                match self.accounts.get_mut(&ask.account) {
                    Some(account) => account.on_ask(from, &ask, now, &mut self.shared),
                    None => self.shared.send(from, AllotmentMessage::Grant(not_holder(&ask))),
                }
            }
            AllotmentMessage::Grant(grant) => self.receive_grant(from, &grant, now),
        }
    }

    /// Handles what is due.
    pub fn tick(&mut self, now: MonoTime) {
        self.observe(now);
        while let Some((id, ask)) = self.shared.next_late(now) {
            let Some(account) = self.accounts.get_mut(&ask.account) else { continue };
            match ask.purpose {
                Purpose::Entry => account.on_late(id, now, &mut self.shared),
                Purpose::Gather { shard } => {
                    account.on_lender_late(id, shard, now, &mut self.shared);
                }
            }
        }
        if self.cleanup_at.is_some_and(|at| at <= now) {
            self.clean_up(now);
        }
    }

    /// Returns when [`AllotmentTable::tick`] is due, if ever.
    #[must_use]
    pub fn next_wake(&self) -> Option<MonoTime> {
        let watch_at = self.observed_at.filter(|_| !self.accounts.is_empty());
        let watch_at = watch_at.map(|at| at.after(STALL / 2));
        self.shared.next_wake().into_iter().chain(self.cleanup_at).chain(watch_at).min()
    }

    /// Returns what the driver has to do, in order.
    pub fn take_outputs(&mut self) -> Vec<AllotmentOutput> {
        std::mem::take(&mut self.shared.outputs)
    }

    /// Returns the nodes that have become silent: each once until it is heard again.
    pub fn take_silent(&mut self) -> Vec<EndpointId> {
        std::mem::take(&mut self.shared.newly_silent)
    }

    /// Returns the usage of an account, if a holder has reported it recently.
    #[must_use]
    pub fn usage(&self, account: &AccountName, now: MonoTime) -> Option<AccountUsage> {
        self.accounts.get(account)?.entry.as_ref()?.usage(now)
    }

    /// Describes the accounts of which this node holds a part or has seen a request lately.
    #[must_use]
    pub fn summary(&self, now: MonoTime) -> Vec<AccountSummary> {
        let known = |account: &&Account| !account.held.is_empty() || account.entry.is_some();
        self.accounts.values().filter(known).map(|account| account.summary(now)).collect()
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &AllotmentSettings {
        &self.settings
    }

    /// Notices that the process was suspended.
    fn observe(&mut self, now: MonoTime) {
        if self.observed_at.is_some_and(|at| now.since(at) > STALL) {
            for account in self.accounts.values_mut() {
                account.quarantine(now.after(QUARANTINE));
            }
        }
        self.observed_at = self.observed_at.max(Some(now));
    }

    fn receive_grant(&mut self, from: &EndpointId, grant: &AllotmentGrant, now: MonoTime) {
        let Some(sent) = self.shared.answered(grant.id, from) else { return };
        let Some(account) = self.accounts.get_mut(&sent.account) else { return };
        let context = (now, &mut self.shared);
        match sent.purpose {
            Purpose::Entry => account.on_grant(grant.id, &sent, grant, context),
            Purpose::Gather { shard } => account.on_lent(grant.id, shard, &sent, grant, context),
        }
    }

    fn return_token(&mut self, account: &AccountName, call: Option<CallId>, now: MonoTime) {
        if let Some(entry) =
            self.accounts.get_mut(account).and_then(|account| account.entry.as_mut())
        {
            entry.give_back(call, now);
        }
    }

    /// Requests that wait for an account without a limit may start.
    fn remove_account(&mut self, name: &AccountName) {
        let Some(entry) = self.accounts.remove(name).and_then(|account| account.entry) else {
            return;
        };
        for call in entry.waiters {
            self.shared.waiting.remove(&call);
            self.shared.outputs.push(AllotmentOutput::Decided(call, TokenDecision::Granted));
        }
    }

    fn clean_up(&mut self, now: MonoTime) {
        let mut has_entries = false;
        for account in self.accounts.values_mut() {
            if account.entry.as_ref().is_some_and(|entry| {
                entry.is_idle() && now.since(entry.last_arrival_at) >= IDLE_AGE
            }) {
                account.forget_entry();
            }
            has_entries |= account.entry.is_some();
        }
        self.cleanup_at = has_entries.then(|| now.after(IDLE_AGE));
    }
}
