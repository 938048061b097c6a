//! Structured logs.

use std::sync::OnceLock;

use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};

static HANDLE: OnceLock<LoggerHandle> = OnceLock::new();

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Standard output.
    Stdout,

    /// Standard error.
    Stderr,
}

/// Starts logging, one JSON object a line.
pub fn start(level: &str, target: Target) -> Result<(), FlexiLoggerError> {
    let logger = Logger::try_with_str(spec(level))?;
    let logger = match target {
        Target::Stdout => logger.log_to_stdout(),
        Target::Stderr => logger.log_to_stderr(),
    };
    let handle = logger.format(format).start()?;
    // Logging is started once a process; a second start keeps the first handle.
    let _ = HANDLE.set(handle);
    Ok(())
}

fn spec(level: &str) -> String {
    // HTTP libraries log each request at their own levels; ours are enough.
    format!("warn, kingcupspan={level}, kingcupspan_standin={level}")
}

/// Changes the level of a running process.
pub fn set_level(level: &str) -> Result<(), String> {
    if !matches!(level, "error" | "warn" | "info" | "debug" | "trace") {
        return Err("expected error, warn, info, debug or trace".to_owned());
    }
    let Some(handle) = HANDLE.get() else {
        return Err("this process does not log".to_owned());
    };
    let spec = LogSpecification::parse(spec(level)).map_err(|e| e.to_string())?;
    handle.set_new_spec(spec);
    Ok(())
}

/// Collects the fields of a record.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn format(
    w: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> Result<(), std::io::Error> {
    let mut fields = Fields(serde_json::Map::new());
    fields.0.insert("time".into(), now.format_rfc3339().into());
    fields
        .0
        .insert("level".into(), record.level().as_str().into());
    fields
        .0
        .insert("module".into(), record.module_path().unwrap_or("-").into());
    fields
        .0
        .insert("message".into(), record.args().to_string().into());
    // A field that cannot be shown is left out.
    let _ = record.key_values().visit(&mut fields);
    write!(w, "{}", serde_json::Value::Object(fields.0))
}
