//! Typed gossip datagrams exchanged between daemons.

use {
    super::{
        member::{Generation, Member, MemberState},
        summary::{Heartbeat, Summary},
    },
    crate::place::{DataCentre, Region},
    derive_more::{Display, Error},
    std::net::SocketAddr,
};

/// Maximum size of a datagram that is sent.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Gossip address of the receiver.
    pub to: SocketAddr,
    /// Contents of the datagram.
    pub message: Message,
}

/// Contents of one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Gossip address that replies go to.
    pub from: SocketAddr,
    /// Generation of the sender.
    pub generation: Generation,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Region of the sender.
    pub region: Region,
    /// Purpose of the datagram.
    pub body: Body,
    /// Whole records of members.
    pub members: Vec<Member>,
    /// States of members.
    pub states: Vec<MemberState>,
    /// Heartbeats of data centres.
    pub heartbeats: Vec<Heartbeat>,
    /// Capacity summaries of data centres.
    pub summaries: Vec<Summary>,
    /// Keys of the records that the sender requests.
    pub requested_keys: Vec<u64>,
    /// Whether the datagram results from anti-entropy, so that most members have its records.
    pub is_repair: bool,
}

/// Purpose of a datagram besides the updates piggybacked on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Carries updates only.
    Gossip,
    /// Requests an ack.
    Ping {
        /// Sequence number to be repeated in the ack.
        sequence: u32,
    },
    /// Acknowledges a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u32,
        /// Generation of the member that was pinged; differs from the sender's if relayed.
        origin: Generation,
    },
    /// Requests an indirect ping on the sender's behalf.
    Relay {
        /// Sequence number to be repeated in the ack.
        sequence: u32,
        /// Gossip address to ping.
        target: SocketAddr,
    },
    /// Requests the records that differ in one partition of the key space.
    Digest(Digest),
}

/// Keys and precedences of all records in one partition of the key space.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// The key space is divided into `2^bits` partitions.
    pub bits: u8,
    /// Index of the partition.
    pub part: u32,
    /// Key of each record with its precedence, or version for a summary.
    pub entries: Vec<(u64, u64)>,
}

impl Digest {
    /// Returns whether a key belongs to the partition.
    pub fn covers(&self, key: u64) -> bool {
        part_of(key, self.bits) == self.part
    }
}

/// Returns the index of the partition that a key belongs to, of `2^bits` partitions.
pub(crate) fn part_of(key: u64, bits: u8) -> u32 {
    let mixed = mix(key);
    if bits == 0 {
        return 0;
    }
    (mixed >> (64 - u32::from(bits.min(32)))) as u32
}

/// Mixes the bits of a key, so that similar keys spread evenly over the key space.
pub(crate) fn mix(key: u64) -> u64 {
    let mut mixed = key ^ (key >> 32);
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

/// Returns a hash of a text that is the same at all daemons (FNV-1a).
pub(crate) fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Error for a datagram that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("decode datagram: {detail}")]
pub struct MalformedDatagram {
    /// Cause.
    pub detail: String,
}

impl From<capnp::Error> for MalformedDatagram {
    fn from(error: capnp::Error) -> Self {
        Self {
            detail: error.to_string(),
        }
    }
}

impl MalformedDatagram {
    pub(super) fn new(detail: &str) -> Self {
        Self {
            detail: detail.to_owned(),
        }
    }
}
