//! Bounded buffer that puts tokens which arrive early back in order.

use crate::ids::*;
use std::collections::VecDeque;

/// Outcome of inserting a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Insertion {
    /// Buffered; [`ReorderBuffer::pop`] returns it when its position is next.
    Held,
    /// The position was already delivered or is already buffered.
    Duplicate,
    /// The position is beyond the buffer's capacity.
    Overflow,
}

/// Buffered tokens, starting at the next position to deliver.
#[derive(Clone, Debug)]
pub struct ReorderBuffer {
    next: Position,
    capacity: usize,
    held: VecDeque<Option<String>>,
}

impl ReorderBuffer {
    /// Creates an empty buffer that spans at most `capacity` positions.
    pub fn new(capacity: usize) -> ReorderBuffer {
        ReorderBuffer { next: 0, capacity, held: VecDeque::with_capacity(capacity) }
    }

    /// Next position to deliver.
    pub fn next(&self) -> Position {
        self.next
    }

    /// Inserts one token.
    pub fn insert(&mut self, position: Position, text: String) -> Insertion {
        let Some(ahead) = position.checked_sub(self.next) else {
            return Insertion::Duplicate;
        };
        let ahead = ahead as usize;
        if ahead >= self.capacity {
            return Insertion::Overflow;
        }
        if self.held.len() <= ahead {
            self.held.resize(ahead + 1, None);
        }
        if self.held[ahead].is_some() {
            return Insertion::Duplicate;
        }
        self.held[ahead] = Some(text);
        Insertion::Held
    }

    /// Removes and returns the token at the next position, if it has arrived.
    pub fn pop(&mut self) -> Option<String> {
        let text = self.held.front_mut()?.take()?;
        self.held.pop_front();
        self.next += 1;
        Some(text)
    }

    /// Drops the buffered tokens; they belong to an abandoned route.
    pub fn clear(&mut self) {
        self.held.clear();
    }
}
