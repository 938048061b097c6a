//! Starts, runs and stops the gateway daemon.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use async_std::{net::TcpListener, task};
use http_types::{Method, Response};
use kingcupspan_core::gateway::{
    byte_budget::BudgetLimits, routing::Configuration, second_copy::CopyShare,
};
use kingcupspan_platform::settings::Settings;
use serde_json::json;

use crate::{
    clock::Clock,
    edge::server::{self, Exchange},
    gateway::{
        allocation_homes::AllocationHomes,
        backlog::Backlog,
        blocked_requests::BlockedRequests,
        configuration::{self, ActiveConfiguration},
        connectivity::Connectivity,
        endpoint_limits::EndpointLimits,
        endpoints::{self, Endpoints},
        ingress,
        last_engines::LastEngines,
        ledger::Ledger,
        membership::Membership,
        metrics::Metrics,
        partitions::Partitions,
        peer_service,
        peers::{Peer, Peers},
        quotas::Quotas,
        rejections::Rejections,
        serve::{Gateway, SecondCopies},
        shutdown::Shutdown,
        store::Store,
        tunnels::{self, Tunnels},
        upstream::Upstream,
        workspace_use::WorkspaceUse,
    },
    http::{head, held_bytes::HeldBytes},
};

/// Divisor of the VM's memory that gives the size of the in-memory turn cache.
const CACHE_MEMORY_DIVISOR: u64 = 6;

/// Retention period of the state of a program without turns.
///
/// A paused program may resume within the retention period of its route, which is one
/// minute in the users' configuration.
const IDLE_PROGRAM_RETENTION: Duration = Duration::from_secs(300);

/// Interval between sweeps that remove idle connections and expired state.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Listening sockets of a daemon.
pub struct Listeners {
    /// Requests of callers.
    callers: TcpListener,

    /// Readiness probes of the load balancer.
    readiness: TcpListener,

    /// Metrics and state dump.
    operators: TcpListener,

    /// Requests of the other daemons.
    peers: TcpListener,

    /// Connections to endpoints for the other daemons.
    tunnels: TcpListener,
}

impl Listeners {
    /// Binds all listening sockets.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        Ok(Self {
            callers: TcpListener::bind(settings.caller_addr).await?,
            readiness: TcpListener::bind(settings.readiness_addr).await?,
            operators: TcpListener::bind(settings.operator_addr).await?,
            peers: TcpListener::bind(settings.peer_addr).await?,
            tunnels: TcpListener::bind(settings.tunnel_addr).await?,
        })
    }
}

/// Creates the state of the gateway and starts its background tasks.
///
/// Second copies are sent of up to `copy_share` of the requests that may be repeated.
pub fn assemble(settings: &Settings, incarnation: u64, copy_share: CopyShare) -> Arc<Gateway> {
    let clock = Clock::default();
    let own_entry = Peer {
        vm: settings.vm.clone(),
        incarnation: format!("{}/{incarnation:016x}", settings.vm).into(),
        addr: settings.peer_addr,
        domain: settings.domain.clone(),
        started: clock.wall(),
        has_complete_state: false,
    };
    let peers = Arc::new(Peers::new(own_entry));
    let store = Arc::new(Store::new(settings.store.addr, Arc::clone(&peers)));
    task::spawn(Arc::clone(&store).probe_during_outages());
    let membership = Arc::new(Membership::new(Arc::clone(&store), Arc::clone(&peers)));
    let configuration = Arc::new(ActiveConfiguration::new(settings.configuration_timeout));
    let endpoints = Arc::new(Endpoints::new(clock));
    let cache_bytes = (settings.memory_bytes / CACHE_MEMORY_DIVISOR) as usize;
    let partitions = Partitions::new(Arc::clone(&store), &settings.store, cache_bytes, clock);
    let partitions = Arc::new(partitions);
    let connectivity = Connectivity::new(Arc::clone(&store), Arc::clone(&peers));
    let allocation_homes = Arc::new(AllocationHomes::new(
        Arc::clone(&partitions),
        Arc::clone(&peers),
        settings.store.appends_per_s,
    ));
    let ledger = Ledger::new(
        Arc::clone(&partitions),
        Arc::clone(&allocation_homes),
        Arc::clone(&peers),
        clock,
    );
    let configuration_follower = Arc::new(configuration::Follower::new(
        Arc::clone(&store),
        Arc::clone(&peers),
        Arc::clone(&configuration),
    ));
    task::spawn(Arc::clone(&configuration_follower).follow());
    task::spawn(endpoints::follow(
        Arc::clone(&store),
        Arc::clone(&endpoints),
    ));
    task::spawn(Arc::clone(&peers).monitor_domains());
    task::spawn(Arc::clone(&allocation_homes).follow());
    let blocked_requests = Arc::new(BlockedRequests::new(clock));
    let (crash_sender, observed_crashes) = async_channel::unbounded();
    task::spawn(Arc::clone(&blocked_requests).share_crashes(Arc::clone(&peers), observed_crashes));
    let membership_follower = Arc::clone(&membership);
    task::spawn(async move { membership_follower.join_and_follow().await });
    let endpoint_limits = EndpointLimits::new(Arc::clone(&peers), clock);
    let rejections = Rejections::default();
    let quotas = Quotas::new(Arc::clone(&peers), clock, settings.domains.clone());
    let tunnels = Arc::new(Tunnels::new(
        Arc::clone(&peers),
        settings.tunnel_addr.port(),
    ));
    let upstream = Arc::new(Upstream::new(crash_sender, Arc::clone(&tunnels)));
    task::spawn(Arc::clone(&upstream).watch_silence());
    let second_copies = SecondCopies::new(copy_share);
    let parts = [
        &endpoint_limits.reservations,
        &allocation_homes.requests,
        &quotas.tokens,
        &rejections.counts,
        &upstream.health.changes,
        &second_copies.outcomes,
        &tunnels.outcomes,
        &upstream.bodies_until_close,
    ];
    let metrics = Metrics::new(store.traffic(), &parts);
    let caller_limits = BudgetLimits::for_vm(settings.memory_bytes, settings.max_fds);
    Arc::new(Gateway {
        configuration,
        configuration_follower,
        endpoints,
        backlog: Arc::new(Backlog::new(Arc::clone(&partitions))),
        allocation_homes,
        ledger: Arc::new(ledger),
        connectivity,
        peers,
        store,
        membership,
        partitions,
        upstream,
        tunnels,
        endpoint_limits,
        quotas: Arc::new(quotas),
        second_copies,
        blocked_requests,
        last_engines: LastEngines::default(),
        workspace_use: WorkspaceUse::new(clock),
        domain: settings.domain.clone(),
        metrics,
        callers: Arc::new(HeldBytes::new(caller_limits, clock)),
        rejections,
        shutdown: Arc::new(Shutdown::default()),
        rotation: AtomicU64::default(),
    })
}

/// Serves requests until `stop_requested` is signalled and the shutdown has completed.
pub async fn run(
    gateway: Arc<Gateway>,
    listeners: Listeners,
    stop_requested: async_channel::Receiver<()>,
    grace: Duration,
) {
    task::spawn(ingress::serve(listeners.callers, Arc::clone(&gateway)));
    for listener in [listeners.readiness, listeners.operators] {
        let gateway = Arc::clone(&gateway);
        task::spawn(server::serve(
            listener,
            Arc::default(),
            move |ex: Exchange| {
                let gateway = Arc::clone(&gateway);
                async move { handle(&gateway, &ex) }
            },
        ));
    }
    task::spawn(peer_service::serve(listeners.peers, Arc::clone(&gateway)));
    task::spawn(tunnels::serve(listeners.tunnels, Arc::clone(&gateway)));
    task::spawn(sweep(Arc::clone(&gateway)));
    log::info!("started");
    // The channel is closed only when the process no longer handles signals.
    let _ = stop_requested.recv().await;
    log::info!("stopping");
    gateway.shutdown.run(grace).await;
    gateway.ledger.settle_all().await;
    gateway.membership.leave().await;
    log::info!(under_way = gateway.shutdown.in_flight(); "stopped");
}

/// Removes idle connections and expired state periodically.
async fn sweep(gateway: Arc<Gateway>) {
    loop {
        task::sleep(SWEEP_INTERVAL).await;
        gateway.upstream.sweep(|id| gateway.endpoints.is_listed(id));
        gateway.tunnels.expire();
        gateway.last_engines.expire();
        let configuration = gateway.configuration.get();
        let workspaces = configuration.as_ref().and_then(|c| c.workspaces.as_deref());
        gateway.workspace_use.expire(workspaces);
        gateway.endpoints.expire();
        gateway.endpoint_limits.expire();
        gateway.quotas.expire();
        gateway.blocked_requests.expire();
        gateway.rejections.note_stalled(&gateway.callers);
        gateway.second_copies.expire();
        gateway.ledger.expire(IDLE_PROGRAM_RETENTION);
        gateway.partitions.expire(IDLE_PROGRAM_RETENTION);
    }
}

/// Returns whether the load balancer should send new connections to this daemon.
///
/// A daemon that is cut off from the store and from all other failure domains reports
/// that it is not ready, so that the balancer uses the other failure domains.
fn is_ready(gateway: &Gateway) -> bool {
    let is_initialized = gateway.configuration.get().is_some() && !gateway.endpoints.is_empty();
    is_initialized && !gateway.shutdown.is_stopping() && !gateway.connectivity.is_cut_off()
}

/// Answers readiness probes and operators.
fn handle(gateway: &Gateway, ex: &Exchange) -> Response {
    match (ex.req.method(), ex.req.url().path()) {
        (Method::Get, "/dump") => dump(gateway),
        (Method::Get, "/metrics") => metrics(gateway),
        (Method::Get, "/explain") => explain(gateway, ex),
        (Method::Get, _) if is_ready(gateway) => Response::new(200),
        _ => Response::new(503),
    }
}

/// Explains where the request goes whose head is the parameter `head`.
fn explain(gateway: &Gateway, ex: &Exchange) -> Response {
    let mut parameters = ex.req.url().query_pairs();
    let head = parameters.find(|(name, _)| name == "head");
    let text = head.map(|(_, text)| text).unwrap_or_default();
    let Ok(Some((head, _))) = head::parse_request(text.as_bytes()) else {
        return Response::new(400);
    };
    let mut res = Response::new(200);
    res.set_content_type(http_types::mime::JSON);
    res.set_body(json!(gateway.explain(head)).to_string());
    res
}

/// Updates the gauges and returns all metrics.
fn metrics(gateway: &Gateway) -> Response {
    let metrics = &gateway.metrics;
    let version = gateway.configuration.get().map_or(0, |c| c.version.0);
    let unreachable_for = gateway.store.unreachable_for().unwrap_or_default();
    metrics
        .in_flight_requests
        .set(gateway.shutdown.in_flight() as i64);
    metrics.configuration_version.set(version as i64);
    metrics
        .store_unreachable_s
        .set(unreachable_for.as_secs() as i64);
    let (bytes, connections) = gateway.callers.totals();
    metrics.caller_bytes.set(bytes as i64);
    metrics.caller_connections.set(connections as i64);
    let age = gateway.configuration.age().unwrap_or_default();
    metrics.configuration_age_ms.set(age.as_millis() as i64);
    Response::from(metrics.text())
}

/// Returns the state dump in JSON.
fn dump(gateway: &Gateway) -> Response {
    let endpoints: Vec<_> = gateway.endpoints.all();
    let limits = gateway.upstream.limits().into_iter();
    let limits: BTreeMap<String, f64> = limits
        .map(|(id, rate)| (id.to_string(), rate.per_s()))
        .collect();
    let configuration = gateway.configuration.get();
    let workspaces = configuration.as_ref().and_then(|c| c.workspaces.as_deref());
    let workspaces = workspaces.map(|w| gateway.workspace_use.dump(w));
    // Digests of keys are shown to nobody.
    let configuration = configuration.map(|c| Configuration {
        workspaces: None,
        ..Configuration::clone(&c)
    });
    let mut state = json!({
        "configuration": configuration,
        "endpoints": endpoints,
        "endpoint_limits_per_s": limits,
        "turns_in_memory": gateway.partitions.cached_turn_count(),
        "turns_not_stored": gateway.backlog.unstored_turns(),
        "requests_under_way": gateway.shutdown.in_flight(),
        "stopping": gateway.shutdown.is_stopping()
    });
    if let Some(workspaces) = workspaces {
        state["workspaces"] = workspaces.into();
    }
    let quotas = gateway.quotas.homes.uses();
    if !quotas.is_empty() {
        state["quotas"] = json!(quotas);
    }
    let mut res = Response::new(200);
    res.set_content_type(http_types::mime::JSON);
    res.set_body(state.to_string());
    res
}
