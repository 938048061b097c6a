//! Buffered HTTP/1.1 connection.

use std::{io, net, pin::pin, time::Duration};

use async_std::{net::TcpStream, task};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use socket2::SockRef;

use crate::http::{
    framed::Decoder,
    framing::{Framing, Step},
    head::{self, RequestHead, ResponseHead},
    held_bytes::{Holder, NoRoom},
};

pub use crate::http::read_error::ReadError;

/// Maximum number of bytes requested in one read.
const READ_BYTES: usize = 16 * 1024;

/// Number of bytes requested in the first read of a caller's connection, which holds this buffer
/// while it waits for a request; a read that fills it is followed by larger ones.
const FIRST_READ_BYTES: usize = 1024;

/// Number of bytes requested in the first read of any other connection.
const FIRST_RESPONSE_READ_BYTES: usize = 4 * 1024;

/// Memory that a request holds beside its head and body until its response has been sent, in bytes.
const REQUEST_BYTES: usize = 12 * 1024;

/// Number of reads that find data at once after which other tasks get to run; a task that
/// never waits would hold up its own timeouts as well.
const READS_BEFORE_YIELD: u32 = 4;

/// Most bytes of a refused request that are discarded before its connection is closed.
const DISCARD_MAX_BYTES: usize = 1024 * 1024;

/// Maximum size of a response head, together with the interim responses before it.
const RESPONSE_HEAD_MAX_BYTES: usize = 64 * 1024;

/// A connection with a read buffer.
pub struct Conn {
    stream: TcpStream,

    /// Decodes what arrives, if it is framed by whoever passes it on.
    decoder: Option<Decoder>,

    buf: Vec<u8>,

    /// Number of bytes at the start of `buf` that have been consumed.
    pos: usize,

    /// Number of reads in a row that found data at once.
    immediate_reads: u32,

    /// Number of bytes requested in the next read.
    read_bytes: usize,

    /// Bounds what the connection holds, if it is one of a caller.
    holder: Option<Holder>,

    /// Bytes outside of `buf` that are held for the connection.
    kept: usize,
}

impl Conn {
    /// Creates a buffered connection from a TCP stream.
    pub fn new(stream: TcpStream) -> Self {
        // The connection also works without this option, only with higher latency.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            decoder: None,
            buf: Vec::new(),
            pos: 0,
            immediate_reads: 0,
            read_bytes: FIRST_RESPONSE_READ_BYTES,
            holder: None,
            kept: 0,
        }
    }

    /// Creates a buffered connection of a caller, which holds no more than `holder` allows.
    pub fn with_holder(stream: TcpStream, holder: Holder) -> Self {
        Self {
            holder: Some(holder),
            read_bytes: FIRST_READ_BYTES,
            ..Self::new(stream)
        }
    }

    /// Decodes what arrives from now on: it comes in chunks, and its end is marked.
    pub fn decode_chunks(&mut self) {
        self.decoder = Some(Decoder::new(self.buf.split_off(self.pos)));
    }

    /// Whether an end in order is told apart from that of the process that passes the bytes on.
    pub fn is_end_marked(&self) -> bool {
        self.decoder.is_some()
    }

    /// Returns the bound on what the connection holds, if it has one.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Changes the bytes that are held for the connection outside of its buffer, if there is room.
    pub fn try_keep(&mut self, bytes: usize) -> Result<(), NoRoom> {
        if let Some(holder) = self.holder.as_ref().filter(|_| bytes != self.kept) {
            holder.try_resize(self.buffer_bytes().saturating_add(bytes))?;
        }
        self.kept = bytes;
        Ok(())
    }

    /// Returns the bytes that are held for the connection outside of its buffer.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Waits until there is room for what the connection will hold.
    async fn wait_for_room(&self, buffer: usize, kept: usize) -> Result<(), NoRoom> {
        match &self.holder {
            Some(holder) => holder.resize(without_first_read(buffer) + kept).await,
            None => Ok(()),
        }
    }

    /// Returns the size of the buffer beyond that of the first read.
    fn buffer_bytes(&self) -> usize {
        without_first_read(self.buf.capacity())
    }

    /// Makes room in the buffer for the next read.
    async fn grow_buffer(&mut self) -> Result<(), NoRoom> {
        let wanted = self.buf.len() + self.read_bytes;
        if wanted <= self.buf.capacity() {
            return Ok(());
        }
        if wanted > FIRST_READ_BYTES {
            // The former allocation stays until its bytes have been copied.
            let both = self.buf.capacity() + wanted;
            self.wait_for_room(both, self.kept).await?;
        }
        self.buf.reserve_exact(self.read_bytes);
        if wanted > FIRST_READ_BYTES {
            self.wait_for_room(self.buf.capacity(), self.kept).await?;
        }
        Ok(())
    }

    /// Returns the TCP stream, for example to detect that the peer has closed it.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the bytes that were received but not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.buf[self.pos..]
    }

    /// Reads more bytes into the buffer and returns their number, 0 at the end of the stream.
    pub async fn fill(&mut self) -> Result<usize, ReadError> {
        if self.pos == self.buf.len() {
            self.buf.clear();
        } else if self.pos > 0 {
            self.buf.drain(..self.pos);
        }
        self.pos = 0;
        self.grow_buffer().await?;
        let len = self.buf.len();
        self.buf.resize(len + self.read_bytes, 0);
        let (mut is_immediate, mut stream, buf) = (true, &self.stream, &mut self.buf[len..]);
        let result = {
            let mut read = pin!(async {
                match &mut self.decoder {
                    Some(decoder) => decoder.read(stream, buf).await,
                    None => stream.read(buf).await,
                }
            });
            match future::poll_once(read.as_mut()).await {
                Some(result) => result,
                None => {
                    is_immediate = false;
                    read.await
                }
            }
        };
        let n = *result.as_ref().unwrap_or(&0);
        self.buf.truncate(len + n);
        self.note_read(n)?;
        self.yield_if_busy(is_immediate).await;
        Ok(result?)
    }

    /// Records the size of a read; fails at the end of one that was ended to make room for others.
    fn note_read(&mut self, n: usize) -> Result<(), ReadError> {
        if n == self.read_bytes {
            self.read_bytes = READ_BYTES.min(2 * n);
        }
        match &self.holder {
            Some(holder) if n == 0 && holder.is_evicted() => Err(ReadError::Stalled),
            Some(holder) if n > 0 => {
                holder.record_progress(n);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Lets other tasks run if the peer sends data faster than it is processed.
    async fn yield_if_busy(&mut self, was_immediate: bool) {
        self.immediate_reads = match was_immediate {
            true => self.immediate_reads + 1,
            false => 0,
        };
        if self.immediate_reads >= READS_BEFORE_YIELD {
            self.immediate_reads = 0;
            task::yield_now().await;
        }
    }

    /// Frees the read buffer if it is empty, to save memory while the connection is idle.
    pub fn release_buffer(&mut self) {
        if self.unread().is_empty() {
            self.buf = Vec::new();
            self.pos = 0;
            self.read_bytes = FIRST_RESPONSE_READ_BYTES;
            if let Some(holder) = &self.holder {
                self.read_bytes = FIRST_READ_BYTES;
                // Returning bytes always succeeds.
                let _ = holder.try_resize(self.kept);
            }
        }
    }

    /// Reads a request head of at most `max_bytes`.
    pub async fn request_head(&mut self, max_bytes: usize) -> Result<RequestHead, ReadError> {
        let mut parsed = 0;
        loop {
            // Only a line that has ended can change what was found before.
            let unread = self.unread();
            let is_line_complete = unread[parsed..].contains(&b'\n');
            parsed = unread.len();
            let found = match is_line_complete {
                true => head::parse_request(unread)?,
                false => None,
            };
            match found {
                Some((_, len)) if len > max_bytes => return Err(ReadError::HeadTooLarge),
                Some((head, len)) => {
                    self.pos += len;
                    // The head is copied out of the buffer.
                    self.wait_for_room(self.buf.capacity(), len + REQUEST_BYTES)
                        .await?;
                    self.kept = len + REQUEST_BYTES;
                    return Ok(head);
                }
                None if parsed > max_bytes => return Err(ReadError::HeadTooLarge),
                None => self.read_more().await?,
            }
        }
    }

    /// Reads the head of the response to a request with `method`, skipping interim responses.
    pub async fn response_head(&mut self, method: &str) -> Result<ResponseHead, ReadError> {
        let mut interim_bytes = 0;
        loop {
            match head::parse_response(self.unread(), method)? {
                Some((head, len)) => {
                    self.pos += len;
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    interim_bytes += len;
                    if interim_bytes > RESPONSE_HEAD_MAX_BYTES {
                        return Err(ReadError::HeadTooLarge);
                    }
                }
                None if self.unread().len() > RESPONSE_HEAD_MAX_BYTES => {
                    return Err(ReadError::HeadTooLarge);
                }
                None => self.read_more().await?,
            }
        }
    }

    /// Reads more bytes of a head; the end of the stream is an error.
    async fn read_more(&mut self) -> Result<(), ReadError> {
        match self.fill().await? {
            0 if self.unread().is_empty() => Err(ReadError::Closed),
            0 => Err(ReadError::UnexpectedEof),
            _ => Ok(()),
        }
    }

    /// Returns the next bytes of a body, or `None` at its end.
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

    /// Reads a complete body of at most `max` bytes, which is held for the connection from then on.
    ///
    /// The end of the connection is never the end of the body: a peer that was killed ends it, too.
    pub async fn body(&mut self, framing: &mut Framing, max: usize) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        if let Framing::Length(len) = framing {
            let len = usize::try_from(*len).ok().filter(|len| *len <= max);
            self.grow_body(&mut body, len.ok_or(ReadError::BodyTooLarge)?)
                .await?;
        }
        loop {
            match framing.step(&self.buf[self.pos..])? {
                Step::End { skip } => {
                    self.pos += skip;
                    return Ok(body);
                }
                Step::Data { skip, data } => {
                    let from = self.pos + skip;
                    let announced = framing.announced().saturating_add(data as u64);
                    if announced > (max - body.len()) as u64 {
                        return Err(ReadError::BodyTooLarge);
                    }
                    self.grow_chunked_body(&mut body, data, max).await?;
                    body.extend_from_slice(&self.buf[from..from + data]);
                    self.pos = from + data;
                }
                Step::NeedMore { skip } => {
                    self.pos += skip;
                    if self.fill().await? == 0 {
                        return Err(ReadError::UnexpectedEof);
                    }
                }
            }
        }
    }

    /// Makes room for `data` more bytes of a body whose length is not known.
    async fn grow_chunked_body(
        &mut self,
        body: &mut Vec<u8>,
        data: usize,
        max: usize,
    ) -> Result<(), NoRoom> {
        let needed = body.len() + data;
        if needed <= body.capacity() {
            return Ok(());
        }
        let capacity = needed.max(2 * body.capacity()).min(max);
        self.grow_body(body, capacity).await
    }

    /// Makes room for a body of `capacity` bytes.
    async fn grow_body(&mut self, body: &mut Vec<u8>, capacity: usize) -> Result<(), NoRoom> {
        if capacity <= body.capacity() {
            return Ok(());
        }
        let others = self.kept - body.capacity();
        // The former allocation stays until its bytes have been copied.
        self.wait_for_room(self.buf.capacity(), self.kept + capacity)
            .await?;
        body.reserve_exact(capacity - body.len());
        self.kept = others + body.capacity();
        self.wait_for_room(self.buf.capacity(), self.kept).await
    }

    /// Writes all bytes to the connection; fails if it has to give way to others, and leaves it to
    /// its owner how it is closed then.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = &self.stream;
        let Some(holder) = &self.holder else {
            return stream.write_all(bytes).await;
        };
        let mut rest = bytes;
        while !rest.is_empty() {
            let mut write = stream.write(rest);
            let n = match future::poll_once(&mut write).await {
                Some(result) => result?,
                None => {
                    let _sending = holder.begin_sending();
                    let evicted = async {
                        holder.wait_for_eviction().await;
                        Err(io::Error::other(ReadError::Stalled))
                    };
                    write.or(evicted).await?
                }
            };
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[n..];
        }
        Ok(())
    }

    /// Closes the connection after a response to a request that was not read completely: what
    /// still arrives is discarded for a moment, since a reset would take the response away from
    /// its caller.
    pub async fn close_unread(mut self) {
        // The caller may have disconnected.
        let _ = self.stream.shutdown(net::Shutdown::Write);
        self.pos = self.buf.len();
        self.kept = 0;
        self.release_buffer();
        let mut discarded = 0;
        while discarded < DISCARD_MAX_BYTES {
            self.pos = self.buf.len();
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(n) => discarded += n,
            }
        }
    }

    /// Sets whether the connection is reset when it is dropped or its process ends, so that a
    /// response that ends with its connection does not look complete.
    pub fn set_reset_on_close(&self, is_reset: bool) {
        // If this fails, the connection is in no state in which it could look complete.
        let _ = SockRef::from(&self.stream).set_linger(is_reset.then_some(Duration::ZERO));
    }

    /// Returns whether the connection is open and has no received data, buffered or pending.
    pub async fn is_idle(&self) -> bool {
        let mut buf = [0];
        let peek = future::poll_once(self.stream.peek(&mut buf));
        let is_decoded = self.decoder.as_ref().is_none_or(Decoder::is_empty);
        self.unread().is_empty() && is_decoded && peek.await.is_none()
    }
}

/// Returns the size of a buffer beyond that of the first read.
fn without_first_read(buffer: usize) -> usize {
    buffer.saturating_sub(FIRST_READ_BYTES)
}

/// Waits until the peer closes its end; never completes if the peer sends more data.
pub async fn wait_for_close(stream: &TcpStream) {
    let mut buf = [0];
    match stream.peek(&mut buf).await {
        Ok(0) | Err(_) => {}
        Ok(_) => future::pending().await,
    }
}
