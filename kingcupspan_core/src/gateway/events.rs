//! Splits an event stream into whole events.

/// Reads `text/event-stream` bytes.
#[derive(Debug, Default)]
pub struct Scanner {
    pending: Vec<u8>,
    line_start: usize,
    data: Option<Vec<u8>>,
    events: u64,
    keeps_output: bool,
    output: Vec<u8>,
}

impl Scanner {
    /// A scanner; with `keeps_output` it collects the data of all events.
    pub fn new(keeps_output: bool) -> Self {
        Self {
            keeps_output,
            ..Self::default()
        }
    }

    /// Takes in bytes and returns those that end with a whole event.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut whole = 0;
        for &byte in bytes {
            self.pending.push(byte);
            if byte == b'\n' && self.end_line() {
                whole = self.pending.len();
            }
        }
        let rest = self.pending.split_off(whole);
        self.line_start -= whole;
        std::mem::replace(&mut self.pending, rest)
    }

    /// Whole events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the last byte belonged to a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Data of each event, each followed by a line feed.
    pub fn into_output(self) -> Vec<u8> {
        self.output
    }

    /// Ends a line; true if it ends an event.
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

    fn end_event(&mut self) -> bool {
        if let Some(data) = self.data.take() {
            self.events += 1;
            if self.keeps_output {
                self.output.extend_from_slice(&data);
                self.output.push(b'\n');
            }
        }
        true
    }
}
