//! Calls and replies, as they pass between the parts of a daemon and between daemons.

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

/// HTTP request that a backend server is to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: SmolStr,
    /// Path and query, without the service's name.
    pub target: SmolStr,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Memory that the answer takes, roughly.
    pub fn size_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|h| h.name.len() + h.value.len())
            .sum();
        headers + self.body.len()
    }
}

/// One call to one worker.
#[derive(Debug, Clone)]
pub struct Call {
    /// Client request that the call belongs to.
    pub request_id: RequestId,
    /// Service that is called.
    pub service: ServiceName,
    /// Class of the request.
    pub class: ClassName,
    /// Importance of the class.
    pub importance: Importance,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Worker that may run it.
    pub incarnation: Incarnation,
    /// Time left until the deadline.
    pub remaining_us: u64,
    /// Retries that the callee may use.
    pub retry_tokens: u8,
    /// Hops from the caller.
    pub depth: u8,
    /// Ticket of a non-idempotent request, as text.
    pub ticket: Option<SmolStr>,
    /// Whether the caller says that it sends the request for the first time.
    pub first_attempt: bool,
    /// Whether nothing else may run beside it.
    pub exclusive: bool,
    /// What the backend server is to run.
    pub request: Arc<Request>,
}

impl Call {
    /// Order in which the call is shed.
    pub fn rank(&self) -> Rank {
        Rank::new(self.importance, self.request_id)
    }
}

/// What came of a call.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Whole answer, or why there is none.
    pub result: Result<Arc<Answer>, Refusal>,
    /// Retries that were lent and not used.
    pub retry_tokens: u8,
    /// Lowest admission level on the call's way, for its importance.
    pub path_level: Level,
    /// Whether the refusal of a ticket holds for all sends of the request, for good.
    pub is_final: bool,
}

impl Reply {
    /// Reply without an answer.
    pub fn refused(refusal: Refusal, path_level: Level) -> Self {
        Self {
            result: Err(refusal),
            retry_tokens: 0,
            path_level,
            is_final: false,
        }
    }
}

/// Failure to get a reply from another daemon.
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
    /// Whether the call may have been sent.
    pub may_have_run: bool,
}

/// Other daemons, as targets of calls.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Sends a call and waits for its reply; dropping the future cancels the call.
    async fn call(&self, peer: SocketAddr, call: Call) -> Result<Reply, PeerError>;

    /// Fetches the configuration that a daemon enforces, as it stands in the store.
    async fn config(&self, peer: SocketAddr) -> Result<Vec<u8>, PeerError>;
}

/// Receiver of other daemons' calls.
#[async_trait]
pub trait Serve: Send + Sync {
    /// Runs a call on the local worker; dropping the future cancels the call.
    async fn serve(&self, call: Call) -> Reply;

    /// Configuration in force, as it stands in the store.
    fn config_document(&self) -> Vec<u8>;
}
