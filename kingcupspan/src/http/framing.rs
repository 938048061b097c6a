//! Framing of message bodies: by length, by chunks or until the connection is closed.

/// Maximum length of a chunk-size line, including chunk extensions.
const CHUNK_LINE_MAX_BYTES: usize = 1024;

/// Maximum total length of the trailer lines after a chunked body.
const TRAILERS_MAX_BYTES: usize = 8 * 1024;

/// Framing of a body and the current position within it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Framing {
    /// Body with a known length; the value is the number of remaining bytes.
    Length(u64),

    /// Body in chunked encoding.
    Chunked(ChunkState),

    /// Body that ends when the connection is closed.
    UntilClose,
}

/// Parser state within a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// Before a chunk-size line.
    Size,

    /// Within the data of a chunk; the value is the number of remaining bytes.
    Data(u64),

    /// Before the line end after the data of a chunk.
    DataEnd,

    /// Within the trailers; the value is the number of trailer bytes read so far.
    Trailers(usize),

    /// After the end of the body.
    End,
}

/// Error returned when the chunked encoding of a body is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed chunked body")]
pub struct MalformedChunk;

/// Result of parsing the next bytes of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The first `skip` bytes are framing, and the next `data` bytes belong to the body.
    Data {
        /// Number of framing bytes to discard.
        skip: usize,

        /// Number of body bytes.
        data: usize,
    },

    /// More input is needed; the first `skip` bytes have been processed.
    NeedMore {
        /// Number of framing bytes to discard.
        skip: usize,
    },

    /// The body has ended after `skip` bytes of framing.
    End {
        /// Number of framing bytes to discard.
        skip: usize,
    },
}

impl Framing {
    /// Creates the framing at the start of a chunked body.
    pub fn chunked() -> Self {
        Self::Chunked(ChunkState::Size)
    }

    /// Returns whether the end of the body is known to be reached.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Length(0) | Self::Chunked(ChunkState::End))
    }

    /// Returns the number of bytes that are known to follow.
    pub fn announced(&self) -> u64 {
        match self {
            Self::Length(remaining) | Self::Chunked(ChunkState::Data(remaining)) => *remaining,
            Self::Chunked(_) | Self::UntilClose => 0,
        }
    }

    /// Parses the next bytes of the body and advances past them.
    pub fn step(&mut self, buf: &[u8]) -> Result<Step, MalformedChunk> {
        match self {
            Self::Length(0) => Ok(Step::End { skip: 0 }),
            Self::Length(remaining) => {
                let data = buf
                    .len()
                    .min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= data as u64;
                Ok(data_or_more(0, data))
            }
            Self::UntilClose => Ok(data_or_more(0, buf.len())),
            Self::Chunked(state) => state.step(buf),
        }
    }
}

/// Returns a step with body bytes, or a request for more input if there are none.
fn data_or_more(skip: usize, data: usize) -> Step {
    match data {
        0 => Step::NeedMore { skip },
        data => Step::Data { skip, data },
    }
}

impl ChunkState {
    /// Parses the next bytes of a chunked body and advances past them.
    fn step(&mut self, buf: &[u8]) -> Result<Step, MalformedChunk> {
        let mut skip = 0;
        loop {
            let rest = &buf[skip..];
            match self {
                Self::Size => {
                    let Some(line) = line(rest, CHUNK_LINE_MAX_BYTES)? else {
                        return Ok(Step::NeedMore { skip });
                    };
                    skip += line.len() + 2;
                    *self = match chunk_size(line)? {
                        0 => Self::Trailers(0),
                        size => Self::Data(size),
                    };
                }
                Self::Data(remaining) => {
                    let data = rest
                        .len()
                        .min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                    *remaining -= data as u64;
                    if *remaining == 0 {
                        *self = Self::DataEnd;
                    }
                    return Ok(data_or_more(skip, data));
                }
                Self::DataEnd => {
                    let Some(line) = line(rest, 0)? else {
                        return Ok(Step::NeedMore { skip });
                    };
                    skip += line.len() + 2;
                    *self = Self::Size;
                }
                Self::Trailers(trailer_bytes) => {
                    let Some(line) = line(rest, TRAILERS_MAX_BYTES - *trailer_bytes)? else {
                        return Ok(Step::NeedMore { skip });
                    };
                    skip += line.len() + 2;
                    *trailer_bytes += line.len();
                    if line.is_empty() {
                        *self = Self::End;
                    }
                }
                Self::End => return Ok(Step::End { skip }),
            }
        }
    }
}

/// Returns the next line of at most `max` bytes without its line end, or `None` if the line is
/// incomplete.
fn line(buf: &[u8], max: usize) -> Result<Option<&[u8]>, MalformedChunk> {
    let Some(end) = buf.iter().position(|&b| b == b'\n') else {
        return match buf.len() > max + 1 {
            true => Err(MalformedChunk),
            false => Ok(None),
        };
    };
    if end == 0 || buf[end - 1] != b'\r' || end - 1 > max {
        return Err(MalformedChunk);
    }
    Ok(Some(&buf[..end - 1]))
}

/// Parses the size in a chunk-size line.
fn chunk_size(line: &[u8]) -> Result<u64, MalformedChunk> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let rest = &line[digits..];
    let after_size = rest.iter().find(|b| !matches!(b, b' ' | b'\t'));
    if digits == 0 || digits > 15 || after_size.is_some_and(|&b| b != b';') {
        return Err(MalformedChunk);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| MalformedChunk)?;
    u64::from_str_radix(text, 16).map_err(|_| MalformedChunk)
}
