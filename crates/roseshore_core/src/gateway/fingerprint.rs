//! What makes two requests the same, whatever their ids.
//!
//! A caller that asks again has a new request id, so what a request did to a target can only be told
//! of the next one by what it asks: who, where, and the body.

use super::peers::name_hash;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// A request by its caller, its path and its body. The organisation stands beside the digest, not only within
/// it: whoever finds a body with another's digest is still told apart from them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint {
    /// The mark of the organisation; 0 for a caller without one.
    pub organisation: u32,
    /// Of the method, the host's name, the path and the body.
    pub digest: u64,
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(organisation: Option<&str>, parts: &[&[u8]]) -> Fingerprint {
        let mut digest = Xxh3::new();
        for part in parts {
            // The length keeps the end of one part from passing for the start of the next.
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Fingerprint { organisation: organisation.map_or(0, name_hash), digest: digest.digest() }
    }
}

/// A text that is no fingerprint.
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
