//! Record of a history, and the checks on it.

use {
    super::fleet::{Daemon, name},
    shallotdeal::config::{Change, Config, Revision},
    smol_str::SmolStr,
    std::collections::BTreeMap,
    todc_utils::{
        linearizability::{
            WGLChecker,
            history::{Action, History},
        },
        specifications::Specification,
    },
};

/// Final answer to an operator.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    Accepted(Revision),
    Stored(Revision),
    /// Another change was stored first.
    Conflict(Revision, Option<Change>),
    /// The store call failed without effect.
    NotStored,
    Unresolved,
    /// The daemon restarted before it answered.
    DaemonRestarted,
}

#[derive(Debug, Clone)]
struct Attempt {
    id: SmolStr,
    began_us: u64,
    ended_us: u64,
    outcome: Outcome,
}

#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) lost_responses: u64,
    pub(crate) expired_leases: u64,
    pub(crate) restarts: u64,
    /// Writes that took effect, in order.
    log: Vec<(Revision, SmolStr)>,
    stored_at_us: BTreeMap<SmolStr, u64>,
    attempts: Vec<Attempt>,
    final_config: Config,
    final_revisions: Vec<(SmolStr, Revision)>,
}

/// Asserts that all daemons started before `began_us` enforce the revision, at the time when an
/// operator gets the answer that it is in force everywhere.
pub(crate) fn assert_in_force(revision: Revision, daemons: &[Daemon], began_us: u64) {
    for daemon in daemons.iter().filter(|daemon| daemon.started_us < began_us) {
        let enforced = daemon.enforced.revision();
        assert!(enforced >= revision, "{} enforces {enforced}", daemon.index);
    }
}

impl Record {
    /// Records a write of the configuration that took effect.
    pub(crate) fn applied(&mut self, config: &Config) {
        let change = config
            .last_change()
            .expect("the configuration has a change");
        assert_eq!(change.revision, config.revision);
        self.log.push((config.revision, change.id.clone()));
    }

    pub(crate) fn stored(&mut self, id: &SmolStr, now_us: u64) {
        self.stored_at_us.insert(id.clone(), now_us);
    }

    pub(crate) fn end(&mut self, id: SmolStr, began_us: u64, now_us: u64, outcome: Outcome) {
        let ended_us = self.stored_at_us.get(&id).copied().unwrap_or(now_us);
        self.attempts.push(Attempt {
            id,
            began_us,
            ended_us,
            outcome,
        });
    }

    pub(crate) fn finish(&mut self, final_config: Config, daemons: &[Daemon]) {
        let revision = |daemon: &Daemon| (name(daemon.index), daemon.enforced.revision());
        self.final_revisions = daemons.iter().map(revision).collect();
        self.final_config = final_config;
    }

    pub(crate) fn check(&self, seed: u64) {
        self.check_one_change_per_revision(seed);
        for attempt in &self.attempts {
            self.check_attempt(attempt, seed);
        }
        for (name, revision) in &self.final_revisions {
            assert_eq!(*revision, self.final_config.revision, "seed {seed}: {name}");
        }
        assert!(self.is_linearizable(), "seed {seed}: {:#?}", self.attempts);
    }

    fn check_one_change_per_revision(&self, seed: u64) {
        let revisions = self.log.iter().map(|(revision, _)| revision.0);
        assert!(
            revisions.eq(1..=self.log.len() as u64),
            "seed {seed}: {:?}",
            self.log
        );
        let history = self.final_config.history.iter();
        let history = history.map(|change| (change.revision, change.id.clone()));
        assert!(history.eq(self.log.iter().cloned()), "seed {seed}");
    }

    fn check_attempt(&self, attempt: &Attempt, seed: u64) {
        let id = &attempt.id;
        let applied = self.applied_revision(id);
        let kept = self.final_config.services.contains_key(id);
        assert_eq!(applied.is_some(), kept, "seed {seed}: {id}");
        match &attempt.outcome {
            Outcome::Accepted(revision) | Outcome::Stored(revision) => {
                assert_eq!(applied, Some(*revision), "seed {seed}: {id}");
            }
            Outcome::Conflict(_, winner) => {
                assert_eq!(
                    applied, None,
                    "seed {seed}: {id} was reported as a conflict"
                );
                let winner = winner.as_ref().expect("another change won");
                assert_eq!(
                    self.applied_revision(&winner.id),
                    Some(winner.revision),
                    "seed {seed}"
                );
                assert_ne!(winner.id, *id, "seed {seed}");
            }
            Outcome::NotStored => {
                assert_eq!(
                    applied, None,
                    "seed {seed}: {id} was reported as not stored"
                );
            }
            Outcome::Unresolved | Outcome::DaemonRestarted => {}
        }
    }

    fn applied_revision(&self, id: &SmolStr) -> Option<Revision> {
        let mut log = self.log.iter();
        log.find(|(_, other)| other == id)
            .map(|(revision, _)| *revision)
    }

    /// Checks the attempts as operations on one compare-and-swap register.
    fn is_linearizable(&self) -> bool {
        let mut actions = Vec::new();
        for (process, attempt) in self.attempts.iter().enumerate() {
            let Some((operation, ended_us)) = self.operation(attempt) else {
                continue;
            };
            actions.push((attempt.began_us, process, Action::Call(operation)));
            actions.push((ended_us, process, Action::Response(operation)));
        }
        if actions.is_empty() {
            return true;
        }
        actions.sort_by_key(|(at_us, ..)| *at_us);
        let actions = actions
            .into_iter()
            .map(|(_, process, action)| (process, action));
        WGLChecker::<Register>::is_linearizable(History::from_actions(actions.collect()))
    }

    /// Operation and end time of an attempt. A change whose outcome is unknown to its operator ends
    /// after all others, since it may take effect at any time.
    fn operation(&self, attempt: &Attempt) -> Option<(Operation, u64)> {
        match &attempt.outcome {
            Outcome::Accepted(revision) | Outcome::Stored(revision) => {
                Some((Operation::Write(revision.0), attempt.ended_us))
            }
            Outcome::Conflict(revision, _) => Some((Operation::Read(revision.0), attempt.ended_us)),
            Outcome::NotStored => None,
            Outcome::Unresolved | Outcome::DaemonRestarted => {
                let applied = self.applied_revision(&attempt.id)?;
                Some((Operation::Write(applied.0), u64::MAX))
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Operation {
    /// Writes this revision over the preceding one.
    Write(u64),
    /// Reads this revision.
    Read(u64),
}

/// Register that holds the revision of the configuration.
struct Register;

impl Specification for Register {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match *operation {
            Operation::Write(revision) => (revision == state + 1, revision),
            Operation::Read(revision) => (revision == *state, *state),
        }
    }
}

/// Number of occurrences of each outcome and fault over all histories.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    accepted: u64,
    stored: u64,
    conflicts: u64,
    not_stored: u64,
    unresolved: u64,
    daemon_restarted: u64,
    lost_responses: u64,
    expired_leases: u64,
    restarts: u64,
}

impl Tally {
    pub(crate) fn add(&mut self, record: &Record) {
        self.lost_responses += record.lost_responses;
        self.expired_leases += record.expired_leases;
        self.restarts += record.restarts;
        for attempt in &record.attempts {
            *match attempt.outcome {
                Outcome::Accepted(_) => &mut self.accepted,
                Outcome::Stored(_) => &mut self.stored,
                Outcome::Conflict(..) => &mut self.conflicts,
                Outcome::NotStored => &mut self.not_stored,
                Outcome::Unresolved => &mut self.unresolved,
                Outcome::DaemonRestarted => &mut self.daemon_restarted,
            } += 1;
        }
    }

    /// Whether every outcome and fault occurred often enough for the checks to be meaningful.
    pub(crate) fn covers_all_outcomes(&self) -> bool {
        const MIN_OCCURRENCES: u64 = 10;
        [
            self.accepted,
            self.stored,
            self.conflicts,
            self.not_stored,
            self.unresolved,
            self.daemon_restarted,
            self.lost_responses,
            self.expired_leases,
            self.restarts,
        ]
        .iter()
        .all(|count| *count >= MIN_OCCURRENCES)
    }
}
