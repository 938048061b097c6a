//! A connection with the bytes read ahead on it.

use std::io;

use async_std::net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::http::{
    framing::{BadChunk, Framing, Step},
    head::{self, AnswerHead, HeadError, RequestHead},
};

/// Bytes asked for in one read.
const READ_BYTES: usize = 16 * 1024;

/// Most bytes of an answer's head.
const ANSWER_HEAD_MAX_BYTES: usize = 64 * 1024;

/// Why nothing more can be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The other side closed between messages.
    #[error("closed")]
    Closed,

    /// The other side closed within a message.
    #[error("cut short")]
    Cut,

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
    Chunk(#[from] BadChunk),
}

/// A connection.
pub struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    at: usize,
}

impl Conn {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        // Without the option small writes are only later.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
            at: 0,
        }
    }

    /// The connection itself, for watching whether the other side has gone.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Bytes that were read but not used.
    pub fn unread(&self) -> &[u8] {
        &self.buf[self.at..]
    }

    /// Reads more bytes; 0 at the end.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.at == self.buf.len() {
            self.buf.clear();
        } else if self.at > 0 {
            self.buf.drain(..self.at);
        }
        self.at = 0;
        let len = self.buf.len();
        self.buf.resize(len + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buf[len..]).await;
        let n = *read.as_ref().unwrap_or(&0);
        self.buf.truncate(len + n);
        read
    }

    /// Lets go of memory that is not needed while the connection is idle.
    pub fn shrink(&mut self) {
        if self.unread().is_empty() {
            self.buf = Vec::new();
            self.at = 0;
        }
    }

    /// Reads the head of a request.
    pub async fn request_head(&mut self, max_bytes: usize) -> Result<RequestHead, ReadError> {
        loop {
            match head::parse_request(self.unread())? {
                Some((_, len)) if len > max_bytes => return Err(ReadError::HeadTooLarge),
                Some((head, len)) => {
                    self.at += len;
                    return Ok(head);
                }
                None if self.unread().len() > max_bytes => return Err(ReadError::HeadTooLarge),
                None => self.more().await?,
            }
        }
    }

    /// Reads the head of the answer to `method`, passing over interim ones.
    pub async fn answer_head(&mut self, method: &str) -> Result<AnswerHead, ReadError> {
        loop {
            match head::parse_answer(self.unread(), method)? {
                Some((head, len)) => {
                    self.at += len;
                    if head.status >= 200 {
                        return Ok(head);
                    }
                }
                None if self.unread().len() > ANSWER_HEAD_MAX_BYTES => {
                    return Err(ReadError::HeadTooLarge);
                }
                None => self.more().await?,
            }
        }
    }

    async fn more(&mut self) -> Result<(), ReadError> {
        match self.fill().await? {
            0 if self.unread().is_empty() => Err(ReadError::Closed),
            0 => Err(ReadError::Cut),
            _ => Ok(()),
        }
    }

    /// Reads the next bytes of a body; none after its end.
    pub async fn body_piece(
        &mut self,
        framing: &mut Framing,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match framing.step(&self.buf[self.at..])? {
                Step::End { skip } => {
                    self.at += skip;
                    return Ok(None);
                }
                Step::Data { skip, data } => {
                    let from = self.at + skip;
                    self.at = from + data;
                    return Ok(Some(self.buf[from..from + data].to_vec()));
                }
                Step::More { skip } => {
                    self.at += skip;
                    if self.fill().await? == 0 {
                        return match framing {
                            Framing::UntilClose => Ok(None),
                            _ => Err(ReadError::Cut),
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
        while let Some(piece) = self.body_piece(framing).await? {
            body.extend_from_slice(&piece);
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
    pub async fn is_quiet(&self) -> bool {
        let mut buf = [0];
        let peek = futures_lite::future::poll_once(self.stream.peek(&mut buf));
        self.unread().is_empty() && peek.await.is_none()
    }
}

/// Completes when the other side has closed its end; never if it sends more.
pub async fn closed(stream: &TcpStream) {
    let mut buf = [0];
    match stream.peek(&mut buf).await {
        Ok(0) | Err(_) => {}
        Ok(_) => futures_lite::future::pending().await,
    }
}
