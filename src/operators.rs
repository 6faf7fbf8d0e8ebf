//! Operators' HTTP: statements and the state of the process on request.

use {
    crate::{cmd::CommandError, settings::Token},
    async_h1::client,
    async_std::{net::TcpStream, task},
    async_trait::async_trait,
    http_types::{Method, Request, Url},
    smol_str::ToSmolStr,
    std::{io, net::SocketAddr, sync::Arc},
};

/// Header that carries the operators' token.
const TOKEN_HEADER: &str = "operator-token";

/// Largest body of statements.
const MAX_STATEMENTS_BYTES: usize = 1 << 20;

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Whether the statements were carried out.
    pub is_done: bool,
    /// What the operator reads.
    pub text: String,
}

/// What answers operators.
#[async_trait]
pub trait Operate: Send + Sync {
    /// Carries out statements.
    async fn ask(&self, statements: &str, as_json: bool) -> Reply;

    /// Describes the state of the process.
    fn dump(&self, as_json: bool) -> String;
}

#[derive(Clone)]
struct State {
    operate: Arc<dyn Operate>,
    token: Option<Token>,
}

/// Serves operators until the listener fails.
///
/// # Errors
///
/// Fails when connections can no longer be accepted.
pub async fn listen(
    addr: SocketAddr,
    operate: Arc<dyn Operate>,
    token: Option<Token>,
) -> io::Result<()> {
    let mut app = tide::with_state(State { operate, token });
    app.at("/ask").post(ask);
    app.at("/dump").get(dump);
    app.listen(addr).await
}

async fn ask(mut request: tide::Request<State>) -> tide::Result {
    if !is_allowed(&request) {
        return Ok(forbidden());
    }
    if request
        .len()
        .is_none_or(|size_bytes| size_bytes > MAX_STATEMENTS_BYTES)
    {
        return Ok(tide::Response::new(tide::StatusCode::PayloadTooLarge));
    }
    let statements = request.body_string().await?;
    let reply = request
        .state()
        .operate
        .ask(&statements, wants_json(&request))
        .await;
    let status = if reply.is_done {
        tide::StatusCode::Ok
    } else {
        tide::StatusCode::UnprocessableEntity
    };
    Ok(tide::Response::builder(status).body(reply.text).build())
}

async fn dump(request: tide::Request<State>) -> tide::Result {
    if !is_allowed(&request) {
        return Ok(forbidden());
    }
    Ok(request.state().operate.dump(wants_json(&request)).into())
}

fn is_allowed(request: &tide::Request<State>) -> bool {
    let shown = request
        .header(TOKEN_HEADER)
        .map_or("", |values| values.last().as_str());
    request
        .state()
        .token
        .as_ref()
        .is_none_or(|token| token.matches(shown))
}

fn forbidden() -> tide::Response {
    let body = format!("the header {TOKEN_HEADER} does not show the operators' token\n");
    tide::Response::builder(tide::StatusCode::Unauthorized)
        .body(body)
        .build()
}

fn wants_json(request: &tide::Request<State>) -> bool {
    request
        .header("accept")
        .is_some_and(|accept| accept.last().as_str() == JSON)
}

const JSON: &str = "application/json";

/// Operator's side of the protocol.
#[derive(Debug)]
pub struct Client {
    daemon: SocketAddr,
    token: Option<String>,
}

impl Client {
    /// Creates a client of one daemon; the token comes from an environment variable.
    ///
    /// # Errors
    ///
    /// Fails if the variable is not set.
    pub fn new(daemon: SocketAddr, token_env: Option<&str>) -> Result<Self, CommandError> {
        let token =
            token_env
                .map(std::env::var)
                .transpose()
                .map_err(|error| CommandError::Refused {
                    detail: format!("token: {error}"),
                })?;
        Ok(Self { daemon, token })
    }

    /// Has statements carried out.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached or refuses the statements.
    pub fn ask(&self, statements: &str, as_json: bool) -> Result<String, CommandError> {
        let mut request = self.request(Method::Post, "/ask", as_json);
        request.set_body(statements);
        task::block_on(self.exchange(request))
    }

    /// Fetches the state of the daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached or refuses.
    pub fn dump(&self, as_json: bool) -> Result<String, CommandError> {
        task::block_on(self.exchange(self.request(Method::Get, "/dump", as_json)))
    }

    fn request(&self, method: Method, path: &str, as_json: bool) -> Request {
        let mut url = Url::parse("http://daemon/").expect("a constant address is valid");
        url.set_path(path);
        let mut request = Request::new(method, url);
        request.insert_header("connection", "close");
        if as_json {
            request.insert_header("accept", JSON);
        }
        if let Some(token) = &self.token {
            request.insert_header(TOKEN_HEADER, token.as_str());
        }
        request
    }

    async fn exchange(&self, request: Request) -> Result<String, CommandError> {
        let stream = TcpStream::connect(self.daemon)
            .await
            .map_err(|error| self.fault("connect to", &error))?;
        let mut response = client::connect(stream, request)
            .await
            .map_err(|error| self.fault("ask", &error))?;
        let text = response
            .body_string()
            .await
            .map_err(|error| self.fault("read from", &error))?;
        if response.status().is_success() {
            return Ok(text);
        }
        Err(CommandError::Refused { detail: text })
    }

    fn fault(&self, step: &'static str, cause: &dyn std::fmt::Display) -> CommandError {
        CommandError::Peer {
            step,
            peer: self.daemon.to_smolstr(),
            detail: cause.to_string(),
        }
    }
}
