//! Settings of one process.

use std::{cell, net};

use kingcupspan_core::id::{DomainId, VmId};
use serde::Serialize;
use serde_json::Value;

use crate::{finding, reader};

/// Checked settings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Settings {
    /// The VM that the process runs on.
    pub vm: VmId,

    /// The failure domain of the VM.
    pub failure_domain: DomainId,

    /// Where the process listens.
    pub listen: Listen,

    /// Where the platform's services are.
    pub platform: Platform,

    /// How names of VMs that run daemons begin.
    pub entry_vm_prefix: String,

    /// Into how many slots the fleet's programs are divided; the same on all daemons.
    pub slots: u16,

    /// Silence after which a daemon's slots are claimed by others, in milliseconds.
    pub lease_ms: u64,

    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,

    /// Longest wait for calls to end in a planned stop, in milliseconds.
    pub drain_ms: u64,

    /// Calls that the process works on at a time; more are refused.
    pub calls_at_once: u64,

    /// Filter of the log, as `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

/// Addresses that a daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Listen {
    /// For callers.
    pub callers: net::SocketAddr,

    /// For other daemons.
    pub peers: net::SocketAddr,

    /// For operators.
    pub operators: net::SocketAddr,
}

/// The platform's services and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Platform {
    /// The log service.
    pub log: net::SocketAddr,

    /// The list of VMs.
    pub vms: net::SocketAddr,

    /// Appends per second that the whole fleet may make.
    pub appends_per_second: u64,

    /// How long the log keeps a record, in milliseconds.
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
        let log_level = read_level(object);
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

fn read_level(object: &reader::ObjectReader<'_>) -> String {
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
