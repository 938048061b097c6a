//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Milliseconds since the start of 1970.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

pub struct Record {
    file: Mutex<File>,
    start: Instant,
    start_unix_ms: u64,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            start: Instant::now(),
            start_unix_ms: unix_ms(),
        }
    }

    /// Seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Seconds from the start to a time in a runner's log.
    pub fn since_start_s(&self, unix_ms: u64) -> f64 {
        (unix_ms as f64 - self.start_unix_ms as f64) / 1_000.0
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3}  {text}\n", self.now_s());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
