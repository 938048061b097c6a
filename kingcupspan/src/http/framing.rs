//! Where a body ends.

/// Longest line of a chunk's length with its extensions, in bytes.
const CHUNK_LINE_MAX_BYTES: usize = 1024;

/// Most bytes of trailers behind a chunked body.
const TRAILERS_MAX_BYTES: usize = 8 * 1024;

/// How a body is framed, and how much of it is still to come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes are still to come.
    Length(u64),

    /// In chunks.
    Chunked(ChunkState),

    /// Until the connection is closed.
    UntilClose,
}

/// Position within a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkState {
    /// Before a line with a length.
    Size,

    /// Within data, with this many bytes still to come.
    Data(u64),

    /// Before the line end behind data.
    DataEnd,

    /// Behind the last chunk.
    Trailers(usize),

    /// Behind the body.
    End,
}

/// The chunked coding is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed chunked body")]
pub struct MalformedChunk;

/// What the next bytes of a body are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The first `skip` bytes are framing, the `data` bytes behind them belong to the body.
    Data {
        /// Bytes of framing.
        skip: usize,

        /// Bytes of the body.
        data: usize,
    },

    /// More bytes are needed; the first `skip` ones are done with.
    NeedMore {
        /// Bytes of framing.
        skip: usize,
    },

    /// The body has ended behind `skip` bytes of framing.
    End {
        /// Bytes of framing.
        skip: usize,
    },
}

impl Framing {
    /// A chunked body's beginning.
    pub fn chunked() -> Self {
        Self::Chunked(ChunkState::Size)
    }

    /// Whether nothing is to come any more.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Length(0) | Self::Chunked(ChunkState::End))
    }

    /// Looks at the next bytes of the body and moves past them.
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

fn data_or_more(skip: usize, data: usize) -> Step {
    match data {
        0 => Step::NeedMore { skip },
        data => Step::Data { skip, data },
    }
}

impl ChunkState {
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

/// The next line without its end; none while the end is missing.
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

fn chunk_size(line: &[u8]) -> Result<u64, MalformedChunk> {
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let rest = &line[digits..];
    let is_extension = rest.iter().find(|b| !matches!(b, b' ' | b'\t'));
    if digits == 0 || digits > 15 || is_extension.is_some_and(|&b| b != b';') {
        return Err(MalformedChunk);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| MalformedChunk)?;
    u64::from_str_radix(text, 16).map_err(|_| MalformedChunk)
}
