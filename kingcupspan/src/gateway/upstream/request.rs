//! Requests sent to endpoints.

use std::time::{Duration, Instant};

use kingcupspan_core::gateway::{
    call::RequestId, crash_tracker::Fingerprint, endpoint::Endpoint, workspace::WorkspaceName,
};
use kingcupspan_platform::headers;

use super::{JOINED_BODY_MAX_BYTES, endpoint_state::SentRequest};
use crate::http::head::Headers;

/// A request to be sent to an endpoint.
pub struct OutgoingRequest<'a> {
    /// The HTTP method.
    pub method: &'a str,

    /// The request target as sent by the caller.
    pub target: &'a str,

    /// The caller's headers.
    pub headers: &'a Headers,

    /// Identifier of the attempt, chosen by the caller.
    pub id: &'a RequestId,

    /// Workspace of the caller, if it has one.
    pub workspace: Option<&'a WorkspaceName>,

    /// Whether callers send keys, which must not reach the endpoint.
    pub has_keys: bool,

    /// Fingerprint shared by all attempts of the request, used to attribute crashes.
    pub fingerprint: Fingerprint,

    /// Route with whose usual time the response time is compared; `None` if requests of the route
    /// differ too much for that.
    pub timed_as: Option<&'a str>,

    /// The request body.
    pub body: &'a [u8],

    /// Time until which the caller waits for the response.
    pub deadline: Instant,

    /// Whether the request may be sent to another endpoint if this one may have run it.
    pub is_repeatable: bool,

    /// Whether only the run of the endpoint that is listed may run the request.
    pub needs_listed_run: bool,
}

impl OutgoingRequest<'_> {
    /// Whether the request is sent on a connection of its own: responses to HEAD have no body, so
    /// that a late one next to those of other methods is read with the wrong framing.
    pub(super) fn needs_own_connection(&self) -> bool {
        self.method == "HEAD"
    }

    /// Returns what is remembered of the request after it has been sent.
    pub(super) fn sent_request(&self) -> SentRequest {
        SentRequest {
            attempt: self.id.clone(),
            fingerprint: self.fingerprint,
        }
    }

    /// Encodes the request sent to an endpoint, without its body if that is sent by itself.
    pub(super) fn encode(&self, endpoint: &Endpoint, remaining: Duration) -> Vec<u8> {
        let mut buf = Vec::with_capacity(1024 + self.body.len().min(JOINED_BODY_MAX_BYTES));
        let mut push = |parts: [&[u8]; 4]| parts.iter().for_each(|p| buf.extend_from_slice(p));
        push([
            self.method.as_bytes(),
            b" ",
            self.target.as_bytes(),
            b" HTTP/1.1\r\n",
        ]);
        for (name, value) in self.headers.end_to_end() {
            let is_secret = self.has_keys && headers::is_key(name);
            if headers::is_forwarded(name) && !is_secret && !name.eq_ignore_ascii_case("expect") {
                push([name.as_bytes(), b": ", value, b"\r\n"]);
            }
        }
        for (name, value) in headers::forward_headers(remaining, &endpoint.id) {
            push([name.as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
        }
        if let Some(name) = self.workspace {
            let (name, value) = headers::workspace_header(name);
            push([name.as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
        }
        if !self.body.is_empty() || !matches!(self.method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
            let length = self.body.len().to_string();
            push([b"Content-Length", b": ", length.as_bytes(), b"\r\n"]);
        }
        buf.extend_from_slice(b"\r\n");
        if self.body.len() <= JOINED_BODY_MAX_BYTES {
            buf.extend_from_slice(self.body);
        }
        buf
    }
}
