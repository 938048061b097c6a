//! Structured logging as JSON lines.

use std::{
    io::{self, Write},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
};

use flexi_logger::{
    DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle, writers::LogWriter,
};

/// Maximum number of lines that wait to be written to standard output.
const MAX_QUEUED_LINES: usize = 4_096;

/// Initial capacity of the buffer for a line, in bytes.
const LINE_CAPACITY_BYTES: usize = 256;

/// Handle of the running logger, used to change the log level.
static HANDLE: OnceLock<LoggerHandle> = OnceLock::new();

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Standard output, written by a separate thread, so that a slow reader causes dropped lines
    /// instead of delays.
    Stdout,

    /// Standard error.
    Stderr,
}

/// Starts logging with one JSON object per line.
pub fn start(level: &str, target: Target) -> Result<(), FlexiLoggerError> {
    let logger = Logger::try_with_str(spec(level))?;
    let logger = match target {
        Target::Stdout => logger.log_to_writer(Box::new(QueuedWriter::start())),
        Target::Stderr => logger.log_to_stderr().format(format),
    };
    let handle = logger.start()?;
    // Logging is started once per process; a second start keeps the first handle.
    let _ = HANDLE.set(handle);
    Ok(())
}

/// Log writer that queues lines for a separate thread, and counts the lines dropped because the
/// queue is full.
struct QueuedWriter {
    tx: mpsc::SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl QueuedWriter {
    fn start() -> Self {
        let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let lost = Arc::clone(&dropped);
        thread::spawn(move || write_lines(&rx, &lost));
        Self { tx, dropped }
    }
}

impl LogWriter for QueuedWriter {
    fn write(&self, now: &mut DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(LINE_CAPACITY_BYTES);
        format(&mut line, now, record)?;
        line.push(b'\n');
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to standard output, and reports the number of dropped lines.
fn write_lines(rx: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(mut lines) = rx.recv() {
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            lines.extend_from_slice(
                format!("{{\"message\":\"log lines dropped\",\"lines\":{lost}}}\n").as_bytes(),
            );
        }
        // There is nowhere to report a failure to write to standard output.
        let _ = out.write_all(&lines);
    }
}

/// Returns the logger specification for a level.
fn spec(level: &str) -> String {
    // HTTP libraries log every request, which duplicates our own log lines.
    format!("warn, kingcupspan={level}, kingcupspan_standin={level}")
}

/// Changes the log level of the running process.
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

/// Collects the key-value pairs of a log record.
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

/// Formats a log record as a JSON object.
fn format(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &log::Record<'_>,
) -> Result<(), io::Error> {
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
    // Key-value pairs that cannot be formatted are omitted.
    let _ = record.key_values().visit(&mut fields);
    write!(w, "{}", serde_json::Value::Object(fields.0))
}
