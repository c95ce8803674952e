//! Schedules the reads of the configuration.
//!
//! Every node reads the store for itself once the evidence that its configuration is the latest
//! has reached an age that leaves time for the read within the limit for a change to be in force.
//! So no node that reaches the store depends on another one. The watches of two nodes of each zone
//! keep the evidence younger than that as long as they work, so that the others need not read.

use std::time::Duration;

use cuminarch_types::{MonoTime, ObjectVersion, Revision};

use super::Roster;
use crate::{ConfigSource, PlatformCall};

/// Answer of the store to a read or a watch of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct ConfigRead {
    pub started_at: MonoTime,
    pub version: ObjectVersion,
    /// Whether the answer has no configuration; for a watch, that none has changed.
    pub is_empty: bool,
}

impl Roster {
    /// Number of members of a zone that hold a watch on the configuration; more than one,
    /// to tolerate the loss of any of them.
    const WATCHERS: usize = 2;
    /// Duration of a watch, relative to the time limit for a configuration to be in force. Below 1
    /// because a watch may stall without an error and is replaced only at its timeout.
    const WATCH_RATIO: f64 = 0.7;
    /// Interval between two reads of the configuration by a node that has none.
    const INITIAL_CONFIG_INTERVAL: Duration = Duration::from_millis(700);
    /// Age of the evidence at which a node reads the configuration, relative to the time limit for
    /// it to be in force. Together with the delay for the rank, a tick, the call and the messages
    /// to other nodes it has to stay below 1. It exceeds half of a watch, because two watches that
    /// end in turn then suffice.
    const READ_AGE_RATIO: f64 = 0.5;
    /// Additional age for each rank below the watchers, and its maximum, relative to the same limit.
    /// The first reads of a zone serve its other nodes.
    const RANK_DELAY_RATIO: f64 = 0.025;
    const MAX_RANK_DELAY_RATIO: f64 = 0.15;

    /// Returns `true` if this node holds a watch on the configuration.
    pub(super) fn is_watcher(&self) -> bool {
        self.rank() < Self::WATCHERS
    }

    pub(super) fn ask_for_config(&mut self, now: MonoTime) {
        if self.revision() == Revision::default() {
            if self.store.next_config_at <= now {
                self.store.next_config_at = now.after(Self::INITIAL_CONFIG_INTERVAL);
                self.call(PlatformCall::ListConfigLagging, now);
            }
            return;
        }
        let Some(settled_at) = self.settled_at(now) else { return };
        let rank = self.rank();
        let is_watcher = rank < Self::WATCHERS;
        match self.store.config_version.filter(|_| is_watcher) {
            Some(version) => self.watch_config(rank, version, now),
            None if is_watcher => self.call(PlatformCall::VerifyConfig, now),
            None => {}
        }
        if now >= self.next_read_at(rank, settled_at) {
            self.call(PlatformCall::VerifyConfig, now);
        }
    }

    /// Returns when this node knew its zone. Before, all nodes of a starting fleet would take
    /// themselves for the first of their zone.
    fn settled_at(&mut self, now: MonoTime) -> Option<MonoTime> {
        let is_settled =
            self.table.len() > 1 || now.since(self.started_at) >= self.settings.config_apply;
        if self.store.settled_at.is_none() && is_settled {
            self.store.settled_at = Some(now);
        }
        self.store.settled_at
    }

    /// Returns the time from which this node reads the configuration for itself. A process without
    /// evidence, whose first configuration may be an old one, waits only for the first of its zone.
    fn next_read_at(&self, rank: usize, settled_at: MonoTime) -> MonoTime {
        let ranks_behind = u32::try_from(rank.saturating_sub(Self::WATCHERS)).unwrap_or(u32::MAX);
        let rank_delay =
            (f64::from(ranks_behind) * Self::RANK_DELAY_RATIO).min(Self::MAX_RANK_DELAY_RATIO);
        let limit = self.settings.config_apply;
        match self.evidence.at() {
            Some(at) => at.after(limit.mul_f64(Self::READ_AGE_RATIO + rank_delay)),
            None => {
                let since = settled_at.max(self.config.in_force_at());
                since.after(limit.mul_f64(Self::MAX_RANK_DELAY_RATIO + rank_delay))
            }
        }
    }

    /// Watches for a change. The second node of a zone shortens its first watch after a read or a
    /// change, so that the watches of a zone end in turn.
    fn watch_config(&mut self, rank: usize, version: ObjectVersion, now: MonoTime) {
        let watch = self.settings.config_apply.mul_f64(Self::WATCH_RATIO);
        let shortens = rank > 0 && self.store.is_first_watch;
        let wait = if shortens { watch / 2 } else { watch };
        self.call(PlatformCall::WatchConfigFor(version, wait), now);
    }

    /// Records the version up to which the configuration of the store is known.
    pub(super) fn config_read(&mut self, call: &PlatformCall, read: &ConfigRead, now: MonoTime) {
        // A stale read shows neither the version to watch from nor that there is no
        // newer configuration.
        if *call == PlatformCall::ListConfigLagging || !self.is_of_latest_era(read.version) {
            return;
        }
        // The answer may have waited in this node, for example while its host was suspended. What
        // it shows is certain only for the start of the call, or for the end of an idle watch.
        let mut verified_at = read.started_at;
        match call {
            PlatformCall::WatchConfigFor(after, wait) => {
                // A watch that began in an earlier era has missed the writes since the restore.
                if after.era() == read.version.era() {
                    self.store.config_version = Some(read.version);
                } else if self.store.config_version == Some(*after) {
                    self.store.config_version = None;
                }
                self.store.is_first_watch = !read.is_empty;
                let end = read.started_at.after(*wait);
                if read.is_empty && end <= now {
                    verified_at = end;
                }
            }
            _ => {
                if self.store.config_version.is_none() {
                    self.store.config_version = Some(read.version);
                    self.store.is_first_watch = true;
                }
            }
        }
        self.config_verified(verified_at, ConfigSource::Store, now);
        self.share_evidence(now);
    }
}
