//! The tokens that a fake model "samples".
//!
//! A token is a pure function of the model, its version, the adapter, and the preceding tokens.
//! Tokens are folded into a chain of digests, one per length, so that each further token costs one
//! hash regardless of the length of the answer.

use roseshore_wire::engine::Stamp;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

const STOP: &str = "stop:";

/// The digest of a sequence extended by one token.
pub fn extend(digest: u64, token: &str) -> u64 {
    xxh3_64_with_seed(token.as_bytes(), digest ^ 0x9e37_79b9)
}

/// The digest of a whole sequence.
pub fn digest<'a>(tokens: impl IntoIterator<Item = &'a String>) -> u64 {
    tokens.into_iter().fold(0, |digest, token| extend(digest, token))
}

/// The prefix hash that cache events carry: a hash of the tokens, each followed by a zero byte.
pub fn prefix_hash(tokens: &[String]) -> u64 {
    let mut hash = Xxh3::new();
    for token in tokens {
        hash.update(token.as_bytes());
        hash.update(&[0]);
    }
    hash.digest()
}

/// The parts of a model's identity that determine the sampled tokens.
#[derive(Clone, Copy, Debug)]
pub struct Sampler<'a> {
    /// The model.
    pub model: &'a str,
    /// The version of its weights.
    pub version: &'a str,
    /// The adapter.
    pub adapter: Option<&'a str>,
}

impl Sampler<'_> {
    /// The token that follows the sequence with this digest.
    pub fn sample(&self, digest: u64) -> String {
        let name = format!("{}\0{}\0{}", self.model, self.version, self.adapter.unwrap_or(""));
        let hash = xxh3_64_with_seed(name.as_bytes(), digest);
        format!("w{:06x}", hash & 0xff_ffff)
    }

    /// The token that results when `lineage` ran; it differs if layers are missing.
    pub fn sample_after(&self, digest: u64, lineage: &[Stamp]) -> String {
        if contiguous(lineage) {
            return self.sample(digest);
        }
        let ran = format!("{:?}", lineage.iter().map(|s| s.layers).collect::<Vec<_>>());
        self.sample(digest ^ xxh3_64(ran.as_bytes()))
    }
}

fn contiguous(lineage: &[Stamp]) -> bool {
    let mut next = 0;
    lineage.iter().all(|stamp| {
        let fits = stamp.layers.0 == next;
        next = stamp.layers.1;
        fits
    })
}

/// The number of tokens of an answer, and the reason why it ends there.
pub fn length(prompt: &[String], max_tokens: u32) -> (u32, &'static str) {
    let stop = prompt.iter().find_map(|t| t.strip_prefix(STOP)?.parse::<u32>().ok());
    match stop {
        Some(count) if count <= max_tokens => (count, "stop"),
        _ => (max_tokens, "length"),
    }
}

/// The complete answer to a prompt.
pub fn expected(
    model: &str,
    version: &str,
    adapter: Option<&str>,
    prompt: &[String],
    max_tokens: u32,
) -> Vec<String> {
    let sampler = Sampler { model, version, adapter };
    let (count, _) = length(prompt, max_tokens);
    let mut digest = digest(prompt);
    let mut tokens = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let token = sampler.sample(digest);
        digest = extend(digest, &token);
        tokens.push(token);
    }
    tokens
}
