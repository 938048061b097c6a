//! Keeps a stream at the software version that began it.
//!
//! The version is chosen and recorded before a stream is sent to an endpoint, and a stream that an
//! earlier attempt has begun goes on at the recorded version or not at all.

use std::sync::Arc;

use async_std::task;
use kingcupspan_core::gateway::{
    call::{ContinuedStream, ProgramKey, RequestId},
    crash_tracker::Fingerprint,
    endpoint::{Endpoint, InstanceId, SoftwareVersion},
    routing::RouteKind,
    stream_origin::{self, Knowledge, Origin, StreamName, StreamRecord},
    workspace,
};

use super::{Gateway, retry_later};
use crate::gateway::{
    error_response::{ErrorReason, ErrorResponse},
    exchange::{Exchange, StreamVersion},
};

impl Gateway {
    /// Determines the software version at which a stream has to run; refuses one that cannot go on.
    pub(super) async fn determine_version(&self, ex: &mut Exchange) -> Result<(), ErrorResponse> {
        if ex.route.kind != RouteKind::Streaming {
            return Ok(());
        }
        if let Some(stream) = ex.info.continues.clone() {
            let version = self.version_to_continue(ex, &stream).await?;
            ex.stream_version = Some(StreamVersion::Continued(version));
            return Ok(());
        }
        if !ex.route.resumable {
            return Ok(());
        }
        let Some(version) = self.version_to_begin(ex) else {
            return Ok(());
        };
        let key = stream_key(ex, &ex.turn_id);
        let record = StreamRecord {
            attempt: ex.turn_id.clone(),
            content: content(ex),
            origin: Origin {
                service: ex.service.clone(),
                version,
            },
            replaces_since: None,
            place: self.partitions.next_stream_place(&key),
            retention: stream_origin::retention(ex.route.timeout),
        };
        ex.stream_version = Some(StreamVersion::Begun(record));
        Ok(())
    }

    /// Returns the version at which a stream goes on, if that is known and served.
    async fn version_to_continue(
        &self,
        ex: &Exchange,
        stream: &ContinuedStream,
    ) -> Result<SoftwareVersion, ErrorResponse> {
        let (key, name) = match stream {
            ContinuedStream::BegunBy(attempt) => (
                stream_key(ex, attempt),
                StreamName::Attempt(attempt.clone()),
            ),
            ContinuedStream::Unnamed => (
                stream_key(ex, &ex.turn_id),
                StreamName::Content(content(ex)),
            ),
        };
        let knowledge = self.find_stream(ex, &key, &name).await?;
        let (outcome, refusal) = match knowledge {
            Knowledge::Unknown => ("unknown", ErrorReason::UnknownStream),
            Knowledge::Ambiguous => ("ambiguous", ErrorReason::UnknownStream),
            Knowledge::Known(origin) => {
                if self.is_served(ex, &origin) {
                    self.count_continuation("goes on");
                    return Ok(origin.version);
                }
                ("version not served", ErrorReason::VersionNotServed)
            }
        };
        self.count_continuation(outcome);
        log::info!(request = &*ex.id.0, continues = stream.to_string().as_str(), outcome; "stream cannot go on; refusing the request");
        Err(refusal.into())
    }

    /// Counts a request that continues a stream.
    fn count_continuation(&self, outcome: &str) {
        let counts = &self.metrics.continued_streams;
        counts.with_label_values(&[outcome]).inc();
    }

    /// Whether an endpoint of a stream's service and version accepts requests.
    fn is_served(&self, ex: &Exchange, origin: &Origin) -> bool {
        let ready = self.endpoints.ready(&ex.service);
        ex.service == origin.service && ready.iter().any(|e| e.version == origin.version)
    }

    /// Looks up where a stream was begun. What this daemon remembers is not enough: another daemon
    /// may have begun a stream under the same name. Without the store, a stream goes on that is named
    /// by an attempt of this daemon, since an attempt is made once.
    async fn find_stream(
        &self,
        ex: &Exchange,
        key: &ProgramKey,
        name: &StreamName,
    ) -> Result<Knowledge, ErrorResponse> {
        let error = match self.allocation_homes.find_stream(key, name).await {
            Ok(knowledge) => return Ok(knowledge),
            Err(e) => e,
        };
        match self.allocation_homes.find_own_stream(name) {
            Knowledge::Unknown => {
                log::warn!(request = &*ex.id.0, error = error.to_string().as_str(); "cannot look up the version of the stream");
                self.count_continuation("store unavailable");
                Err(retry_later(ErrorReason::StoreUnreachable))
            }
            knowledge => Ok(knowledge),
        }
    }

    /// Version of the endpoint at which a new stream would be placed now.
    fn version_to_begin(&self, ex: &Exchange) -> Option<SoftwareVersion> {
        let ready = self.endpoints.ready(&ex.service);
        let first = &ready.first()?.version;
        if ready.iter().all(|e| e.version == *first) {
            return Some(first.clone());
        }
        let likely = self.likely_endpoint(ex);
        Some(likely.map_or_else(|| first.clone(), |e| e.version.clone()))
    }

    /// Chooses an endpoint as [`Gateway::choose_endpoint`] does. If a new stream has been tried at
    /// all endpoints of its version, or they take no requests, it is begun at another one.
    pub(super) async fn choose_endpoint_of_version(
        &self,
        ex: &mut Exchange,
        tried: &[InstanceId],
    ) -> Result<Arc<Endpoint>, ErrorResponse> {
        let chosen = self.choose_endpoint(ex, tried).await;
        let is_untried = chosen.as_ref().is_ok_and(|e| !tried.contains(&e.id));
        if is_untried || !self.begin_at_other_version(ex, tried).await? {
            return chosen;
        }
        self.choose_endpoint(ex, tried).await
    }

    /// Moves a stream of which no event was sent to another version; returns false if there is
    /// none with untried endpoints.
    async fn begin_at_other_version(
        &self,
        ex: &mut Exchange,
        tried: &[InstanceId],
    ) -> Result<bool, ErrorResponse> {
        let Some(StreamVersion::Begun(former)) = &ex.stream_version else {
            return Ok(false);
        };
        let is_other =
            |e: &Arc<Endpoint>| e.version != former.origin.version && !tried.contains(&e.id);
        let mut ready = self.endpoints.ready(&ex.service).into_iter();
        let Some(endpoint) = ready.find(is_other) else {
            return Ok(false);
        };
        let since = ex.stream_recorded_since;
        let mut record = former.clone();
        record.origin.version = endpoint.version.clone();
        record.replaces_since = since;
        let key = stream_key(ex, &ex.turn_id);
        let id = self.ledger.next_allocation_id();
        // Without an acknowledgement nobody knows which version the store has.
        if let Err(e) = self.partitions.record_stream(&key, &id, &record).await {
            log::warn!(request = &*ex.id.0, error = e.to_string().as_str(); "cannot record another version for the stream; refusing the request");
            return Err(retry_later(ErrorReason::StoreUnreachable));
        }
        ex.stream_recorded_since = since.or(Some(id.made_at));
        ex.stream_version = Some(StreamVersion::Begun(record));
        Ok(true)
    }

    /// Records where a stream is begun that needs no tokens, while it is sent to its endpoint.
    pub(super) fn record_stream(&self, ex: &mut Exchange) {
        let Some(StreamVersion::Begun(record)) = &ex.stream_version else {
            return;
        };
        let key = stream_key(ex, &ex.turn_id);
        let id = self.ledger.next_allocation_id();
        let partitions = Arc::clone(&self.partitions);
        let record = record.clone();
        ex.stream_recorded_since = Some(id.made_at);
        ex.stream_recording = Some(task::spawn(async move {
            if let Err(e) = partitions.record_stream(&key, &id, &record).await {
                let attempt = workspace::readable(&record.attempt.0);
                log::info!(request = &*attempt, error = e.to_string().as_str(); "cannot record the version of the stream");
            }
        }));
    }
}

/// Key of the record of a stream: its program, or its first attempt if it belongs to none.
fn stream_key(ex: &Exchange, first_attempt: &RequestId) -> ProgramKey {
    match &ex.info.program {
        Some(program) => program.program.clone(),
        None => ProgramKey(Arc::clone(&first_attempt.0)),
    }
}

/// Fingerprint that all attempts of a request have in common, and no other request of its program
/// at the same time.
fn content(ex: &Exchange) -> Fingerprint {
    match &ex.info.program {
        Some(p) => ex.fingerprint().in_session(&p.program, &p.session),
        None => ex.fingerprint(),
    }
}
