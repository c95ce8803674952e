//! Keys of client accounts that are withdrawn while a request waits at its entry node.

use cuminarch_config::{CredentialDigest, Policy};
use cuminarch_types::{AccountName, CallId, MonoTime};

use crate::call::{Call, Stage};
use crate::{Action, Arrival, Engine, Refusal, RefusalReason};

/// The key by which a request is allowed to run, and the account that held it on arrival.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Credential {
    account: AccountName,
    digest: CredentialDigest,
}

impl Credential {
    /// Returns the credential of an arrival that needs one.
    pub(crate) fn of(arrival: &Arrival) -> Option<Self> {
        let account = arrival.account.clone()?;
        arrival.credential.map(|digest| Self { account, digest })
    }

    /// Returns `true` if the account holds the key by this policy, or if no request needs one.
    fn is_held(&self, policy: &Policy) -> bool {
        let accounts = policy.accounts();
        !accounts.requires_key()
            || accounts.holder(self.digest).is_some_and(|holder| holder.name == self.account)
    }
}

impl Engine {
    /// Refuses a call whose key is no longer held by its account. Returns `true` if it did.
    pub(crate) fn refuse_withdrawn(
        &mut self,
        id: CallId,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let is_withdrawn =
            call.credential.as_ref().is_some_and(|credential| !credential.is_held(&self.policy));
        if !is_withdrawn {
            return false;
        }
        let reason = RefusalReason::CredentialWithdrawn;
        let refusal = if has_reached_upstream(call) {
            Refusal::unknown(reason)
        } else {
            Refusal::not_run(reason)
        };
        self.refuse(id, refusal, now, actions);
        true
    }
}

const fn has_reached_upstream(call: &Call) -> bool {
    let attempts = match &call.stage {
        Stage::Sending(sending) => sending.attempts_reaching_upstream,
        _ => 0,
    };
    call.may_have_run || attempts > 0
}
