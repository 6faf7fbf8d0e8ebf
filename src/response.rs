//! Requests over one connection, and their complete responses.

use {
    crate::framed::Framed,
    async_h1::client,
    derive_more::{Display, Error},
    futures::AsyncReadExt,
    http_types::{Request, Response, headers},
    smol_str::{SmolStr, ToSmolStr},
};

/// Failure of a request without a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ResponseError {
    /// The request was not sent completely, or no valid head of a response was received.
    #[display("{detail}")]
    NoHead {
        /// Cause.
        detail: SmolStr,
    },
    /// The response is malformed, or its end is not certain.
    #[display("{detail}")]
    Invalid {
        /// Cause.
        detail: SmolStr,
    },
    /// The connection ended before the body was complete.
    #[display("response body ended after {found_bytes} of {expected_bytes} bytes")]
    Cut {
        /// Length as stated in the head.
        expected_bytes: usize,
        /// Length received.
        found_bytes: usize,
    },
}

impl ResponseError {
    /// Step that failed.
    pub fn step(&self) -> &'static str {
        match self {
            Self::NoHead { .. } => "send request",
            Self::Invalid { .. } | Self::Cut { .. } => "read answer",
        }
    }

    /// Creates the failure of a response that is malformed or not the expected one.
    pub fn invalid(detail: impl Into<SmolStr>) -> Self {
        Self::Invalid {
            detail: detail.into(),
        }
    }
}

/// Sends a request and reads the head of its response.
///
/// # Errors
///
/// Fails if the connection fails, or if the head is malformed or that of an interim response.
pub async fn send(framed: &Framed, request: Request) -> Result<Response, ResponseError> {
    let sent = Box::pin(client::connect(framed.clone(), request)).await;
    let response = sent.map_err(|error| ResponseError::NoHead {
        detail: error.to_smolstr(),
    })?;
    if u16::from(response.status()) < 200 {
        return Err(ResponseError::invalid(
            "the response is an interim (1xx) one",
        ));
    }
    Ok(response)
}

/// Reads the body of a response. The response to a `HEAD` request (`is_head_request`) has none.
///
/// # Errors
///
/// Fails unless the body ends as the head states, by one length or the last chunk, or if it is
/// larger than allowed.
pub async fn read_body(
    framed: &Framed,
    response: &mut Response,
    is_head_request: bool,
    max_body_bytes: usize,
) -> Result<Vec<u8>, ResponseError> {
    let expected_bytes = content_length(response)?;
    let status = u16::from(response.status());
    if is_head_request || status == 204 || status == 304 {
        return Ok(Vec::new());
    }
    if expected_bytes.is_none() && !is_chunked(response) {
        return Err(ResponseError::invalid(
            "the response has neither a content length nor chunked encoding",
        ));
    }
    framed.expect_body(expected_bytes.map(|expected| expected as u64));
    let mut body = Vec::new();
    let mut reader = response.take_body().take(max_body_bytes as u64 + 1);
    let read = reader.read_to_end(&mut body).await;
    read.map_err(|error| ResponseError::invalid(error.to_smolstr()))?;
    if body.len() > max_body_bytes {
        return Err(ResponseError::invalid("the response body is too large"));
    }
    match expected_bytes {
        Some(expected_bytes) if expected_bytes != body.len() => Err(ResponseError::Cut {
            expected_bytes,
            found_bytes: body.len(),
        }),
        _ => Ok(body),
    }
}

/// Returns whether a connection may be used again after this complete response.
pub fn is_reusable(framed: &Framed, response: &Response) -> bool {
    let closes = response
        .header(headers::CONNECTION)
        .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
    !closes && !framed.has_surplus()
}

/// Returns the content length; fails if it is invalid or several lengths differ.
fn content_length(response: &Response) -> Result<Option<usize>, ResponseError> {
    let Some(lengths) = response.header(headers::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let length = lengths.last().as_str();
    let is_single = lengths.iter().all(|other| other.as_str() == length);
    let is_number = length.bytes().all(|byte| byte.is_ascii_digit());
    match length.parse() {
        Ok(length_bytes) if is_single && is_number => Ok(Some(length_bytes)),
        _ => Err(ResponseError::invalid(
            "the content length is invalid or ambiguous",
        )),
    }
}

fn is_chunked(response: &Response) -> bool {
    let codings = response.header(headers::TRANSFER_ENCODING);
    codings.is_some_and(|codings| {
        codings.iter().count() == 1 && codings.as_str().eq_ignore_ascii_case("chunked")
    })
}
