//! Steps of a commit, of its confirmation and of enforcing a configuration.

use {
    shallotdeal::{
        config::{CONFIG_KEY, Config, Edit, EditCause, Proposal, Revision, ServiceEdit},
        control::{
            commit::{Commit, CommitError, RESOLVE_TIMEOUT_US, Step},
            confirm::{CONFIRM_TIMEOUT_US, ChangeStatus, ConfirmationWait, Confirmations},
            enforced::{EnforcedConfig, INITIAL_CONFIG_TIMEOUT_US, OfferResult},
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

fn with_change(base: &Config, id: &str) -> Config {
    base.apply(&proposal(id), 0).expect("a valid change")
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
    let step = commit.on_read(Ok(Some(entry(7, stored))), 0);
    (commit, step)
}

#[test]
fn a_lost_response_is_resolved_by_reading_back() {
    let stored = with_change(&Config::initial(), "first");
    let (mut commit, write) = begin("mine", &stored);
    assert!(matches!(
        write,
        Step::Write {
            expected: Version(7),
            ..
        }
    ));
    assert!(matches!(
        commit.on_write(Err(uncertain()), 0),
        Step::Pause { .. }
    ));
    // The version that the change was made from is still current, so the write is repeated.
    assert_eq!(commit.on_read(Ok(Some(entry(7, &stored))), 1), write);
    assert!(matches!(
        commit.on_write(Err(uncertain()), 2),
        Step::Pause { .. }
    ));
    let found = with_change(&with_change(&stored, "mine"), "later");
    let Step::Done(Ok(config)) = commit.on_read(Ok(Some(entry(9, &found))), 3) else {
        panic!("the commit did not find the change in the history");
    };
    assert_eq!(
        config.change("mine").map(|change| change.revision),
        Some(Revision(2))
    );
}

#[test]
fn a_lost_response_is_reported_as_unresolved_after_the_timeout() {
    let stored = with_change(&Config::initial(), "first");
    let (mut commit, _) = begin("mine", &stored);
    commit.on_write(Err(uncertain()), 0);
    let step = commit.on_read(Err(uncertain()), RESOLVE_TIMEOUT_US);
    let unresolved = CommitError::Unresolved { id: "mine".into() };
    assert_eq!(step, Step::Done(Err(unresolved)));
}

#[test]
fn a_conflict_reports_the_winning_change() {
    let stored = with_change(&Config::initial(), "first");
    let (mut commit, _) = begin("mine", &stored);
    let present = with_change(&with_change(&stored, "winner"), "later");
    let step = commit.on_write(Ok(Swap::Conflict(Some(entry(9, &present)))), 0);
    let Step::Done(Err(CommitError::Conflict { revision, winner })) = step else {
        panic!("the commit did not report a conflict");
    };
    assert_eq!(revision, Revision(3));
    assert_eq!(winner.map(|change| change.id), Some("winner".into()));
}

#[test]
fn a_change_builds_on_the_local_configuration_if_the_store_lost_writes() {
    let old = with_change(&Config::initial(), "first");
    let in_force = with_change(&old, "accepted");
    let mut commit = Commit::new(proposal("mine"), Arc::new(in_force), 0);
    let Step::Write { expected, value } = commit.on_read(Ok(Some(entry(3, &old))), 0) else {
        panic!("the commit did not write");
    };
    let next = Config::decode(&value).expect("a configuration");
    assert_eq!((expected, next.revision), (Version(3), Revision(3)));
    assert!(next.services.contains_key("accepted"));
}

#[test]
fn an_undecodable_value_is_not_overwritten() {
    let mut commit = Commit::new(proposal("mine"), Arc::new(Config::initial()), 0);
    let garbage = Entry {
        key: CONFIG_KEY.into(),
        version: Version(1),
        value: b"{".to_vec(),
    };
    let step = commit.on_read(Ok(Some(garbage)), 0);
    assert!(matches!(step, Step::Done(Err(CommitError::Unreadable(_)))));
}

#[test]
fn a_guard_refuses_a_change_of_another_revision() {
    let stored = with_change(&Config::initial(), "first");
    let guarded = Proposal {
        if_revision: Some(Revision(0)),
        ..proposal("mine")
    };
    let mut commit = Commit::new(guarded, Arc::new(Config::initial()), 0);
    let step = commit.on_read(Ok(Some(entry(1, &stored))), 0);
    assert!(matches!(
        step,
        Step::Done(Err(CommitError::Conflict { .. }))
    ));
}

struct FixedLagging(Vec<SmolStr>);

impl Confirmations for FixedLagging {
    fn lagging(&self, _revision: Revision) -> Vec<SmolStr> {
        self.0.clone()
    }
}

#[test]
fn a_change_is_accepted_once_no_daemon_lags() {
    let wait = ConfirmationWait::new(Revision(1), 0);
    assert_eq!(
        wait.poll(&FixedLagging(vec![]), 0),
        Some(ChangeStatus::Accepted)
    );
    let missing = vec![SmolStr::new("graz")];
    let lagging = FixedLagging(missing.clone());
    assert_eq!(wait.poll(&lagging, CONFIRM_TIMEOUT_US - 1), None);
    let stored = ChangeStatus::Stored { missing };
    assert_eq!(wait.poll(&lagging, CONFIRM_TIMEOUT_US), Some(stored));
}

#[test]
fn revisions_never_decrease_and_rival_changes_converge() {
    let base = Config::initial();
    let [a, b] = ["a", "b"].map(|id| Arc::new(with_change(&base, id)));
    let newer = Arc::new(with_change(&b, "c"));
    let mut one = EnforcedConfig::new(base.clone(), 0);
    let mut other = EnforcedConfig::new(base, 0);
    assert!(
        !one.may_serve(INITIAL_CONFIG_TIMEOUT_US - 1) && one.may_serve(INITIAL_CONFIG_TIMEOUT_US)
    );
    for config in [&a, &b, &a] {
        one.offer(config, 1);
    }
    for config in [&b, &a] {
        other.offer(config, 1);
    }
    assert_eq!(one.config(), other.config());
    assert!(one.may_serve(1));
    let from = Revision(1);
    assert_eq!(one.offer(&newer, 2), OfferResult::Adopted { from });
    assert_eq!(one.offer(&a, 3), OfferResult::Outdated);
    assert_eq!(one.offer(&newer, 4), OfferResult::Unchanged);
    assert_eq!((one.revision(), one.since_us()), (Revision(2), 2));
}

#[test]
fn the_document_stays_small_at_the_planned_fleet_size() {
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
        config = config.apply(&change, 0).expect("a valid change");
    }
    assert_eq!(config.services.len(), 160);
    assert!(
        config.encode().len() < 200 << 10,
        "{}",
        config.encode().len()
    );
    assert_eq!(Config::decode(&config.encode()), Ok(config.clone()));
    let oversized = Proposal {
        text: "x".repeat(40_000).into(),
        ..proposal("endless")
    };
    let refused = config.apply(&oversized, 0).map_err(|error| error.cause);
    assert!(matches!(
        refused,
        Err(EditCause::TooMany {
            what: "bytes of text",
            ..
        })
    ));
}
