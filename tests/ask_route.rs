//! HTTP interface for operators, tested without a socket.

use {
    async_std::task,
    async_trait::async_trait,
    http_types::{Method, Request, Response, Url},
    shallotdeal::{
        ask::{
            executor::{CommitChange, Executor},
            route::{CHANGE_ID_HEADER, app},
            secret::Secret,
            statement::Filter,
            view::{
                DataCentreRow, EnforcedRow, EventRow, QuarantineRow, ServiceRow, View, WorkerRow,
            },
        },
        config::{Change, Config, Proposal, Revision},
        control::{commit::CommitError, committer::Receipt, confirm::ChangeStatus},
        request::RequestId,
    },
    std::sync::Arc,
    tide::Server,
};

struct EmptyView;

impl View for EmptyView {
    fn config(&self) -> Arc<Config> {
        Arc::new(Config::initial())
    }

    fn services(&self) -> Vec<ServiceRow> {
        vec![]
    }

    fn workers(&self) -> Vec<WorkerRow> {
        vec![]
    }

    fn data_centres(&self) -> Vec<DataCentreRow> {
        vec![]
    }

    fn quarantine(&self) -> Vec<QuarantineRow> {
        vec![]
    }

    fn enforced(&self, _filter: &Filter) -> Vec<EnforcedRow> {
        vec![]
    }

    fn explain(&self, _request_id: RequestId) -> Vec<EventRow> {
        vec![]
    }
}

/// Stores each change, except those named `late`, for which it reports a conflict.
struct ScriptedCommitter;

#[async_trait]
impl CommitChange for ScriptedCommitter {
    async fn commit_change(&self, proposal: Proposal) -> Result<Receipt, CommitError> {
        let revision = Revision(4);
        if proposal.id == "late" {
            let winner = Some(Change {
                id: "early".into(),
                revision,
                at_unix_ms: 9,
                text: "set stop-limit 1s".into(),
            });
            return Err(CommitError::Conflict { revision, winner });
        }
        let missing = vec!["graz".into()];
        Ok(Receipt {
            id: proposal.id,
            revision,
            status: ChangeStatus::Stored { missing },
        })
    }
}

fn server() -> Server<Arc<Executor>> {
    let executor = Executor::new(
        Arc::new(EmptyView),
        Arc::new(ScriptedCommitter),
        Some(Secret::new("t")),
    );
    app(Arc::new(executor))
}

fn ask(change_id: &str, accept: &str, token: &str, text: &str) -> String {
    let url = Url::parse("http://daemon/ask").expect("a URL");
    let mut request = Request::new(Method::Post, url);
    request.insert_header("Authorization", format!("Bearer {token}"));
    request.insert_header("Accept", accept);
    request.insert_header(CHANGE_ID_HEADER, change_id);
    request.set_body(text);
    task::block_on(async {
        let mut response: Response = server().respond(request).await.expect("an answer");
        let body = response.body_string().await.expect("text");
        format!("{} {body}", response.status() as u16)
    })
}

#[test]
fn answers_as_text_and_as_json() {
    let text = "set stop-limit 2s";
    insta::assert_snapshot!(ask("mine", "*/*", "t", text), @r"200 stored: revision 4 is not confirmed by graz (mine)");
    insta::assert_snapshot!(ask("mine", "application/json", "t", text), @r#"200 {"verdict":"changed","id":"mine","revision":4,"standing":"stored","missing":["graz"]}"#);
    insta::assert_snapshot!(ask("late", "*/*", "t", text), @r"
409 error: another change came first: the configuration is at revision 4
REVISION  UNIX MS  CHANGE  TEXT
4         9        early   set stop-limit 1s
");
    insta::assert_snapshot!(ask("late", "application/json", "t", text), @r#"409 {"verdict":"lost","revision":4,"winner":{"id":"early","revision":4,"at_unix_ms":9,"text":"set stop-limit 1s"}}"#);
    insta::assert_snapshot!(ask("mine", "application/json", "t", "show classes"), @r#"200 {"verdict":"answers","answers":[{"about":"classes","revision":0,"classes":[{"class":"default","importance":2,"retry_allowance":2,"idempotent":false,"deadline_ms":10000},{"class":"order","importance":0,"retry_allowance":3,"idempotent":false,"deadline_ms":10000},{"class":"read","importance":4,"retry_allowance":2,"idempotent":true,"deadline_ms":5000}]}]}"#);
    insta::assert_snapshot!(ask("mine", "application/json", "t", "set limit"), @r#"422 {"verdict":"faulty","line":1,"column":5,"message":"unexpected `limit`","expected":["stop-limit","recovery-weight","unlisted-services"]}"#);
    insta::assert_snapshot!(ask("mine", "*/*", "wrong", text), @r"403 error: the token is missing or wrong");
}
