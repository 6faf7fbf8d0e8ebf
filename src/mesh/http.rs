//! HTTP/1.1 messages on a connection: heads, decoded with `httparse`, and the framing of bodies.
//!
//! A head is decoded once into the fields that the request path needs. All end-to-end fields are
//! kept as raw bytes and forwarded unchanged.

use {
    crate::{mesh::conn::Conn, policy::shared_memory::MemoryShare},
    derive_more::{Display, Error},
    smol_str::{SmolStr, ToSmolStr},
    std::io::Write,
};

/// Largest number of fields in one head; a head with more is rejected.
const MAX_FIELDS: usize = 100;

/// Longest line with the size of a chunk, including extensions.
const MAX_CHUNK_LINE_BYTES: usize = 4_096;

/// Part of a growing body that is allocated in advance, as a divisor of its length.
const SPARE_DIVISOR: usize = 4;

/// End of the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Interim answers before an answer; a message with more is rejected.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Status of a response after which the connection speaks another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Hop-by-hop fields (RFC 9110, section 7.6.1), and those that frame the body.
const HOP_BY_HOP_FIELDS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Error while reading a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum MessageError {
    /// Not HTTP/1.1, or with ambiguous framing.
    #[display("malformed message")]
    Malformed,
    /// The head is larger than allowed.
    #[display("head too large")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[display("body too large")]
    BodyTooLarge,
    /// The connection ended before the message did.
    #[display("connection ended early")]
    Truncated,
    /// The connection ended before the first byte of the message.
    #[display("connection closed")]
    Closed,
}

/// Framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// Fixed number of bytes.
    Length(u64),
    /// Chunked coding.
    Chunked,
    /// All bytes until the connection ends.
    UntilClose,
}

/// Decoded head of a message.
#[derive(Debug, Clone)]
pub struct Head {
    /// Method of a request; empty for a response.
    pub method: SmolStr,
    /// Target of a request; empty for a response.
    pub target: SmolStr,
    /// Status of a response; zero for a request.
    pub status: u16,
    /// Value of the `Host` field of a request.
    pub host: SmolStr,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection ends after this message.
    pub closes: bool,
    /// Whether the client waits for an interim response before it sends the body.
    pub expects_continue: bool,
    /// Time for which the sender keeps an idle connection open, in seconds.
    pub keep_alive_s: Option<u64>,
    /// End-to-end fields.
    pub fields: Vec<(SmolStr, Vec<u8>)>,
}

impl Head {
    /// Value of the first field with this name, ignoring case; `None` if it is missing or not
    /// UTF-8.
    pub fn field(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .fields
            .iter()
            .find(|(field, _)| field.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Path of the request target, without the query.
    pub fn path(&self) -> &str {
        let target = self.target.as_str();
        let path = match target.split_once("://") {
            Some((_, rest)) => rest.find('/').map_or("/", |start| &rest[start..]),
            None => target,
        };
        path.split(['?', '#']).next().unwrap_or(path)
    }

    /// Writes the end-to-end fields, except those for which `skip` returns true.
    pub fn write_fields(&self, out: &mut Vec<u8>, skip: impl Fn(&str) -> bool) {
        for (name, value) in &self.fields {
            if !skip(name) {
                write_field(out, name, value);
            }
        }
    }
}

/// Appends a field line.
pub fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends a field line with a number.
pub fn write_number(out: &mut Vec<u8>, name: &str, value: impl std::fmt::Display) {
    // Writing to a vector does not fail.
    let _ = write!(out, "{name}: {value}\r\n");
}

/// Appends the `Retry-After` field, in seconds with three decimals.
pub fn write_retry_after(out: &mut Vec<u8>, after_ms: u32) {
    let seconds = f64::from(after_ms) / 1_000.0;
    write_number(out, "Retry-After", format_args!("{seconds:.3}"));
}

/// Reads the head of a request.
///
/// # Errors
///
/// Fails if the head is malformed or too large, or if the connection ends before it is complete.
pub async fn read_request(conn: &mut Conn, max_bytes: usize) -> Result<Head, MessageError> {
    read_head(conn, max_bytes, parse_request).await
}

/// Returns whether a status is one of a final response: 200 to 599 (RFC 9110, section 15).
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// Returns whether a status is one of an interim response. A switch of protocols, which no request
/// asks for, is none.
fn is_interim_status(status: u16) -> bool {
    (100..=199).contains(&status) && status != SWITCHING_PROTOCOLS
}

/// Reads the head of a response, skipping interim responses. A response to a `HEAD` request
/// (`is_head_request`) has no body.
///
/// # Errors
///
/// Fails if the head is malformed or too large, if its status is invalid, if too many interim
/// responses come first, or if the connection ends before it is complete.
pub async fn read_answer(
    conn: &mut Conn,
    max_bytes: usize,
    is_head_request: bool,
) -> Result<Head, MessageError> {
    for _ in 0..=MAX_INTERIM_ANSWERS {
        let head = read_head(conn, max_bytes, |bytes| {
            parse_answer(bytes, is_head_request)
        })
        .await?;
        if is_final_status(head.status) {
            return Ok(head);
        }
        if !is_interim_status(head.status) {
            return Err(MessageError::Malformed);
        }
    }
    Err(MessageError::Malformed)
}

async fn read_head(
    conn: &mut Conn,
    max_bytes: usize,
    parse: impl Fn(&[u8]) -> Result<Option<(Head, usize)>, MessageError>,
) -> Result<Head, MessageError> {
    loop {
        if !conn.buffered().is_empty() {
            if let Some((head, length)) = parse(conn.buffered())? {
                if length > max_bytes {
                    return Err(MessageError::HeadTooLarge);
                }
                conn.consume(length);
                return Ok(head);
            }
            if conn.buffered().len() > max_bytes {
                return Err(MessageError::HeadTooLarge);
            }
        }
        let has_partial_head = !conn.buffered().is_empty();
        match conn.fill().await {
            Ok(0) | Err(_) if has_partial_head => return Err(MessageError::Truncated),
            Ok(0) | Err(_) => return Err(MessageError::Closed),
            Ok(_) => {}
        }
    }
}

/// Decodes the head of a request, and returns it with its length; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the head is malformed.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(Head, usize)>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
        Err(_) => return Err(MessageError::Malformed),
    };
    let mut head = decode_fields(request.headers, request.version)?;
    head.method = request.method.unwrap_or_default().to_smolstr();
    head.target = request.path.unwrap_or_default().to_smolstr();
    if head.framing == Framing::UntilClose {
        head.framing = Framing::Empty;
    }
    Ok(Some((head, length)))
}

/// Decodes the head of a response, and returns it with its length; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the head is malformed.
pub fn parse_answer(
    bytes: &[u8],
    is_head_request: bool,
) -> Result<Option<(Head, usize)>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(MessageError::Malformed),
    };
    let mut head = decode_fields(response.headers, response.version)?;
    head.status = response.code.unwrap_or_default();
    if is_head_request || head.status < 200 || head.status == 204 || head.status == 304 {
        head.framing = Framing::Empty;
    }
    head.closes |= head.framing == Framing::UntilClose;
    Ok(Some((head, length)))
}

fn decode_fields(
    fields: &[httparse::Header<'_>],
    version: Option<u8>,
) -> Result<Head, MessageError> {
    let mut head = Head {
        method: SmolStr::default(),
        target: SmolStr::default(),
        status: 0,
        host: SmolStr::default(),
        framing: Framing::UntilClose,
        closes: version == Some(0),
        expects_continue: false,
        keep_alive_s: None,
        fields: Vec::with_capacity(fields.len()),
    };
    let mut connection_options: Vec<&str> = Vec::new();
    let mut length = None;
    let mut is_chunked = false;
    for field in fields {
        let name = field.name;
        let text = || {
            std::str::from_utf8(field.value)
                .map(str::trim)
                .unwrap_or_default()
        };
        if name.eq_ignore_ascii_case("content-length") {
            let value = text();
            let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let value = value.parse().ok().filter(|_| is_number);
            let value: u64 = value.ok_or(MessageError::Malformed)?;
            if length.is_some_and(|earlier| earlier != value) {
                return Err(MessageError::Malformed);
            }
            length = Some(value);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if is_chunked || !text().eq_ignore_ascii_case("chunked") {
                return Err(MessageError::Malformed);
            }
            is_chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for token in text().split(',').map(str::trim) {
                if token.eq_ignore_ascii_case("close") {
                    head.closes = true;
                } else if token.eq_ignore_ascii_case("keep-alive") {
                    head.closes = false;
                } else {
                    connection_options.push(token);
                }
            }
        } else if name.eq_ignore_ascii_case("keep-alive") {
            head.keep_alive_s = keep_alive_s(text());
        } else if name.eq_ignore_ascii_case("expect") {
            head.expects_continue = text().eq_ignore_ascii_case("100-continue");
        } else if !HOP_BY_HOP_FIELDS
            .iter()
            .any(|hop| name.eq_ignore_ascii_case(hop))
        {
            if name.eq_ignore_ascii_case("host") {
                head.host = text().to_smolstr();
            }
            head.fields.push((name.to_smolstr(), field.value.to_vec()));
        }
    }
    if !connection_options.is_empty() {
        head.fields.retain(|(name, _)| {
            !connection_options
                .iter()
                .any(|hop| name.eq_ignore_ascii_case(hop))
        });
    }
    head.framing = match (is_chunked, length) {
        (true, Some(_)) => return Err(MessageError::Malformed),
        (true, None) => Framing::Chunked,
        (false, Some(0)) => Framing::Empty,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    };
    Ok(head)
}

fn keep_alive_s(text: &str) -> Option<u64> {
    text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| value.trim().parse().ok()).flatten()
    })
}

/// Limit on the length of a body.
pub trait BodyLimit {
    /// Longest body.
    fn max_bytes(&self) -> u64;

    /// Returns whether a body may grow to this length.
    fn grow(&mut self, length_bytes: u64) -> bool {
        length_bytes <= self.max_bytes()
    }
}

impl BodyLimit for u64 {
    fn max_bytes(&self) -> u64 {
        *self
    }
}

impl BodyLimit for MemoryShare<'_> {
    fn max_bytes(&self) -> u64 {
        self.total_bytes()
    }

    fn grow(&mut self, length_bytes: u64) -> bool {
        self.resize(length_bytes)
    }
}

/// Buffer that a body is read into.
pub trait BodyBuffer: Default {
    /// Length so far.
    fn len(&self) -> usize;

    /// Returns whether nothing has been appended.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails if the memory of the body exceeds its limit.
    fn append(&mut self, bytes: &[u8], limit: &mut impl BodyLimit) -> Result<(), MessageError>;
}

impl BodyBuffer for Vec<u8> {
    fn len(&self) -> usize {
        self.len()
    }

    fn append(&mut self, bytes: &[u8], limit: &mut impl BodyLimit) -> Result<(), MessageError> {
        let length = self.len() + bytes.len();
        if length > self.capacity() || self.is_empty() {
            let spare = length / SPARE_DIVISOR;
            let capacity = if limit.grow((length + spare) as u64) {
                length + spare
            } else if limit.grow(length as u64) {
                length
            } else {
                return Err(MessageError::BodyTooLarge);
            };
            self.reserve_exact(capacity - self.len());
        }
        self.extend_from_slice(bytes);
        Ok(())
    }
}

/// Reads a complete body into one piece of memory.
///
/// # Errors
///
/// Fails if the body is truncated, malformed or too large.
pub async fn read_body(
    conn: &mut Conn,
    framing: Framing,
    limit: impl BodyLimit,
) -> Result<Vec<u8>, MessageError> {
    read_body_as(conn, framing, limit).await
}

/// Reads a complete body into a buffer of this type.
///
/// # Errors
///
/// Fails if the body is truncated, malformed or too large.
pub async fn read_body_as<B: BodyBuffer>(
    conn: &mut Conn,
    framing: Framing,
    mut limit: impl BodyLimit,
) -> Result<B, MessageError> {
    let mut body = B::default();
    match framing {
        Framing::Empty => {}
        Framing::Length(length) if length > limit.max_bytes() => {
            return Err(MessageError::BodyTooLarge);
        }
        Framing::Length(length) => {
            read_exact(conn, &mut body, length as usize, &mut limit).await?;
        }
        Framing::Chunked => read_chunks(conn, &mut body, &mut limit).await?,
        Framing::UntilClose => read_rest(conn, &mut body, &mut limit).await?,
    }
    Ok(body)
}

async fn read_exact(
    conn: &mut Conn,
    body: &mut impl BodyBuffer,
    mut count: usize,
    limit: &mut impl BodyLimit,
) -> Result<(), MessageError> {
    loop {
        let piece = conn.buffered().len().min(count);
        body.append(&conn.buffered()[..piece], limit)?;
        conn.consume(piece);
        count -= piece;
        if count == 0 {
            return Ok(());
        }
        fill(conn).await?;
    }
}

async fn read_rest(
    conn: &mut Conn,
    body: &mut impl BodyBuffer,
    limit: &mut impl BodyLimit,
) -> Result<(), MessageError> {
    loop {
        let count = conn.buffered().len();
        body.append(conn.buffered(), limit)?;
        conn.consume(count);
        match conn.fill().await {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(_) => return Err(MessageError::Truncated),
        }
    }
}

async fn read_chunks(
    conn: &mut Conn,
    body: &mut impl BodyBuffer,
    limit: &mut impl BodyLimit,
) -> Result<(), MessageError> {
    loop {
        let size = read_chunk_size(conn).await?;
        if size == 0 {
            return read_trailers(conn).await;
        }
        let max_bytes = limit.max_bytes();
        if size > max_bytes || body.len() as u64 + size > max_bytes {
            return Err(MessageError::BodyTooLarge);
        }
        read_exact(conn, body, size as usize, limit).await?;
        while conn.buffered().len() < CHUNK_END.len() {
            fill(conn).await?;
        }
        if !conn.buffered().starts_with(CHUNK_END) {
            return Err(MessageError::Malformed);
        }
        conn.consume(CHUNK_END.len());
    }
}

async fn read_chunk_size(conn: &mut Conn) -> Result<u64, MessageError> {
    loop {
        // `httparse` takes a line without digits for size zero.
        let first = conn.buffered().first();
        if first.is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(MessageError::Malformed);
        }
        match httparse::parse_chunk_size(conn.buffered()) {
            Ok(httparse::Status::Complete((length, size))) => {
                conn.consume(length);
                return Ok(size);
            }
            Ok(httparse::Status::Partial) if conn.buffered().len() <= MAX_CHUNK_LINE_BYTES => {
                fill(conn).await?;
            }
            _ => return Err(MessageError::Malformed),
        }
    }
}

async fn read_trailers(conn: &mut Conn) -> Result<(), MessageError> {
    let mut read_bytes = 0;
    loop {
        if let Some(end) = conn.buffered().windows(2).position(|pair| pair == b"\r\n") {
            conn.consume(end + 2);
            read_bytes += end + 2;
            if end == 0 {
                return Ok(());
            }
        } else {
            fill(conn).await?;
        }
        if read_bytes + conn.buffered().len() > 16 * MAX_CHUNK_LINE_BYTES {
            return Err(MessageError::Malformed);
        }
    }
}

async fn fill(conn: &mut Conn) -> Result<(), MessageError> {
    match conn.fill().await {
        Ok(0) | Err(_) => Err(MessageError::Truncated),
        Ok(_) => Ok(()),
    }
}

/// Standard reason phrase of a status.
pub fn reason_phrase(status: u16) -> &'static str {
    http_types::StatusCode::try_from(status).map_or("Unknown", |status| status.canonical_reason())
}
