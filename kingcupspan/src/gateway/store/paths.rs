//! Calls to the store through other daemons, and appends on several paths.

use std::{future::Future, sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_platform::store::{self, AppendResponse, Partition, Record};

use super::{CALL_TIMEOUT, Call, ResponseSize, Store, StoreFailure, check_status, traffic::Via};
use crate::gateway::peers::{Peer, PeerRequest, PeerResponse};

/// Timeout of a read made for a peer, shorter than the timeout of the peer's request.
const PROXY_READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of a call by a peer after which the next peer is asked.
const PROXY_CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of an append by a peer, longer than the peer waits for the store.
const PROXY_APPEND_TIMEOUT: Duration = CALL_TIMEOUT.saturating_add(Duration::from_millis(100));

/// Maximum number of peers that are asked to proxy a call.
const PROXY_PEERS_MAX: usize = 3;

/// Failure of a call on one path.
#[derive(Debug)]
enum PathFailure {
    /// Another path may work.
    Blocked(StoreFailure),

    /// The store has responded: it rejects the call, or is too busy for further ones.
    Rejected(StoreFailure),
}

/// Way by which a call reaches the store.
#[derive(Debug, Clone)]
enum Path {
    Direct,
    Peer(Peer),
}

impl Store {
    /// Has a peer make a call; `None` if none of the peers reaches the store.
    pub(super) async fn call_through_peers(
        &self,
        call: &Call,
    ) -> Option<Result<Vec<u8>, StoreFailure>> {
        for peer in self.proxies() {
            if let Ok(body) = self.call_through(&peer, call, PROXY_CALL_TIMEOUT).await {
                return Some(body);
            }
        }
        self.health.record_peers(false);
        None
    }

    /// Peers to ask for a call; the one that made the last call comes first.
    fn proxies(&self) -> Vec<Peer> {
        let mut proxies = self.peers.sample(PROXY_PEERS_MAX, |_| true);
        let last = self.last_proxy.lock().clone();
        let mut last: Vec<Peer> = self.peers.sample(1, |p| Some(&p.vm) == last.as_ref());
        proxies.retain(|p| last.iter().all(|l| l.vm != p.vm));
        last.append(&mut proxies);
        last.truncate(PROXY_PEERS_MAX);
        last
    }

    /// Has a peer make a call; fails if the peer does not respond or does not reach the
    /// store, else returns the store's response.
    async fn call_through(
        &self,
        peer: &Peer,
        call: &Call,
        timeout: Duration,
    ) -> Result<Result<Vec<u8>, StoreFailure>, StoreFailure> {
        let request = PeerRequest::Call {
            path: call.path.clone(),
            body: call.body.clone(),
        };
        let response = self.peers.send_within(peer, &request, timeout).await;
        let Ok(PeerResponse::Called(Some((status, body)))) = response else {
            let mut last_proxy = self.last_proxy.lock();
            last_proxy.take_if(|vm| *vm == peer.vm);
            let failure = Err(StoreFailure::Unreachable);
            self.traffic
                .record::<()>(&call.path, Via::Peer, 0, &failure);
            return Err(StoreFailure::Unreachable);
        };
        let received = body.len();
        let result = check_status(status, body);
        self.traffic
            .record(&call.path, Via::Peer, received, &result);
        *self.last_proxy.lock() = Some(peer.vm.clone());
        self.health.record_peers(true);
        Ok(result)
    }

    /// Makes a call for a peer; `None` if this daemon cannot reach the store either.
    pub async fn proxy_call(&self, path: String, body: Option<Vec<u8>>) -> Option<(u16, Vec<u8>)> {
        if self.unreachable_for().is_some() {
            return None;
        }
        let timeout = match body {
            Some(_) => CALL_TIMEOUT,
            None => PROXY_READ_TIMEOUT,
        };
        let call = Call {
            path,
            body,
            timeout,
            size: ResponseSize::Small,
        };
        match self.call_directly(&call, Via::ForPeer).await {
            Ok(body) => Some((200, body)),
            Err(StoreFailure::Refused(status)) => Some((status, Vec::new())),
            Err(_) => None,
        }
    }

    /// Appends all records or none, on the next path as well whenever there is no response for
    /// `next_path_delay`, and at once if a path fails. The records must have keys, since more than one of the calls may be executed.
    pub async fn append_on_any_path(
        self: &Arc<Self>,
        partition: Partition<'_>,
        records: &[Record],
        next_path_delay: Duration,
    ) -> Result<AppendResponse, StoreFailure> {
        let call = Arc::new(Call::append(partition, records));
        // Further calls would make a slow store slower.
        let delay = match self.is_slow() {
            true => CALL_TIMEOUT,
            false => next_path_delay,
        };
        let body = first_response(self.paths(), delay, |path| {
            Arc::clone(self).call_on(path, Arc::clone(&call))
        });
        let body = body.await;
        if body.is_err() && self.unreachable_for().is_some() {
            self.health.record_peers(false);
        }
        Ok(store::decode_append_response(&body?)?)
    }

    /// Paths of an append, in the order in which they are tried.
    fn paths(&self) -> Vec<Path> {
        let mut paths: Vec<Path> = self.proxies().into_iter().map(Path::Peer).collect();
        if self.unreachable_for().is_none() {
            paths.insert(0, Path::Direct);
        }
        paths
    }

    /// Makes a call on a path.
    async fn call_on(self: Arc<Self>, path: Path, call: Arc<Call>) -> Result<Vec<u8>, PathFailure> {
        let result = match path {
            Path::Direct => self.call_direct(&call).await,
            Path::Peer(peer) => self
                .call_through(&peer, &call, PROXY_APPEND_TIMEOUT)
                .await
                .and_then(|response| response),
        };
        result.map_err(|e| match e {
            // The store rejects this daemon, or the peer that made the call.
            StoreFailure::Refused(_) if e.is_outage() && self.unreachable_for().is_some() => {
                PathFailure::Blocked(e)
            }
            StoreFailure::NoResponse(_) | StoreFailure::Unreachable => PathFailure::Blocked(e),
            _ => PathFailure::Rejected(e),
        })
    }
}

/// Makes a call on one path after another, each one `delay` after the path before or when that
/// has failed, until one responds; calls that have begun are completed.
async fn first_response<F>(
    paths: Vec<Path>,
    delay: Duration,
    call_on: impl Fn(Path) -> F,
) -> Result<Vec<u8>, StoreFailure>
where
    F: Future<Output = Result<Vec<u8>, PathFailure>> + Send + 'static,
{
    let (tx, results) = async_channel::unbounded();
    let mut failure = StoreFailure::Unreachable;
    for path in paths {
        let (call, tx) = (call_on(path), tx.clone());
        task::spawn(async move {
            // Another path may have responded already.
            let _ = tx.try_send(call.await);
        });
        match future::timeout(delay, results.recv()).await {
            Ok(Ok(Ok(body))) => return Ok(body),
            Ok(Ok(Err(PathFailure::Rejected(e)))) => return Err(e),
            Ok(Ok(Err(PathFailure::Blocked(e)))) => failure = e,
            // The channel stays open as long as `tx` exists.
            Ok(Err(_)) | Err(_) => {}
        }
    }
    drop(tx);
    while let Ok(result) = results.recv().await {
        match result {
            Ok(body) => return Ok(body),
            Err(PathFailure::Rejected(e)) => return Err(e),
            Err(PathFailure::Blocked(e)) => failure = e,
        }
    }
    Err(failure)
}
