//! What a history records, and what must hold for it.

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

/// What an operator was told in the end.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum End {
    Accepted(Revision),
    Stored(Revision),
    Lost(Revision, Option<Change>),
    Unstored,
    Unresolved,
    Gone,
}

#[derive(Debug, Clone)]
struct Attempt {
    id: SmolStr,
    began_us: u64,
    ended_us: u64,
    end: End,
}

#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) lost_answers: u64,
    pub(crate) lapsed: u64,
    pub(crate) restarts: u64,
    log: Vec<(Revision, SmolStr)>,
    stored_at_us: BTreeMap<SmolStr, u64>,
    attempts: Vec<Attempt>,
    last: Config,
    in_force: Vec<(SmolStr, Revision)>,
}

/// At this moment an operator is told that the revision is in force everywhere.
pub(crate) fn assert_in_force(revision: Revision, daemons: &[Daemon], began_us: u64) {
    for daemon in daemons.iter().filter(|daemon| daemon.started_us < began_us) {
        let enforced = daemon.enforced.revision();
        assert!(enforced >= revision, "{} enforces {enforced}", daemon.index);
    }
}

impl Record {
    /// A write of the configuration took effect.
    pub(crate) fn applied(&mut self, config: &Config) {
        let change = config.last_change().expect("a change made it");
        assert_eq!(change.revision, config.revision);
        self.log.push((config.revision, change.id.clone()));
    }

    pub(crate) fn stored(&mut self, id: &SmolStr, now_us: u64) {
        self.stored_at_us.insert(id.clone(), now_us);
    }

    pub(crate) fn end(&mut self, id: SmolStr, began_us: u64, now_us: u64, end: End) {
        let ended_us = self.stored_at_us.get(&id).copied().unwrap_or(now_us);
        self.attempts.push(Attempt {
            id,
            began_us,
            ended_us,
            end,
        });
    }

    pub(crate) fn finish(&mut self, last: Config, daemons: &[Daemon]) {
        let in_force = |daemon: &Daemon| (name(daemon.index), daemon.enforced.revision());
        self.in_force = daemons.iter().map(in_force).collect();
        self.last = last;
    }

    pub(crate) fn check(&self, seed: u64) {
        self.check_one_winner_a_revision(seed);
        for attempt in &self.attempts {
            self.check_attempt(attempt, seed);
        }
        for (name, revision) in &self.in_force {
            assert_eq!(*revision, self.last.revision, "seed {seed}: {name}");
        }
        assert!(self.is_linearizable(), "seed {seed}: {:#?}", self.attempts);
    }

    fn check_one_winner_a_revision(&self, seed: u64) {
        let revisions = self.log.iter().map(|(revision, _)| revision.0);
        assert!(
            revisions.eq(1..=self.log.len() as u64),
            "seed {seed}: {:?}",
            self.log
        );
        let history = self.last.history.iter();
        let history = history.map(|change| (change.revision, change.id.clone()));
        assert!(history.eq(self.log.iter().cloned()), "seed {seed}");
    }

    fn check_attempt(&self, attempt: &Attempt, seed: u64) {
        let id = &attempt.id;
        let made = self.made(id);
        let kept = self.last.services.contains_key(id);
        assert_eq!(made.is_some(), kept, "seed {seed}: {id}");
        match &attempt.end {
            End::Accepted(revision) | End::Stored(revision) => {
                assert_eq!(made, Some(*revision), "seed {seed}: {id}");
            }
            End::Lost(_, winner) => {
                assert_eq!(made, None, "seed {seed}: {id} was told that it lost");
                let winner = winner.as_ref().expect("another change won");
                assert_eq!(self.made(&winner.id), Some(winner.revision), "seed {seed}");
                assert_ne!(winner.id, *id, "seed {seed}");
            }
            End::Unstored => assert_eq!(made, None, "seed {seed}: {id} was told unstored"),
            End::Unresolved | End::Gone => {}
        }
    }

    fn made(&self, id: &SmolStr) -> Option<Revision> {
        let mut log = self.log.iter();
        log.find(|(_, other)| other == id)
            .map(|(revision, _)| *revision)
    }

    /// Checks the attempts as operations on one register that is changed by compare-and-swap.
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

    /// A change whose outcome its operator does not know ends after all others.
    fn operation(&self, attempt: &Attempt) -> Option<(Operation, u64)> {
        match &attempt.end {
            End::Accepted(revision) | End::Stored(revision) => {
                Some((Operation::Make(revision.0), attempt.ended_us))
            }
            End::Lost(revision, _) => Some((Operation::See(revision.0), attempt.ended_us)),
            End::Unstored => None,
            End::Unresolved | End::Gone => {
                let made = self.made(&attempt.id)?;
                Some((Operation::Make(made.0), u64::MAX))
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Operation {
    Make(u64),
    See(u64),
}

/// The revision, as a register.
struct Register;

impl Specification for Register {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match *operation {
            Operation::Make(revision) => (revision == state + 1, revision),
            Operation::See(revision) => (revision == *state, *state),
        }
    }
}

/// How often each outcome and fault occurred over all histories.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    accepted: u64,
    stored: u64,
    lost: u64,
    unstored: u64,
    unresolved: u64,
    gone: u64,
    lost_answers: u64,
    lapsed: u64,
    restarts: u64,
}

impl Tally {
    pub(crate) fn add(&mut self, record: &Record) {
        self.lost_answers += record.lost_answers;
        self.lapsed += record.lapsed;
        self.restarts += record.restarts;
        for attempt in &record.attempts {
            *match attempt.end {
                End::Accepted(_) => &mut self.accepted,
                End::Stored(_) => &mut self.stored,
                End::Lost(..) => &mut self.lost,
                End::Unstored => &mut self.unstored,
                End::Unresolved => &mut self.unresolved,
                End::Gone => &mut self.gone,
            } += 1;
        }
    }

    /// Whether every outcome and fault occurred often enough for the histories to tell anything.
    pub(crate) fn is_telling(&self) -> bool {
        const ENOUGH: u64 = 10;
        [
            self.accepted,
            self.stored,
            self.lost,
            self.unstored,
            self.unresolved,
            self.gone,
            self.lost_answers,
            self.lapsed,
            self.restarts,
        ]
        .iter()
        .all(|count| *count >= ENOUGH)
    }
}
