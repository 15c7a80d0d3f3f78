//! The KV caches of answers: the tokens that each covers, and their digests.
//!
//! A cache keeps one digest per length, so that it can be truncated to the delivered tokens: a
//! broken chain may have computed more tokens than reached the router.

use super::text;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_wire::engine::Kv;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The KV caches of one engine.
pub(super) struct KvStore {
    cap: u64,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    clock: u64,
    used: u64,
    caches: HashMap<RequestId, Cache>,
}

/// The KV cache of one answer.
struct Cache {
    epoch: Epoch,
    layers: (Layer, Layer),
    version: VersionId,
    digests: Vec<u64>,
    touched: u64,
    running: bool,
}

/// Identifies the cache that a step works on.
#[derive(Clone, Debug)]
pub(super) struct KvScope {
    pub(super) answer: RequestId,
    pub(super) epoch: Epoch,
    pub(super) layers: (Layer, Layer),
    pub(super) version: VersionId,
}

impl KvStore {
    pub(super) fn new(cap: u64) -> KvStore {
        KvStore { cap, inner: Mutex::default() }
    }

    /// The number of tokens covered by all caches.
    pub(super) fn used(&self) -> u64 {
        self.inner.lock().used
    }

    /// Whether `tokens` more tokens fit once idle caches are evicted.
    pub(super) fn fits(&self, tokens: u64) -> bool {
        let inner = self.inner.lock();
        let held = inner.caches.values().filter(|c| c.running).map(Cache::len).sum::<u64>();
        held + tokens <= self.cap
    }

    /// Creates a cache that covers `sequence`, replacing any earlier one; returns the digest.
    ///
    /// # Errors
    /// When `sequence` does not fit.
    pub(super) fn fill(&self, scope: &KvScope, sequence: &[String]) -> Result<u64, String> {
        let mut inner = self.inner.lock();
        inner.remove(&scope.answer);
        let digests = chain(sequence);
        let digest = digests.last().copied().unwrap_or(0);
        inner.insert(scope.clone(), digests, true);
        inner.shrink(self.cap)?;
        Ok(digest)
    }

    /// Takes over a cache that covers at least all but the last token of `sequence`, and truncates
    /// what it covers beyond that. Returns the digest of `sequence` and the number of tokens that
    /// were missing.
    ///
    /// # Errors
    /// When no cache matches, or the cache does not fit.
    pub(super) fn adopt(&self, scope: &KvScope, sequence: &[String]) -> Result<(u64, u32), String> {
        let mut inner = self.inner.lock();
        let cache = inner.caches.get_mut(&scope.answer).ok_or("no KV cache of this answer")?;
        if cache.layers != scope.layers || cache.version != scope.version {
            return Err("the KV cache is of other layers or weights".to_owned());
        }
        let want = chain(sequence);
        let common = cache.digests.len().min(want.len());
        if common + 1 < want.len() || cache.digests[..common] != want[..common] {
            return Err("the KV cache does not cover the answer".to_owned());
        }
        let lacked = (want.len() - common) as u32;
        let digest = want.last().copied().unwrap_or(0);
        inner.remove(&scope.answer);
        inner.insert(scope.clone(), want, true);
        inner.shrink(self.cap)?;
        Ok((digest, lacked))
    }

    /// Appends one token to a cache that must cover `len` tokens; returns the digest.
    ///
    /// # Errors
    /// When the cache is missing, belongs to another epoch, or is at another position.
    pub(super) fn push(&self, scope: &KvScope, len: usize, token: &str) -> Result<u64, String> {
        let mut inner = self.inner.lock();
        let cache = inner.caches.get_mut(&scope.answer).ok_or("the KV cache is gone")?;
        if cache.epoch != scope.epoch || cache.digests.len() != len {
            return Err("the KV cache does not match the position".to_owned());
        }
        let digest = text::extend(cache.digests.last().copied().unwrap_or(0), token);
        cache.digests.push(digest);
        inner.used += 1;
        inner.shrink(self.cap)?;
        Ok(digest)
    }

    /// Marks a cache as idle; it is kept until its space is needed.
    pub(super) fn mark_idle(&self, scope: &KvScope) {
        let mut inner = self.inner.lock();
        if let Some(cache) = inner.caches.get_mut(&scope.answer)
            && cache.epoch == scope.epoch
        {
            cache.running = false;
        }
    }

    /// Removes the cache of an answer if it belongs to this epoch or an older one.
    pub(super) fn free(&self, answer: &RequestId, epoch: Epoch) {
        let mut inner = self.inner.lock();
        if inner.caches.get(answer).is_some_and(|c| c.epoch <= epoch) {
            inner.remove(answer);
        }
    }

    /// Removes all caches.
    pub(super) fn clear(&self) {
        *self.inner.lock() = Inner::default();
    }

    /// Exports the cache of an answer for another stage.
    pub(super) fn export(&self, answer: &RequestId) -> Option<Kv> {
        let inner = self.inner.lock();
        let cache = inner.caches.get(answer)?;
        let mut bytes: Vec<u8> = cache.digests.iter().flat_map(|d| d.to_le_bytes()).collect();
        bytes.extend(xxh3_64(&bytes).to_le_bytes());
        Some(Kv {
            answer: answer.clone(),
            epoch: cache.epoch,
            layers: cache.layers,
            version: cache.version.clone(),
            tokens: cache.len(),
            digest: cache.digests.last().copied().unwrap_or(0),
            content: STANDARD.encode(bytes),
        })
    }

    /// Imports the cache of an answer from another stage.
    ///
    /// # Errors
    /// When the content does not match its description.
    pub(super) fn import(&self, kv: &Kv) -> Result<(), String> {
        let bytes = STANDARD.decode(&kv.content).map_err(|e| e.to_string())?;
        let (content, sum) = bytes.split_last_chunk::<8>().ok_or("the content is empty")?;
        let (chunks, rest) = content.as_chunks::<8>();
        let digests: Vec<u64> = chunks.iter().map(|c| u64::from_le_bytes(*c)).collect();
        let whole = rest.is_empty() && u64::from_le_bytes(*sum) == xxh3_64(content);
        let digest = digests.last().copied().unwrap_or(0);
        if !whole || digests.len() as u64 != kv.tokens || digest != kv.digest {
            return Err("the content does not match its digest".to_owned());
        }
        let mut inner = self.inner.lock();
        inner.remove(&kv.answer);
        let scope = KvScope {
            answer: kv.answer.clone(),
            epoch: kv.epoch,
            layers: kv.layers,
            version: kv.version.clone(),
        };
        inner.insert(scope, digests, false);
        inner.shrink(self.cap)
    }

    /// The epoch that last wrote the cache of an answer.
    pub(super) fn epoch(&self, answer: &RequestId) -> Option<Epoch> {
        self.inner.lock().caches.get(answer).map(|c| c.epoch)
    }
}

fn chain(sequence: &[String]) -> Vec<u64> {
    let next = |digest: &mut u64, token: &String| {
        *digest = text::extend(*digest, token);
        Some(*digest)
    };
    sequence.iter().scan(0, next).collect()
}

impl Cache {
    fn len(&self) -> u64 {
        self.digests.len() as u64
    }
}

impl Inner {
    fn insert(&mut self, scope: KvScope, digests: Vec<u64>, running: bool) {
        self.clock += 1;
        self.used += digests.len() as u64;
        let KvScope { answer, epoch, layers, version } = scope;
        let cache = Cache { epoch, layers, version, digests, touched: self.clock, running };
        self.caches.insert(answer, cache);
    }

    fn remove(&mut self, answer: &RequestId) {
        if let Some(cache) = self.caches.remove(answer) {
            self.used -= cache.len();
        }
    }

    /// Evicts the oldest idle caches until the rest fits.
    fn shrink(&mut self, cap: u64) -> Result<(), String> {
        while self.used > cap {
            let idle = self.caches.iter().filter(|(_, c)| !c.running);
            let oldest = idle.min_by_key(|(_, c)| c.touched).map(|(answer, _)| answer.clone());
            let answer = oldest.ok_or("the KV cache is full")?;
            self.remove(&answer);
        }
        Ok(())
    }
}
