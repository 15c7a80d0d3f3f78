//! Memory that a host uses for bytes of others.
//!
//! Everything that is held is charged to an [`Account`]. A [`Buffer`] charges what it takes whenever
//! it changes, and releases it when it is dropped, so that no path can forget to.

use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory of a process whose settings do not name any, bytes.
const DEFAULT_MEMORY: usize = 256 << 20;
/// Part of the memory that answers which are not complete may take.
const ANSWERS_SHARE: usize = 4;

/// Bytes that unfinished answers may take at a host with this much memory.
pub fn answers_limit(memory: Option<usize>) -> usize {
    memory.unwrap_or(DEFAULT_MEMORY) / ANSWERS_SHARE
}

/// The sum of all that is held.
#[derive(Clone, Debug, Default)]
pub struct Account {
    used: Arc<AtomicUsize>,
}

impl Account {
    /// An empty buffer that is charged to this account.
    pub fn buffer(&self) -> Buffer {
        Buffer { bytes: Vec::new(), charged: 0, account: self.clone() }
    }

    /// Bytes that are held now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Bytes that are charged to an account.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    charged: usize,
    account: Account,
}

impl Buffer {
    /// Changes the bytes, and charges the memory that they take afterwards.
    pub fn edit<T>(&mut self, change: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let result = change(&mut self.bytes);
        self.charge();
        result
    }

    /// Removes the bytes.
    pub fn take(&mut self) -> Vec<u8> {
        self.edit(std::mem::take)
    }

    /// Memory that is charged for it.
    pub fn charged(&self) -> usize {
        self.charged
    }

    fn charge(&mut self) {
        let taken = self.bytes.capacity();
        self.account.used.fetch_add(taken, Ordering::Relaxed);
        self.account.used.fetch_sub(self.charged, Ordering::Relaxed);
        self.charged = taken;
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.account.used.fetch_sub(self.charged, Ordering::Relaxed);
    }
}
