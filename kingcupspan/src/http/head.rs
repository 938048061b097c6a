//! Heads of requests and answers.

use std::str;

use kingcupspan_platform::headers::HeaderLookup;

use crate::http::framing::Framing;

/// Most headers of one head.
const HEADERS_MAX: usize = 128;

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
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

/// Why a head is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// Not HTTP/1.x.
    #[error("malformed head: {0}")]
    Malformed(String),

    /// The body's length is ambiguous.
    #[error("ambiguous body length")]
    AmbiguousLength,

    /// A transfer coding other than chunked.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
}

/// Header fields in their order.
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
    /// All values of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let has_name = move |(n, _): &&(String, Vec<u8>)| n.eq_ignore_ascii_case(name);
        self.0.iter().filter(has_name).map(|(_, v)| v.as_slice())
    }

    /// Whether a comma-separated header holds a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|v| {
            let text = String::from_utf8_lossy(v);
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case(token))
        })
    }

    /// The headers that are passed on to the other side.
    pub fn end_to_end(&self) -> impl Iterator<Item = &(String, Vec<u8>)> {
        self.0.iter().filter(|(name, _)| {
            let is_hop_by_hop = HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name));
            !is_hop_by_hop
                && !name.eq_ignore_ascii_case("content-length")
                && !self.has_token("connection", name)
        })
    }

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
    /// The method.
    pub method: String,

    /// The target as it was sent.
    pub target: String,

    /// Whether the caller speaks HTTP/1.0.
    pub is_http10: bool,

    /// Its headers.
    pub headers: Headers,

    /// How its body is framed.
    pub framing: Framing,
}

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,

    /// Text behind the status.
    pub reason: String,

    /// Its headers.
    pub headers: Headers,

    /// How its body is framed.
    pub framing: Framing,

    /// Whether the connection may carry another request afterwards.
    pub is_keep_alive: bool,
}

/// Parses a request's head; none while bytes are missing.
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
    /// Host and path that select the route; none if the target has neither form.
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

    /// Whether the caller wants the connection closed after the answer.
    pub fn wants_close(&self) -> bool {
        let is_keep_alive = self.headers.has_token("connection", "keep-alive");
        self.headers.has_token("connection", "close") || (self.is_http10 && !is_keep_alive)
    }
}

/// Parses the head of an answer to `method`; none while bytes are missing.
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
    let status = parsed.code.unwrap_or(0);
    let framing = response_framing(&headers, status, method)?;
    let is_http10 = parsed.version == Some(0);
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

fn response_framing(headers: &Headers, status: u16, method: &str) -> Result<Framing, HeadError> {
    if method == "HEAD" || matches!(status, 100..=199 | 204 | 304) {
        return Ok(Framing::Length(0));
    }
    if headers.is_chunked()? {
        return Ok(Framing::chunked());
    }
    let length = headers.content_length()?;
    Ok(length.map_or(Framing::UntilClose, Framing::Length))
}

fn owned_headers(fields: &[httparse::Header<'_>]) -> Headers {
    let owned = |h: &httparse::Header<'_>| (h.name.to_owned(), h.value.to_vec());
    Headers(fields.iter().map(owned).collect())
}
