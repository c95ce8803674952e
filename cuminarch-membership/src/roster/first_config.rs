//! Chooses the first configuration of a process.
//!
//! A store restored from a backup may hold an older configuration than the one in force.
//! A process without a configuration asks its peers before it applies the stored one.

use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_types::{MonoTime, Revision};

use super::Roster;

/// A configuration from the store that waits for the revisions in force on the peers.
#[derive(Clone, Debug)]
pub struct PendingConfig {
    document: ConfigDocument,
    since: MonoTime,
}

impl Roster {
    /// Maximum wait for a peer, as a fraction of the time limit for a configuration to be
    /// in force: several round trips to another zone.
    const PEER_WAIT_FRACTION: f64 = 0.1;

    /// Handles a configuration from the store.
    pub(super) fn stored_config_received(&mut self, document: ConfigDocument, now: MonoTime) {
        if self.revision() != Revision::default() {
            return self.apply_config(&document, None, now);
        }
        let since = self.pending_config.as_ref().map_or(now, |pending| pending.since);
        self.pending_config = Some(PendingConfig { document, since });
        self.apply_pending_config(now);
    }

    /// Applies the pending configuration once the revisions reported by peers are not
    /// higher, no other member is known, or the wait for a report has expired.
    pub(super) fn apply_pending_config(&mut self, now: MonoTime) {
        let Some(pending) = &self.pending_config else { return };
        let revisions = self.peers.values().filter_map(|peer| peer.reported_revision).max();
        let is_confirmed = revisions.is_some_and(|revision| revision <= pending.document.revision);
        let is_alone = self.store.is_listed && self.table.len() == 1;
        let wait: Duration = self.settings.config_apply.mul_f64(Self::PEER_WAIT_FRACTION);
        let is_late = now.since(pending.since) >= wait;
        let is_superseded = self.revision() != Revision::default();
        if is_confirmed || is_alone || is_late || is_superseded {
            let document = pending.document.clone();
            self.pending_config = None;
            self.apply_config(&document, None, now);
        }
    }
}
