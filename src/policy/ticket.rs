//! Tickets that bind a non-idempotent request to one incarnation of one worker.

use {
    crate::request::{Incarnation, ServiceName},
    derive_more::{Display, Error},
    rand::{Rng, RngExt},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Longest text form of a ticket.
pub const MAX_TEXT_BYTES: usize = 200;

/// Longest service name that fits a ticket.
pub const MAX_SERVICE_BYTES: usize = 64;

const VERSION: &str = "1";
const SEPARATOR: char = ';';
const HEX_RADIX: u32 = 16;

/// Permission to run one request at one incarnation of one worker, and at no other.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Display, Serialize, Deserialize)]
#[display(
    "{VERSION};{call_addr};{incarnation};{serial:x};{minted_unix_ms:x};{expires_unix_ms:x};{service}"
)]
pub struct Ticket {
    /// Address of the daemon in front of the worker.
    pub call_addr: SocketAddr,
    /// Incarnation of the worker that may run the request.
    pub incarnation: Incarnation,
    /// Random number that distinguishes the tickets of one incarnation.
    pub serial: u64,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Time of minting, on the clock of the minting daemon.
    pub minted_unix_ms: u64,
    /// Time from which on the ticket is refused, on the clock of the worker's daemon.
    pub expires_unix_ms: u64,
}

/// Why a text is not a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum TicketError {
    /// The text is longer than any ticket.
    #[display("ticket: {size_bytes} bytes, more than {MAX_TEXT_BYTES}")]
    TooLong {
        /// Size of the text.
        size_bytes: usize,
    },
    /// The version is not supported.
    #[display("ticket: version {version} is not known")]
    Version {
        /// Version as written.
        version: SmolStr,
    },
    /// A field is missing.
    #[display("ticket: {field} is missing")]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// A field is malformed.
    #[display("ticket: {field} {value} is malformed")]
    Malformed {
        /// Name of the field.
        field: &'static str,
        /// Value as written.
        value: SmolStr,
    },
}

/// Identity of a ticket within one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketId {
    /// Incarnation of the worker that the ticket is bound to.
    pub incarnation: Incarnation,
    /// Random number of the ticket.
    pub serial: u64,
}

impl Ticket {
    /// Mints a ticket for one incarnation of a worker.
    pub fn mint(
        call_addr: SocketAddr,
        incarnation: Incarnation,
        service: ServiceName,
        lifetime_ms: u32,
        now_unix_ms: u64,
        rng: &mut dyn Rng,
    ) -> Self {
        Self {
            call_addr,
            incarnation,
            serial: rng.random(),
            service,
            minted_unix_ms: now_unix_ms,
            expires_unix_ms: now_unix_ms.saturating_add(u64::from(lifetime_ms)),
        }
    }

    /// Identity within the daemon that the ticket is addressed to.
    pub fn id(&self) -> TicketId {
        TicketId {
            incarnation: self.incarnation,
            serial: self.serial,
        }
    }
}

impl TryFrom<&str> for Ticket {
    type Error = TicketError;

    fn try_from(text: &str) -> Result<Self, TicketError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(TicketError::TooLong {
                size_bytes: text.len(),
            });
        }
        let mut fields = text.split(SEPARATOR);
        let version = next_field(&mut fields, "version")?;
        if version != VERSION {
            return Err(TicketError::Version {
                version: version.into(),
            });
        }
        let ticket = Self {
            call_addr: address(next_field(&mut fields, "address")?)?,
            incarnation: Incarnation(number(
                "incarnation",
                next_field(&mut fields, "incarnation")?,
            )?),
            serial: number("serial", next_field(&mut fields, "serial")?)?,
            minted_unix_ms: number("minting time", next_field(&mut fields, "minting time")?)?,
            expires_unix_ms: number("expiry", next_field(&mut fields, "expiry")?)?,
            service: service(next_field(&mut fields, "service")?)?,
        };
        match fields.next() {
            None => Ok(ticket),
            Some(rest) => Err(malformed("end", rest)),
        }
    }
}

/// Returns whether a service name fits the text form of a ticket.
pub fn is_valid_service(service: &str) -> bool {
    !service.is_empty()
        && service.len() <= MAX_SERVICE_BYTES
        && service
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != SEPARATOR as u8)
}

fn next_field<'a>(
    fields: &mut impl Iterator<Item = &'a str>,
    field: &'static str,
) -> Result<&'a str, TicketError> {
    fields.next().ok_or(TicketError::Missing { field })
}

fn address(value: &str) -> Result<SocketAddr, TicketError> {
    value.parse().map_err(|_| malformed("address", value))
}

fn number(field: &'static str, value: &str) -> Result<u64, TicketError> {
    if value.starts_with('+') {
        return Err(malformed(field, value));
    }
    u64::from_str_radix(value, HEX_RADIX).map_err(|_| malformed(field, value))
}

fn service(value: &str) -> Result<ServiceName, TicketError> {
    if is_valid_service(value) {
        Ok(value.into())
    } else {
        Err(malformed("service", value))
    }
}

fn malformed(field: &'static str, value: &str) -> TicketError {
    TicketError::Malformed {
        field,
        value: value.into(),
    }
}
