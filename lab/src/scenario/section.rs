//! One section of a scenario file, named by a kind and a name.

use {
    crate::scenario::ScenarioError,
    ini::{Ini, Properties},
    smol_str::{SmolStr, ToSmolStr},
    std::{fmt::Display, str::FromStr},
};

/// Section such as `[service menu-board]`.
#[derive(Debug)]
pub(super) struct Section<'a> {
    /// First word of the header.
    pub(super) kind: SmolStr,
    /// Rest of the header.
    pub(super) name: SmolStr,
    keys: &'a Properties,
}

impl<'a> Section<'a> {
    /// Returns all sections of a file in order.
    pub(super) fn all(ini: &'a Ini) -> Vec<Self> {
        ini.iter()
            .filter_map(|(header, keys)| {
                let header = header?.trim();
                let (kind, name) = header.split_once(' ').unwrap_or((header, ""));
                Some(Self {
                    kind: kind.into(),
                    name: name.trim().into(),
                    keys,
                })
            })
            .collect()
    }

    /// Value of an optional key.
    pub(super) fn optional(&self, key: &str) -> Option<SmolStr> {
        self.keys.get(key).map(SmolStr::from)
    }

    /// Value of a required key.
    pub(super) fn text(&self, key: &str) -> Result<SmolStr, ScenarioError> {
        self.optional(key)
            .ok_or_else(|| self.error(key, &"is missing"))
    }

    /// Parsed value of a key, or the default if it is missing.
    pub(super) fn number<T>(&self, key: &str, default: Option<T>) -> Result<T, ScenarioError>
    where
        T: FromStr,
        T::Err: Display,
    {
        match (self.keys.get(key), default) {
            (None, Some(default)) => Ok(default),
            (None, None) => Err(self.error(key, &"is missing")),
            (Some(text), _) => text.parse().map_err(|error| self.error(key, &error)),
        }
    }

    /// Comma-separated names in the value of a key; empty if it is missing.
    pub(super) fn list(&self, key: &str) -> Vec<SmolStr> {
        self.keys
            .get(key)
            .unwrap_or_default()
            .split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty())
            .map(SmolStr::from)
            .collect()
    }

    /// Creates an error for a key of this section.
    pub(super) fn error(&self, key: &str, detail: &dyn Display) -> ScenarioError {
        ScenarioError::Key {
            section: format!("{} {}", self.kind, self.name).to_smolstr(),
            key: key.into(),
            detail: detail.to_smolstr(),
        }
    }
}
