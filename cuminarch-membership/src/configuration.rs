//! Distributes the configuration and puts only higher revisions into force.

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{ConfigDocument, ConfigGate, GateDecision};
use cuminarch_protocol::{ConfigPatch, ConfigSnapshot, ControlMessage};
use cuminarch_types::{EndpointId, MonoTime, Revision};

use crate::topology::homes;
use crate::{
    ConfigCurrency, ConfigSource, Fleet, FleetAction, FleetNotice, apply_patch, make_patch,
};

/// Delay before a relay that does not serve a member pushes a configuration to it.
const FALLBACK_PUSH_DELAY: Duration = Duration::from_secs(3);
/// Delay before a push that may have been lost is retried.
const PUSH_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Minimum interval between two pushes to one member.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(1_500);
/// Delay after the start before a node reports that it uses the safe defaults.
const SAFE_DEFAULTS_DELAY: Duration = Duration::from_secs(3);

/// The configuration in force and the messages that forward it.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    pub gate: ConfigGate,
    in_force_at: MonoTime,
    whole: Option<Arc<ConfigSnapshot>>,
    patch: Option<Arc<ConfigPatch>>,
    pub refused: Revision,
    is_safe_defaults_reported: bool,
}

impl ConfigState {
    /// Creates the state of a node without configuration.
    pub fn new(seed: u64) -> Self {
        Self { gate: ConfigGate::new().with_digest_seed(seed), ..Self::default() }
    }

    /// Returns the message that updates a member from revision `held`.
    pub fn message_for(&self, held: Revision) -> Option<ControlMessage> {
        match &self.patch {
            Some(patch) if patch.base == held => Some(ControlMessage::Patch(Arc::clone(patch))),
            _ => self.whole.clone().map(ControlMessage::Config),
        }
    }

    /// Returns the message with the full configuration.
    pub fn whole(&self) -> Option<Arc<ConfigSnapshot>> {
        self.whole.clone()
    }

    /// Returns the time at which the configuration came into force.
    pub const fn in_force_at(&self) -> MonoTime {
        self.in_force_at
    }

    /// Returns `true` if the configuration came into force after `at`.
    pub fn came_into_force_after(&self, at: MonoTime) -> bool {
        self.in_force_at > at
    }

    /// Records a document that came into force and the patch from its predecessor.
    pub fn accept(&mut self, document: &ConfigDocument, patch: Option<ConfigPatch>, now: MonoTime) {
        self.in_force_at = now;
        self.whole = Some(Arc::new(ConfigSnapshot {
            revision: document.revision,
            change: document.change.clone(),
            sheet: document.sheet.clone(),
        }));
        self.patch = patch.map(Arc::new);
    }

    /// Returns the memory in bytes that the sheets occupy.
    pub fn len_bytes(&self) -> usize {
        let whole = self.whole.as_ref().map_or(0, |offer| offer.sheet.len());
        let patch = self.patch.as_ref().map_or(0, |patch| patch.middle.len());
        2 * whole + patch
    }
}

impl Fleet {
    /// Applies a document from the platform or, if `from` is given, from a member.
    pub(crate) fn apply_config(
        &mut self,
        document: &ConfigDocument,
        from: Option<&EndpointId>,
        now: MonoTime,
    ) {
        let base = self.config.gate.document().cloned();
        let is_conflict = base.as_ref().is_some_and(|base| {
            base.revision == document.revision && base.change != document.change
        });
        if is_conflict {
            self.notice(FleetNotice::ConfigConflict(document.revision));
            return;
        }
        if document.revision == self.config.refused {
            return;
        }
        match self.config.gate.offer(document) {
            GateDecision::Accepted(policy) => {
                let set_aside = FleetNotice::about_set_aside(&policy);
                self.actions.push(FleetAction::Policy(policy));
                set_aside.into_iter().for_each(|notice| self.notice(notice));
                self.config_accepted(base.as_ref(), document, from, now);
            }
            GateDecision::Refused(error) => {
                self.config.refused = document.revision;
                self.notice(FleetNotice::ConfigRefused(document.revision, error.to_string()));
            }
            _ => {}
        }
    }

    fn config_accepted(
        &mut self,
        base: Option<&ConfigDocument>,
        document: &ConfigDocument,
        from: Option<&EndpointId>,
        now: MonoTime,
    ) {
        let source = ConfigSource::new(from);
        let currency = ConfigCurrency::default();
        self.notice(FleetNotice::ConfigInForce(document.revision, source, currency));
        let patch = base.and_then(|base| make_patch(base, document));
        self.config.accept(document, patch, now);
        self.refresh_topology(now);
        if !self.topology.is_relay {
            return;
        }
        let served = self.topology.attached.iter().filter(|(_, is_served)| **is_served);
        let mut targets: Vec<EndpointId> = served.map(|(node, _)| node.clone()).collect();
        let is_from_zone = from.is_some_and(|from| self.topology.zone_relays.contains(from));
        if !is_from_zone {
            targets.extend(self.topology.zone_relays.iter().cloned());
        }
        for target in targets.iter().filter(|target| Some(*target) != from) {
            self.send_config(target, now);
        }
    }

    fn send_config(&mut self, to: &EndpointId, now: MonoTime) {
        let held = self.peer(to).revision;
        if held >= self.revision() {
            return;
        }
        if let Some(message) = self.config.message_for(held) {
            self.peer(to).config_sent_at = Some(now);
            self.send(to, message);
        }
    }

    /// Retries the push to a member whose heartbeat reports a lower revision.
    pub(crate) fn repair_config(&mut self, to: &EndpointId, now: MonoTime) {
        let peer = self.peer(to);
        let held = peer.revision;
        let was_sent_recently = peer
            .config_sent_at
            .is_some_and(|config_sent_at| now.since(config_sent_at) < MIN_PUSH_INTERVAL);
        if held >= self.revision() || was_sent_recently {
            return;
        }
        let is_in_own_zone = self.table.get(to).is_some_and(|member| member.zone == self.own.zone);
        let delay = if is_in_own_zone && held == Revision::default() {
            Duration::ZERO
        } else if self.is_first_home_of(to) {
            PUSH_RETRY_DELAY
        } else {
            FALLBACK_PUSH_DELAY
        };
        if now.since(self.config.in_force_at) >= delay {
            self.send_config(to, now);
        }
    }

    /// Returns `true` if this relay ranks first among the relays of its zone for a member.
    fn is_first_home_of(&self, member: &EndpointId) -> bool {
        let mut relays = self.topology.zone_relays.clone();
        relays.push(self.own.endpoint.clone());
        homes(member, &relays).first() == Some(&self.own.endpoint)
    }

    pub(crate) fn config_received(
        &mut self,
        from: &EndpointId,
        offer: &ConfigSnapshot,
        now: MonoTime,
    ) {
        let document = ConfigDocument {
            revision: offer.revision,
            change: offer.change.clone(),
            sheet: offer.sheet.clone(),
        };
        self.note_revision(from, offer.revision);
        self.apply_config(&document, Some(from), now);
    }

    pub(crate) fn patch_received(&mut self, from: &EndpointId, patch: &ConfigPatch, now: MonoTime) {
        self.note_revision(from, patch.revision);
        if patch.revision <= self.revision() {
            return;
        }
        let patched = self.config.gate.document().and_then(|base| apply_patch(base, patch));
        match patched {
            Some(document) => self.apply_config(&document, Some(from), now),
            None => {
                let revision = self.revision();
                self.send(from, ControlMessage::PullConfig(revision));
            }
        }
    }

    fn note_revision(&mut self, from: &EndpointId, revision: Revision) {
        let peer = self.peer(from);
        peer.revision = peer.revision.max(revision);
    }

    pub(crate) fn config_pulled(&mut self, from: &EndpointId, above: Revision) {
        if self.revision() <= above {
            return;
        }
        if let Some(whole) = self.config.whole.clone() {
            self.send(from, ControlMessage::Config(whole));
        }
    }

    /// Reports once that no configuration was found.
    pub(crate) fn report_safe_defaults(&mut self, now: MonoTime) {
        let is_late = now.since(self.started_at) >= SAFE_DEFAULTS_DELAY;
        if is_late
            && !self.config.is_safe_defaults_reported
            && self.revision() == Revision::default()
        {
            self.config.is_safe_defaults_reported = true;
            self.notice(FleetNotice::SafeDefaults);
        }
    }
}
