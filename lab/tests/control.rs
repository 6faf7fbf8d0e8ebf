//! Configuration commits and readers over HTTP against the stand-in of the platform's store.

use {
    async_std::task,
    lab::platform::{Faults, Platform, RunningPlatform},
    shallotdeal::{
        clock::{Clock, SystemClock},
        config::{Config, Edit, Proposal, Revision, ServiceEdit},
        control::{
            commit::CommitError,
            committer::Committer,
            confirm::{ChangeStatus, Confirmations},
            enforced::LiveConfig,
            reader::{self, Members},
        },
        store::http::HttpStore,
    },
    smol_str::{SmolStr, format_smolstr},
    std::{sync::Arc, time::Duration},
};

struct Fleet(Vec<Arc<LiveConfig>>);

impl Confirmations for Fleet {
    fn lagging(&self, revision: Revision) -> Vec<SmolStr> {
        let daemons = self.0.iter().enumerate();
        daemons
            .filter(|(_, live)| live.config().revision < revision)
            .map(|(index, _)| format_smolstr!("daemon-{index}"))
            .collect()
    }
}

struct SingleMember(SmolStr);

impl Members for SingleMember {
    fn members(&self) -> Vec<SmolStr> {
        vec![self.0.clone()]
    }
}

fn proposal(id: &str) -> Proposal {
    Proposal {
        id: id.into(),
        text: id.into(),
        if_revision: None,
        edits: vec![Edit::CreateService(id.into(), ServiceEdit::default())],
    }
}

async fn start(daemons: usize) -> (RunningPlatform, Committer, Vec<Arc<LiveConfig>>) {
    let running = Platform::new()
        .serve(([127, 0, 0, 1], 0).into())
        .await
        .expect("a free port");
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let live = || Arc::new(LiveConfig::new(Config::initial(), Arc::clone(&clock)));
    let live_configs: Vec<_> = (0..daemons).map(|_| live()).collect();
    for (index, live) in live_configs.iter().enumerate() {
        let name = format_smolstr!("daemon-{index}");
        let members = Arc::new(SingleMember(name.clone()));
        let store = Arc::new(HttpStore::new(running.addr));
        let (live, clock) = (Arc::clone(live), Arc::clone(&clock));
        task::spawn(reader::run(name, store, live, members, clock, index as u64));
    }
    let store = Arc::new(HttpStore::new(running.addr));
    let fleet = Arc::new(Fleet(live_configs.clone()));
    let committer = Committer::new(store, Arc::clone(&live_configs[0]), fleet, clock);
    (running, committer, live_configs)
}

#[test]
fn a_change_is_accepted_despite_a_lost_answer() {
    task::block_on(async {
        let (running, committer, live_configs) = start(4).await;
        let first = committer.commit(proposal("first")).await.expect("stored");
        assert_eq!(first.status, ChangeStatus::Accepted);
        running.platform.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        let second = committer.commit(proposal("second")).await.expect("stored");
        assert_eq!(
            (second.revision, second.status),
            (Revision(2), ChangeStatus::Accepted)
        );
        assert!(
            live_configs
                .iter()
                .all(|live| live.config().revision == Revision(2))
        );
        assert_eq!(running.platform.report().counts.lost_answers, 1);
        running.task.cancel().await;
    });
}

#[test]
fn an_outage_changes_nothing_and_commits_work_after_it() {
    task::block_on(async {
        let (running, committer, live_configs) = start(2).await;
        committer.commit(proposal("first")).await.expect("stored");
        running.platform.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        let refused = committer.commit(proposal("refused")).await;
        assert!(matches!(refused, Err(CommitError::Store(_))));
        task::sleep(Duration::from_millis(600)).await;
        assert!(
            live_configs
                .iter()
                .all(|live| live.config().revision == Revision(1))
        );
        running.platform.set_faults(Faults::default());
        let second = committer.commit(proposal("second")).await.expect("stored");
        assert_eq!(
            (second.revision, second.status),
            (Revision(2), ChangeStatus::Accepted)
        );
        running.task.cancel().await;
    });
}
