//! State and tasks of the scheduler daemon.

use std::{io, sync::Arc};

use async_std::{net::TcpListener, task};
use kingcupspan_config::settings::Settings;
use kingcupspan_core::id::{Slot, Writer};

use crate::{
    clock::Clock,
    controller::{
        cache, configuration, drain, endpoints, expiry, grants, leases, log_health, membership,
        pacer, quarantine, refusals, slots,
    },
    edge::{client, platform, server},
    filter, metrics, operators, peers,
};

/// State shared by all tasks of a daemon.
pub struct Daemon {
    /// Settings of the daemon.
    pub settings: Settings,

    /// Identity of this run of the daemon, under which it writes to the log.
    pub writer: Writer,

    /// Monotonic and wall-clock time.
    pub clock: Clock,

    /// HTTP client for requests to endpoints, peers and the platform.
    pub client: client::Client,

    /// Client of the platform's log.
    pub log: Box<dyn platform::Log>,

    /// Client of the platform's list of VMs.
    pub vm_list: Box<dyn platform::VmList>,

    /// Current configuration.
    pub configuration: configuration::State,

    /// Membership: the daemons of the fleet and whether they are alive.
    pub membership: membership::State,

    /// Slots and their programs.
    pub slots: Vec<slots::SharedSlot>,

    /// Availability of the log.
    pub log_health: log_health::LogHealth,

    /// Rate limiter for appends to the log.
    pub pacer: pacer::Pacer,

    /// Health of endpoints and placement of calls.
    pub endpoints: endpoints::State,

    /// Queues of the endpoints for which this daemon is the home daemon.
    pub grants: grants::State,

    /// Requests that are suspected of crashing endpoints.
    pub quarantine: quarantine::State,

    /// Counts of refused requests by caller.
    pub refusals: refusals::State,

    /// Programs' cached prefixes in engines, which are released when a program closes.
    pub cache: cache::State,

    /// State of the graceful shutdown.
    pub drain: drain::State,

    /// Metrics.
    pub metrics: metrics::Metrics,

    /// Number of requests from callers in flight.
    pub request_tracker: Arc<server::RequestTracker>,
}

/// Listeners of a daemon, opened before its tasks start.
pub struct Listeners {
    /// Listener for callers.
    pub callers: TcpListener,

    /// Listener for other daemons.
    pub peers: TcpListener,

    /// Listener for operators.
    pub operators: TcpListener,
}

impl Listeners {
    /// Opens the listeners at the addresses in the settings.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        Ok(Self {
            callers: server::bind(settings.listen.callers).await?,
            peers: server::bind(settings.listen.peers).await?,
            operators: server::bind(settings.listen.operators).await?,
        })
    }
}

impl Daemon {
    /// Creates a daemon without starting its tasks.
    pub fn new(settings: Settings) -> Arc<Self> {
        let clock = Clock::default();
        let writer = Writer {
            vm: settings.vm.clone(),
            incarnation: rand::random(),
        };
        let client = client::Client::default();
        let platform = &settings.platform;
        let log = platform::HttpLog {
            client: client.clone(),
            addr: platform.log,
        };
        let vm_list = platform::HttpVmList {
            client: client.clone(),
            addr: platform.vms,
        };
        let slots = (0..settings.slots).map(|n| slots::SharedSlot::new(Slot(n), &writer));
        Arc::new(Self {
            slots: slots.collect(),
            log_health: log_health::LogHealth::default(),
            pacer: pacer::Pacer::new(platform.appends_per_second),
            membership: membership::State::new(&settings, &writer, clock.mono()),
            configuration: configuration::State::default(),
            endpoints: endpoints::State::default(),
            grants: grants::State::default(),
            quarantine: quarantine::State::default(),
            refusals: refusals::State::default(),
            cache: cache::State::default(),
            drain: drain::State::default(),
            metrics: metrics::Metrics::new(),
            request_tracker: Arc::default(),
            log: Box::new(log),
            vm_list: Box::new(vm_list),
            client,
            clock,
            writer,
            settings,
        })
    }

    /// Returns the slot with this number, if it exists.
    pub fn slot(&self, slot: Slot) -> Option<&slots::SharedSlot> {
        self.slots.get(usize::from(slot.0))
    }
}

/// Runs the tasks of the daemon until its graceful shutdown is complete.
pub async fn run(daemon: Arc<Daemon>, listeners: Listeners) {
    log::info!(
        vm = daemon.settings.vm.as_str(),
        failure_domain = daemon.settings.failure_domain.as_str(),
        incarnation = daemon.writer.incarnation;
        "starting daemon"
    );
    let tasks = vec![
        task::spawn(configuration::follow(Arc::clone(&daemon))),
        task::spawn(configuration::fetch_newer_from_peers(Arc::clone(&daemon))),
        task::spawn(configuration::write_snapshots(Arc::clone(&daemon))),
        task::spawn(membership::follow_vm_list(Arc::clone(&daemon))),
        task::spawn(membership::send_heartbeats(Arc::clone(&daemon))),
        task::spawn(leases::run(Arc::clone(&daemon))),
        task::spawn(expiry::run(Arc::clone(&daemon))),
        task::spawn(grants::run(Arc::clone(&daemon))),
        task::spawn(quarantine::follow(Arc::clone(&daemon))),
        task::spawn(cache::run(Arc::clone(&daemon))),
        task::spawn(slots::run(Arc::clone(&daemon))),
        task::spawn(peers::serve(Arc::clone(&daemon), listeners.peers)),
        task::spawn(operators::serve(Arc::clone(&daemon), listeners.operators)),
    ];
    let callers = task::spawn(filter::serve(Arc::clone(&daemon), listeners.callers));
    drain::wait(&daemon, callers).await;
    for task in tasks {
        task.cancel().await;
    }
    log::info!(vm = daemon.settings.vm.as_str(); "daemon stopped");
}
