//! What a source holds: a rule for generated names, and records of its own.

use roseshore_core::prelude::*;
use roseshore_core::wall;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The names that the rule speaks of begin so, and go on with a number.
const PREFIX: &str = "pkg-";

/// A source of records by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Source {
    /// Its name.
    pub name: String,
    /// The part of the names `pkg-N` that it holds, by a hash over source and name, in percent.
    pub percent: u64,
    /// Records besides, by name; they go before the rule.
    pub records: BTreeMap<String, String>,
}

/// A generated record; equal in every source that holds the name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generated {
    /// The name.
    pub name: String,
    /// A version that depends on the name only.
    pub version: String,
}

impl Source {
    /// The record of a name, or `None` when the source does not hold it.
    pub fn record(&self, name: &str) -> Option<String> {
        if let Some(body) = self.records.get(name) {
            return Some(body.clone());
        }
        let number: u64 = name.strip_prefix(PREFIX)?.parse().ok()?;
        let seed = xxh3_64_with_seed(self.name.as_bytes(), 0);
        let held = xxh3_64_with_seed(name.as_bytes(), seed) % 100 < self.percent;
        let version = format!("1.{}.0", number % 100);
        held.then(|| serde_json::json!(Generated { name: name.to_owned(), version }).to_string())
    }
}

/// The incarnation of a process that starts now.
pub fn incarnation() -> Incarnation {
    wall::millis(SystemTime::now())
}
