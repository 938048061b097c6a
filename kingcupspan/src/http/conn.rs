//! A connection with the bytes read ahead on it.

use std::io;

use async_std::net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::http::{
    framing::{Framing, MalformedChunk, Step},
    head::{self, HeadError, RequestHead, ResponseHead},
};

/// Bytes asked for in one read.
const READ_BYTES: usize = 16 * 1024;

/// Most bytes of an answer's head.
const RESPONSE_HEAD_MAX_BYTES: usize = 64 * 1024;

/// Why nothing more can be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The other side closed between messages.
    #[error("closed")]
    Closed,

    /// The other side closed within a message.
    #[error("cut short")]
    UnexpectedEof,

    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),

    /// The head is not accepted.
    #[error(transparent)]
    Head(#[from] HeadError),

    /// The head has too many bytes.
    #[error("the head is too large")]
    HeadTooLarge,

    /// The body has too many bytes.
    #[error("the body is too large")]
    BodyTooLarge,

    /// The chunked coding is broken.
    #[error(transparent)]
    Chunk(#[from] MalformedChunk),
}

/// A connection.
pub struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    pos: usize,
}

impl Conn {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        // Without the option small writes are only later.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
            pos: 0,
        }
    }

    /// The connection itself, for watching whether the other side has gone.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that were read but not used.
    pub fn unread(&self) -> &[u8] {
        &self.buf[self.pos..]
    }

    /// Reads more bytes; 0 at the end.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.pos == self.buf.len() {
            self.buf.clear();
        } else if self.pos > 0 {
            self.buf.drain(..self.pos);
        }
        self.pos = 0;
        let len = self.buf.len();
        self.buf.resize(len + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buf[len..]).await;
        let n = *read.as_ref().unwrap_or(&0);
        self.buf.truncate(len + n);
        read
    }

    /// Lets go of memory that is not needed while the connection is idle.
    pub fn release_buffer(&mut self) {
        if self.unread().is_empty() {
            self.buf = Vec::new();
            self.pos = 0;
        }
    }

    /// Reads the head of a request.
    pub async fn request_head(&mut self, max_bytes: usize) -> Result<RequestHead, ReadError> {
        loop {
            match head::parse_request(self.unread())? {
                Some((_, len)) if len > max_bytes => return Err(ReadError::HeadTooLarge),
                Some((head, len)) => {
                    self.pos += len;
                    return Ok(head);
                }
                None if self.unread().len() > max_bytes => return Err(ReadError::HeadTooLarge),
                None => self.read_more().await?,
            }
        }
    }

    /// Reads the head of the answer to `method`, passing over interim ones.
    pub async fn response_head(&mut self, method: &str) -> Result<ResponseHead, ReadError> {
        loop {
            match head::parse_response(self.unread(), method)? {
                Some((head, len)) => {
                    self.pos += len;
                    if head.status >= 200 {
                        return Ok(head);
                    }
                }
                None if self.unread().len() > RESPONSE_HEAD_MAX_BYTES => {
                    return Err(ReadError::HeadTooLarge);
                }
                None => self.read_more().await?,
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        match self.fill().await? {
            0 if self.unread().is_empty() => Err(ReadError::Closed),
            0 => Err(ReadError::UnexpectedEof),
            _ => Ok(()),
        }
    }

    /// Reads the next bytes of a body; none after its end.
    pub async fn read_body_chunk(
        &mut self,
        framing: &mut Framing,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match framing.step(&self.buf[self.pos..])? {
                Step::End { skip } => {
                    self.pos += skip;
                    return Ok(None);
                }
                Step::Data { skip, data } => {
                    let from = self.pos + skip;
                    self.pos = from + data;
                    return Ok(Some(self.buf[from..from + data].to_vec()));
                }
                Step::NeedMore { skip } => {
                    self.pos += skip;
                    if self.fill().await? == 0 {
                        return match framing {
                            Framing::UntilClose => Ok(None),
                            _ => Err(ReadError::UnexpectedEof),
                        };
                    }
                }
            }
        }
    }

    /// Reads a whole body of at most `max` bytes.
    pub async fn body(&mut self, framing: &mut Framing, max: usize) -> Result<Vec<u8>, ReadError> {
        if let Framing::Length(len) = framing
            && *len > max as u64
        {
            return Err(ReadError::BodyTooLarge);
        }
        let mut body = Vec::new();
        while let Some(chunk) = self.read_body_chunk(framing).await? {
            body.extend_from_slice(&chunk);
            if body.len() > max {
                return Err(ReadError::BodyTooLarge);
            }
        }
        Ok(body)
    }

    /// Writes bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Whether an unused connection is still open and nothing was sent on it.
    pub async fn is_idle(&self) -> bool {
        let mut buf = [0];
        let peek = futures_lite::future::poll_once(self.stream.peek(&mut buf));
        self.unread().is_empty() && peek.await.is_none()
    }
}

/// Completes when the other side has closed its end; never if it sends more.
pub async fn wait_for_close(stream: &TcpStream) {
    let mut buf = [0];
    match stream.peek(&mut buf).await {
        Ok(0) | Err(_) => {}
        Ok(_) => futures_lite::future::pending().await,
    }
}
