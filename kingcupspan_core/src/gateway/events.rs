//! Incremental parser of `text/event-stream` bodies, which splits them at the ends of
//! complete events.

/// Maximum size of one event, in bytes.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// Maximum size of the collected output of a stream, in bytes.
const OUTPUT_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Error returned when an event or the output of a stream exceeds its limit; an endpoint
/// that fails may send without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("event stream exceeds its size limits")]
pub struct StreamTooLarge;

/// Parser of one event stream.
#[derive(Debug, Default)]
pub struct Scanner {
    /// Bytes received after the last complete event.
    pending: Vec<u8>,

    /// Offset in `pending` at which the current line starts.
    line_start: usize,

    /// Data lines of the current event.
    data: Option<Vec<u8>>,

    /// Number of complete events with data.
    events: u64,

    /// Whether the data of all events is collected in `output`.
    collects_output: bool,

    /// Data of each complete event, each followed by a line feed.
    output: Vec<u8>,
}

impl Scanner {
    /// Creates a scanner, which collects the data of all events if `collects_output`
    /// is set.
    pub fn new(collects_output: bool) -> Self {
        Self {
            collects_output,
            ..Self::default()
        }
    }

    /// Adds received bytes and returns all bytes up to the end of the last complete
    /// event that were not returned before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, StreamTooLarge> {
        let mut complete = 0;
        for &byte in bytes {
            self.pending.push(byte);
            if byte == b'\n' && self.end_line() {
                complete = self.pending.len();
            }
        }
        let incomplete = self.pending.len() - complete;
        if incomplete > EVENT_MAX_BYTES || self.output.len() > OUTPUT_MAX_BYTES {
            return Err(StreamTooLarge);
        }
        if complete == 0 {
            return Ok(Vec::new());
        }
        let rest = self.pending.split_off(complete);
        self.line_start -= complete;
        Ok(std::mem::replace(&mut self.pending, rest))
    }

    /// Returns the number of complete events with data so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the memory that the scanner holds, in bytes.
    pub fn held_bytes(&self) -> usize {
        let data = self.data.as_ref().map_or(0, Vec::capacity);
        self.pending.capacity() + data + self.output.capacity()
    }

    /// Whether the last byte received ends a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the collected data of each event, each followed by a line feed.
    pub fn into_output(self) -> Vec<u8> {
        self.output
    }

    /// Processes a complete line and returns whether it ends an event.
    fn end_line(&mut self) -> bool {
        let end = self.pending.len() - 1;
        let mut line = &self.pending[self.line_start..end];
        line = line.strip_suffix(b"\r").unwrap_or(line);
        self.line_start = end + 1;
        if line.is_empty() {
            return self.end_event();
        }
        if let Some(data) = line.strip_prefix(b"data:") {
            let data = data.strip_prefix(b" ").unwrap_or(data);
            match &mut self.data {
                Some(lines) => {
                    lines.push(b'\n');
                    lines.extend_from_slice(data);
                }
                None => self.data = Some(data.to_vec()),
            }
        }
        false
    }

    /// Counts the current event and collects its data, if it has any; returns true.
    fn end_event(&mut self) -> bool {
        if let Some(data) = self.data.take() {
            self.events += 1;
            if self.collects_output {
                self.output.extend_from_slice(&data);
                self.output.push(b'\n');
            }
        }
        true
    }
}
