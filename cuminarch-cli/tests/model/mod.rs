//! A model of the platform, of the zones that put into force what they see, and
//! of operators who apply sheets at the same time.

use std::collections::BTreeMap;

use cuminarch_cli::paths::{CONFIG_HISTORY, CURRENT_CONFIG, ZONE_STATUS, object_path};
use cuminarch_cli::{ApplyAction, ApplyEvent, ApplyOutcome, ApplyRequest, ApplyStateMachine};
use cuminarch_config::{ConfigDocument, ZoneStatus};
use cuminarch_platform::{Listing, Object, ObjectPath, ObjectVersion, PlatformError, Precondition};
use cuminarch_types::{ChangeId, EndpointId, MonoTime, Revision, ZoneName};

const DEADLINE: MonoTime = MonoTime::from_millis(60_000);

/// What becomes of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// It is carried out and answered.
    Done,
    /// It is carried out, the answer is lost.
    LostAnswer,
    /// It is not carried out.
    Down,
    /// No answer comes; it may be carried out later.
    Delayed,
}

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// An operator's next action meets a fate.
    Call { operator: usize, call_outcome: CallOutcome },
    /// A delayed write is carried out.
    ExecuteDelayed { index: usize },
    /// An operator's time limit passes.
    ReachDeadline { operator: usize },
    /// The platform keeps a backup.
    Backup,
    /// The platform goes back to its backup.
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
    process: ApplyStateMachine,
    change: ChangeId,
    is_rerun: bool,
    next: ApplyAction,
    now: MonoTime,
    /// Restores seen when the zones' reports were read.
    status_epoch: u32,
}

#[derive(Clone, Debug)]
struct Write {
    /// Restores seen when its writer read the zones' reports before sending it.
    status_epoch: u32,
    path: ObjectPath,
    value: String,
    expect: Precondition,
}

/// A document that took effect.
#[derive(Clone, Debug)]
struct AcceptedWrite {
    revision: Revision,
    change: ChangeId,
    /// Restores before it.
    epoch: u32,
    /// Whether a restore happened between the writer's reading of the zones'
    /// reports and the write, which no writer can notice.
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
    /// Operators who all start from the given revision, which is in force.
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

    /// An operator who begins a change.
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
        let mut process = ApplyStateMachine::new(request, DEADLINE, 1);
        let now = MonoTime::ZERO;
        let next = process.handle(ApplyEvent::Started, now);
        Operator { process, change, is_rerun, next, now, status_epoch: 0 }
    }

    /// Notes an outcome. An operator who came too late once begins anew from
    /// what is accepted now; one who was left in doubt asks for the same change again.
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

    /// Tells states apart; what only spreads delays is left out.
    pub fn state_key(&self) -> String {
        let operators: Vec<String> = self
            .operators
            .iter()
            .map(|operator| {
                let process = format!("{:?}", operator.process);
                let (before, after) = process.split_once("backoff").unwrap();
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

    /// Everything that can happen next with at most so many faults, restores aside.
    pub fn transitions(&self, faults_left: u32) -> Vec<Transition> {
        let mut choices = Vec::new();
        for operator in 0..self.operators.len() {
            for fate in [
                CallOutcome::Done,
                CallOutcome::LostAnswer,
                CallOutcome::Down,
                CallOutcome::Delayed,
            ] {
                choices.push(Transition::Call { operator, call_outcome: fate });
            }
            choices.push(Transition::ReachDeadline { operator });
        }
        choices.extend((0..self.delayed.len()).map(|index| Transition::ExecuteDelayed { index }));
        choices.retain(|choice| choice.fault_count() <= faults_left && self.is_enabled(*choice));
        choices
    }

    pub fn is_enabled(&self, choice: Transition) -> bool {
        match choice {
            Transition::Call { operator, call_outcome: fate } => {
                let Some(operator) = self.operators.get(operator) else { return false };
                let is_write =
                    matches!(operator.next, ApplyAction::Put { .. } | ApplyAction::Delete { .. });
                match operator.next {
                    ApplyAction::Finish(_) => false,
                    ApplyAction::Sleep(_) => fate == CallOutcome::Done,
                    _ => is_write || matches!(fate, CallOutcome::Done | CallOutcome::Down),
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

    pub fn apply(&mut self, choice: Transition) {
        match choice {
            Transition::Call { operator, call_outcome: fate } => self.step(operator, fate),
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

    fn step(&mut self, index: usize, fate: CallOutcome) {
        let down = || PlatformError::Unavailable { reason: "down".to_owned() };
        let lost = || PlatformError::Ambiguous { reason: "lost".to_owned() };
        let is_down = fate == CallOutcome::Down;
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
                ApplyEvent::Put(match fate {
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
                ApplyEvent::Deleted(if fate == CallOutcome::Done { Ok(()) } else { Err(lost()) })
            }
            ApplyAction::Sleep(_) => ApplyEvent::Woken,
            ApplyAction::Finish(_) => return,
        };
        let operator = &mut self.operators[index];
        operator.next = operator.process.handle(event, operator.now);
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
        let fits = match expect {
            Precondition::Any => true,
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => {
                current.is_some_and(|object| object.version == version)
            }
        };
        if !fits {
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
        let fits = |object: &&Object| object.path.as_str().starts_with(prefix.as_str());
        Listing { version, objects: self.objects.values().filter(fits).cloned().collect() }
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

    /// Lets every delayed write land and every operator come to an end.
    pub fn run_to_end(&mut self) {
        while !self.delayed.is_empty() {
            self.apply(Transition::ExecuteDelayed { index: 0 });
            self.check_invariants();
        }
        for operator in 0..self.operators.len() {
            for _ in 0..200 {
                let choice = Transition::Call { operator, call_outcome: CallOutcome::Done };
                if !self.is_enabled(choice) {
                    break;
                }
                self.apply(choice);
                self.check_invariants();
            }
            let next = &self.operators[operator].next;
            assert!(matches!(next, ApplyAction::Finish(_)), "it goes on: {next:?}");
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
        self.accepted_writes.iter().filter(|landed| landed.change == *change).collect()
    }

    /// What has to hold at every moment.
    pub fn check_invariants(&self) {
        for landed in &self.accepted_writes {
            let rises = landed.revision > landed.in_force_before;
            assert!(rises || landed.raced_with_restore, "{landed:?} does not rise: {self:?}");
            let is_current = self.bases[&landed.change] == landed.in_force_before;
            assert!(is_current || landed.raced_with_restore, "{landed:?} loses a change: {self:?}");
        }
        for (change, outcome) in &self.outcomes {
            let landed = self.accepted_writes(change);
            let is_lost = landed.is_empty();
            match outcome {
                ApplyOutcome::Accepted { revision, .. } => {
                    assert!(!is_lost, "told accepted, but lost: {change} {self:?}");
                    assert!(landed.iter().any(|landed| landed.revision == *revision));
                }
                ApplyOutcome::Unknown { .. } => {}
                _ if self.accepted_writes.iter().any(|landed| landed.raced_with_restore) => {}
                _ => assert!(is_lost, "told {outcome:?}, but accepted: {change} {self:?}"),
            }
        }
        if self.restores == 0 {
            for change in self.bases.keys() {
                assert!(self.accepted_writes(change).len() <= 1, "accepted twice: {self:?}");
            }
        }
    }

    /// What has to hold once every operator has an outcome.
    pub fn check_final_state(&self) {
        self.check_invariants();
        let kept = |change: &ChangeId| {
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
        // What was accepted before a restore, or before or by a write that a restore
        // made possible, is beyond anyone's keeping.
        let after_restores = |landed: &&AcceptedWrite| landed.epoch == self.restores;
        let last_unguarded =
            self.accepted_writes.iter().rposition(|landed| landed.raced_with_restore);
        let replaced = last_unguarded.map_or(0, |index| index + 1);
        for landed in self.accepted_writes.iter().skip(replaced).filter(after_restores) {
            let (in_history, is_current) = kept(&landed.change);
            let is_kept_once = in_history == 1 || (in_history == 0 && is_current);
            assert!(is_kept_once, "{landed:?} is in the history {in_history} times: {self:?}");
        }
        for (change, outcome) in &self.outcomes {
            if let ApplyOutcome::Accepted { is_recorded: true, .. } = outcome
                && self.accepted_writes.iter().all(|landed| !landed.raced_with_restore)
                && self.accepted_writes(change).iter().all(|landed| landed.epoch == self.restores)
            {
                assert_eq!(kept(change).0, 1, "said to be recorded: {change} {self:?}");
            }
        }
    }
}
