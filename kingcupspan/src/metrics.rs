//! Metrics in the Prometheus text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, core::Collector,
};

/// Bounds of latencies, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.79, 2.0, 10.0, 60.0,
];

/// All metrics of a daemon.
pub struct Metrics {
    registry: Registry,

    /// Requests of callers by outcome.
    pub requests: IntCounterVec,

    /// Calls sent to endpoints.
    pub calls_sent: IntCounter,

    /// Calls sent again.
    pub retries: IntCounter,

    /// Seconds from a model call's arrival to its first token.
    pub first_token_s: Histogram,

    /// Seconds that calls waited for a place at an endpoint.
    pub waited_s: Histogram,

    /// Appends to the log.
    pub log_appends: IntCounter,

    /// Failed requests to the log.
    pub log_errors: IntCounter,

    /// Daemons that answer, this one included.
    pub daemons_alive: IntGauge,

    /// Slots handed over in order.
    pub handovers: IntCounter,

    /// Calls of former owners closed with an unknown outcome.
    pub orphans_settled: IntCounter,

    /// Orders to engines to release a program's memory.
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
    /// A fresh set of metrics.
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
            waited_s: histogram("waited_seconds", "Wait for a place at an endpoint"),
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

    /// Counts a request of a caller.
    pub fn count_request(&self, caller: &str, outcome: &str) {
        self.requests.with_label_values(&[caller, outcome]).inc();
    }

    /// The metrics as text.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        // Writing into memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }
}

/// Name and help of a metric of this program.
pub fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("kingcupspan")
}

/// Registers a metric; names are constants, so a failure is a defect.
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
