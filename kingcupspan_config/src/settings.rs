//! Settings of one daemon.

use std::{cell, net};

use kingcupspan_core::id::{DomainId, VmId};
use serde::Serialize;
use serde_json::Value;

use crate::{finding, reader};

/// Validated settings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// VM on which the daemon runs.
    pub vm: VmId,

    /// Failure domain of the daemon's VM.
    pub failure_domain: DomainId,

    /// Addresses on which the daemon listens.
    pub listen: Listen,

    /// Addresses and limits of the platform's services.
    pub platform: Platform,

    /// Prefix of the names of VMs that run daemons.
    pub entry_vm_prefix: String,

    /// Number of slots into which the fleet's programs are partitioned; must be the same
    /// on all daemons.
    pub slots: u16,

    /// Time without a heartbeat after which other daemons claim a daemon's slots, in
    /// milliseconds.
    pub lease_ms: u64,

    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,

    /// Maximum time that a graceful shutdown waits for calls in flight, in milliseconds.
    pub drain_ms: u64,

    /// Maximum number of calls in flight in the daemon; further calls are rejected.
    pub calls_at_once: u64,

    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

/// Addresses on which a daemon listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Listen {
    /// Address on which the daemon listens for callers.
    pub callers: net::SocketAddr,

    /// Address on which the daemon listens for other daemons.
    pub peers: net::SocketAddr,

    /// Address on which the daemon listens for operators.
    pub operators: net::SocketAddr,
}

/// Addresses and limits of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Platform {
    /// Address of the log service.
    pub log: net::SocketAddr,

    /// Address of the service that lists the VMs.
    pub vms: net::SocketAddr,

    /// Maximum number of log appends per second of the whole fleet.
    pub appends_per_second: u64,

    /// Time for which the log retains a record, in milliseconds.
    pub retention_ms: u64,
}

impl TryFrom<&Value> for Settings {
    type Error = finding::Findings;

    fn try_from(raw: &Value) -> Result<Self, finding::Findings> {
        let findings = cell::RefCell::default();
        let settings = Self::read(&reader::ObjectReader::root(raw, &findings));
        findings.into_inner().into_result(settings)
    }
}

impl Settings {
    fn read(object: &reader::ObjectReader<'_>) -> Option<Self> {
        let vm = object.parse_required("vm");
        let failure_domain = object.parse_required("failure_domain");
        let listen = Listen::read(&object.child("listen"));
        let platform = Platform::read(&object.child("platform"));
        let entry_vm_prefix = object.parse_optional("entry_vm_prefix");
        let slots = object.integer_or("slots", 12, 1..=65_535) as u16;
        let lease_ms = object.integer_or("lease_ms", 2_000, 100..=600_000);
        let heartbeat_ms = object.integer_or("heartbeat_ms", 300, 10..=60_000);
        if heartbeat_ms * 3 > lease_ms {
            object.report_at(
                "heartbeat_ms",
                "at least three heartbeats must fit into lease_ms",
            );
        }
        let drain_ms = object.integer_or("drain_ms", 60_000, 0..=3_600_000);
        let calls_at_once = object.integer_or("calls_at_once", 4_096, 1..=1_000_000);
        let log_level = read_log_level(object);
        object.report_unknown_fields();
        Some(Self {
            vm: vm?,
            failure_domain: failure_domain?,
            listen: listen?,
            platform: platform?,
            entry_vm_prefix: entry_vm_prefix.unwrap_or_else(|| "entry-".to_owned()),
            slots,
            lease_ms,
            heartbeat_ms,
            drain_ms,
            calls_at_once,
            log_level,
        })
    }
}

fn read_log_level(object: &reader::ObjectReader<'_>) -> String {
    let level: Option<String> = object.parse_optional("log_level");
    let level = level.unwrap_or_else(|| "info".to_owned());
    if !matches!(
        level.as_str(),
        "error" | "warn" | "info" | "debug" | "trace"
    ) {
        object.report_at("log_level", "expected error, warn, info, debug or trace");
    }
    level
}

impl Listen {
    fn read(object: &reader::ObjectReader<'_>) -> Option<Self> {
        let callers = object.parse_required("callers");
        let peers = object.parse_required("peers");
        let operators = object.parse_required("operators");
        object.report_unknown_fields();
        Some(Self {
            callers: callers?,
            peers: peers?,
            operators: operators?,
        })
    }
}

impl Platform {
    fn read(object: &reader::ObjectReader<'_>) -> Option<Self> {
        let log = object.parse_required("log");
        let vms = object.parse_required("vms");
        let appends_per_second = object.integer_or("appends_per_second", 300, 1..=1_000_000);
        let retention_ms = object.integer_or("retention_ms", 3_600_000, 1_000..=1 << 40);
        object.report_unknown_fields();
        Some(Self {
            log: log?,
            vms: vms?,
            appends_per_second,
            retention_ms,
        })
    }
}
