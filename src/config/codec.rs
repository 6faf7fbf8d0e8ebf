//! The configuration as the value of one key in the store.

use {
    crate::config::Config,
    derive_more::{Display, Error},
    smol_str::{SmolStr, ToSmolStr},
};

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config";

/// Largest encoded configuration, half of what the store takes.
pub const MAX_CONFIG_BYTES: usize = 512 << 10;

/// A value that is no configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the value of {CONFIG_KEY} is no configuration: {detail}")]
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
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice(value).map_err(|error| DecodeError {
            detail: error.to_smolstr(),
        })
    }
}
