//! Calls that reach the node of another endpoint than the one that they are meant for.
//!
//! The table of a sender may be stale: its host was suspended, its zone was cut off or the store
//! does not answer, while the address of a lost endpoint was assigned again or an upstream started
//! again. So the serving node compares what each call is meant for with its own upstream, before
//! the call has any effect, and again when the call leaves the queue.

use compact_str::{CompactString, format_compact};
use cuminarch_once::KeyResult;
use cuminarch_protocol::{Member, UpstreamRecord};
use cuminarch_types::{CallId, EndpointId, LifetimeDigest, MonoTime, ServiceName};

use crate::call::Stage;
use crate::{Action, Engine, Refusal, RefusalReason};

/// What a call from another node is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Destination {
    /// The service that is called.
    pub service: ServiceName,
    /// Lifetime of the upstream; any, if the sender states none.
    pub lifetime: Option<LifetimeDigest>,
}

impl Engine {
    /// Refuses a call that is meant for another endpoint. Returns `true` if it did.
    pub(crate) fn refuse_misdirected(
        &mut self,
        id: CallId,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let destination = call.destination.as_ref();
        let Some(detail) = destination.and_then(|destination| self.mismatch(destination)) else {
            return false;
        };
        if let (Stage::Waiting, Some(key)) = (&call.stage, call.key.clone()) {
            self.keys.finish(&key, id, KeyResult::NotRun);
        }
        let refusal = Refusal::not_run(RefusalReason::Misdirected).with_detail(detail);
        self.refuse(id, refusal, now, actions);
        true
    }

    /// Returns how the local upstream differs from a destination, or `None` if it does not. An
    /// upstream that has not registered accepts no calls at all.
    fn mismatch(&self, destination: &Destination) -> Option<CompactString> {
        if destination.service != self.settings.service {
            return Some(format_compact!("own_service={}", self.settings.service));
        }
        let meant = destination.lifetime?;
        let own = self.upstream.as_ref().and_then(UpstreamRecord::lifetime)?;
        let digest = own.digest();
        (digest != meant).then(|| {
            format_compact!("lifetime={meant} own_lifetime={digest} own_instance={}", own.instance)
        })
    }

    /// Returns `true` if a call that no endpoint of its service has seen can be sent to another one.
    /// Each refusal takes an endpoint out of the choice, so there is an end to it.
    pub(crate) fn can_redirect(&self, id: CallId, now: MonoTime) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        call.replayable && call.key.is_none() && now < call.deadline
    }

    /// Learns from a refusal that an endpoint is not where, or not what, it was taken for. Another
    /// attempt may be sent to the same endpoint once it is known anew.
    pub(crate) fn learn_from_misdirected(
        &mut self,
        id: CallId,
        endpoint: &EndpointId,
        member: Option<Box<Member>>,
        now: MonoTime,
    ) {
        let Some(sending) = self.sending_mut(id) else { return };
        let service = sending.service.clone();
        let Some(sent_to) = sending.current.as_ref().map(|current| current.target.clone()) else {
            return;
        };
        self.router.record_misdirected(&service, &sent_to);
        // Where no upstreams register, the control plane numbers the statements itself.
        if let Some(member) = member.filter(|member| member.upstream.is_some()) {
            self.update_member(*member, now);
        }
        let is_renewed = self
            .router
            .target_in(&service, endpoint)
            .is_some_and(|target| target.lifetime != sent_to.lifetime);
        if is_renewed && let Some(sending) = self.sending_mut(id) {
            sending.tried.retain(|tried| tried != endpoint);
        }
    }
}
