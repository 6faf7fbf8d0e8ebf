//! Single steps of a commit, of its confirmation and of what a daemon enforces.

use {
    shallotdeal::{
        config::{CONFIG_KEY, Config, Edit, EditCause, Proposal, Revision, ServiceEdit},
        control::{
            commit::{Commit, CommitError, RESOLVE_TIMEOUT_US, Step},
            confirm::{CONFIRM_TIMEOUT_US, Confirm, Confirmations, Standing},
            enforced::{Enforced, Offer, SETTLE_TIMEOUT_US},
        },
        store::{Entry, StoreError, Swap, Version},
    },
    smol_str::SmolStr,
    std::sync::Arc,
};

fn proposal(id: &str) -> Proposal {
    Proposal {
        id: id.into(),
        text: id.into(),
        if_revision: None,
        edits: vec![Edit::CreateService(id.into(), ServiceEdit::default())],
    }
}

fn changed(base: &Config, id: &str) -> Config {
    base.apply(&proposal(id), 0).expect("a sound change")
}

fn entry(version: u64, config: &Config) -> Entry {
    Entry {
        key: CONFIG_KEY.into(),
        version: Version(version),
        value: config.encode(),
    }
}

fn uncertain() -> StoreError {
    StoreError::Uncertain {
        step: "swap",
        peer: "store".into(),
        detail: "timeout".into(),
    }
}

fn begin(id: &str, stored: &Config) -> (Commit, Step) {
    let mut commit = Commit::new(proposal(id), Arc::new(Config::initial()), 0);
    assert_eq!(commit.start(), Step::Read);
    let step = commit.read(Ok(Some(entry(7, stored))), 0);
    (commit, step)
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let stored = changed(&Config::initial(), "first");
    let (mut commit, write) = begin("mine", &stored);
    assert!(matches!(
        write,
        Step::Write {
            expected: Version(7),
            ..
        }
    ));
    assert!(matches!(
        commit.written(Err(uncertain()), 0),
        Step::Pause { .. }
    ));
    // Still at the version that the change was made from: the same write again.
    assert_eq!(commit.read(Ok(Some(entry(7, &stored))), 1), write);
    assert!(matches!(
        commit.written(Err(uncertain()), 2),
        Step::Pause { .. }
    ));
    let found = changed(&changed(&stored, "mine"), "later");
    let Step::Done(Ok(config)) = commit.read(Ok(Some(entry(9, &found))), 3) else {
        panic!("the change is in the history");
    };
    assert_eq!(
        config.change("mine").map(|change| change.revision),
        Some(Revision(2))
    );
}

#[test]
fn a_lost_answer_that_stays_open_is_said_so() {
    let stored = changed(&Config::initial(), "first");
    let (mut commit, _) = begin("mine", &stored);
    commit.written(Err(uncertain()), 0);
    let step = commit.read(Err(uncertain()), RESOLVE_TIMEOUT_US);
    let unresolved = CommitError::Unresolved { id: "mine".into() };
    assert_eq!(step, Step::Done(Err(unresolved)));
}

#[test]
fn the_loser_of_a_conflict_is_told_the_winner() {
    let stored = changed(&Config::initial(), "first");
    let (mut commit, _) = begin("mine", &stored);
    let present = changed(&changed(&stored, "winner"), "later");
    let step = commit.written(Ok(Swap::Conflict(Some(entry(9, &present)))), 0);
    let Step::Done(Err(CommitError::Lost { revision, winner })) = step else {
        panic!("another change came first");
    };
    assert_eq!(revision, Revision(3));
    assert_eq!(winner.map(|change| change.id), Some("winner".into()));
}

#[test]
fn a_store_that_lost_writes_is_not_followed_back() {
    let old = changed(&Config::initial(), "first");
    let in_force = changed(&old, "accepted");
    let mut commit = Commit::new(proposal("mine"), Arc::new(in_force), 0);
    let Step::Write { expected, value } = commit.read(Ok(Some(entry(3, &old))), 0) else {
        panic!("a write");
    };
    let next = Config::decode(&value).expect("a configuration");
    assert_eq!((expected, next.revision), (Version(3), Revision(3)));
    assert!(next.services.contains_key("accepted"));
}

#[test]
fn what_is_no_configuration_is_not_overwritten() {
    let mut commit = Commit::new(proposal("mine"), Arc::new(Config::initial()), 0);
    let garbage = Entry {
        key: CONFIG_KEY.into(),
        version: Version(1),
        value: b"{".to_vec(),
    };
    let step = commit.read(Ok(Some(garbage)), 0);
    assert!(matches!(step, Step::Done(Err(CommitError::Unreadable(_)))));
}

#[test]
fn a_guard_refuses_another_revision() {
    let stored = changed(&Config::initial(), "first");
    let guarded = Proposal {
        if_revision: Some(Revision(0)),
        ..proposal("mine")
    };
    let mut commit = Commit::new(guarded, Arc::new(Config::initial()), 0);
    let step = commit.read(Ok(Some(entry(1, &stored))), 0);
    assert!(matches!(step, Step::Done(Err(CommitError::Lost { .. }))));
}

struct Lagging(Vec<SmolStr>);

impl Confirmations for Lagging {
    fn lagging(&self, _revision: Revision) -> Vec<SmolStr> {
        self.0.clone()
    }
}

#[test]
fn a_change_is_accepted_only_without_anyone_missing() {
    let confirm = Confirm::new(Revision(1), 0);
    assert_eq!(confirm.poll(&Lagging(vec![]), 0), Some(Standing::Accepted));
    let missing = vec![SmolStr::new("graz")];
    let lagging = Lagging(missing.clone());
    assert_eq!(confirm.poll(&lagging, CONFIRM_TIMEOUT_US - 1), None);
    let stored = Standing::Stored { missing };
    assert_eq!(confirm.poll(&lagging, CONFIRM_TIMEOUT_US), Some(stored));
}

#[test]
fn a_daemon_never_goes_back_and_rivals_end_alike() {
    let base = Config::initial();
    let [a, b] = ["a", "b"].map(|id| Arc::new(changed(&base, id)));
    let newer = Arc::new(changed(&b, "c"));
    let mut one = Enforced::new(base.clone(), 0);
    let mut other = Enforced::new(base, 0);
    assert!(!one.is_settled(SETTLE_TIMEOUT_US - 1) && one.is_settled(SETTLE_TIMEOUT_US));
    for config in [&a, &b, &a] {
        one.offer(config, 1);
    }
    for config in [&b, &a] {
        other.offer(config, 1);
    }
    assert_eq!(one.config(), other.config());
    assert!(one.is_settled(1));
    let from = Revision(1);
    assert_eq!(one.offer(&newer, 2), Offer::Adopted { from });
    assert_eq!(one.offer(&a, 3), Offer::Older);
    assert_eq!(one.offer(&newer, 4), Offer::Known);
    assert_eq!((one.revision(), one.since_us()), (Revision(2), 2));
}

#[test]
fn the_document_stays_small_at_the_planned_size() {
    let text = SmolStr::from("x".repeat(4_000));
    let mut config = Config::initial();
    for index in 0..240 {
        let name = format!("service-{:03}", index % 160);
        let values = ServiceEdit::default();
        let edit = match index {
            0..160 => Edit::CreateService(name.into(), values),
            _ => Edit::ChangeService(name.into(), values),
        };
        let change = Proposal {
            text: text.clone(),
            edits: vec![edit],
            ..proposal(&format!("change-{index}"))
        };
        config = config.apply(&change, 0).expect("a sound change");
    }
    assert_eq!(config.services.len(), 160);
    assert!(
        config.encode().len() < 200 << 10,
        "{}",
        config.encode().len()
    );
    assert_eq!(Config::decode(&config.encode()), Ok(config.clone()));
    let endless = Proposal {
        text: "x".repeat(40_000).into(),
        ..proposal("endless")
    };
    let refused = config.apply(&endless, 0).map_err(|error| error.cause);
    assert!(matches!(
        refused,
        Err(EditCause::TooMany {
            what: "bytes of text",
            ..
        })
    ));
}
