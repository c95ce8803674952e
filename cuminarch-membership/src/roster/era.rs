//! A store that came back from a copy.
//!
//! What the system wrote there since the copy was made is gone, and the numbers of its
//! versions are given out again. The era, which the store names in each of its answers,
//! tells versions of the two times apart. In a new one nothing is believed of the store:
//! the own object is written again, watches begin anew from a full reading, and members
//! that left meanwhile are written for again. The configuration in force stays.

use std::time::Duration;

use cuminarch_types::{MonoTime, ObjectVersion, StoreEra};
use rand::RngExt;

use super::Roster;
use crate::FleetNotice;

impl Roster {
    /// Longest wait before the first call of a new era, so that a fleet does not write all
    /// its objects at once; a quarter of the time in which entries have to be back.
    const ERA_JITTER: Duration = Duration::from_millis(500);

    /// Whether a version comes from the latest era known.
    pub(super) fn is_of_latest_era(&self, version: ObjectVersion) -> bool {
        version.era() >= self.store.era.unwrap_or_default()
    }

    /// Takes in the era that an answer of the store named.
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

    /// A peer has seen a later era. The store itself has to confirm it: the next write
    /// asks it, and its answer names the era.
    pub(super) fn note_peer_era(&mut self, era: StoreEra, now: MonoTime) {
        if self.store.era.is_none_or(|held| era <= held) || era <= self.store.peer_era {
            return;
        }
        self.store.peer_era = era;
        self.schedule_own_write(now);
    }

    /// Forgets all that is believed of the store.
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

    /// Has the own object written again, unless it never was.
    fn schedule_own_write(&mut self, now: MonoTime) {
        if self.store.written_at != MonoTime::ZERO {
            self.store.is_own_object_current = false;
        }
        let wait = Self::ERA_JITTER.mul_f64(self.rng.random_range(0.0..1.0));
        self.store.next_call_at = self.store.next_call_at.max(now.after(wait));
    }
}
