//! Organisations whose clients send requests: their API keys, importance and quotas.

use {
    crate::{
        collections::HashMap, mesh::routes::ConfigError, policy::quota::Quota, request::Importance,
    },
    derive_more::{Debug, Display, Error},
    smol_str::{SmolStr, format_smolstr},
};

/// Longest API key and longest name of an organisation.
const MAX_TEXT_BYTES: usize = 256;

/// Position of an organisation in [`Organisations`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrganisationKey(u32);

/// Secret by which a client shows which organisation it belongs to. Never printed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[debug("ApiKey(redacted)")]
pub struct ApiKey(SmolStr);

/// Organisation as configured by operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name, as told to workers.
    pub name: SmolStr,
    /// Importance; zero is the highest. Precedes the importance of the route.
    pub importance: Importance,
    /// Limit on the requests of its clients; `None` if there is none.
    pub quota: Option<Quota>,
}

/// What a client's request says of its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential<'a> {
    /// No API key.
    Missing,
    /// Anything but exactly one API key.
    Malformed,
    /// API key, not yet looked up.
    #[debug("Key(redacted)")]
    Key(&'a str),
}

/// Reason for which a client's request is not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum AuthenticationError {
    /// The request carries no API key.
    #[display("no API key")]
    Missing,
    /// The request carries something else than one API key.
    #[display("malformed credential")]
    Malformed,
    /// No organisation has the API key.
    #[display("unknown API key")]
    Unknown,
}

/// Organisations of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Organisations {
    organisations: Vec<Organisation>,
    by_key: HashMap<ApiKey, OrganisationKey>,
}

impl TryFrom<&str> for ApiKey {
    type Error = ConfigError;

    fn try_from(text: &str) -> Result<Self, ConfigError> {
        validate_text("API key", text)?;
        Ok(Self(text.into()))
    }
}

impl TryFrom<Vec<(Organisation, Vec<ApiKey>)>> for Organisations {
    type Error = ConfigError;

    /// Validates organisations with their API keys. Fails if two have the same name or share a key.
    fn try_from(configured: Vec<(Organisation, Vec<ApiKey>)>) -> Result<Self, ConfigError> {
        let mut known = Self::default();
        for (organisation, api_keys) in configured {
            validate_text("name", &organisation.name)?;
            let name = organisation.name.clone();
            if known.organisations.iter().any(|other| other.name == name) {
                return Err(ConfigError::new(name, "the name is given twice"));
            }
            let key = OrganisationKey(known.organisations.len() as u32);
            for api_key in api_keys {
                let holder = known.by_key.insert(api_key, key);
                if let Some(holder) = holder.filter(|holder| *holder != key) {
                    let other = &known.get(holder).name;
                    let detail = format_smolstr!("shares an API key with {other}");
                    return Err(ConfigError::new(name, detail));
                }
            }
            known.organisations.push(organisation);
        }
        Ok(known)
    }
}

impl Organisations {
    /// Returns whether no organisation is configured, so that requests need no API key.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }

    /// Number of organisations.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// Organisation at a key of this table.
    ///
    /// # Panics
    ///
    /// Panics if the key is of another table.
    pub fn get(&self, key: OrganisationKey) -> &Organisation {
        &self.organisations[key.0 as usize]
    }

    /// Iterates over all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.iter()
    }

    /// Finds the organisation that a client's request belongs to; `None` on a public route for a
    /// request without a valid API key.
    ///
    /// # Errors
    ///
    /// Fails if the route is not public and the request carries no valid API key.
    pub fn authenticate(
        &self,
        credential: Credential<'_>,
        is_public: bool,
    ) -> Result<Option<OrganisationKey>, AuthenticationError> {
        let found = match credential {
            Credential::Missing => Err(AuthenticationError::Missing),
            Credential::Malformed => Err(AuthenticationError::Malformed),
            Credential::Key(text) => self
                .by_key
                .get(&ApiKey(text.into()))
                .copied()
                .ok_or(AuthenticationError::Unknown),
        };
        match found {
            Ok(key) => Ok(Some(key)),
            Err(_) if is_public || self.is_empty() => Ok(None),
            Err(error) => Err(error),
        }
    }
}

/// Checks that a text can stand in a header field.
fn validate_text(what: &'static str, text: &str) -> Result<(), ConfigError> {
    let is_valid = !text.is_empty()
        && text.len() <= MAX_TEXT_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid {
        return Ok(());
    }
    let detail =
        format_smolstr!("an organisation's {what} is empty, too long or not printable ASCII");
    Err(ConfigError::new("organisations", detail))
}
