//! Calls and replies exchanged between the parts of a daemon and between daemons.

use {
    crate::request::{
        ClassName, Importance, Incarnation, Level, Rank, Refusal, RequestId, ServiceName,
    },
    async_trait::async_trait,
    derive_more::{Display, Error},
    smol_str::SmolStr,
    std::{net::SocketAddr, sync::Arc},
};

/// One header of an HTTP message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name, in lower case.
    pub name: SmolStr,
    /// Value.
    pub value: SmolStr,
}

/// HTTP request to be run by a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: SmolStr,
    /// Path and query, without the name of the service.
    pub target: SmolStr,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Complete HTTP response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Estimates the memory that the answer occupies, in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// One call to one worker.
#[derive(Debug, Clone)]
pub struct Call {
    /// ID of the client request that the call belongs to.
    pub request_id: RequestId,
    /// Called service.
    pub service: ServiceName,
    /// Class of the request.
    pub class: ClassName,
    /// Importance of the class.
    pub importance: Importance,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Incarnation of the worker that may run the call; any other one refuses it.
    pub incarnation: Incarnation,
    /// Remaining time until the deadline.
    pub remaining_us: u64,
    /// Retry tokens lent to the callee.
    pub retry_tokens: u8,
    /// Number of hops from the external caller.
    pub depth: u8,
    /// Ticket of a non-idempotent request, as text.
    pub ticket: Option<SmolStr>,
    /// Whether the caller marked the request as its first attempt.
    pub first_attempt: bool,
    /// Whether the worker must run the call in isolation.
    pub exclusive: bool,
    /// Request to be run by the backend server.
    pub request: Arc<Request>,
}

impl Call {
    /// Returns the rank that decides which calls are shed first.
    pub fn rank(&self) -> Rank {
        Rank::new(self.importance, self.request_id)
    }
}

/// Reply to a call.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Answer of the backend server, or why there is none.
    pub result: Result<Arc<Answer>, Refusal>,
    /// Retry tokens that were lent and not used.
    pub retry_tokens: u8,
    /// Lowest admission level of all gates along the path of the call, for its importance.
    pub path_level: Level,
    /// Whether the refusal of a ticket is permanent for all attempts of the request.
    pub is_final: bool,
}

impl Reply {
    /// Creates a reply without an answer.
    pub fn refused(refusal: Refusal, path_level: Level) -> Self {
        Self {
            result: Err(refusal),
            retry_tokens: 0,
            path_level,
            is_final: false,
        }
    }
}

/// Error of a call to another daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{step}: daemon {peer}: {detail}")]
pub struct PeerError {
    /// Step that failed.
    pub step: &'static str,
    /// Address of the daemon.
    pub peer: SocketAddr,
    /// Cause.
    pub detail: SmolStr,
    /// Whether the other daemon may have received and run the call.
    pub may_have_run: bool,
}

/// Client for calls to other daemons.
#[async_trait]
pub trait PeerClient: Send + Sync {
    /// Sends a call and waits for its reply; dropping the future cancels the call.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached or the connection breaks before the reply.
    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Reply, PeerError>;

    /// Fetches the configuration in force at a daemon, encoded as in the store.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached or the connection breaks before the reply.
    async fn fetch_config(&self, peer: SocketAddr) -> Result<Vec<u8>, PeerError>;
}

/// Handler of calls received from other daemons.
#[async_trait]
pub trait CallHandler: Send + Sync {
    /// Runs a call on the local worker; dropping the future cancels the call.
    async fn handle_call(&self, call: Call) -> Reply;

    /// Returns the configuration in force, encoded as in the store.
    fn config_document(&self) -> Vec<u8>;
}
