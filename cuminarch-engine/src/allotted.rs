//! Calls that count against the allotment of their client account.
//!
//! Each attempt takes a token, so that the number of runs stays within the allotment, and returns it
//! if it provably did not run. If there is none for an attempt after one that may have run, the
//! caller gets the result of that one.

use compact_str::{CompactString, format_compact};
use cuminarch_admission::ReportedUsage;
use cuminarch_allotment::{AllotmentOutput, TokenDecision};
use cuminarch_protocol::AllotmentDatagram;
use cuminarch_types::{AccountName, CallId, MonoTime};

use crate::call::Call;
use crate::token::TokenState;
use crate::{Action, AllotmentSummary, Arrival, Direction, Engine, Refusal, RefusalReason};

impl Engine {
    /// Returns the account whose allotment a call counts against. Only calls that enter the mesh
    /// here count.
    pub(crate) fn allotted_account(&self, arrival: &Arrival) -> Option<AccountName> {
        let is_entry = matches!(arrival.direction, Direction::Outbound(_))
            && arrival.parent.is_none()
            && arrival.share.is_none();
        let account = arrival.account.as_ref().filter(|_| is_entry)?;
        self.policy.allotments().contains_key(account).then(|| account.clone())
    }

    /// Returns `true` if a call needs no token or has one for its next attempt. Otherwise it was
    /// refused, or it waits and is sent once it gets one.
    pub(crate) fn has_token(
        &mut self,
        id: CallId,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let Some(account) = call.allotted_account.clone() else { return true };
        match call.token {
            TokenState::Held => return true,
            TokenState::Waiting => return false,
            TokenState::NotRequested | TokenState::Spent | TokenState::Returned => {}
        }
        let decision = self.allotments.request(&account, id, now);
        self.note_account_usage(&account, now);
        self.apply_token_decision(id, &account, decision, now, actions)
    }

    /// Hands the usage that the holders of an allotment reported to the shedder.
    fn note_account_usage(&mut self, account: &AccountName, now: MonoTime) {
        if let Some(usage) = self.allotments.table.usage(account, now) {
            let (usage_milli, reported_at) = (usage.usage_milli, usage.reported_at);
            self.record_account_usage(account, ReportedUsage { usage_milli, reported_at });
        }
    }

    /// Returns `true` if the call may be sent.
    fn apply_token_decision(
        &mut self,
        id: CallId,
        account: &AccountName,
        decision: TokenDecision,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (reason, retry_after) = match decision {
            TokenDecision::Granted => {
                self.set_token(id, TokenState::Held);
                return true;
            }
            TokenDecision::Waiting => {
                self.set_token(id, TokenState::Waiting);
                return false;
            }
            TokenDecision::Exceeded { retry_after } => {
                (RefusalReason::AllotmentExceeded, retry_after)
            }
            TokenDecision::Unavailable { retry_after } => {
                (RefusalReason::AllotmentUnavailable, retry_after)
            }
        };
        self.set_token(id, TokenState::Returned);
        let earlier = self.calls.get_mut(&id).and_then(|call| call.earlier_refusal.take());
        if let Some(earlier) = earlier {
            self.refuse(id, *earlier, now, actions);
            return false;
        }
        let detail = self.allotment_detail(account, now);
        let refusal = Refusal::not_run(reason).with_retry_after(retry_after).with_detail(detail);
        self.refuse(id, refusal, now, actions);
        false
    }

    fn set_token(&mut self, id: CallId, token: TokenState) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.token = token;
        }
    }

    /// Returns the log detail of a request that got no token: what this node believes about the
    /// account, and how old that is.
    fn allotment_detail(&self, account: &AccountName, now: MonoTime) -> CompactString {
        let allotment = self.policy.allotments().get(account).copied().unwrap_or_default();
        let limit = format_compact!(
            "account={account} rate={} burst_requests={}",
            allotment.rate,
            allotment.burst_requests,
        );
        match self.allotments.table.usage(account, now) {
            Some(usage) => format_compact!(
                "{limit} usage_milli={} source=holder belief_age_ms={}",
                usage.usage_milli,
                now.since(usage.reported_at).as_millis(),
            ),
            None => format_compact!("{limit} source=none"),
        }
    }

    /// Returns the token of an attempt that provably did not run, so that others can use it while
    /// the call is on its way to the next endpoint.
    pub(crate) fn return_token(&mut self, id: CallId, now: MonoTime) {
        if let Some(call) = self.calls.get_mut(&id)
            && let Some(account) = &call.allotted_account
            && call.token == TokenState::Spent
        {
            call.token = TokenState::Returned;
            self.allotments.give_back(account, id, now);
        }
    }

    /// Keeps the result of an attempt that may have run, for the case that there is no token for
    /// another one.
    pub(crate) fn keep_earlier_refusal(&mut self, id: CallId, refusal: &Refusal) {
        if let Some(call) = self.calls.get_mut(&id)
            && call.token == TokenState::Spent
        {
            call.earlier_refusal = Some(Box::new(refusal.clone()));
        }
    }

    /// Returns the state of the allotments for dumps and metrics.
    pub(crate) fn allotment_summary(&self) -> AllotmentSummary {
        let waiting = self.calls.values().filter(|call| call.token == TokenState::Waiting).count();
        self.allotments.summary(waiting)
    }

    /// Settles the token of a call that has ended.
    pub(crate) fn settle_token(&mut self, id: CallId, call: &Call, now: MonoTime) {
        let Some(account) = &call.allotted_account else { return };
        match call.token {
            TokenState::NotRequested => self.allotments.table.record_refused(account, now),
            TokenState::Waiting => self.allotments.withdraw(account, id, now),
            TokenState::Held => self.allotments.give_back(account, id, now),
            TokenState::Spent | TokenState::Returned => {}
        }
    }

    /// Applies the allotments of a policy that came into force.
    pub(crate) fn apply_changed_allotments(&mut self, now: MonoTime) {
        self.allotments.now = now;
        if std::mem::take(&mut self.allotments.is_policy_changed) {
            self.allotments.set_accounts(self.policy.allotments().clone(), now);
        }
    }

    /// Applies what the table of allotments has decided and wants to send.
    pub(crate) fn apply_allotment_outputs(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        actions.extend(self.allotments.notices.drain(..).map(Action::Report));
        while let Some(output) = self.allotments.next_output() {
            match output {
                AllotmentOutput::Decided(id, decision) => {
                    self.token_decided(id, decision, now, actions);
                }
                AllotmentOutput::Send(endpoint, message) => {
                    let Some(to) = self.allotments.address(&endpoint) else { continue };
                    let from = self.settings.endpoint.clone();
                    let incarnation = self.allotments.incarnation;
                    let datagram = Box::new(AllotmentDatagram { from, incarnation, message });
                    actions.push(Action::SendAllotment { to, datagram });
                }
            }
        }
    }

    fn token_decided(
        &mut self,
        id: CallId,
        decision: TokenDecision,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let Some(account) = call.allotted_account.clone() else { return };
        if call.token == TokenState::Waiting {
            self.allotments.summary.record(&account, decision);
            self.note_account_usage(&account, now);
            if self.apply_token_decision(id, &account, decision, now, actions) {
                self.send(id, now, actions);
            }
        }
    }
}
