//! Handles a store that was restored from a backup.
//!
//! Everything written since the backup is lost, and the store assigns the same version
//! numbers again. The era, which the store reports in each answer, distinguishes
//! versions from before and after the restore. In a new era all knowledge about the store
//! is discarded: the own object is written again, watches restart from a full read, and
//! the objects of members that have left are rewritten. The configuration in force stays.

use std::time::Duration;

use cuminarch_types::{MonoTime, ObjectVersion, StoreEra};
use rand::RngExt;

use super::Roster;
use crate::FleetNotice;
use crate::call_kind::CallKind;

impl Roster {
    /// Maximum delay before the first call in a new era, to spread out the writes of a
    /// fleet; a quarter of the time limit for entries to be restored.
    const ERA_JITTER: Duration = Duration::from_millis(500);

    /// Returns `true` if a version is from the latest known era.
    pub(super) fn is_of_latest_era(&self, version: ObjectVersion) -> bool {
        version.era() >= self.store.era.unwrap_or_default()
    }

    /// Records the era that the store reported in an answer.
    pub(super) fn note_store_era(&mut self, era: StoreEra, now: MonoTime) {
        match self.store.era {
            None => self.store.era = Some(era),
            Some(held) if held < era => {
                self.store.era = Some(era);
                self.notice(FleetNotice::StoreRestored(era));
                self.reset_store_state(now);
            }
            Some(_) => {}
        }
    }

    /// Records a later era reported by a peer. The store itself has to confirm it, so the
    /// own object is written again: the answer reports the era.
    pub(super) fn note_peer_era(&mut self, era: StoreEra, now: MonoTime) {
        if self.store.era.is_none_or(|held| era <= held) || era <= self.store.peer_era {
            return;
        }
        self.store.peer_era = era;
        self.schedule_own_write(now);
    }

    /// Discards all knowledge about the store.
    fn reset_store_state(&mut self, now: MonoTime) {
        self.store.config_version = None;
        self.store.own_version = None;
        self.store.outdated.clear();
        self.store.needs_current_list = true;
        if self.rank() == 0 {
            self.store.next_list_at = Some(now);
        }
        self.schedule_own_write(now);
    }

    /// Schedules another write of the own object if it was written before.
    fn schedule_own_write(&mut self, now: MonoTime) {
        if self.store.written_at != MonoTime::ZERO {
            self.store.is_own_object_current = false;
        }
        let wait = Self::ERA_JITTER.mul_f64(self.rng.random_range(0.0..1.0));
        self.delay_calls(CallKind::PutMembers, wait, now);
    }
}
