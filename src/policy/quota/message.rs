//! Datagrams about quotas between daemons.
//!
//! They share the port of the membership gossip. Builds without quotas drop them as malformed
//! gossip; builds with a later version of the encoding are recognised by the version byte.

use {
    super::GROUPS,
    derive_more::{Display, Error, From},
    serde::{Deserialize, Serialize},
    smol_str::{SmolStr, ToSmolStr},
};

/// First bytes of each datagram, which no gossip datagram begins with.
const MAGIC: &[u8] = b"\xffQUOTA\x00\x00";

/// Version of the encoding.
const VERSION: u8 = 1;

/// Set of groups of organisations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GroupSet(u32);

impl GroupSet {
    /// Adds a group.
    pub fn insert(&mut self, group: usize) {
        self.0 |= 1 << group;
    }

    /// Returns whether a group is in the set.
    pub fn contains(self, group: usize) -> bool {
        self.0 & (1 << group) != 0
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the groups that this build knows.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..GROUPS).filter(move |group| self.contains(*group))
    }
}

/// Identity of one run of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[display("{name}#{generation:x}")]
pub struct Sender {
    /// Name of its VM.
    pub name: SmolStr,
    /// Generation of the daemon.
    pub generation: u64,
}

/// Datagram with its sender.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Datagram {
    /// Daemon that sent it.
    pub from: Sender,
    /// Contents.
    pub message: Message,
}

/// Contents of a datagram.
#[derive(Debug, Clone, PartialEq)]
#[derive(From, Serialize, Deserialize)]
pub enum Message {
    /// About the delegation of parts.
    Delegation(DelegationMessage),
    /// About tokens.
    Token(TokenMessage),
}

/// Message about the delegation of parts of quotas.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum DelegationMessage {
    /// Delegates the sender's part of the quotas of these groups.
    Delegate {
        /// Groups.
        groups: GroupSet,
        /// Generation of the allocator whose clock is quoted.
        allocator: u64,
        /// Latest known reading of the allocator's clock; zero if none is known, which delegates
        /// nothing and asks for a reading.
        clock_us: u64,
        /// Time from that reading after which the delegation ends.
        life_us: u64,
        /// Number of parts that each quota is divided into, as the sender knows it.
        parts: u32,
    },
    /// Answers a delegation.
    Clock {
        /// Groups.
        groups: GroupSet,
        /// Reading of the allocator's clock.
        clock_us: u64,
    },
    /// Ends the sender's delegation.
    Withdraw {
        /// Groups.
        groups: GroupSet,
    },
    /// Confirms the end of a delegation: the allocator no longer counts it.
    Withdrawn {
        /// Groups.
        groups: GroupSet,
        /// Reading of the allocator's clock at the end.
        clock_us: u64,
    },
    /// Tells that the sender no longer grants tokens, as it shuts down.
    Resign {
        /// Groups.
        groups: GroupSet,
    },
}

/// Message about tokens.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum TokenMessage {
    /// Asks for tokens.
    Ask {
        /// Number of the ask at its sender.
        ask: u64,
        /// Organisation.
        organisation: SmolStr,
        /// Requests that wait for tokens.
        needed: u32,
        /// Further tokens that are of use soon.
        extra: u32,
        /// Longest time for which the requests wait for tokens.
        max_delay_us: u64,
    },
    /// Answers an ask.
    Grant {
        /// Number of the ask.
        ask: u64,
        /// Tokens granted.
        tokens: u32,
        /// Time from now after which they may be used. Without tokens: time after which to ask
        /// again, as the allocator has no part of the quota yet; zero for a denial.
        delay_us: u64,
        /// Time from now after which a request without a token may come back.
        retry_after_ms: u32,
    },
    /// Asks another region's allocator for tokens.
    Borrow {
        /// Number of the loan at its sender.
        loan: u64,
        /// Organisation.
        organisation: SmolStr,
        /// Tokens.
        tokens: u32,
    },
    /// Answers [`TokenMessage::Borrow`].
    Lend {
        /// Number of the loan.
        loan: u64,
        /// Organisation.
        organisation: SmolStr,
        /// Tokens, subtracted at the sender.
        tokens: u32,
    },
}

/// Datagram that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("decode quota datagram: {detail}")]
pub struct MalformedQuotaDatagram {
    /// Cause.
    pub detail: SmolStr,
}

impl Datagram {
    /// Returns whether a datagram is about quotas, whatever its version.
    pub fn is_quota(bytes: &[u8]) -> bool {
        bytes.starts_with(MAGIC)
    }

    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        // Serialising these types into memory cannot fail.
        postcard::to_extend(self, bytes).expect("datagram types serialise")
    }

    /// Decodes a datagram. Bytes after the known fields are ignored, so that later builds can add
    /// some.
    ///
    /// # Errors
    ///
    /// Fails on a malformed datagram, and on one of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedQuotaDatagram> {
        let error = |detail: SmolStr| MalformedQuotaDatagram { detail };
        let versioned = bytes.strip_prefix(MAGIC);
        let (version, body) = versioned
            .and_then(<[u8]>::split_first)
            .ok_or_else(|| error(SmolStr::new_static("truncated")))?;
        if *version != VERSION {
            return Err(error(SmolStr::new_static("unknown version")));
        }
        postcard::from_bytes(body).map_err(|cause| error(cause.to_smolstr()))
    }
}
