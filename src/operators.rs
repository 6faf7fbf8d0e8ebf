//! HTTP server and client for operators: statements, and a dump of the state of the process.

use {
    crate::{
        ask::{executor::Executor, route, secret::Secret},
        cmd::CommandError,
        connection::{self, PortLimits},
    },
    async_h1::client,
    async_io::Timer,
    async_std::{net::TcpStream, task},
    futures::future::{Either, select},
    http_types::{Method, Request, Url},
    serde_json::Value,
    smol_str::ToSmolStr,
    std::{fmt::Write, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
};

/// State of a daemon, as shown to operators.
pub trait Describe: Send + Sync {
    /// State of the process; names of quantities end in their units.
    fn describe(&self) -> Value;
}

/// Serves operators until the listener fails.
///
/// # Errors
///
/// Fails when connections can no longer be accepted.
pub async fn listen(
    addr: SocketAddr,
    executor: Arc<Executor>,
    describe: Arc<dyn Describe>,
) -> io::Result<()> {
    let mut app = route::app(executor);
    app.at(DUMP_PATH)
        .get(move |request: tide::Request<Arc<Executor>>| {
            let describe = Arc::clone(&describe);
            async move { Ok(dump(&request, describe.as_ref())) }
        });
    connection::listen(addr, app, PortLimits::default()).await
}

fn dump(request: &tide::Request<Arc<Executor>>, describe: &dyn Describe) -> tide::Response {
    if !request.state().is_authorized(route::token(request)) {
        return tide::Response::new(tide::StatusCode::Forbidden);
    }
    let state = describe.describe();
    if route::wants_json(request) {
        return tide::Response::builder(tide::StatusCode::Ok)
            .body(state)
            .build();
    }
    let mut text = String::new();
    write_tree(&state, 0, &mut text);
    text.into()
}

/// Writes a value as an indented tree of `name: value` lines.
fn write_tree(value: &Value, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    let entries: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| (name.clone(), value))
            .collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(index, value)| (index.to_string(), value))
            .collect(),
        _ => return,
    };
    for (name, value) in entries {
        if value.is_object() || value.is_array() {
            let _ = writeln!(text, "{indent}{name}:");
            write_tree(value, depth + 1, text);
        } else {
            let _ = writeln!(text, "{indent}{name}: {value}");
        }
    }
}

const DUMP_PATH: &str = "/dump";

/// Timeout of a request to a daemon; a change may wait for all data centres.
const ANSWER_TIMEOUT_MS: u64 = 60_000;

/// Client of a daemon's operator port.
#[derive(Debug)]
pub struct Client {
    daemon: SocketAddr,
    token: Option<Secret>,
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
        Ok(Self {
            daemon,
            token: token.map(Secret::new),
        })
    }

    /// Sends statements to the daemon and returns their result.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached or refuses the statements.
    pub fn ask(&self, statements: &str, as_json: bool) -> Result<String, CommandError> {
        let mut request = self.request(Method::Post, route::ASK_PATH, as_json);
        request.set_body(statements);
        task::block_on(self.exchange(request))
    }

    /// Fetches the state of the daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached or refuses the request.
    pub fn dump(&self, as_json: bool) -> Result<String, CommandError> {
        task::block_on(self.exchange(self.request(Method::Get, DUMP_PATH, as_json)))
    }

    fn request(&self, method: Method, path: &str, as_json: bool) -> Request {
        let mut url = Url::parse("http://daemon/").expect("a constant address is valid");
        url.set_path(path);
        let mut request = Request::new(method, url);
        request.insert_header("connection", "close");
        if as_json {
            request.insert_header("accept", route::JSON);
        }
        if let Some(token) = &self.token {
            request.insert_header("authorization", format!("Bearer {}", token.reveal()));
        }
        request
    }

    async fn exchange(&self, request: Request) -> Result<String, CommandError> {
        let answer = pin!(self.answer(request));
        let timer = Timer::after(Duration::from_millis(ANSWER_TIMEOUT_MS));
        match select(answer, timer).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => Err(self.fault("wait for", &"no answer in time")),
        }
    }

    async fn answer(&self, request: Request) -> Result<String, CommandError> {
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
        if response.status().is_server_error() {
            return Err(self.fault("ask", &text.trim_end()));
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
