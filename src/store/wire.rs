//! Messages of the HTTP protocol to the key-value service.
//!
//! Each call is `POST /v1/<call>` with a JSON object; the response body is a JSON object too.

use {
    crate::store::{Entry, LeaseId, Swap, Version},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// Path prefix of all calls.
pub const PATH: &str = "/v1/";

const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

/// Call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "lowercase")]
pub enum Call {
    /// Reads one key.
    Get {
        /// Key to read.
        key: SmolStr,
    },
    /// Reads all keys with a prefix.
    List {
        /// Prefix of the keys.
        prefix: SmolStr,
    },
    /// Compare-and-swap.
    Swap {
        /// Key to write.
        key: SmolStr,
        /// Version that the key must have.
        expected: u64,
        /// New value.
        value: Value,
        /// Lease with which the key expires.
        lease: Option<u64>,
    },
    /// Compare-and-remove.
    Remove {
        /// Key to remove.
        key: SmolStr,
        /// Version that the key must have.
        expected: u64,
    },
    /// Waits for a newer version of one key.
    Watch {
        /// Key to watch.
        key: SmolStr,
        /// Version that the caller already knows.
        after: u64,
        /// Longest time to wait.
        wait_ms: u32,
    },
    /// Grants a lease.
    Grant {
        /// Time to live without renewal.
        ttl_ms: u32,
    },
    /// Renews a lease.
    Renew {
        /// Lease to renew.
        lease: u64,
    },
}

/// Body of a successful response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "lowercase")]
pub enum Answer {
    /// Answer to `get` and `watch`.
    Entry {
        /// The entry, if there is one.
        entry: Option<Item>,
    },
    /// Answer to `list`.
    Entries {
        /// All matching entries.
        entries: Vec<Item>,
    },
    /// The write took effect.
    Applied {
        /// New version.
        version: u64,
    },
    /// The write had no effect because the key has another version.
    Conflict {
        /// The current entry, if the key exists.
        entry: Option<Item>,
    },
    /// Answer to `grant`.
    Lease {
        /// New lease.
        lease: u64,
    },
    /// Answer to `renew`.
    Renewed,
}

/// Entry of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: SmolStr,
    /// Version of the value.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// Value of a key: text if it is valid UTF-8, otherwise hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Value {
    /// The bytes as UTF-8.
    Text(String),
    /// The bytes as pairs of hexadecimal digits.
    Hex(String),
}

/// Error of a value that is not valid hexadecimal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the value is not hexadecimal")]
pub struct InvalidHex;

impl Call {
    /// Name of the call in its path.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::List { .. } => "list",
            Self::Swap { .. } => "swap",
            Self::Remove { .. } => "remove",
            Self::Watch { .. } => "watch",
            Self::Grant { .. } => "grant",
            Self::Renew { .. } => "renew",
        }
    }

    /// Whether the call changes state in the service; if its response is lost, its effect is
    /// unknown.
    pub fn writes(&self) -> bool {
        !matches!(
            self,
            Self::Get { .. } | Self::List { .. } | Self::Watch { .. }
        )
    }
}

impl From<Vec<u8>> for Value {
    fn from(bytes: Vec<u8>) -> Self {
        String::from_utf8(bytes)
            .map_or_else(|error| Self::Hex(to_hex(error.as_bytes())), Self::Text)
    }
}

impl TryFrom<Value> for Vec<u8> {
    type Error = InvalidHex;

    fn try_from(value: Value) -> Result<Self, InvalidHex> {
        match value {
            Value::Text(text) => Ok(text.into_bytes()),
            Value::Hex(digits) => from_hex(&digits),
        }
    }
}

impl From<Entry> for Item {
    fn from(entry: Entry) -> Self {
        Self {
            key: entry.key,
            version: entry.version.0,
            value: entry.value.into(),
        }
    }
}

impl TryFrom<Item> for Entry {
    type Error = InvalidHex;

    fn try_from(item: Item) -> Result<Self, InvalidHex> {
        Ok(Self {
            key: item.key,
            version: Version(item.version),
            value: item.value.try_into()?,
        })
    }
}

impl From<Swap> for Answer {
    fn from(swap: Swap) -> Self {
        match swap {
            Swap::Applied(version) => Self::Applied { version: version.0 },
            Swap::Conflict(entry) => Self::Conflict {
                entry: entry.map(Item::from),
            },
        }
    }
}

impl From<LeaseId> for Answer {
    fn from(lease: LeaseId) -> Self {
        Self::Lease { lease: lease.0 }
    }
}

fn to_hex(bytes: &[u8]) -> String {
    let digit = |value: u8| char::from(HEX_DIGITS[usize::from(value)]);
    bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 0xf)])
        .collect()
}

fn from_hex(digits: &str) -> Result<Vec<u8>, InvalidHex> {
    let (pairs, rest) = digits.as_bytes().as_chunks::<2>();
    if !rest.is_empty() {
        return Err(InvalidHex);
    }
    pairs.iter().copied().map(from_hex_pair).collect()
}

fn from_hex_pair(pair: [u8; 2]) -> Result<u8, InvalidHex> {
    let digit = |at: usize| char::from(pair[at]).to_digit(16).ok_or(InvalidHex);
    Ok((digit(0)? * 16 + digit(1)?) as u8)
}
