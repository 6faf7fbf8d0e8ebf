//! Messages between daemons: a fixed prefix, a `postcard` message, and the bytes of a request or an
//! answer as they are.
//!
//! capnp-rpc costs more than all of the work on a call here (docs/design/platform.md), so the
//! messages go over a plain connection.

use {
    crate::{
        mesh::{conn::Conn, directory::Announcement},
        policy::suspect::CrashRecord,
        request::{Importance, Refusal, ServiceName},
    },
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// Lengths of the message and of the payload.
const PREFIX_BYTES: usize = 8;

/// Largest message without payload; configurations go as payload.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Largest payload: a body at the largest limit, with its head.
const MAX_PAYLOAD_BYTES: usize = (64 << 20) + (1 << 20);

/// A frame that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum FrameError {
    /// The connection ended.
    #[display("connection ended")]
    Ended,
    /// The peer sent something else.
    #[display("malformed frame: {detail}")]
    Malformed {
        /// What is wrong with it.
        detail: SmolStr,
    },
}

/// Number of one call on one link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CallNumber(pub u64);

/// Identity of one life of one worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[display("{id}@{born_unix_ms}")]
pub struct WorkerLife {
    /// Name that the worker gives itself.
    pub id: SmolStr,
    /// Start of its process.
    pub born_unix_ms: u64,
}

/// A request on its way to a worker. The payload holds the request line, the fields and the body.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Call {
    /// Identity that the client gave the attempt.
    pub attempt_id: SmolStr,
    /// Name of the route.
    pub route: SmolStr,
    /// Service that is to run it.
    pub service: ServiceName,
    /// Worker that is to run it; no other one may.
    pub worker: WorkerLife,
    /// Service beside which the request began.
    pub caller_service: ServiceName,
    /// Importance at the gate.
    pub importance: Importance,
    /// Importance of the client's request that it belongs to.
    pub root_importance: Importance,
    /// Place within the importance, the same for all calls of one client's request.
    pub bucket: u8,
    /// Calls between the client's request and this one.
    pub depth: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it must run alone, as a suspect of crashing workers.
    pub exclusive: bool,
    /// Hash of the request, to recognise one that crashes workers.
    pub fingerprint: u64,
    /// Time left, measured when it was sent.
    pub remaining_us: u64,
    /// Length of the request line and fields in the payload.
    pub head_bytes: u32,
}

/// Load of a gate, as its answers carry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GateLoad {
    /// Requests at the worker.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that the worker may have at a time.
    pub limit: u32,
    /// Mean time at the worker.
    pub latency_us: u32,
}

/// The most loaded service that a request or a call of it met.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pressure {
    /// Name of the service.
    pub service: ServiceName,
    /// Work in hand over the room for it, in thousandths.
    pub load_permille: u32,
    /// Calls that were made to it.
    pub calls: u32,
}

/// What became of a call.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum CallResult {
    /// The worker's whole answer; the payload holds its fields and its body.
    Answer {
        /// Status.
        status: u16,
        /// Length of the fields in the payload.
        head_bytes: u32,
        /// Whether the worker says that it did not run the request.
        not_run: bool,
    },
    /// No whole answer.
    Refused(Refusal),
}

/// Reply to a call.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Reply {
    /// What became of the call.
    pub result: CallResult,
    /// Whether the worker was sent the request, in whole or in part.
    pub was_sent: bool,
    /// Whether the run made calls of its own.
    pub made_calls: bool,
    /// Whether one of those failed for good, so that the failure is not the worker's own.
    pub met_failure: bool,
    /// Load of the gate.
    pub load: GateLoad,
    /// Most loaded service that the calls of the request met.
    pub pressure: Option<Pressure>,
}

/// Message between daemons.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Run a request.
    Call(CallNumber, Call),
    /// Result of a call.
    Reply(CallNumber, Reply),
    /// The client of a call has gone.
    Cancel(CallNumber),
    /// Liveness probe, with the configuration version of the sender.
    Ping(u64),
    /// Answer to a probe, with the configuration version of the sender.
    Pong(u64),
    /// Request for the configuration document.
    ConfigWanted,
    /// Configuration document, as payload.
    Config,
    /// State of a daemon and of its worker.
    Announce(Announcement),
    /// Requests in flight when a worker crashed.
    Deaths(Vec<CrashRecord>),
}

/// Appends a frame.
pub fn write(out: &mut Vec<u8>, message: &Message, payload: &[&[u8]]) {
    let start = out.len();
    out.extend_from_slice(&[0; PREFIX_BYTES]);
    let encoded = postcard::to_extend(message, std::mem::take(out));
    // Serialising these types into memory has no way to fail.
    *out = encoded.expect("message types serialise");
    let message_bytes = (out.len() - start - PREFIX_BYTES) as u32;
    let payload_bytes: usize = payload.iter().map(|part| part.len()).sum();
    out[start..start + 4].copy_from_slice(&message_bytes.to_le_bytes());
    out[start + 4..start + 8].copy_from_slice(&(payload_bytes as u32).to_le_bytes());
    for part in payload {
        out.extend_from_slice(part);
    }
}

/// Reads the next frame.
///
/// # Errors
///
/// Fails when the connection ends or the peer speaks something else.
pub async fn read(conn: &mut Conn) -> Result<(Message, Vec<u8>), FrameError> {
    fill(conn, PREFIX_BYTES).await?;
    let word = |at: usize| {
        let bytes = &conn.ahead()[at..at + 4];
        u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
    };
    let (message_bytes, payload_bytes) = (word(0), word(4));
    if message_bytes > MAX_MESSAGE_BYTES || payload_bytes > MAX_PAYLOAD_BYTES {
        let detail = SmolStr::new_static("too large");
        return Err(FrameError::Malformed { detail });
    }
    let payload_start = PREFIX_BYTES + message_bytes;
    fill(conn, payload_start + payload_bytes).await?;
    let bytes = conn.ahead();
    let message = postcard::from_bytes(&bytes[PREFIX_BYTES..payload_start]).map_err(|error| {
        let detail = smol_str::format_smolstr!("{error}");
        FrameError::Malformed { detail }
    })?;
    let payload = bytes[payload_start..payload_start + payload_bytes].to_vec();
    conn.consume(payload_start + payload_bytes);
    Ok((message, payload))
}

async fn fill(conn: &mut Conn, count: usize) -> Result<(), FrameError> {
    while conn.ahead().len() < count {
        match conn.fill().await {
            Ok(0) | Err(_) => return Err(FrameError::Ended),
            Ok(_) => {}
        }
    }
    Ok(())
}
