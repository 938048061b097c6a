//! Response of an endpoint while its body is read.

use std::{fmt, sync::Arc, time::Instant};

use kingcupspan_core::gateway::endpoint::Endpoint;
use kingcupspan_platform::headers::ResponseInfo;

use super::{
    Upstream,
    end_check::{Ended, Evidence},
    endpoint_state::{EndpointConnection, SentRequest},
    health::Attempt,
};
use crate::http::{conn::ReadError, framing::Framing, head::ResponseHead};

/// How the response of an endpoint has reached this daemon, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delivery {
    framing: Framing,

    /// VM of the peer through which the response came.
    peer: Option<String>,
}

impl fmt::Display for Delivery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.framing {
            Framing::Length(_) => "length",
            Framing::Chunked(_) => "chunks",
            Framing::UntilClose => "until close",
        })?;
        match &self.peer {
            Some(vm) => write!(f, ", through {vm}"),
            None => Ok(()),
        }
    }
}

/// A response of an endpoint whose body has not been read yet.
pub struct EndpointResponse {
    /// The status line and headers.
    pub head: ResponseHead,

    /// Information that the endpoint passed in headers.
    pub info: ResponseInfo,

    pub(super) connection: EndpointConnection,
    pub(super) upstream: Arc<Upstream>,
    pub(super) endpoint: Endpoint,
    pub(super) sent: SentRequest,

    /// When the request was sent.
    pub(super) sent_at: Instant,
    pub(super) attempt: Attempt,
}

impl EndpointResponse {
    /// Returns whether the response comes from the endpoint; a success response must carry
    /// the endpoint's signature.
    pub fn is_trusted(&self) -> bool {
        self.info.is_signed || !(200..300).contains(&self.head.status)
    }

    /// Returns how the response reaches this daemon.
    pub fn delivery(&self) -> Delivery {
        let tunnel = self.connection.tunnel.as_ref();
        Delivery {
            framing: self.head.framing.clone(),
            peer: tunnel.map(|t| t.vm().to_owned()),
        }
    }

    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// The end of a connection counts as that of the body only if the endpoint is found alive.
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        let conn = &mut self.connection.conn;
        let chunk = conn.read_body_chunk(&mut self.head.framing).await;
        self.upstream.note_heard(&self.endpoint.id);
        if chunk.is_err() {
            self.attempt.fail();
            self.upstream
                .mark_suspect(&self.endpoint, Some(self.sent.clone()));
        }
        if self.head.framing == Framing::UntilClose && matches!(chunk, Ok(None)) {
            self.check_end().await?;
        }
        chunk
    }

    /// Fails if the body may have ended before it was whole.
    async fn check_end(&mut self) -> Result<(), ReadError> {
        let ended = Ended {
            endpoint: &self.endpoint,
            connection: &self.connection,
            sent_at: self.sent_at,
        };
        if self.upstream.check_end(&ended).await != Evidence::Doubtful {
            return Ok(());
        }
        log::warn!(request = &*self.sent.attempt.0, endpoint = &*self.endpoint.id.0; "body without a length may not be whole; treating it as broken off");
        self.attempt.fail();
        // Whether the endpoint has crashed or has left is not known.
        self.upstream.mark_suspect(&self.endpoint, None);
        Err(ReadError::DoubtfulEnd)
    }

    /// Records that the response is not a complete one of the endpoint.
    pub fn note_failure(&mut self) {
        self.attempt.fail();
    }

    /// Makes the connection available for reuse after the complete body has been read.
    pub fn release_connection(mut self) {
        self.record_outcome();
        let connection = &self.connection;
        let is_reusable = self.head.is_keep_alive && connection.conn.unread().is_empty();
        if is_reusable && connection.carried.may_continue() {
            self.upstream
                .return_connection(&self.endpoint.id, self.connection, &self.head.headers);
        }
    }

    /// Records how the request ended; one that the endpoint did not execute tells nothing.
    fn record_outcome(&mut self) {
        match self.head.status {
            _ if self.info.not_executed => {}
            500.. => self.attempt.fail(),
            _ => self.attempt.complete(self.info.load),
        }
    }
}
