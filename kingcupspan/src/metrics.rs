//! Metrics of the daemon, exported in the Prometheus text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, core::Collector,
};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.79, 2.0, 10.0, 60.0,
];

/// All metrics of a daemon.
pub struct Metrics {
    registry: Registry,

    /// Requests from callers, by caller and outcome.
    pub requests: IntCounterVec,

    /// Calls sent to endpoints.
    pub calls_sent: IntCounter,

    /// Retried calls.
    pub retries: IntCounter,

    /// Seconds from a model call's arrival to its first token.
    pub first_token_s: Histogram,

    /// Seconds that calls waited for a grant at an endpoint.
    pub grant_wait_s: Histogram,

    /// Appends to the log.
    pub log_appends: IntCounter,

    /// Failed requests to the log.
    pub log_errors: IntCounter,

    /// Daemons that are alive, including this one.
    pub daemons_alive: IntGauge,

    /// Slots handed over to another daemon in a graceful handover.
    pub handovers: IntCounter,

    /// Orphaned calls of former owners, closed with an unknown outcome.
    pub orphans_settled: IntCounter,

    /// Requests to engines to release the memory of a program.
    pub cache_releases: IntCounter,

    /// Strikes against requests that ran on an endpoint when it crashed.
    pub strikes: IntCounter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let result = IntCounter::with_opts(opts(name, help));
            register(&registry, result)
        };
        let histogram = |name: &str, help: &str| {
            let buckets = LATENCY_BUCKETS_S.to_vec();
            let opts = HistogramOpts::from(opts(name, help)).buckets(buckets);
            register(&registry, Histogram::with_opts(opts))
        };
        let requests = IntCounterVec::new(
            opts("requests_total", "Requests of callers"),
            &["caller", "outcome"],
        );
        let alive = IntGauge::with_opts(opts("daemons_alive", "Daemons that answer"));
        Self {
            requests: register(&registry, requests),
            calls_sent: counter("calls_sent_total", "Calls sent to endpoints"),
            retries: counter("retries_total", "Calls sent again"),
            first_token_s: histogram("first_token_seconds", "Time to the first token"),
            grant_wait_s: histogram("waited_seconds", "Wait for a place at an endpoint"),
            log_appends: counter("log_appends_total", "Appends to the log"),
            log_errors: counter("log_errors_total", "Failed requests to the log"),
            daemons_alive: register(&registry, alive),
            handovers: counter("handovers_total", "Slots handed over"),
            orphans_settled: counter("orphans_settled_total", "Calls closed as unknown"),
            cache_releases: counter("cache_releases_total", "Orders to release memory"),
            strikes: counter("strikes_total", "Crashes of endpoints blamed on requests"),
            registry,
        }
    }

    /// Counts a request from a caller.
    pub fn count_request(&self, caller: &str, outcome: &str) {
        self.requests.with_label_values(&[caller, outcome]).inc();
    }

    /// Formats the metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a buffer in memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }
}

/// Returns the options of a metric in the namespace of this program.
pub fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("kingcupspan")
}

/// Registers a metric; panics on failure, because metric names are constants.
pub fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    result: prometheus::Result<C>,
) -> C {
    let metric = result.expect("metric names and labels are valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
    metric
}
