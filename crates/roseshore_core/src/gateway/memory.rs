//! Memory that a host holds on behalf of others.
//!
//! All of it is charged to one [`Account`], by kind of [`Holder`]. A [`Buffer`] or a [`Body`] charges
//! what it takes whenever it changes, and releases it when it is dropped, so that no path can forget
//! to. [`MemoryLimits`] tells what has to be given up when too much is held; which request, answer or
//! connection that is, depends on their progress, see [`least_active`].

use crate::prelude::*;
use std::io;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory of a process whose settings do not name any, bytes.
const DEFAULT_MEMORY: usize = 256 << 20;
/// Part of the memory that requests may take.
const REQUESTS_SHARE: usize = 4;
/// Part of the memory that answers which are not complete may take.
const ANSWERS_SHARE: usize = 4;
/// Part of the memory that output may take which callers have not read.
const UNREAD_SHARE: usize = 4;
/// Part of it from which callers that read nothing are given up.
const STALLED_SHARE: usize = 2;
/// Part of the memory that bytes of other hosts may take before tunnels are slowed down.
const RELAYED_SHARE: usize = 16;
/// Part of the limit of requests that is freed beyond it, so that not every further byte makes the
/// host look for what to give up.
const SLACK_SHARE: usize = 8;
/// Bytes of a block of a [`Body`].
pub const BLOCK: usize = 16 << 10;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Requests that are not complete, and input that is not consumed.
    Receiving,
    /// Complete requests, until they end and their targets have read them.
    Requests,
    /// Answers that are not complete.
    Answers,
    /// Output that callers have not read.
    Unread,
    /// What targets, the store and other hosts send and are sent, tunnels among it.
    Relayed,
}

impl Holder {
    /// All kinds.
    pub const ALL: [Holder; 5] =
        [Holder::Receiving, Holder::Requests, Holder::Answers, Holder::Unread, Holder::Relayed];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Holder::Receiving => "receiving",
            Holder::Requests => "requests",
            Holder::Answers => "answers",
            Holder::Unread => "unread",
            Holder::Relayed => "relayed",
        }
    }
}

/// The sums of all that is held.
#[derive(Clone, Debug, Default)]
pub struct Account {
    used: Arc<[AtomicUsize; Holder::ALL.len()]>,
}

impl Account {
    /// An empty buffer that is charged to this account.
    pub fn buffer(&self, holder: Holder) -> Buffer {
        Buffer { bytes: Vec::new(), charge: self.charge(holder) }
    }

    /// An empty body that is charged to this account.
    pub fn body(&self, holder: Holder) -> Body {
        Body { blocks: Vec::new(), len: 0, charge: self.charge(holder) }
    }

    fn charge(&self, holder: Holder) -> Charge {
        Charge { account: self.clone(), holder, bytes: 0 }
    }

    /// Bytes that one kind of holder takes now.
    pub fn used_by(&self, holder: Holder) -> usize {
        self.used[holder as usize].load(Ordering::Relaxed)
    }

    /// Bytes that are held now.
    pub fn used(&self) -> usize {
        Holder::ALL.into_iter().map(|holder| self.used_by(holder)).sum()
    }
}

/// Bytes that are charged to an account; they are released when it is dropped.
#[derive(Debug)]
struct Charge {
    account: Account,
    holder: Holder,
    bytes: usize,
}

impl Charge {
    fn set(&mut self, bytes: usize) {
        let used = &self.account.used[self.holder as usize];
        used.fetch_add(bytes, Ordering::Relaxed);
        used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    fn pass_to(&mut self, holder: Holder) {
        let bytes = self.bytes;
        self.set(0);
        self.holder = holder;
        self.set(bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Contiguous bytes that are charged to an account.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    charge: Charge,
}

impl Buffer {
    /// Changes the bytes, and charges the memory that they take afterwards.
    pub fn edit<T>(&mut self, change: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let result = change(&mut self.bytes);
        self.charge.set(self.bytes.capacity());
        result
    }

    /// Removes the bytes.
    pub fn take(&mut self) -> Vec<u8> {
        self.edit(std::mem::take)
    }

    /// Memory that is charged for it.
    pub fn charged(&self) -> usize {
        self.charge.bytes
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The body of a message in blocks of [`BLOCK`] bytes, which are charged to an account. It is not
/// copied as it grows, and a freed block fits any other body.
#[derive(Debug)]
pub struct Body {
    /// All but the last one are full.
    blocks: Vec<Vec<u8>>,
    len: usize,
    charge: Charge,
}

impl Body {
    /// Its length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Its bytes in order.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(Vec::as_slice)
    }

    /// The rest of the block in which this byte lies; empty after the last byte.
    pub fn block_from(&self, offset: usize) -> &[u8] {
        let block = self.blocks.get(offset / BLOCK);
        block.and_then(|block| block.get(offset % BLOCK..)).unwrap_or_default()
    }

    /// Moves the bytes to a new body.
    #[must_use]
    pub fn take(&mut self) -> Body {
        let empty = self.charge.account.body(self.charge.holder);
        std::mem::replace(self, empty)
    }

    /// Charges it to another kind of holder from now on.
    pub fn pass_to(&mut self, holder: Holder) {
        self.charge.pass_to(holder);
    }

    /// Memory that is charged for it.
    pub fn charged(&self) -> usize {
        self.charge.bytes
    }

    /// Appends as many bytes as the last block has room for; returns how many.
    fn fill_block(&mut self, bytes: &[u8]) -> usize {
        if self.len.is_multiple_of(BLOCK) {
            // A body of several blocks is likely to fill this one as well.
            let expected = if self.len == 0 { 0 } else { BLOCK };
            self.blocks.push(Vec::with_capacity(expected));
        }
        let Some(last) = self.blocks.last_mut() else { return 0 };
        let count = bytes.len().min(BLOCK - last.len());
        last.extend_from_slice(&bytes[..count]);
        self.len += count;
        count
    }
}

impl io::Write for Body {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let count = self.fill_block(rest);
            rest = &rest[count..];
        }
        let last = self.blocks.last().map_or(0, Vec::capacity);
        self.charge.set(self.blocks.len().saturating_sub(1) * BLOCK + last);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What has to be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relief {
    /// Incomplete requests, the least active first.
    Receiving,
    /// Output to callers that read nothing.
    Stalled,
    /// Incomplete answers, the largest first: one that never ends becomes the largest.
    Answers,
    /// Output to callers, the least active first.
    Unread,
}

impl Relief {
    /// What is given up first while all holders together take too much.
    pub const ORDER: [Relief; 4] =
        [Relief::Receiving, Relief::Stalled, Relief::Answers, Relief::Unread];
}

/// Bytes that the holders may take together, and each kind of them.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    total: usize,
    requests: usize,
    answers: usize,
    unread: usize,
    relayed: usize,
}

impl MemoryLimits {
    /// The limits of a host with this much memory, bytes.
    pub fn new(memory: Option<usize>) -> MemoryLimits {
        let memory = memory.unwrap_or(DEFAULT_MEMORY);
        MemoryLimits {
            // The rest is for the process itself and for what its heap keeps unused.
            total: memory / 8 * 5,
            requests: memory / REQUESTS_SHARE,
            answers: memory / ANSWERS_SHARE,
            unread: memory / UNREAD_SHARE,
            relayed: memory / RELAYED_SHARE,
        }
    }

    /// The largest body that a request may have.
    pub fn max_body(&self) -> usize {
        self.requests
    }

    /// Bytes that answers which are not complete may take.
    pub fn answers(&self) -> usize {
        self.answers
    }

    /// Whether a body of this length can't be taken in, whatever is given up.
    pub fn lacks_room(&self, account: &Account, length: usize) -> bool {
        let complete = account.used_by(Holder::Requests);
        length > BLOCK && length.saturating_add(complete) > self.requests
    }

    /// Whether a body that has `held` bytes may take `more` where nothing is given up for it.
    pub fn can_take(&self, account: &Account, held: usize, more: usize) -> bool {
        let used = account.used_by(Holder::Receiving) + account.used_by(Holder::Requests);
        held.saturating_add(more) <= BLOCK || used.saturating_add(more) <= self.requests
    }

    /// Whether tunnels have to be slowed down.
    pub fn is_relaying_too_much(&self, account: &Account) -> bool {
        account.used_by(Holder::Relayed) > self.relayed
    }

    /// What has to be given up now, and how many bytes of each. A kind may have less to give.
    pub fn reliefs(&self, account: &Account) -> Vec<(Relief, usize)> {
        let used = |holder| account.used_by(holder);
        let requests = used(Holder::Receiving) + used(Holder::Requests);
        let unread = used(Holder::Unread);
        let slack = self.requests / SLACK_SHARE;
        let wanted = [
            (Relief::Receiving, excess(requests, self.requests).map(|bytes| bytes + slack)),
            (Relief::Answers, excess(used(Holder::Answers), self.answers)),
            (Relief::Stalled, excess(unread, self.unread / STALLED_SHARE)),
            (Relief::Unread, excess(unread, self.unread)),
        ];
        wanted.into_iter().filter_map(|(relief, bytes)| Some((relief, bytes?))).collect()
    }

    /// How many bytes all holders together take beyond their limit.
    pub fn total_excess(&self, account: &Account) -> Option<usize> {
        excess(account.used(), self.total)
    }
}

/// Bytes beyond a limit; `None` within it.
fn excess(used: usize, limit: usize) -> Option<usize> {
    used.checked_sub(limit).filter(|bytes| *bytes > 0)
}

/// What holds memory and may be given up.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// What is given up.
    pub key: K,
    /// Memory that this frees.
    pub bytes: usize,
    /// When it last made progress.
    pub active: Instant,
}

/// Those that have made no progress for longest, and together free so many bytes.
pub fn least_active<K>(mut candidates: Vec<Candidate<K>>, bytes: usize) -> Vec<K> {
    candidates.sort_by_key(|candidate| candidate.active);
    let mut freed = 0;
    let chosen = candidates.into_iter().take_while(|candidate| {
        let wanted = freed < bytes;
        freed += candidate.bytes;
        wanted
    });
    chosen.map(|candidate| candidate.key).collect()
}
