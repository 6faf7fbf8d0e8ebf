//! Encoding of the configuration as the value of one key in the store.

use {
    crate::config::Config,
    derive_more::{Display, Error},
    smol_str::{SmolStr, ToSmolStr},
};

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config";

/// Largest encoded configuration; half of the largest value that the store accepts.
pub const MAX_CONFIG_BYTES: usize = 512 << 10;

/// Error of a stored value that cannot be decoded as a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the value of key {CONFIG_KEY} is not a valid configuration: {detail}")]
pub struct DecodeError {
    /// Cause.
    pub detail: SmolStr,
}

impl Config {
    /// Encodes the configuration as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a configuration from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a valid configuration.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice(value).map_err(|error| DecodeError {
            detail: error.to_smolstr(),
        })
    }
}
