//! The bounded buffer that puts early tokens back in order.

use crate::ids::*;
use std::collections::VecDeque;

/// What became of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Insertion {
    /// It is held; [`ReorderBuffer::pop`] gives it out when its turn comes.
    Held,
    /// Its position was delivered or is held already.
    Duplicate,
    /// It lies further ahead than the window reaches.
    Overflow,
}

/// Tokens from the next position on.
#[derive(Clone, Debug)]
pub struct ReorderBuffer {
    next: Position,
    capacity: usize,
    held: VecDeque<Option<String>>,
}

impl ReorderBuffer {
    /// An empty window that holds at most `capacity` positions.
    pub fn new(capacity: usize) -> ReorderBuffer {
        ReorderBuffer { next: 0, capacity, held: VecDeque::with_capacity(capacity) }
    }

    /// The next position to deliver.
    pub fn next(&self) -> Position {
        self.next
    }

    /// Takes one token.
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

    /// Gives out the token whose turn it is.
    pub fn pop(&mut self) -> Option<String> {
        let text = self.held.front_mut()?.take()?;
        self.held.pop_front();
        self.next += 1;
        Some(text)
    }

    /// Forgets early tokens, which belong to a route that was given up.
    pub fn clear(&mut self) {
        self.held.clear();
    }
}
