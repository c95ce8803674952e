//! Model of the platform, of the zones, which put accepted revisions into force, and of operators
//! that apply sheets concurrently.

use std::collections::BTreeMap;

use cuminarch_cli::paths::{CONFIG_HISTORY, CURRENT_CONFIG, ZONE_STATUS, object_path};
use cuminarch_cli::{ApplyAction, ApplyEvent, ApplyOutcome, ApplyRequest, ApplyStateMachine};
use cuminarch_config::{ConfigDocument, ZoneStatus};
use cuminarch_platform::{Listing, Object, ObjectPath, ObjectVersion, PlatformError, Precondition};
use cuminarch_types::{ChangeId, EndpointId, MonoTime, Revision, ZoneName};

const DEADLINE: MonoTime = MonoTime::from_millis(60_000);

/// How the platform treats one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// Executed and answered.
    Done,
    /// Executed, but the answer is lost.
    LostAnswer,
    /// Not executed; answered with an error.
    Down,
    /// Not answered; may be executed later.
    Delayed,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// An operator's next action is executed with the given result.
    Call { operator: usize, call_outcome: CallOutcome },
    /// A delayed write is executed.
    ExecuteDelayed { index: usize },
    /// An operator's deadline passes.
    ReachDeadline { operator: usize },
    /// The platform takes a backup.
    Backup,
    /// The platform is restored from its backup.
    Restore,
}

impl Transition {
    pub fn fault_count(self) -> u32 {
        let is_plain = matches!(
            self,
            Self::Call { call_outcome: CallOutcome::Done, .. } | Self::ExecuteDelayed { .. }
        );
        u32::from(!is_plain)
    }
}

type Objects = BTreeMap<ObjectPath, Object>;

#[derive(Clone, Debug)]
struct Operator {
    state_machine: ApplyStateMachine,
    change: ChangeId,
    is_rerun: bool,
    next: ApplyAction,
    now: MonoTime,
    /// Number of restores when the operator read the zones' reports.
    status_epoch: u32,
}

#[derive(Clone, Debug)]
struct Write {
    /// Number of restores when the writer read the zones' reports before the write.
    status_epoch: u32,
    path: ObjectPath,
    value: String,
    expect: Precondition,
}

/// An executed write of the current document.
#[derive(Clone, Debug)]
struct AcceptedWrite {
    revision: Revision,
    change: ChangeId,
    /// Number of restores before the write.
    epoch: u32,
    /// Whether a restore happened between the writer's read of the zones' reports and the write;
    /// a writer cannot detect this.
    raced_with_restore: bool,
    in_force_before: Revision,
}

#[derive(Clone, Debug)]
pub struct World {
    objects: Objects,
    version: u64,
    backup: Option<(Objects, u64)>,
    restores: u32,
    operators: Vec<Operator>,
    delayed: Vec<Write>,
    accepted_writes: Vec<AcceptedWrite>,
    in_force: Revision,
    /// Revision that each change is based on.
    bases: BTreeMap<ChangeId, Revision>,
    outcomes: Vec<(ChangeId, ApplyOutcome)>,
}

fn change(text: &str) -> ChangeId {
    ChangeId::new(text).unwrap()
}

impl World {
    /// Creates operators that all start from the given revision, which is in force.
    pub fn new(operators: usize, revision: u64) -> Self {
        let mut world = Self {
            objects: Objects::new(),
            version: 0,
            backup: None,
            restores: 0,
            operators: Vec::new(),
            delayed: Vec::new(),
            accepted_writes: Vec::new(),
            in_force: Revision::new(revision),
            bases: BTreeMap::new(),
            outcomes: Vec::new(),
        };
        let base = Revision::new(revision);
        if revision > 0 {
            let document =
                ConfigDocument { revision: base, change: change("first"), sheet: "first".into() };
            let value = serde_json::to_string(&document).unwrap();
            world.execute_put(&object_path(CURRENT_CONFIG), &value, Precondition::Absent).unwrap();
        }
        for number in 0..operators {
            let operator = world.start_operator(&format!("change-{number}"), base, false);
            world.operators.push(operator);
        }
        world
    }

    /// Creates an operator that starts a change.
    fn start_operator(&mut self, text: &str, base: Revision, is_rerun: bool) -> Operator {
        let change = change(text);
        self.bases.insert(change.clone(), base);
        let request = ApplyRequest {
            change: change.clone(),
            sheet: format!("sheet of {text}"),
            base,
            is_rerun,
            is_platform_restored: false,
        };
        let mut state_machine = ApplyStateMachine::new(request, DEADLINE, 1);
        let now = MonoTime::ZERO;
        let next = state_machine.handle(ApplyEvent::Started, now);
        Operator { state_machine, change, is_rerun, next, now, status_epoch: 0 }
    }

    /// Records the outcome of a finished change. An outdated operator starts once more from the
    /// highest revision; one with an unknown outcome submits the same change again.
    fn handle_outcome(&mut self, index: usize) {
        let operator = self.operators[index].clone();
        let ApplyAction::Finish(outcome) = operator.next else { return };
        self.outcomes.push((operator.change.clone(), outcome.clone()));
        let text = format!("{}-again", operator.change);
        let is_first = !operator.change.as_str().ends_with("-again");
        if let ApplyOutcome::Outdated { highest, .. } = outcome
            && is_first
        {
            self.operators[index] = self.start_operator(&text, highest, false);
        } else if matches!(outcome, ApplyOutcome::Unknown { .. }) && !operator.is_rerun {
            let base = self.bases[&operator.change];
            self.operators[index] = self.start_operator(operator.change.as_str(), base, true);
        }
    }

    /// Returns a key that identifies the state, without the retry delays and their random state.
    pub fn state_key(&self) -> String {
        let operators: Vec<String> = self
            .operators
            .iter()
            .map(|operator| {
                let state_machine = format!("{:?}", operator.state_machine);
                let (before, after) = state_machine.split_once("backoff").unwrap();
                let after = after.split_once("stage:").unwrap().1;
                let next = match &operator.next {
                    ApplyAction::Sleep(_) => "sleep".to_owned(),
                    next => format!("{next:?}"),
                };
                format!("{before}{after}{next}{}", operator.now)
            })
            .collect();
        let Self { objects, delayed, in_force, outcomes, .. } = self;
        format!("{operators:?}{objects:?}{delayed:?}{in_force}{outcomes:?}")
    }

    /// Returns the enabled transitions with at most `faults_left` faults, without backup and
    /// restore.
    pub fn transitions(&self, faults_left: u32) -> Vec<Transition> {
        let mut transitions = Vec::new();
        for operator in 0..self.operators.len() {
            for call_outcome in [
                CallOutcome::Done,
                CallOutcome::LostAnswer,
                CallOutcome::Down,
                CallOutcome::Delayed,
            ] {
                transitions.push(Transition::Call { operator, call_outcome });
            }
            transitions.push(Transition::ReachDeadline { operator });
        }
        transitions
            .extend((0..self.delayed.len()).map(|index| Transition::ExecuteDelayed { index }));
        transitions.retain(|transition| {
            transition.fault_count() <= faults_left && self.is_enabled(*transition)
        });
        transitions
    }

    pub fn is_enabled(&self, transition: Transition) -> bool {
        match transition {
            Transition::Call { operator, call_outcome } => {
                let Some(operator) = self.operators.get(operator) else { return false };
                let is_write =
                    matches!(operator.next, ApplyAction::Put { .. } | ApplyAction::Delete { .. });
                match operator.next {
                    ApplyAction::Finish(_) => false,
                    ApplyAction::Sleep(_) => call_outcome == CallOutcome::Done,
                    _ => is_write || matches!(call_outcome, CallOutcome::Done | CallOutcome::Down),
                }
            }
            Transition::ExecuteDelayed { index } => index < self.delayed.len(),
            Transition::ReachDeadline { operator } => {
                self.operators.get(operator).is_some_and(|operator| {
                    operator.now < DEADLINE && !matches!(operator.next, ApplyAction::Finish(_))
                })
            }
            Transition::Backup | Transition::Restore => true,
        }
    }

    pub fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::Call { operator, call_outcome } => self.step(operator, call_outcome),
            Transition::ExecuteDelayed { index } => {
                let write = self.delayed.remove(index);
                let _ = self.write(&write);
            }
            Transition::ReachDeadline { operator } => self.operators[operator].now = DEADLINE,
            Transition::Backup => self.backup = Some((self.objects.clone(), self.version)),
            Transition::Restore => {
                if let Some((objects, version)) = self.backup.clone() {
                    (self.objects, self.version) = (objects, version);
                    self.restores += 1;
                }
            }
        }
    }

    fn step(&mut self, index: usize, call_outcome: CallOutcome) {
        let down = || PlatformError::Unavailable { reason: "down".to_owned() };
        let lost = || PlatformError::Ambiguous { reason: "lost".to_owned() };
        let is_down = call_outcome == CallOutcome::Down;
        let event = match self.operators[index].next.clone() {
            ApplyAction::Get(_) if is_down => ApplyEvent::Got(Err(down())),
            ApplyAction::List(_) if is_down => ApplyEvent::Listed(Err(down())),
            ApplyAction::Get(path) => ApplyEvent::Got(Ok(self.objects.get(&path).cloned())),
            ApplyAction::List(prefix) => {
                if prefix == object_path(ZONE_STATUS) {
                    self.operators[index].status_epoch = self.restores;
                }
                ApplyEvent::Listed(Ok(self.list(&prefix)))
            }
            ApplyAction::Put { path, value, expect } => {
                let write =
                    Write { status_epoch: self.operators[index].status_epoch, path, value, expect };
                ApplyEvent::Put(match call_outcome {
                    CallOutcome::Done => self.write(&write),
                    CallOutcome::Down => Err(down()),
                    CallOutcome::LostAnswer => self.write(&write).and_then(|_| Err(lost())),
                    CallOutcome::Delayed => {
                        self.delayed.push(write);
                        Err(lost())
                    }
                })
            }
            ApplyAction::Delete { path, .. } => {
                if !is_down {
                    self.objects.remove(&path);
                }
                ApplyEvent::Deleted(if call_outcome == CallOutcome::Done {
                    Ok(())
                } else {
                    Err(lost())
                })
            }
            ApplyAction::Sleep(_) => ApplyEvent::Woken,
            ApplyAction::Finish(_) => return,
        };
        let operator = &mut self.operators[index];
        operator.next = operator.state_machine.handle(event, operator.now);
        self.handle_outcome(index);
    }

    fn write(&mut self, write: &Write) -> Result<ObjectVersion, PlatformError> {
        let version = self.execute_put(&write.path, &write.value, write.expect)?;
        if write.path == object_path(CURRENT_CONFIG) {
            let document: ConfigDocument = serde_json::from_str(&write.value).unwrap();
            self.accepted_writes.push(AcceptedWrite {
                revision: document.revision,
                change: document.change,
                epoch: self.restores,
                raced_with_restore: write.status_epoch != self.restores,
                in_force_before: self.in_force,
            });
            self.in_force = self.in_force.max(document.revision);
        }
        Ok(version)
    }

    fn execute_put(
        &mut self,
        path: &ObjectPath,
        value: &str,
        expect: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let current = self.objects.get(path);
        let is_met = match expect {
            Precondition::Any => true,
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => {
                current.is_some_and(|object| object.version == version)
            }
        };
        if !is_met {
            let current = current.cloned().map(Box::new);
            return Err(PlatformError::Conflict { path: path.clone(), current });
        }
        self.version += 1;
        let version = ObjectVersion::new(self.version);
        let object = Object { path: path.clone(), version, value: value.to_owned() };
        self.objects.insert(path.clone(), object);
        Ok(version)
    }

    fn list(&self, prefix: &ObjectPath) -> Listing {
        let version = ObjectVersion::new(self.version);
        if *prefix == object_path(ZONE_STATUS) {
            return Listing { version, objects: vec![self.status()] };
        }
        let has_prefix = |object: &&Object| object.path.as_str().starts_with(prefix.as_str());
        Listing { version, objects: self.objects.values().filter(has_prefix).cloned().collect() }
    }

    fn status(&self) -> Object {
        let status = ZoneStatus {
            zone: ZoneName::new("zrh-a").unwrap(),
            relay: EndpointId::new("relay").unwrap(),
            sequence: 1,
            lowest_revision: self.in_force,
            highest_revision: self.in_force,
            members: 1,
            members_in_force: 1,
        };
        let value = serde_json::to_string(&status).unwrap();
        let path = object_path(&format!("{ZONE_STATUS}/zrh-a"));
        Object { path, version: ObjectVersion::new(self.version), value }
    }

    /// Executes every delayed write and runs every operator until it finishes.
    pub fn run_to_end(&mut self) {
        while !self.delayed.is_empty() {
            self.apply(Transition::ExecuteDelayed { index: 0 });
            self.check_invariants();
        }
        for operator in 0..self.operators.len() {
            for _ in 0..200 {
                let transition = Transition::Call { operator, call_outcome: CallOutcome::Done };
                if !self.is_enabled(transition) {
                    break;
                }
                self.apply(transition);
                self.check_invariants();
            }
            let next = &self.operators[operator].next;
            assert!(matches!(next, ApplyAction::Finish(_)), "operator does not finish: {next:?}");
        }
    }

    pub fn accepted_count(&self) -> usize {
        let is_accepted = |outcome: &ApplyOutcome| matches!(outcome, ApplyOutcome::Accepted { .. });
        self.outcomes.iter().filter(|(_, outcome)| is_accepted(outcome)).count()
    }

    pub fn outdated_count(&self) -> usize {
        let is_outdated = |outcome: &ApplyOutcome| matches!(outcome, ApplyOutcome::Outdated { .. });
        self.outcomes.iter().filter(|(_, outcome)| is_outdated(outcome)).count()
    }

    fn accepted_writes(&self, change: &ChangeId) -> Vec<&AcceptedWrite> {
        self.accepted_writes.iter().filter(|write| write.change == *change).collect()
    }

    /// Checks the invariants that hold in every state.
    pub fn check_invariants(&self) {
        for write in &self.accepted_writes {
            let is_increase = write.revision > write.in_force_before;
            assert!(
                is_increase || write.raced_with_restore,
                "{write:?} does not increase the revision in force: {self:?}"
            );
            let is_current = self.bases[&write.change] == write.in_force_before;
            assert!(
                is_current || write.raced_with_restore,
                "{write:?} overwrites a change: {self:?}"
            );
        }
        for (change, outcome) in &self.outcomes {
            let writes = self.accepted_writes(change);
            let is_never_written = writes.is_empty();
            match outcome {
                ApplyOutcome::Accepted { revision, .. } => {
                    assert!(
                        !is_never_written,
                        "reported as accepted, but never written: {change} {self:?}"
                    );
                    assert!(writes.iter().any(|write| write.revision == *revision));
                }
                ApplyOutcome::Unknown { .. } => {}
                _ if self.accepted_writes.iter().any(|write| write.raced_with_restore) => {}
                _ => assert!(
                    is_never_written,
                    "reported as {outcome:?}, but written: {change} {self:?}"
                ),
            }
        }
        if self.restores == 0 {
            for change in self.bases.keys() {
                assert!(self.accepted_writes(change).len() <= 1, "accepted twice: {self:?}");
            }
        }
    }

    /// Checks the invariants that hold once every operator has an outcome.
    pub fn check_final_state(&self) {
        self.check_invariants();
        let occurrences = |change: &ChangeId| {
            let in_history: Vec<ConfigDocument> = self
                .objects
                .values()
                .filter(|object| object.path.as_str().starts_with(CONFIG_HISTORY))
                .filter_map(|object| serde_json::from_str(&object.value).ok())
                .filter(|document: &ConfigDocument| document.change == *change)
                .collect();
            let current = self.objects.get(&object_path(CURRENT_CONFIG));
            let is_current =
                current.is_some_and(|object| object.value.contains(&format!("\"{change}\"")));
            (in_history.len(), is_current)
        };
        // A document accepted before a restore cannot be preserved, nor one accepted by or before
        // a write that raced with a restore.
        let after_restores = |write: &&AcceptedWrite| write.epoch == self.restores;
        let last_race = self.accepted_writes.iter().rposition(|write| write.raced_with_restore);
        let guaranteed_from = last_race.map_or(0, |index| index + 1);
        for write in self.accepted_writes.iter().skip(guaranteed_from).filter(after_restores) {
            let (in_history, is_current) = occurrences(&write.change);
            let is_stored_once = in_history == 1 || (in_history == 0 && is_current);
            assert!(is_stored_once, "{write:?} is in the history {in_history} times: {self:?}");
        }
        for (change, outcome) in &self.outcomes {
            if let ApplyOutcome::Accepted { is_recorded: true, .. } = outcome
                && self.accepted_writes.iter().all(|write| !write.raced_with_restore)
                && self.accepted_writes(change).iter().all(|write| write.epoch == self.restores)
            {
                assert_eq!(
                    occurrences(change).0,
                    1,
                    "reported as recorded, but not in the history: {change} {self:?}"
                );
            }
        }
    }
}
