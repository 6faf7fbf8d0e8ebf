//! Frames between daemons: a fixed prefix, a message encoded with `postcard`, its extensions, and a
//! payload with the raw bytes of a request or an answer.
//!
//! Daemons of different builds exchange frames during an upgrade. The types of messages as of build
//! c7976c0 are therefore fixed; what later builds add to them is an extension: a tag, a length and
//! bytes after the message. A build skips extensions that it does not know, and so do builds before
//! them, whose decoder ignores all bytes after the message. A build skips whole messages that it
//! does not know; c7976c0 closes the connection on one, so that none may be sent to it.
//!
//! capnp-rpc costs more processor time than all other work on a call (docs/design/platform.md), so
//! the frames are sent over a plain TCP connection.

use {
    crate::{
        mesh::{conn::Conn, http},
        policy::suspect::CrashRecord,
        request::{Importance, Incarnation, Refusal, ServiceName},
    },
    derive_more::{Display, Error},
    foldhash::quality::FixedState,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::hash::BuildHasher,
};

/// Length of the prefix, which holds the lengths of the message and of the payload.
const PREFIX_BYTES: usize = 8;

/// Largest message without payload; configuration documents are sent as payload.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Largest payload: a body of the largest allowed size, and its head.
const MAX_PAYLOAD_BYTES: usize = (64 << 20) + (1 << 20);

/// Seed of the hash that maps a [`WorkerIncarnation`] to an [`Incarnation`].
const INCARNATION_SEED: u64 = 0x6c69_6665;

/// Tag of [`Extensions::organisation_checked`].
const ORGANISATION_CHECKED: u64 = 1;

/// Error while reading a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum FrameError {
    /// The connection ended.
    #[display("connection ended")]
    Ended,
    /// The peer sent an invalid frame.
    #[display("malformed frame: {detail}")]
    Malformed {
        /// What is wrong with it.
        detail: SmolStr,
    },
}

impl From<postcard::Error> for FrameError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed {
            detail: smol_str::format_smolstr!("{error}"),
        }
    }
}

/// Number of a call, unique on its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CallNumber(pub u64);

/// Identity of one incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[display("{id}@{started_unix_ms}")]
pub struct WorkerIncarnation {
    /// Name that the worker reports.
    pub id: SmolStr,
    /// Start time of its process.
    #[serde(rename = "born_unix_ms")]
    pub started_unix_ms: u64,
}

impl WorkerIncarnation {
    /// Number of this incarnation, the same at all daemons.
    pub fn number(&self) -> Incarnation {
        let hasher = FixedState::with_seed(INCARNATION_SEED);
        Incarnation(hasher.hash_one((self.id.as_str(), self.started_unix_ms)))
    }
}

/// Request for a worker. The payload holds the request line, the fields and the body.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// Identity of the attempt, set by the client.
    pub attempt_id: SmolStr,
    /// Name of the route.
    pub route: SmolStr,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Only worker incarnation that may run the request.
    pub worker: Incarnation,
    /// Service of the worker beside the daemon that sends the call.
    pub caller_service: ServiceName,
    /// Importance at the gate.
    pub importance: Importance,
    /// Importance of the client's request at the root of the call tree.
    pub root_importance: Importance,
    /// Random bucket that orders requests of the same importance; the same for all calls of one
    /// client's request.
    pub bucket: u8,
    /// Depth in the call tree; zero for the client's request.
    pub depth: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it must run in isolation, as it is a crash suspect.
    pub exclusive: bool,
    /// Hash of the request, which identifies crash suspects.
    pub fingerprint: u64,
    /// Remaining time when the call was sent.
    pub remaining_us: u64,
    /// Length of the request line and fields in the payload.
    pub head_bytes: u32,
}

/// Load of a gate, reported in its replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GateLoad {
    /// Requests that run on the worker.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Number of requests that may run concurrently.
    pub limit: u32,
    /// Mean running time on the worker.
    pub latency_us: u32,
    /// Share of its recent requests that the worker failed, in thousandths.
    pub failed_permille: u16,
}

/// Load of a service that a request or its downstream calls depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: ServiceName,
    /// In-flight and queued requests relative to the capacity, in thousandths.
    pub load_permille: u32,
    /// Calls made to it.
    pub calls: u32,
}

/// Result of a call.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum CallResult {
    /// Complete answer of the worker; the payload holds its fields and its body.
    Answer {
        /// Status.
        status: u16,
        /// Length of the fields in the payload.
        head_bytes: u32,
        /// Whether the worker states that it did not run the request.
        not_run: bool,
    },
    /// Refused by the gate, or no complete answer from the worker.
    Refused(Refusal),
}

impl CallResult {
    /// Returns whether an answer has the status of a final response, and its fields are within the
    /// payload.
    pub fn is_valid(&self, payload: &[u8]) -> bool {
        match self {
            Self::Answer {
                status, head_bytes, ..
            } => http::is_final_status(*status) && *head_bytes as usize <= payload.len(),
            Self::Refused(_) => true,
        }
    }
}

/// Reply to a call.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Reply {
    /// Result.
    pub result: CallResult,
    /// Whether any part of the request was sent to the worker.
    pub was_sent: bool,
    /// Whether the request made downstream calls.
    pub made_calls: bool,
    /// Whether one of them failed after all retries, so that the worker did not cause the failure.
    pub downstream_failed: bool,
    /// Load of the gate.
    pub load: GateLoad,
    /// Most loaded service that its downstream calls reached.
    pub most_loaded: Option<ServiceLoad>,
}

/// Message between daemons.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Request to run.
    Call(CallNumber, Call),
    /// Result of a call.
    Reply(CallNumber, Reply),
    /// Cancellation of a call whose client has disconnected.
    Cancel(CallNumber),
    /// Liveness probe, with the configuration version of the sender.
    Ping(u64),
    /// Response to a probe, with the configuration version of the sender.
    Pong(u64),
    /// Request for the configuration document.
    ConfigWanted,
    /// Configuration document, as payload.
    Config,
    /// Crash suspects: requests that were in flight when a worker crashed.
    Crashes(Vec<CrashRecord>),
}

impl Message {
    /// Number of the variants that this build knows.
    const VARIANTS: u64 = 8;

    /// Decodes a message and returns the bytes after it; `None` for one that a later build added.
    fn decode(bytes: &[u8]) -> Result<Option<(Self, &[u8])>, FrameError> {
        let (variant, _) = postcard::take_from_bytes::<u64>(bytes)?;
        if variant >= Self::VARIANTS {
            return Ok(None);
        }
        Ok(Some(postcard::take_from_bytes(bytes)?))
    }
}

/// What builds after c7976c0 add to messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Extensions {
    /// Whether the sender of a call has checked the client's API key and set its organisation.
    pub organisation_checked: bool,
}

impl Extensions {
    /// Extensions of all messages of this build.
    const OWN: Self = Self {
        organisation_checked: true,
    };

    /// Appends the extensions of a message.
    fn encode(self, message: &Message, out: &mut Vec<u8>) {
        if self.organisation_checked && matches!(message, Message::Call(..)) {
            out.extend_from_slice(&[ORGANISATION_CHECKED as u8, 0]);
        }
    }

    /// Decodes extensions, skipping unknown ones.
    fn decode(mut bytes: &[u8]) -> Result<Self, FrameError> {
        let mut extensions = Self::default();
        while !bytes.is_empty() {
            let ((tag, value), rest): ((u64, &[u8]), _) = postcard::take_from_bytes(bytes)?;
            if tag == ORGANISATION_CHECKED {
                extensions.organisation_checked = value.is_empty();
            }
            bytes = rest;
        }
        Ok(extensions)
    }
}

/// Frame as received.
#[derive(Debug)]
pub struct Frame {
    /// Message.
    pub message: Message,
    /// What later builds add to it.
    pub extensions: Extensions,
    /// Raw bytes of a request or an answer.
    pub payload: Vec<u8>,
}

/// Appends a frame.
pub fn write(out: &mut Vec<u8>, message: &Message, payload: &[&[u8]]) {
    let start = out.len();
    out.extend_from_slice(&[0; PREFIX_BYTES]);
    let encoded = postcard::to_extend(message, std::mem::take(out));
    // Serialising these types into memory cannot fail.
    *out = encoded.expect("message types serialise");
    Extensions::OWN.encode(message, out);
    let message_bytes = (out.len() - start - PREFIX_BYTES) as u32;
    let payload_bytes: usize = payload.iter().map(|part| part.len()).sum();
    out[start..start + 4].copy_from_slice(&message_bytes.to_le_bytes());
    out[start + 4..start + 8].copy_from_slice(&(payload_bytes as u32).to_le_bytes());
    for part in payload {
        out.extend_from_slice(part);
    }
}

/// Reads the next frame with a message that this build knows.
///
/// # Errors
///
/// Fails if the connection ends or the peer sends an invalid frame.
pub async fn read(conn: &mut Conn) -> Result<Frame, FrameError> {
    loop {
        if let Some(frame) = read_any(conn).await? {
            return Ok(frame);
        }
    }
}

/// Reads the next frame; `None` if it has a message that a later build added.
async fn read_any(conn: &mut Conn) -> Result<Option<Frame>, FrameError> {
    fill(conn, PREFIX_BYTES).await?;
    let read_u32 = |at: usize| {
        let bytes = &conn.buffered()[at..at + 4];
        u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
    };
    let (message_bytes, payload_bytes) = (read_u32(0), read_u32(4));
    if message_bytes > MAX_MESSAGE_BYTES || payload_bytes > MAX_PAYLOAD_BYTES {
        let detail = SmolStr::new_static("too large");
        return Err(FrameError::Malformed { detail });
    }
    let payload_start = PREFIX_BYTES + message_bytes;
    fill(conn, payload_start + payload_bytes).await?;
    let bytes = conn.buffered();
    let decoded = Message::decode(&bytes[PREFIX_BYTES..payload_start])?;
    let frame = if let Some((message, rest)) = decoded {
        Some(Frame {
            message,
            extensions: Extensions::decode(rest)?,
            payload: bytes[payload_start..payload_start + payload_bytes].to_vec(),
        })
    } else {
        tracing::debug!("message of a later build skipped");
        None
    };
    conn.consume(payload_start + payload_bytes);
    Ok(frame)
}

async fn fill(conn: &mut Conn, count: usize) -> Result<(), FrameError> {
    while conn.buffered().len() < count {
        match conn.fill().await {
            Ok(0) | Err(_) => return Err(FrameError::Ended),
            Ok(_) => {}
        }
    }
    Ok(())
}
