//! Text that is never shown.

use std::{
    fmt::{self, Debug, Display, Formatter},
    hint::black_box,
};

const HIDDEN: &str = "<hidden>";

/// A token; neither its `Debug` nor its `Display` shows it.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Hides a text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The text, for the one who has to send it.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Compares with a shown text, in a time that depends on its length alone; an empty secret
    /// matches nothing.
    pub fn matches(&self, shown: &str) -> bool {
        let own = self.0.as_bytes();
        if own.is_empty() {
            return false;
        }
        let difference =
            shown
                .bytes()
                .enumerate()
                .fold(own.len() ^ shown.len(), |difference, (at, byte)| {
                    black_box(difference | usize::from(byte ^ own[at % own.len()]))
                });
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
