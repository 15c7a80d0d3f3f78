//! Identifies what may be at fault when a target crashes, independently of request ids.
//!
//! A caller that repeats a request gives it a new id, so what a request did to a target can be
//! related to the next one only by its content: caller, path and body. Different requests may also
//! have the cause in common, as a part of their prompts.

use super::hashes::name_hash;
use super::memory::Body;
use crate::ids::PromptPartId;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// Marks the digests of prompt parts, so that they differ from those of requests.
const PART_BIT: u64 = 1;
/// Number of shared parts of a prompt that are considered.
const MAX_PARTS: usize = 32;

/// Identifies a request by its caller, path and body, or a part of a prompt by its caller, model
/// and id. The organisation is stored beside the digest, not only hashed into it: a caller that
/// finds a body with the digest of another caller's request does not get that request blocked.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint {
    /// Hash of the organisation's name; 0 for a caller without one.
    pub organisation: u32,
    /// Digest of the method, the host's name, the path and the body of a request; of the model and
    /// the id of a part.
    pub digest: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of a request from its fields.
    pub fn of(organisation: Option<&str>, fields: &[&[u8]]) -> Fingerprint {
        Fingerprint {
            organisation: organisation.map_or(0, name_hash),
            digest: digest(fields) & !PART_BIT,
        }
    }

    /// Like [`Fingerprint::of`], with a body as the last field.
    pub fn of_request(organisation: Option<&str>, fields: &[&[u8]], body: &Body) -> Fingerprint {
        let mut hash = hash_fields(fields);
        hash.update(&(body.len() as u64).to_le_bytes());
        body.blocks().for_each(|block| hash.update(block));
        Fingerprint {
            organisation: organisation.map_or(0, name_hash),
            digest: hash.digest() & !PART_BIT,
        }
    }

    /// Computes the fingerprint of a part of a prompt.
    pub fn of_part(organisation: Option<&str>, model: &str, id: &str) -> Fingerprint {
        Fingerprint {
            organisation: organisation.map_or(0, name_hash),
            digest: digest(&[model.as_bytes(), id.as_bytes()]) | PART_BIT,
        }
    }

    /// Whether it identifies a part of a prompt rather than a request.
    pub fn is_part(self) -> bool {
        self.digest & PART_BIT != 0
    }
}

fn digest(fields: &[&[u8]]) -> u64 {
    hash_fields(fields).digest()
}

fn hash_fields(fields: &[&[u8]]) -> Xxh3 {
    let mut hash = Xxh3::new();
    for field in fields {
        // The length keeps the end of one field from being taken for the start of the next.
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash
}

/// What may be at fault when a target crashes while it runs a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    /// The request as a whole.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests have as well.
    pub parts: Vec<Fingerprint>,
    /// The last part, which is the request's own or that of its session.
    pub last: Option<Fingerprint>,
}

impl Suspects {
    /// The suspects of a request for a model.
    pub fn new(
        request: Fingerprint,
        organisation: Option<&str>,
        model: &str,
        parts: &[PromptPartId],
    ) -> Suspects {
        let part = |id: &PromptPartId| Fingerprint::of_part(organisation, model, id);
        let (last, shared) = parts.split_last().unzip();
        let last = last.map(part);
        let shared = shared.unwrap_or_default().iter().take(MAX_PARTS).map(part);
        let mut parts: Vec<Fingerprint> = shared.filter(|shared| Some(*shared) != last).collect();
        parts.sort_unstable();
        parts.dedup();
        Suspects { request, parts, last }
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.request).chain(self.parts.iter().copied()).chain(self.last)
    }
}

/// Error for a text that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseFingerprintError> {
        let (organisation, digest) = text.split_at_checked(8).ok_or(ParseFingerprintError)?;
        let organisation =
            u32::from_str_radix(organisation, 16).map_err(|_| ParseFingerprintError)?;
        let digest = u64::from_str_radix(digest, 16).map_err(|_| ParseFingerprintError)?;
        Ok(Fingerprint { organisation, digest })
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:016x}", self.organisation, self.digest)
    }
}
