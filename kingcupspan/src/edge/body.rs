//! Streaming response bodies, written while the response is being sent.

use std::{
    io, pin,
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, Stream, io::BufReader};

/// Number of chunks that are buffered before the writer has to wait for the reader.
const MAX_BUFFERED_CHUNKS: usize = 1_024;

/// Write half of a streaming response body.
///
/// Dropping the writer without calling [`Writer::finish`] aborts the connection, so that the
/// client cannot mistake a truncated body for a complete one.
pub struct Writer {
    tx: async_channel::Sender<Chunk>,
}

enum Chunk {
    /// Bytes of the body.
    Bytes(Vec<u8>),

    /// Marks the body as complete.
    End,
}

/// Creates a streaming body and the writer that feeds it.
pub fn channel() -> (Writer, http_types::Body) {
    let (tx, rx) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
    let reader = Reader {
        rx: Box::pin(rx),
        buf: Vec::new(),
        pos: 0,
        is_complete: false,
    };
    let body = http_types::Body::from_reader(BufReader::new(reader), None);
    (Writer { tx }, body)
}

impl Writer {
    /// Writes a chunk and returns whether the reader still exists.
    pub async fn write(&self, bytes: Vec<u8>) -> bool {
        self.tx.send(Chunk::Bytes(bytes)).await.is_ok()
    }

    /// Marks the body as complete.
    pub async fn finish(self) {
        // An error means that the reader was dropped and does not need the marker.
        let _ = self.tx.send(Chunk::End).await;
    }
}

/// Read half of a streaming response body.
struct Reader {
    rx: pin::Pin<Box<async_channel::Receiver<Chunk>>>,
    buf: Vec<u8>,

    /// Number of bytes of `buf` that have been read.
    pos: usize,

    /// Whether the end marker was received.
    is_complete: bool,
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.pos == self.buf.len() && !self.is_complete {
            match ready!(self.rx.as_mut().poll_next(cx)) {
                Some(Chunk::Bytes(bytes)) => {
                    self.buf = bytes;
                    self.pos = 0;
                }
                Some(Chunk::End) => self.is_complete = true,
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            }
        }
        let n = buf.len().min(self.buf.len() - self.pos);
        buf[..n].copy_from_slice(&self.buf[self.pos..self.pos + n]);
        self.pos += n;
        Poll::Ready(Ok(n))
    }
}
