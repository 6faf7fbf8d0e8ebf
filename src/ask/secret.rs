//! Secret text that is never printed.

use std::{
    fmt::{self, Debug, Display, Formatter},
    hint::black_box,
};

const HIDDEN: &str = "<hidden>";

/// Secret text; its `Debug` and `Display` output is redacted.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text, for sending it in a request.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Compares the secret with a candidate in a time that depends only on the candidate's length,
    /// so that timing does not reveal the secret. An empty secret matches nothing.
    pub fn matches(&self, candidate: &str) -> bool {
        let own = self.0.as_bytes();
        if own.is_empty() {
            return false;
        }
        let difference = candidate.bytes().enumerate().fold(
            own.len() ^ candidate.len(),
            |difference, (at, byte)| {
                black_box(difference | usize::from(byte ^ own[at % own.len()]))
            },
        );
        difference == 0
    }
}

impl Debug for Secret {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(HIDDEN)
    }
}

impl Display for Secret {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(HIDDEN)
    }
}
