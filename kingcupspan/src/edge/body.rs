//! Response bodies that are written while the answer is being made.

use std::{
    io, pin,
    task::{Context, Poll, ready},
};

use futures_lite::{AsyncRead, Stream, io::BufReader};

/// Chunks that a response body may run ahead of its reader.
const MAX_BUFFERED_CHUNKS: usize = 1_024;

/// The writing end of a response body.
///
/// Dropping it without [`Writer::finish`] cuts the connection, so that a reader
/// never takes a partial answer for a whole one.
pub struct Writer {
    tx: async_channel::Sender<Chunk>,
}

enum Chunk {
    Bytes(Vec<u8>),
    End,
}

/// A body and its writer.
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
    /// Writes a chunk; false when the reader is gone.
    pub async fn write(&self, bytes: Vec<u8>) -> bool {
        self.tx.send(Chunk::Bytes(bytes)).await.is_ok()
    }

    /// Marks the body as whole.
    pub async fn finish(self) {
        // The reader may be gone, then nobody misses the mark.
        let _ = self.tx.send(Chunk::End).await;
    }
}

struct Reader {
    rx: pin::Pin<Box<async_channel::Receiver<Chunk>>>,
    buf: Vec<u8>,
    pos: usize,
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
