//! Error of a message that cannot be read from a connection.

use std::io;

use crate::http::{framing::MalformedChunk, head::HeadError, held_bytes::NoRoom};

/// Error returned when a message cannot be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection between messages.
    #[error("connection closed")]
    Closed,

    /// The peer closed the connection in the middle of a message.
    #[error("connection closed in the middle of a message")]
    UnexpectedEof,

    /// The connection was closed in order, and it is not known whether its process did so behind the
    /// whole message.
    #[error("connection closed, perhaps in the middle of the message")]
    DoubtfulEnd,

    /// An I/O error occurred on the connection.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),

    /// The head is malformed or unsupported.
    #[error(transparent)]
    Head(#[from] HeadError),

    /// The head exceeds the size limit.
    #[error("the head is too large")]
    HeadTooLarge,

    /// The body exceeds the size limit.
    #[error("the body is too large")]
    BodyTooLarge,

    /// The chunked encoding of the body is malformed.
    #[error(transparent)]
    Chunk(#[from] MalformedChunk),

    /// There is no memory left for the message.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),

    /// The connection gives way to others, since its peer sends nothing more.
    #[error("the peer holds memory and makes no progress")]
    Stalled,
}
