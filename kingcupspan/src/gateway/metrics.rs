//! Metrics of the gateway in the Prometheus text format.

use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Registry, TextEncoder,
};

use crate::{
    gateway::store::Traffic,
    metrics::{opts, register},
};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 10.0,
];

/// All metrics of the gateway.
pub struct Metrics {
    registry: Registry,

    /// Finished requests, by HTTP status and error reason.
    pub requests: IntCounterVec,

    /// Seconds from the receipt of a request head to the end of its response.
    pub latency_s: Histogram,

    /// Requests sent to endpoints, by outcome.
    pub sends: IntCounterVec,

    /// Requests that continue a stream, by outcome.
    pub continued_streams: IntCounterVec,

    /// Seconds from the last event of a turn to the end of its answer, which waits for the store.
    pub held_ends_s: Histogram,

    /// Requests received from other daemons, by type.
    pub peer_requests: IntCounterVec,

    /// Requests in flight.
    pub in_flight_requests: IntGauge,

    /// Version of the active configuration.
    pub configuration_version: IntGauge,

    /// Seconds since the store stopped answering; 0 while it is reachable.
    pub store_unreachable_s: IntGauge,

    /// Connections of callers.
    pub caller_connections: IntGauge,

    /// Bytes that requests and answers of callers hold.
    pub caller_bytes: IntGauge,

    /// Milliseconds since the store last told which version is the newest.
    pub configuration_age_ms: IntGauge,
}

impl Metrics {
    /// Creates the metrics, which include the counters of the calls to the store and those of
    /// other parts.
    pub fn new(traffic: &Traffic, parts: &[&IntCounterVec]) -> Self {
        let registry = Registry::new();
        let counters = [&traffic.calls, &traffic.bytes];
        for &counters in counters.iter().chain(parts) {
            register(&registry, Ok(counters.clone()));
        }
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(opts(name, help), labels))
        };
        let gauge =
            |name: &str, help: &str| register(&registry, IntGauge::with_opts(opts(name, help)));
        let latency = HistogramOpts::from(opts("request_seconds", "Time to the end of the answer"))
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let held_ends = HistogramOpts::from(opts(
            "turn_end_held_seconds",
            "Time for which the end of an answer waited for the store",
        ))
        .buckets(LATENCY_BUCKETS_S.to_vec());
        Self {
            requests: counters(
                "requests_total",
                "Requests by outcome",
                &["status", "reason"],
            ),
            latency_s: register(&registry, Histogram::with_opts(latency)),
            sends: counters("sends_total", "Requests sent to endpoints", &["outcome"]),
            peer_requests: counters(
                "peer_questions_total",
                "Questions of other daemons",
                &["question"],
            ),
            continued_streams: counters(
                "continued_streams_total",
                "Requests that continue a stream",
                &["outcome"],
            ),
            held_ends_s: register(&registry, Histogram::with_opts(held_ends)),
            in_flight_requests: gauge("requests_under_way", "Requests under way"),
            configuration_version: gauge("configuration_version", "Version in force"),
            store_unreachable_s: gauge("store_away_seconds", "Time without an answer of the store"),
            caller_connections: gauge("caller_connections", "Connections of callers"),
            caller_bytes: gauge(
                "caller_held_bytes",
                "Bytes that requests and answers of callers hold",
            ),
            configuration_age_ms: gauge(
                "configuration_age_milliseconds",
                "Time since the store last told the newest version",
            ),
            registry,
        }
    }

    /// Counts a finished request and records its duration.
    pub fn record_request(&self, status: u16, reason: &str, duration: Duration) {
        let labels = [&status.to_string(), reason];
        self.requests.with_label_values(&labels).inc();
        self.latency_s.observe(duration.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        String::from_utf8(buf).unwrap_or_default()
    }
}
