//! Runs each example of the language page, in order, against one daemon.

use {
    async_std::task,
    shallotdeal::{
        ask::{
            executor::Executor,
            render,
            secret::Secret,
            statement::Filter,
            view::{
                DataCentreRow, EnforcedRow, EventRow, QuarantineRow, ServiceRow, View, WorkerRow,
            },
        },
        clock::Clock,
        config::{Config, Revision},
        control::{committer::Committer, confirm::Confirmations, enforced::LiveConfig},
        request::RequestId,
        store::memory::MemoryStore,
    },
    smol_str::{SmolStr, format_smolstr},
    std::sync::Arc,
};

const PAGE: &str = include_str!("../docs/operations/language.md");
const TOKEN: &str = "open sesame";

struct FixedClock;

impl Clock for FixedClock {
    fn now_us(&self) -> u64 {
        0
    }

    fn now_unix_ms(&self) -> u64 {
        5_000
    }
}

struct NoLaggingDaemons;

impl Confirmations for NoLaggingDaemons {
    fn lagging(&self, _revision: Revision) -> Vec<SmolStr> {
        Vec::new()
    }
}

struct FixedView(Arc<LiveConfig>);

impl FixedView {
    fn revision(&self) -> Revision {
        self.0.config().revision
    }
}

impl View for FixedView {
    fn config(&self) -> Arc<Config> {
        self.0.config()
    }

    fn services(&self) -> Vec<ServiceRow> {
        vec![ServiceRow {
            service: "pantry-ledger".into(),
            serving: 1,
            draining: 0,
            capacity: 20,
            in_flight: 3,
            admitted: "all".into(),
        }]
    }

    fn workers(&self) -> Vec<WorkerRow> {
        vec![WorkerRow {
            worker: "ledger-1".into(),
            service: "pantry-ledger".into(),
            data_centre: "wien".into(),
            vm: "10.0.0.4".into(),
            state: "draining".into(),
            in_flight: 3,
            limit: 20,
            revision: self.revision(),
        }]
    }

    fn data_centres(&self) -> Vec<DataCentreRow> {
        vec![DataCentreRow {
            data_centre: "wien".into(),
            region: "ost".into(),
            daemons: 1,
            revision: self.revision(),
            silent_ms: 0,
        }]
    }

    fn quarantine(&self) -> Vec<QuarantineRow> {
        vec![QuarantineRow {
            fingerprint: "3f2a9c01d4e5b677".into(),
            service: "pantry-ledger".into(),
            deaths: 2,
            refused: 14,
        }]
    }

    fn enforced(&self, filter: &Filter) -> Vec<EnforcedRow> {
        assert_eq!(filter, &Filter::Service("pantry-ledger".into()));
        vec![EnforcedRow {
            at: "ledger-1".into(),
            data_centre: "wien".into(),
            revision: self.revision(),
        }]
    }

    fn explain(&self, request_id: RequestId) -> Vec<EventRow> {
        assert_eq!(request_id, RequestId(0x00c0_ffee));
        vec![EventRow {
            at_unix_ms: 1_000,
            daemon: "ledger-1".into(),
            event: "refused".into(),
            detail: "not-run: overload".into(),
        }]
    }
}

fn executor() -> (Executor, Arc<LiveConfig>) {
    let clock: Arc<dyn Clock> = Arc::new(FixedClock);
    let live = Arc::new(LiveConfig::new(Config::initial(), Arc::clone(&clock)));
    let store = Arc::new(MemoryStore::new(Arc::clone(&clock)));
    let committer = Committer::new(store, Arc::clone(&live), Arc::new(NoLaggingDaemons), clock);
    let view = Arc::new(FixedView(Arc::clone(&live)));
    let executor = Executor::new(view, Arc::new(committer), Some(Secret::new(TOKEN)));
    (executor, live)
}

/// Contents of the code blocks with this tag, in order.
fn blocks(tag: &str) -> Vec<&'static str> {
    let fence = format!("```{tag}\n");
    PAGE.split(fence.as_str())
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .collect()
}

fn revision(live: &LiveConfig) -> u64 {
    live.config().revision.0
}

#[test]
fn each_example_gives_the_answer_on_the_page() {
    let (executor, live) = executor();
    let questions = blocks("ask");
    let answers = blocks("answer");
    assert_eq!(questions.len(), answers.len());
    assert!(questions.len() >= 18);
    for (question, expected) in questions.into_iter().zip(answers) {
        let change_id = format_smolstr!("change-{}", revision(&live) + 1);
        // The content of a block ends with the newline before the closing fence.
        let verdict = task::block_on(executor.ask(TOKEN, question, change_id));
        assert_eq!(render::text(&verdict), expected, "{question}");
    }
}

#[test]
fn a_wrong_token_is_rejected_and_the_token_is_not_printed() {
    let (executor, live) = executor();
    for wrong in ["", "open sesam", "open sesame!", "Open sesame"] {
        let ask = executor.ask(wrong, "set stop-limit 1s", "x".into());
        let answer = render::json(&task::block_on(ask));
        assert_eq!(answer, r#"{"verdict":"forbidden"}"#);
    }
    assert_eq!(revision(&live), 0);
    assert!(!Secret::new("").matches(""));
    let secret = Secret::new(TOKEN);
    assert!(!format!("{secret:?} {secret} {executor:?}").contains("sesame"));
}

#[test]
fn a_change_is_atomic() {
    let (executor, live) = executor();
    let text = "create service a\ncreate service b timeout 2s\ncreate service a";
    let verdict = task::block_on(executor.ask(TOKEN, text, "x".into()));
    insta::assert_snapshot!(render::json(&verdict), @r#"{"verdict":"faulty","line":3,"column":16,"message":"service already exists","expected":[]}"#);
    assert_eq!(revision(&live), 0);
    assert!(live.config().services.is_empty());
}

#[test]
fn a_resent_change_is_not_applied_twice() {
    let (executor, live) = executor();
    let ask = |text: &'static str| task::block_on(executor.ask(TOKEN, text, "same".into()));
    let first = ask("create service a");
    assert_eq!(ask("create service a"), first);
    insta::assert_snapshot!(render::text(&ask("create service b")), @r"error: change ID same is already used by another change");
    assert_eq!(revision(&live), 1);
}
