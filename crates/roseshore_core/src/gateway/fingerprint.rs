//! Identifies repeated requests independently of their ids.
//!
//! A caller that repeats a request gives it a new id, so what a request did to a target can be
//! related to the next one only by its content: caller, path and body.

use super::peers::name_hash;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// Identifies a request by its caller, path and body. The organisation is stored beside the digest,
/// not only hashed into it: whoever finds a body whose digest equals another's is still told apart
/// from that caller.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint {
    /// Hash of the organisation's name; 0 for a caller without one.
    pub organisation: u32,
    /// Digest of the method, the host's name, the path and the body.
    pub digest: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(organisation: Option<&str>, parts: &[&[u8]]) -> Fingerprint {
        let mut digest = Xxh3::new();
        for part in parts {
            // The length keeps the end of one part from being taken for the start of the next.
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Fingerprint { organisation: organisation.map_or(0, name_hash), digest: digest.digest() }
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
