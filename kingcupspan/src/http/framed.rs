//! Decoding of a connection whose bytes come in chunks, so that its end is told apart from that of
//! the process that passes them on.

use std::io;

use async_std::net::TcpStream;
use futures_lite::AsyncReadExt;

use crate::http::framing::{Framing, Step};

/// Size of one read from the connection, in bytes.
const READ_BYTES: usize = 4 * 1024;

/// Decoder of the bytes that arrive on a connection.
pub struct Decoder {
    framing: Framing,

    /// Bytes that were received and are not decoded yet.
    raw: Vec<u8>,

    /// Number of bytes at the start of `raw` that are decoded and were not returned yet.
    decoded: usize,

    /// Buffer of one read; not on the stack, as the futures of all connections would have room for it.
    received: Box<[u8]>,
}

impl Decoder {
    /// Creates a decoder for a connection of which `received` has been read already.
    pub fn new(received: Vec<u8>) -> Self {
        Self {
            framing: Framing::chunked(),
            raw: received,
            decoded: 0,
            received: vec![0; READ_BYTES].into(),
        }
    }

    /// Whether no bytes were received that are not returned yet.
    pub fn is_empty(&self) -> bool {
        self.raw.is_empty()
    }

    /// Reads the next decoded bytes and returns their number, 0 behind the last chunk.
    ///
    /// The end of the connection before the last chunk is an error. Nothing is lost if the returned
    /// future is dropped.
    pub async fn read(&mut self, mut stream: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
        while self.decoded == 0 {
            if self.decode()? {
                return Ok(0);
            }
            if self.decoded > 0 {
                break;
            }
            match stream.read(&mut self.received).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => self.raw.extend_from_slice(&self.received[..n]),
            }
        }
        let n = self.decoded.min(buf.len());
        buf[..n].copy_from_slice(&self.raw[..n]);
        self.raw.drain(..n);
        self.decoded -= n;
        if self.decoded == 0 {
            // The line end behind a chunk usually comes with it.
            self.decode()?;
        }
        Ok(n)
    }

    /// Decodes what was received up to the end of the next data; returns whether the last chunk
    /// has been received.
    fn decode(&mut self) -> io::Result<bool> {
        let step = self.framing.step(&self.raw);
        match step.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))? {
            Step::Data { skip, data } => {
                self.raw.drain(..skip);
                self.decoded = data;
                Ok(false)
            }
            Step::NeedMore { skip } => {
                self.raw.drain(..skip);
                Ok(false)
            }
            Step::End { .. } => Ok(true),
        }
    }
}

/// Encodes a chunk into `buf`, whose former content is dropped.
pub fn encode(data: &[u8], buf: &mut Vec<u8>) {
    buf.clear();
    buf.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    buf.extend_from_slice(data);
    buf.extend_from_slice(b"\r\n");
}

/// Bytes that follow the last chunk with data.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
