//! Starts and stops the daemon on the users' platform.

use std::{
    io,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use async_std::{net::TcpListener, task};
use http_types::{Method, Response};
use kingcupspan_platform::settings::Settings;
use serde_json::json;

use crate::{
    clock::Clock,
    edge::server::{self, Exchange},
    gateway::{
        backlog::Backlog,
        configuration::{self, Current},
        connectivity::Connectivity,
        endpoints::{self, Endpoints},
        ingress,
        last_engines::LastEngines,
        ledger::Ledger,
        membership::Membership,
        metrics::Metrics,
        partitions::Partitions,
        peer_service,
        peers::{Peer, Peers},
        serve::Service,
        stop::Stop,
        store::Store,
        strikes::Barred,
        upstream::Upstream,
    },
};

/// Share of the VM's memory for turns that are kept in memory.
const CACHE_SHARE: u64 = 6;

/// How long a program without turns is remembered; one that was stopped may come
/// back within the retention of its route, a minute at the users'.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// Pause between sweeps over idle connections.
const SWEEP_PAUSE: Duration = Duration::from_millis(1_000);

/// The sockets of a daemon.
pub struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Opens all sockets.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        Ok(Self {
            callers: TcpListener::bind(settings.caller_addr).await?,
            readiness: TcpListener::bind(settings.readiness_addr).await?,
            operators: TcpListener::bind(settings.operator_addr).await?,
            peers: TcpListener::bind(settings.peer_addr).await?,
        })
    }
}

/// Assembles what serves requests.
pub fn assemble(settings: &Settings, incarnation: u64) -> Arc<Service> {
    let clock = Clock::default();
    let own = Peer {
        vm: settings.vm.clone(),
        incarnation: format!("{}/{incarnation:016x}", settings.vm).into(),
        addr: settings.peer_addr,
        domain: settings.domain.clone(),
        started: clock.wall(),
        is_founding: settings.is_first_start,
    };
    let peers = Arc::new(Peers::new(own, clock));
    let store = Arc::new(Store::new(settings.store.addr, Arc::clone(&peers)));
    let members = Arc::new(Membership::new(Arc::clone(&store), Arc::clone(&peers)));
    let configuration = Arc::new(Current::default());
    let endpoints = Arc::new(Endpoints::new(clock));
    let cache_bytes = (settings.memory_bytes / CACHE_SHARE) as usize;
    let partitions = Partitions::new(
        Arc::clone(&store),
        settings.store.partitions,
        cache_bytes,
        clock,
    );
    let partitions = Arc::new(partitions);
    let reach = Connectivity::new(Arc::clone(&store), Arc::clone(&peers));
    let ledger = Ledger::new(
        Arc::clone(&partitions),
        Arc::clone(&peers),
        reach.clone(),
        clock,
    );
    task::spawn(configuration::follow(
        Arc::clone(&store),
        Arc::clone(&configuration),
    ));
    task::spawn(endpoints::follow(
        Arc::clone(&store),
        Arc::clone(&endpoints),
    ));
    task::spawn(Arc::clone(&peers).monitor_domains());
    let reading = Arc::clone(&partitions);
    task::spawn(async move { reading.read_allocations().await });
    let barred = Arc::new(Barred::new(clock));
    let (crashes, seen) = async_channel::unbounded();
    task::spawn(Arc::clone(&barred).spread(Arc::clone(&peers), seen));
    let following = Arc::clone(&members);
    task::spawn(async move { following.join_and_follow().await });
    Arc::new(Service {
        configuration,
        endpoints,
        backlog: Arc::new(Backlog::new(Arc::clone(&partitions))),
        ledger: Arc::new(ledger),
        reach,
        peers,
        store,
        members,
        partitions,
        upstream: Arc::new(Upstream::new(crashes)),
        barred,
        last_engines: LastEngines::default(),
        domain: settings.domain.clone(),
        metrics: Metrics::default(),
        stop: Arc::new(Stop::default()),
        spread: AtomicU64::default(),
    })
}

/// Serves until a stop has ended.
pub async fn run(
    service: Arc<Service>,
    listeners: Listeners,
    stopped: async_channel::Receiver<()>,
    grace: Duration,
) {
    task::spawn(ingress::serve(listeners.callers, Arc::clone(&service)));
    for listener in [listeners.readiness, listeners.operators] {
        let service = Arc::clone(&service);
        task::spawn(server::serve(
            listener,
            Arc::default(),
            move |ex: Exchange| {
                let service = Arc::clone(&service);
                async move { handle(&service, &ex) }
            },
        ));
    }
    task::spawn(peer_service::serve(listeners.peers, Arc::clone(&service)));
    task::spawn(sweep(Arc::clone(&service)));
    log::info!("started");
    // The sender lives as long as the process handles signals.
    let _ = stopped.recv().await;
    log::info!("stopping");
    service.stop.run(grace).await;
    service.ledger.return_all_unused().await;
    if service.ledger.has_claims() {
        // Others have to ask this daemon before they rely on what is recorded.
        log::info!("still listed: claims are remembered here");
    } else {
        service.members.leave().await;
    }
    log::info!(under_way = service.stop.under_way(); "stopped");
}

async fn sweep(service: Arc<Service>) {
    loop {
        task::sleep(SWEEP_PAUSE).await;
        service.upstream.sweep();
        service.last_engines.expire();
        service.endpoints.expire();
        service.barred.expire();
        service.backlog.store_overdue_replicas();
        service.ledger.return_excess().await;
        service.ledger.expire(FORGET_AFTER);
        service.partitions.expire(FORGET_AFTER);
    }
}

/// Whether new connections should come here: not while other failure domains, to
/// which the balancer turns then, reach more.
fn is_ready(service: &Service) -> bool {
    let knows = service.configuration.get().is_some() && !service.endpoints.is_empty();
    knows && !service.stop.is_stopping() && !service.reach.is_cut_off()
}

fn handle(service: &Service, ex: &Exchange) -> Response {
    match (ex.req.method(), ex.req.url().path()) {
        (Method::Get, "/dump") => dump(service),
        (Method::Get, "/metrics") => metrics(service),
        (Method::Get, _) if is_ready(service) => Response::new(200),
        _ => Response::new(503),
    }
}

fn metrics(service: &Service) -> Response {
    let gauges = &service.metrics;
    let version = service.configuration.get().map_or(0, |c| c.version.0);
    let away = service.store.unreachable_for().unwrap_or_default();
    gauges.under_way.set(service.stop.under_way() as i64);
    gauges.configuration_version.set(version as i64);
    gauges.store_away_s.set(away.as_secs() as i64);
    Response::from(gauges.text())
}

fn dump(service: &Service) -> Response {
    let endpoints: Vec<_> = service.endpoints.all();
    let state = json!({
        "configuration": service.configuration.get(),
        "endpoints": endpoints,
        "turns_in_memory": service.partitions.cached_turn_count(),
        "turns_not_stored": service.backlog.len(),
        "requests_under_way": service.stop.under_way(),
        "stopping": service.stop.is_stopping(),
    });
    let mut res = Response::new(200);
    res.set_content_type(http_types::mime::JSON);
    res.set_body(state.to_string());
    res
}
