//! Datagrams between daemons, as typed values.

use {
    super::{
        member::{Generation, Light, Member},
        summary::{Beat, Summary},
    },
    crate::place::{DataCentre, Region},
    derive_more::{Display, Error},
    std::net::SocketAddr,
};

/// Largest datagram that is sent.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// One datagram and where it goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// Gossip address of the receiver.
    pub to: SocketAddr,
    /// What is sent.
    pub message: Message,
}

/// Contents of one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Gossip address that replies go to.
    pub from: SocketAddr,
    /// Life of the sender.
    pub generation: Generation,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Region of the sender.
    pub region: Region,
    /// What the datagram is for.
    pub body: Body,
    /// Whole records of members.
    pub members: Vec<Member>,
    /// Light parts of members.
    pub lights: Vec<Light>,
    /// Signs of life of data centres.
    pub beats: Vec<Beat>,
    /// What data centres offer.
    pub summaries: Vec<Summary>,
    /// Keys whose whole records the sender asks for.
    pub wants: Vec<u64>,
    /// Whether the datagram follows from a comparison of digests, so that it is hardly news.
    pub repair: bool,
}

/// Purpose of a datagram besides the news that it carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Nothing but news.
    News,
    /// Asks for an acknowledgement.
    Ping {
        /// Repeated in the acknowledgement.
        sequence: u32,
    },
    /// Answers a ping.
    Ack {
        /// Sequence of the ping.
        sequence: u32,
        /// Generation that answered; differs from the sender's if relayed.
        origin: Generation,
    },
    /// Asks for a ping on the sender's behalf.
    Relay {
        /// Repeated in the acknowledgement.
        sequence: u32,
        /// Gossip address to ping.
        target: SocketAddr,
    },
    /// Asks for what differs in one part of the key space.
    Digest(Digest),
}

/// Keys and orders of all records in one part of the key space.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest {
    /// The key space is cut into `2^bits` parts.
    pub bits: u8,
    /// Number of the part.
    pub part: u32,
    /// Key and order of each record held.
    pub entries: Vec<(u64, u64)>,
}

impl Digest {
    /// Tells whether a key falls into the part.
    pub fn covers(&self, key: u64) -> bool {
        part_of(key, self.bits) == self.part
    }
}

/// Part of the key space, cut into `2^bits` parts, that a key falls into.
pub(crate) fn part_of(key: u64, bits: u8) -> u32 {
    let mixed = mix(key);
    if bits == 0 {
        return 0;
    }
    (mixed >> (64 - u32::from(bits.min(32)))) as u32
}

/// Spreads a key evenly over all bits.
pub(crate) fn mix(key: u64) -> u64 {
    let mut mixed = key ^ (key >> 32);
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

/// Hash of a text that all daemons agree on.
pub(crate) fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Datagram that cannot be read.
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
