//! The time at which a key was made, carried by the key itself.
//!
//! It stands inside the key, so that it cannot differ between repeats: a version 7 UUID, or any
//! text followed by `@` and the milliseconds of the epoch. Text that only might be a time (a ULID
//! looks like any word of its length) is not taken for one.

use std::time::Duration;

/// Milliseconds of the epoch.
pub type Millis = u64;

/// How far a caller's clock may be from the log service's.
pub const MAX_SKEW: Duration = Duration::from_mins(1);

/// Lengths of the groups of a UUID.
const GROUPS: [usize; 5] = [8, 4, 4, 4, 12];

/// When the caller made the key, if it says so.
pub fn born(key: &str) -> Option<Millis> {
    let own = key.rsplit('/').next().unwrap_or(key);
    match own.rsplit_once('@') {
        Some((_, millis)) => millis.parse().ok(),
        None => uuid(own),
    }
}

fn uuid(text: &str) -> Option<Millis> {
    let groups: Vec<&str> = text.split('-').collect();
    let shaped = groups.iter().map(|g| g.len()).eq(GROUPS);
    let hex = groups.iter().all(|g| g.bytes().all(|b| b.is_ascii_hexdigit()));
    if !shaped || !hex {
        return None;
    }
    let seven = groups[2].starts_with('7');
    let variant = groups[3].starts_with(['8', '9', 'a', 'b', 'A', 'B']);
    if !seven || !variant {
        return None;
    }
    let millis = format!("{}{}", groups[0], groups[1]);
    Millis::from_str_radix(&millis, 16).ok()
}
