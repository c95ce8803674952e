//! The first configuration of a process.
//!
//! A store that came back from a copy may hold an older configuration than the one in
//! force. A process that has none yet asks its peers before it takes the store's.

use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_types::{MonoTime, Revision};

use super::Roster;

/// A configuration from the store that waits for what the peers have in force.
#[derive(Clone, Debug)]
pub struct PendingConfig {
    document: ConfigDocument,
    since: MonoTime,
}

impl Roster {
    /// Longest wait for a peer, as part of the time in which a configuration has to be in
    /// force: several times a way to another zone and back.
    const PEER_WAIT_FRACTION: f64 = 0.1;

    /// Takes in a configuration that the store holds.
    pub(super) fn stored_config_received(&mut self, document: ConfigDocument, now: MonoTime) {
        if self.revision() != Revision::default() {
            return self.apply_config(&document, None, now);
        }
        let since = self.pending_config.as_ref().map_or(now, |held| held.since);
        self.pending_config = Some(PendingConfig { document, since });
        self.apply_pending_config(now);
    }

    /// Puts the held configuration into force once a peer has none that is newer, or no
    /// peer has told for too long.
    pub(super) fn apply_pending_config(&mut self, now: MonoTime) {
        let Some(held) = &self.pending_config else { return };
        let revisions = self.peers.values().filter_map(|peer| peer.reported_revision).max();
        let is_confirmed = revisions.is_some_and(|revision| revision <= held.document.revision);
        let is_alone = self.store.is_listed && self.table.len() == 1;
        let wait: Duration = self.settings.config_apply.mul_f64(Self::PEER_WAIT_FRACTION);
        let is_late = now.since(held.since) >= wait;
        let is_superseded = self.revision() != Revision::default();
        if is_confirmed || is_alone || is_late || is_superseded {
            let document = held.document.clone();
            self.pending_config = None;
            self.apply_config(&document, None, now);
        }
    }
}
