//! Structured logs.

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

/// Lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4_096;

/// Usual length of a line, in bytes.
const LINE_CAPACITY_BYTES: usize = 256;

static HANDLE: OnceLock<LoggerHandle> = OnceLock::new();

/// Where log lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Standard output, by a thread of its own: a reader that is slow costs lines,
    /// never time.
    Stdout,

    /// Standard error.
    Stderr,
}

/// Starts logging, one JSON object a line.
pub fn start(level: &str, target: Target) -> Result<(), FlexiLoggerError> {
    let logger = Logger::try_with_str(spec(level))?;
    let logger = match target {
        Target::Stdout => logger.log_to_writer(Box::new(QueuedWriter::start())),
        Target::Stderr => logger.log_to_stderr().format(format),
    };
    let handle = logger.start()?;
    // Logging is started once a process; a second start keeps the first handle.
    let _ = HANDLE.set(handle);
    Ok(())
}

/// Hands lines to a thread that writes them; lines that find no room are counted.
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

/// Writes lines to standard output until the process ends.
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
        // Without a standard output there is nowhere to say so.
        let _ = out.write_all(&lines);
    }
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
    // A field that cannot be shown is left out.
    let _ = record.key_values().visit(&mut fields);
    write!(w, "{}", serde_json::Value::Object(fields.0))
}
