//! Output of a connection that the system has not taken yet.

use roseshore_core::gateway::memory::{Account, BLOCK, Body, Buffer, Holder};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::Arc;

/// Memory that an empty buffer of a connection keeps: a message of the usual size.
pub(crate) const KEPT_CAPACITY: usize = 4 << 10;

/// A part of the output.
#[derive(Debug)]
enum Piece {
    Bytes(Buffer),
    /// A body, which may be kept for a retry as well.
    Body(Arc<Body>),
}

impl Piece {
    /// Bytes that may be written next, if so many have been.
    fn rest(&self, written: usize) -> &[u8] {
        match self {
            Piece::Bytes(bytes) => &bytes[written..],
            Piece::Body(body) => body.block_from(written),
        }
    }
}

/// Bytes that are to be written to a connection.
#[derive(Debug)]
pub(crate) struct Output {
    account: Account,
    holder: Holder,
    pieces: VecDeque<Piece>,
    /// Bytes of the first piece that have been written.
    written: usize,
    /// Bytes of all pieces that have not.
    len: usize,
}

impl Output {
    pub(crate) fn new(account: &Account, holder: Holder) -> Output {
        let account = account.clone();
        Output { account, holder, pieces: VecDeque::new(), written: 0, len: 0 }
    }

    /// Bytes that have not been written.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Memory that is charged for it, bodies that others hold as well left out.
    pub(crate) fn charged(&self) -> usize {
        let charged = |piece: &Piece| match piece {
            Piece::Bytes(bytes) => bytes.charged(),
            Piece::Body(body) if Arc::strong_count(body) == 1 => body.charged(),
            Piece::Body(_) => 0,
        };
        self.pieces.iter().map(charged).sum()
    }

    /// Adds a copy of these bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        if !matches!(self.pieces.back(), Some(Piece::Bytes(_))) {
            self.pieces.push_back(Piece::Bytes(self.account.buffer(self.holder)));
        }
        if let Some(Piece::Bytes(last)) = self.pieces.back_mut() {
            last.edit(|last| last.extend_from_slice(bytes));
            self.len += bytes.len();
        }
    }

    /// Adds a body: a copy if it is short, so that it is written together with its head.
    pub(crate) fn push_body(&mut self, body: &Arc<Body>) {
        if body.len() <= BLOCK {
            return body.blocks().for_each(|block| self.push(block));
        }
        self.len += body.len();
        self.pieces.push_back(Piece::Body(body.clone()));
    }

    /// Adds other output.
    pub(crate) fn append(&mut self, mut other: Output) {
        self.len += other.len;
        self.pieces.append(&mut other.pieces);
    }

    /// Writes as much as `to` accepts.
    ///
    /// # Errors
    /// If `to` is broken; what is left is dropped.
    pub(crate) fn write_to(&mut self, to: &mut impl Write) -> io::Result<()> {
        while self.len > 0 {
            let Some(first) = self.pieces.front() else { break };
            let rest = first.rest(self.written);
            if rest.is_empty() {
                self.remove_first();
                continue;
            }
            match to.write(rest) {
                Ok(0) => return self.fail(ErrorKind::WriteZero.into()),
                Ok(count) => (self.written, self.len) = (self.written + count, self.len - count),
                Err(err) if err.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return self.fail(err),
            }
        }
        self.clear();
        Ok(())
    }

    /// Frees the memory that it keeps while it is empty.
    pub(crate) fn free_empty(&mut self) {
        if self.len == 0 {
            self.pieces = VecDeque::new();
        }
    }

    fn fail(&mut self, err: io::Error) -> io::Result<()> {
        self.clear();
        Err(err)
    }

    fn remove_first(&mut self) {
        self.pieces.pop_front();
        self.written = 0;
    }

    /// Drops what is left, and keeps the memory of a short message.
    fn clear(&mut self) {
        self.pieces.truncate(1);
        match self.pieces.front_mut() {
            Some(Piece::Bytes(bytes)) => bytes.edit(clear),
            Some(Piece::Body(_)) => self.pieces.clear(),
            None => {}
        }
        (self.written, self.len) = (0, 0);
    }
}

/// Empties a buffer, and frees its memory if that is more than short messages take.
pub(crate) fn clear(buffer: &mut Vec<u8>) {
    buffer.clear();
    buffer.shrink_to(KEPT_CAPACITY);
}
