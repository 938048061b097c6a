//! Parsing of request and response heads.

use std::str;

use kingcupspan_platform::headers::HeaderLookup;

use crate::http::framing::Framing;

/// Maximum number of headers in a head.
const HEADERS_MAX: usize = 128;

/// Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Error returned when a head is malformed or unsupported.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head is not valid HTTP/1.x.
    #[error("malformed head: {0}")]
    Malformed(String),

    /// The length of the body is invalid or ambiguous.
    #[error("ambiguous body length")]
    AmbiguousLength,

    /// The status code is none that a response can have.
    #[error("no response has status {0:03}")]
    InvalidStatus(u16),

    /// The transfer coding is not `chunked`.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
}

/// Headers in the order in which they were received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl HeaderLookup for Headers {
    fn get(&self, name: &str) -> Option<&str> {
        let has_name = |(n, _): &&(String, Vec<u8>)| n.eq_ignore_ascii_case(name);
        let (_, value) = self.0.iter().find(has_name)?;
        str::from_utf8(value).ok()
    }
}

impl Headers {
    /// Returns all values of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let has_name = move |(n, _): &&(String, Vec<u8>)| n.eq_ignore_ascii_case(name);
        self.0.iter().filter(has_name).map(|(_, v)| v.as_slice())
    }

    /// Returns whether a comma-separated header contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|v| {
            let text = String::from_utf8_lossy(v);
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case(token))
        })
    }

    /// Returns the headers that a proxy forwards, without the content length.
    pub fn end_to_end(&self) -> impl Iterator<Item = &(String, Vec<u8>)> {
        self.0.iter().filter(|(name, _)| {
            let is_hop_by_hop = HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name));
            !is_hop_by_hop
                && !name.eq_ignore_ascii_case("content-length")
                && !self.has_token("connection", name)
        })
    }

    /// Returns the content length; repeated headers must have equal values.
    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut length = None;
        for value in self.all("content-length") {
            let is_numeric = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = str::from_utf8(value).map_err(|_| HeadError::AmbiguousLength)?;
            let parsed = text
                .parse::<u64>()
                .map_err(|_| HeadError::AmbiguousLength)?;
            if !is_numeric || length.is_some_and(|l| l != parsed) {
                return Err(HeadError::AmbiguousLength);
            }
            length = Some(parsed);
        }
        Ok(length)
    }

    /// Returns whether the body is chunked; other transfer codings are an error.
    fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut codings = self.all("transfer-encoding");
        let Some(coding) = codings.next() else {
            return Ok(false);
        };
        match coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() {
            true => Ok(true),
            false => Err(HeadError::UnsupportedCoding),
        }
    }
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// HTTP method.
    pub method: String,

    /// Request target exactly as sent by the caller.
    pub target: String,

    /// Whether the request uses HTTP/1.0.
    pub is_http10: bool,

    /// Headers of the message.
    pub headers: Headers,

    /// Framing of the body.
    pub framing: Framing,
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,

    /// Reason phrase after the status code.
    pub reason: String,

    /// Headers of the message.
    pub headers: Headers,

    /// Framing of the body.
    pub framing: Framing,

    /// Whether the connection can be used for another request after this response.
    pub is_keep_alive: bool,
}

/// Parses a request head and returns it with its length, or `None` if it is incomplete.
pub fn parse_request(buf: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    let len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(HeadError::Malformed(e.to_string())),
    };
    let headers = owned_headers(parsed.headers);
    let is_http10 = parsed.version == Some(0);
    let framing = request_framing(&headers, is_http10)?;
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        is_http10,
        headers,
        framing,
    };
    Ok(Some((head, len)))
}

/// Determines the framing of a request body.
fn request_framing(headers: &Headers, is_http10: bool) -> Result<Framing, HeadError> {
    let length = headers.content_length()?;
    match (headers.is_chunked()?, length) {
        (true, Some(_)) => Err(HeadError::AmbiguousLength),
        (true, None) if is_http10 => Err(HeadError::UnsupportedCoding),
        (true, None) => Ok(Framing::chunked()),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

impl RequestHead {
    /// Returns the host and path that select the route, or `None` if there is no unique host or the
    /// target is in neither origin form nor absolute form.
    pub fn host_and_path(&self) -> Option<(&str, &str)> {
        let mut hosts = self.headers.all("host");
        let host = str::from_utf8(hosts.next()?).ok()?;
        if hosts.next().is_some() {
            return None;
        }
        let (host, target) = match self.target.strip_prefix("http://") {
            Some(rest) => rest.split_at(rest.find('/')?),
            None => (host, self.target.as_str()),
        };
        let path = target.split('?').next()?;
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        path.starts_with('/').then_some((host, path))
    }

    /// Returns whether the connection has to be closed after the response: HTTP/1.0 callers may
    /// find the end of a body by that alone.
    pub fn wants_close(&self) -> bool {
        self.is_http10 || self.headers.has_token("connection", "close")
    }

    /// Returns whether the caller waits for an interim response before it sends the body.
    pub fn expects_continue(&self) -> bool {
        !self.is_http10 && self.headers.has_token("expect", "100-continue")
    }
}

/// Parses the head of a response to a request with `method` and returns it with its length, or
/// `None` if it is incomplete.
///
/// This alone decides what is a response that may reach a caller. `httparse` fails on a second
/// status line, on headers that continue on the next line and on control characters.
pub fn parse_response(
    buf: &[u8],
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Response::new(&mut fields);
    let len = match parsed.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(HeadError::Malformed(e.to_string())),
    };
    let headers = owned_headers(parsed.headers);
    let status = response_status(parsed.code.unwrap_or(0))?;
    let is_http10 = parsed.version == Some(0);
    let framing = response_framing(&headers, status, method, is_http10)?;
    let closes_connection = headers.has_token("connection", "close") || is_http10;
    let head = ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        is_keep_alive: !closes_connection && framing != Framing::UntilClose,
        headers,
        framing,
    };
    Ok(Some((head, len)))
}

/// Checks the status code of a response; 101 would answer an upgrade, which is never requested.
fn response_status(code: u16) -> Result<u16, HeadError> {
    match code {
        100 | 102..=599 => Ok(code),
        _ => Err(HeadError::InvalidStatus(code)),
    }
}

/// Determines the framing of the body of a response to a request with `method`.
fn response_framing(
    headers: &Headers,
    status: u16,
    method: &str,
    is_http10: bool,
) -> Result<Framing, HeadError> {
    let length = headers.content_length()?;
    if method == "HEAD" || matches!(status, 100..=199 | 204 | 304) {
        return Ok(Framing::Length(0));
    }
    match (headers.is_chunked()?, length) {
        (true, Some(_)) => Err(HeadError::AmbiguousLength),
        (true, None) if is_http10 => Err(HeadError::UnsupportedCoding),
        (true, None) => Ok(Framing::chunked()),
        (false, length) => Ok(length.map_or(Framing::UntilClose, Framing::Length)),
    }
}

/// Copies parsed headers out of the receive buffer.
fn owned_headers(fields: &[httparse::Header<'_>]) -> Headers {
    let owned = |h: &httparse::Header<'_>| (h.name.to_owned(), h.value.to_vec());
    Headers(fields.iter().map(owned).collect())
}
