//! Complete bodies, held in pieces.
//!
//! Pieces of one size are reused by the allocator. Blocks of the size of whole bodies would be kept
//! by it after they were freed, and could not be counted.

use std::{
    convert::Infallible,
    mem,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use hyper::body::{Frame, SizeHint};
use smallvec::SmallVec;

use crate::memory::Reservation;

/// Largest piece of a body in bytes.
pub const PIECE_BYTES: usize = 32 * 1024;

type Pieces = SmallVec<[Bytes; 1]>;

/// Complete body of a message and the memory reserved for it.
#[derive(Debug, Clone, Default)]
pub struct Body {
    pieces: Pieces,
    /// Number of pieces that were already sent.
    sent: usize,
    length: usize,
    /// Held until the last clone is dropped.
    _reservation: Option<Arc<Reservation>>,
}

impl Body {
    /// Holds the memory reserved for the body for as long as the body or a clone of it.
    pub fn holding(self, mut reservation: Reservation) -> Body {
        reservation.shrink(self.length);
        Body { _reservation: Some(Arc::new(reservation)), ..self }
    }

    /// Returns the length in bytes of what was not sent yet.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the pieces that were not sent yet.
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces[self.sent..]
    }

    /// Removes the next piece.
    pub fn next_piece(&mut self) -> Option<Bytes> {
        let piece = mem::take(self.pieces.get_mut(self.sent)?);
        self.sent += 1;
        self.length -= piece.len();
        Some(piece)
    }

    /// Returns the bytes in one block; copies them unless there is only one piece.
    pub fn to_bytes(&self) -> Bytes {
        match self.pieces() {
            [] => Bytes::new(),
            [piece] => piece.clone(),
            pieces => pieces.concat().into(),
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Body {
        let length = bytes.len();
        let pieces = Some(bytes).filter(|it| !it.is_empty()).into_iter().collect();
        Body { pieces, sent: 0, length, _reservation: None }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.next_piece().map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

/// Body that is still arriving.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    full: Pieces,
    last: BytesMut,
    length: usize,
}

impl BodyBuffer {
    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends bytes.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let (part, rest) = bytes.split_at(bytes.len().min(PIECE_BYTES - self.last.len()));
            if !self.full.is_empty() && self.last.is_empty() {
                self.last.reserve(PIECE_BYTES);
            }
            self.last.extend_from_slice(part);
            if self.last.len() == PIECE_BYTES {
                self.full.push(mem::take(&mut self.last).freeze());
            }
            bytes = rest;
        }
    }

    /// Completes the body.
    pub fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        Body { pieces: self.full, sent: 0, length: self.length, _reservation: None }
    }
}
