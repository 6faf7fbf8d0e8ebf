//! HTTP interface for operators.

use {
    crate::{
        ask::{answer::Verdict, executor::Executor, render},
        config::is_valid_name,
        control::commit::CommitError,
    },
    http_types::headers::{ACCEPT, AUTHORIZATION},
    rand::random,
    smol_str::{SmolStr, format_smolstr},
    std::sync::Arc,
    tide::{Request, Response, Server, StatusCode},
};

/// Path that accepts an operator's script.
pub const ASK_PATH: &str = "/ask";
/// Header with an identifier of the change, so that a resent change is not applied twice.
pub const CHANGE_ID_HEADER: &str = "Change-Id";
/// Media type of machine-readable answers.
pub const JSON: &str = "application/json";

/// Largest script that is read.
const MAX_TEXT_BYTES: usize = 1 << 20;

const BEARER: &str = "Bearer ";
const TEXT: &str = "text/plain; charset=utf-8";

/// Creates the server for operators; a supervisor binds it to an address.
pub fn app(executor: Arc<Executor>) -> Server<Arc<Executor>> {
    let mut app = tide::with_state(executor);
    app.at(ASK_PATH).post(ask);
    app
}

/// Generates a random identifier for a change.
pub fn new_change_id() -> SmolStr {
    format_smolstr!("{:016x}", random::<u64>())
}

async fn ask(mut request: Request<Arc<Executor>>) -> tide::Result {
    if request
        .len()
        .is_none_or(|size_bytes| size_bytes > MAX_TEXT_BYTES)
    {
        return Ok(Response::new(StatusCode::PayloadTooLarge));
    }
    let text = request.body_string().await?;
    let token = token(&request);
    let change_id = header(&request, CHANGE_ID_HEADER)
        .filter(|id| is_valid_name(id))
        .map_or_else(new_change_id, SmolStr::new);
    let verdict = request.state().ask(token, &text, change_id).await;
    Ok(respond(&verdict, wants_json(&request)))
}

/// Token that an operator sent; empty if there is none.
pub fn token(request: &Request<Arc<Executor>>) -> &str {
    let value = header(request, AUTHORIZATION.as_str()).unwrap_or_default();
    value.strip_prefix(BEARER).unwrap_or_default()
}

/// Whether the request asks for an answer in JSON.
pub fn wants_json(request: &Request<Arc<Executor>>) -> bool {
    header(request, ACCEPT.as_str()).is_some_and(|accept| accept.contains(JSON))
}

fn header<'r>(request: &'r Request<Arc<Executor>>, name: &str) -> Option<&'r str> {
    request.header(name).map(|values| values.as_str())
}

fn respond(verdict: &Verdict, as_json: bool) -> Response {
    let (body, media_type) = if as_json {
        (render::json(verdict), JSON)
    } else {
        (render::text(verdict), TEXT)
    };
    Response::builder(status(verdict))
        .body(body)
        .content_type(media_type)
        .build()
}

fn status(verdict: &Verdict) -> StatusCode {
    match verdict {
        Verdict::Answers(_) | Verdict::Changed(_) => StatusCode::Ok,
        Verdict::Invalid(_) => StatusCode::UnprocessableEntity,
        Verdict::NotChanged(error) => status_of(error),
        Verdict::Forbidden => StatusCode::Forbidden,
    }
}

fn status_of(error: &CommitError) -> StatusCode {
    match error {
        CommitError::Store(_) | CommitError::Unreadable(_) => StatusCode::ServiceUnavailable,
        CommitError::Unresolved { .. } => StatusCode::GatewayTimeout,
        CommitError::Invalid(_) | CommitError::Conflict { .. } | CommitError::Reused { .. } => {
            StatusCode::Conflict
        }
    }
}
