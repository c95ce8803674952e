//! Applies a sheet despite concurrent changes and platform outages, lost answers and restores.

use std::time::Duration;

use cuminarch_config::{ConfigDocument, ZoneStatus};
use cuminarch_platform::{
    Backoff, Listing, Object, ObjectPath, ObjectVersion, PlatformError, Precondition,
};
use cuminarch_types::{ChangeId, MonoTime, Revision};

use crate::paths::{
    CONFIG_HISTORY, CURRENT_CONFIG, ZONE_STATUS, history_path, history_path_with_change,
    object_path,
};

/// A change requested by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyRequest {
    /// Identifies the change.
    pub change: ChangeId,
    /// The new sheet as YAML text.
    pub sheet: String,
    /// Revision that the sheet was made from.
    pub base: Revision,
    /// Whether the change may have been submitted before.
    pub is_rerun: bool,
    /// Whether the platform is known to have lost revisions, so that `base` may exceed its highest.
    pub is_platform_restored: bool,
}

/// An action that the driver executes for the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyAction {
    /// Read an object.
    Get(ObjectPath),
    /// Read all objects under a prefix.
    List(ObjectPath),
    /// Write an object.
    Put {
        /// Path of the object.
        path: ObjectPath,
        /// New value.
        value: String,
        /// Precondition of the write.
        expect: Precondition,
    },
    /// Delete an object.
    Delete {
        /// Path of the object.
        path: ObjectPath,
        /// Version to delete.
        version: ObjectVersion,
    },
    /// Wait for the given time.
    Sleep(Duration),
    /// Report the outcome; there are no further actions.
    Finish(ApplyOutcome),
}

/// An event that the driver reports to the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyEvent {
    /// The state machine starts.
    Started,
    /// Result of [`ApplyAction::Get`].
    Got(Result<Option<Object>, PlatformError>),
    /// Result of [`ApplyAction::List`].
    Listed(Result<Listing, PlatformError>),
    /// Result of [`ApplyAction::Put`].
    Put(Result<ObjectVersion, PlatformError>),
    /// Result of [`ApplyAction::Delete`].
    Deleted(Result<(), PlatformError>),
    /// The time of [`ApplyAction::Sleep`] has passed.
    Woken,
}

/// Outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The change is accepted.
    Accepted {
        /// Revision of the change.
        revision: Revision,
        /// Whether the answer to the write was lost and the change was found by a later read.
        is_settled: bool,
        /// Whether the change is in the history; if not, the next change adds it.
        is_recorded: bool,
        /// Revision that has already replaced it.
        superseded_by: Option<Revision>,
    },
    /// The change is not accepted: another change came first.
    Outdated {
        /// Highest revision known to the platform or to a zone.
        highest: Revision,
        /// The accepted document, if any.
        current: Option<ConfigDocument>,
    },
    /// The change is not accepted: the platform does not know its base revision.
    UnknownBase {
        /// Highest revision known to the platform or to a zone.
        highest: Revision,
    },
    /// The change is not accepted: nothing was written.
    NotAccepted {
        /// The reason.
        reason: String,
    },
    /// The change may have been accepted.
    Unknown {
        /// The reason.
        reason: String,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Stage {
    ReadingCurrent,
    ReadingStatus,
    ReadingHistory,
    SavingCurrent,
    Writing,
    Recording,
    ListingHistory,
    Pruning(Vec<Object>),
    Done,
}

/// Applies one change; a state machine that does no I/O.
///
/// A change is accepted by a write of `config/current` that is conditional on the version read
/// before. Each document is saved under `config/history` before it is replaced. A change whose
/// write was not answered can therefore be found in one of the two places.
#[derive(Clone, Debug)]
pub struct ApplyStateMachine {
    request: ApplyRequest,
    deadline: MonoTime,
    backoff: Backoff,
    stage: Stage,
    current: Option<(Object, ConfigDocument)>,
    /// Highest revision that a zone reports.
    highest_in_force: Revision,
    /// Revision of a write that may or may not have been executed.
    ambiguous_revision: Option<Revision>,
    is_history_read: bool,
    /// The document of this change, once it is known to be accepted.
    accepted: Option<ConfigDocument>,
    /// Whether another change occupies the history path of the revision being stored.
    has_history_conflict: bool,
}

impl ApplyStateMachine {
    /// Number of documents kept in the history.
    pub const HISTORY_LEN: usize = 50;
    /// Limits the deletions from the history after one change.
    const MAX_PRUNED: usize = 8;
    const INITIAL_DELAY: Duration = Duration::from_millis(100);
    const MAX_DELAY: Duration = Duration::from_secs(2);

    /// Creates a state machine that gives up at `deadline`; `seed` randomizes its retry delays.
    #[must_use]
    pub fn new(request: ApplyRequest, deadline: MonoTime, seed: u64) -> Self {
        Self {
            request,
            deadline,
            backoff: Backoff::new(Self::INITIAL_DELAY, Self::MAX_DELAY, seed),
            stage: Stage::ReadingStatus,
            current: None,
            highest_in_force: Revision::default(),
            ambiguous_revision: None,
            is_history_read: false,
            accepted: None,
            has_history_conflict: false,
        }
    }

    /// Handles an event and returns the next action.
    pub fn handle(&mut self, event: ApplyEvent, now: MonoTime) -> ApplyAction {
        match (self.stage.clone(), event) {
            (_, ApplyEvent::Started | ApplyEvent::Woken) => self.resume(),
            (Stage::ReadingCurrent, ApplyEvent::Got(Ok(object))) => self.handle_current(object),
            (Stage::ReadingStatus, ApplyEvent::Listed(Ok(listing))) => self.handle_status(&listing),
            (Stage::ReadingHistory, ApplyEvent::Listed(Ok(listing))) => {
                self.handle_history(&listing)
            }
            (Stage::SavingCurrent, ApplyEvent::Put(result)) => self.handle_saved(result, now),
            (Stage::Writing, ApplyEvent::Put(result)) => self.handle_written(result, now),
            (Stage::Recording, ApplyEvent::Put(result)) => self.handle_recorded(result, now),
            (Stage::ListingHistory, ApplyEvent::Listed(Ok(listing))) => self.prune(listing),
            (Stage::Pruning(surplus), ApplyEvent::Deleted(Ok(()))) => self.prune_next(surplus),
            (Stage::ListingHistory | Stage::Pruning(_), _) => self.finish_accepted(true, None),
            (
                _,
                ApplyEvent::Got(Err(error))
                | ApplyEvent::Listed(Err(error))
                | ApplyEvent::Put(Err(error))
                | ApplyEvent::Deleted(Err(error)),
            ) => self.retry(&error, now),
            (_, event) => self.finish_unsettled(format!("unexpected event {event:?}")),
        }
    }

    /// Starts, or starts over after a delay or conflict: records an accepted change, or else reads
    /// the platform.
    fn resume(&mut self) -> ApplyAction {
        if self.accepted.is_some() {
            return self.record();
        }
        self.stage = Stage::ReadingStatus;
        ApplyAction::List(object_path(ZONE_STATUS))
    }

    /// Handles the status reports of the zones. They are read before the accepted document because
    /// a revision is accepted before it is in force. In the opposite order, a change accepted
    /// between the two reads would look like one that the platform has lost.
    fn handle_status(&mut self, listing: &Listing) -> ApplyAction {
        let reports = listing
            .objects
            .iter()
            .filter_map(|object| serde_json::from_str::<ZoneStatus>(&object.value).ok());
        self.highest_in_force =
            reports.map(|status| status.highest_revision).max().unwrap_or_default();
        self.stage = Stage::ReadingCurrent;
        ApplyAction::Get(object_path(CURRENT_CONFIG))
    }

    fn handle_current(&mut self, object: Option<Object>) -> ApplyAction {
        self.has_history_conflict = false;
        self.current = match object {
            None => None,
            Some(object) => match serde_json::from_str::<ConfigDocument>(&object.value) {
                Ok(document) => Some((object, document)),
                Err(error) => {
                    return self
                        .finish_unsettled(format!("{CURRENT_CONFIG} holds no document: {error}"));
                }
            },
        };
        if let Some((_, document)) = &self.current
            && document.change == self.request.change
        {
            self.accepted = Some(document.clone());
            return self.record();
        }
        let may_be_accepted = self.request.is_rerun || self.ambiguous_revision.is_some();
        if may_be_accepted && (self.conflict().is_some() || !self.is_history_read) {
            self.stage = Stage::ReadingHistory;
            return ApplyAction::List(object_path(CONFIG_HISTORY));
        }
        self.write_unless_conflicting()
    }

    fn handle_history(&mut self, listing: &Listing) -> ApplyAction {
        self.is_history_read = true;
        let mut documents = documents(listing).map(|(_, document)| document);
        let found = documents.find(|document| document.change == self.request.change);
        match found {
            Some(document) => {
                self.accepted = Some(document);
                let superseded_by = self.current_revision();
                self.finish_accepted(true, Some(superseded_by))
            }
            None if self.conflict().is_some() && self.is_possible_write_missing(listing) => {
                let reason = "its revision is missing from the history".to_owned();
                self.finish(ApplyOutcome::Unknown { reason })
            }
            None => self.write_unless_conflicting(),
        }
    }

    /// Returns `true` if the revision that this change may have been written as is missing from the
    /// history although a later one is current. A change that won against this one has that same
    /// revision, so it is missing only if the platform was restored from a backup or the history no
    /// longer reaches back that far.
    fn is_possible_write_missing(&self, history: &Listing) -> bool {
        let Some(revision) = self.possibly_written_revision() else { return false };
        let is_in_history = documents(history).any(|(_, document)| document.revision == revision);
        self.current_revision() > revision && !is_in_history
    }

    /// Reports a conflict, or saves the current document and writes the new one.
    fn write_unless_conflicting(&mut self) -> ApplyAction {
        if let Some(outcome) = self.conflict() {
            return self.finish(outcome);
        }
        let Some((object, document)) = &self.current else { return self.write() };
        let path = self.path_in_history(document);
        let value = object.value.clone();
        self.stage = Stage::SavingCurrent;
        ApplyAction::Put { path, value, expect: Precondition::Absent }
    }

    fn path_in_history(&self, document: &ConfigDocument) -> ObjectPath {
        if self.has_history_conflict {
            history_path_with_change(document.revision, &document.change)
        } else {
            history_path(document.revision)
        }
    }

    fn current_revision(&self) -> Revision {
        self.current.as_ref().map(|(_, document)| document.revision).unwrap_or_default()
    }

    /// Returns the revision of a write of this change whose outcome is unknown, sent by this run
    /// or an earlier one.
    fn possibly_written_revision(&self) -> Option<Revision> {
        let earlier = self.request.is_rerun.then(|| self.request.base.next());
        self.ambiguous_revision.or(earlier)
    }

    /// Returns the outcome to report if the change must not be written.
    fn conflict(&self) -> Option<ApplyOutcome> {
        let current = self.current_revision();
        let highest = current.max(self.highest_in_force);
        let base = self.request.base;
        if let Some(revision) = self.possibly_written_revision()
            && current < revision
            && self.highest_in_force >= revision
        {
            let reason = format!("the platform has gone back to revision {current}");
            return Some(ApplyOutcome::Unknown { reason });
        }
        if base < highest {
            let current = self.current.as_ref().map(|(_, document)| document.clone());
            return Some(ApplyOutcome::Outdated { highest, current });
        }
        if base > highest && !self.request.is_platform_restored {
            return Some(ApplyOutcome::UnknownBase { highest });
        }
        None
    }

    fn handle_saved(
        &mut self,
        result: Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) -> ApplyAction {
        let change = self.current.as_ref().map(|(_, document)| document.change.clone());
        match is_change_stored(result, change.as_ref()) {
            Ok(true) => self.write(),
            Ok(false) => {
                self.has_history_conflict = true;
                self.write_unless_conflicting()
            }
            Err(error) => self.retry(&error, now),
        }
    }

    fn write(&mut self) -> ApplyAction {
        self.has_history_conflict = false;
        let document = self.new_document();
        let expect = match &self.current {
            None => Precondition::Absent,
            Some((object, _)) => Precondition::Version(object.version),
        };
        self.stage = Stage::Writing;
        ApplyAction::Put { path: object_path(CURRENT_CONFIG), value: to_json(&document), expect }
    }

    fn new_document(&self) -> ConfigDocument {
        ConfigDocument {
            revision: self
                .request
                .base
                .max(self.highest_in_force)
                .max(self.current_revision())
                .next(),
            change: self.request.change.clone(),
            sheet: self.request.sheet.clone(),
        }
    }

    fn handle_written(
        &mut self,
        result: Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) -> ApplyAction {
        match result {
            Ok(_) => {
                self.accepted = Some(self.new_document());
                self.record()
            }
            Err(PlatformError::Conflict { .. }) => self.resume(),
            Err(error @ (PlatformError::Unavailable { .. } | PlatformError::RateLimited)) => {
                self.retry(&error, now)
            }
            Err(error @ PlatformError::TooLarge { .. }) => self.finish_unsettled(error.to_string()),
            Err(error) => {
                self.ambiguous_revision = Some(self.new_document().revision);
                self.is_history_read = false;
                self.retry(&error, now)
            }
        }
    }

    fn record(&mut self) -> ApplyAction {
        let Some(document) = &self.accepted else { return self.finish_accepted(false, None) };
        let path = self.path_in_history(document);
        let value = to_json(document);
        self.stage = Stage::Recording;
        ApplyAction::Put { path, value, expect: Precondition::Absent }
    }

    fn handle_recorded(
        &mut self,
        result: Result<ObjectVersion, PlatformError>,
        now: MonoTime,
    ) -> ApplyAction {
        match is_change_stored(result, Some(&self.request.change)) {
            Ok(true) => {
                self.stage = Stage::ListingHistory;
                ApplyAction::List(object_path(CONFIG_HISTORY))
            }
            Ok(false) if !self.has_history_conflict => {
                self.has_history_conflict = true;
                self.record()
            }
            Ok(false) => self.finish_accepted(false, None),
            Err(error) => self.retry(&error, now),
        }
    }

    /// Deletes the oldest documents beyond `HISTORY_LEN`, at most `MAX_PRUNED`.
    fn prune(&mut self, listing: Listing) -> ApplyAction {
        let surplus_count = listing.objects.len().saturating_sub(Self::HISTORY_LEN);
        let surplus =
            listing.objects.into_iter().take(surplus_count.min(Self::MAX_PRUNED)).collect();
        self.prune_next(surplus)
    }

    fn prune_next(&mut self, mut surplus: Vec<Object>) -> ApplyAction {
        let Some(object) = surplus.pop() else { return self.finish_accepted(true, None) };
        self.stage = Stage::Pruning(surplus);
        ApplyAction::Delete { path: object.path, version: object.version }
    }

    fn retry(&mut self, error: &PlatformError, now: MonoTime) -> ApplyAction {
        if now < self.deadline {
            return ApplyAction::Sleep(self.backoff.next_delay());
        }
        if self.accepted.is_some() {
            return self.finish_accepted(false, None);
        }
        self.finish_unsettled(error.to_string())
    }

    fn finish_accepted(
        &mut self,
        is_recorded: bool,
        superseded_by: Option<Revision>,
    ) -> ApplyAction {
        let revision = self.accepted.as_ref().map(|document| document.revision).unwrap_or_default();
        let is_settled = self.ambiguous_revision.is_some();
        self.finish(ApplyOutcome::Accepted { revision, is_settled, is_recorded, superseded_by })
    }

    /// Ends with an error: not accepted if nothing can have been written, else unknown.
    fn finish_unsettled(&mut self, reason: String) -> ApplyAction {
        let may_be_written = self.ambiguous_revision.is_some() || self.request.is_rerun;
        self.finish(if may_be_written {
            ApplyOutcome::Unknown { reason }
        } else {
            ApplyOutcome::NotAccepted { reason }
        })
    }

    fn finish(&mut self, outcome: ApplyOutcome) -> ApplyAction {
        self.stage = Stage::Done;
        ApplyAction::Finish(outcome)
    }
}

/// Returns `true` if the history holds the document of the change after a write, `false` if the
/// path holds another one.
fn is_change_stored(
    result: Result<ObjectVersion, PlatformError>,
    change: Option<&ChangeId>,
) -> Result<bool, PlatformError> {
    match result {
        Ok(_) => Ok(true),
        Err(PlatformError::Conflict { current: Some(object), .. }) => {
            let stored = serde_json::from_str::<ConfigDocument>(&object.value).ok();
            Ok(stored.is_some_and(|stored| Some(&stored.change) == change))
        }
        Err(error) => Err(error),
    }
}

fn to_json(document: &ConfigDocument) -> String {
    serde_json::to_string(document).expect("a configuration document serializes to JSON")
}

/// Returns the documents in a listing of the history, ordered by revision.
pub(crate) fn documents(listing: &Listing) -> impl Iterator<Item = (&Object, ConfigDocument)> {
    listing
        .objects
        .iter()
        .filter_map(|object| Some((object, serde_json::from_str(&object.value).ok()?)))
}
