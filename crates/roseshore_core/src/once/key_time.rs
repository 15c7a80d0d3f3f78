//! The creation time that a key carries.
//!
//! It is part of the key itself, so that it cannot differ between repeats of a request: a version 7
//! UUID, or any text followed by `@` and the milliseconds since the Unix epoch. Text that only
//! might be a time is not taken for one: a ULID, for example, looks like any other word of its
//! length.

use std::time::Duration;

/// Milliseconds since the Unix epoch.
pub type Millis = u64;

/// The most by which a caller's clock may differ from the log service's.
pub const MAX_SKEW: Duration = Duration::from_mins(1);

/// Lengths of the groups of a UUID, in hexadecimal digits.
const UUID_GROUPS: [usize; 5] = [8, 4, 4, 4, 12];

/// When the caller created the key; `None` if the key does not say so.
pub fn created_at(key: &str) -> Option<Millis> {
    let caller_part = key.rsplit('/').next().unwrap_or(key);
    match caller_part.rsplit_once('@') {
        Some((_, millis)) => millis.parse().ok(),
        None => uuid_millis(caller_part),
    }
}

fn uuid_millis(text: &str) -> Option<Millis> {
    let groups: Vec<&str> = text.split('-').collect();
    let lengths_match = groups.iter().map(|g| g.len()).eq(UUID_GROUPS);
    let hex = groups.iter().all(|g| g.bytes().all(|b| b.is_ascii_hexdigit()));
    if !lengths_match || !hex {
        return None;
    }
    let version_7 = groups[2].starts_with('7');
    let variant = groups[3].starts_with(['8', '9', 'a', 'b', 'A', 'B']);
    if !version_7 || !variant {
        return None;
    }
    let millis = format!("{}{}", groups[0], groups[1]);
    Millis::from_str_radix(&millis, 16).ok()
}
