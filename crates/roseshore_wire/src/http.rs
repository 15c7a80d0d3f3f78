//! What is an HTTP/1.1 message, as far as the libraries that parse heads do not check it.
//!
//! They check the form of status lines, field names and values. What they leave to their callers is
//! decided here for every reader: which statuses a response may have, what white space is, and the
//! lines of a chunked body. A message that breaks a rule is none: nothing of it is used, and what
//! follows it on its connection cannot be told apart from it.

use std::ops::RangeInclusive;

/// Statuses of a final response.
const FINAL: RangeInclusive<u16> = 200..=599;
/// Statuses of an interim response.
const INTERIM: RangeInclusive<u16> = 100..=199;
/// Another protocol follows this status; no request here asks for one.
const SWITCHING_PROTOCOLS: u16 = 101;

/// What a response with some status is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// Another response to the same request follows.
    Interim,
    /// The response to the request.
    Final,
}

/// The kind of a response with this status; `None` if no response has it.
pub fn response_kind(status: u16) -> Option<ResponseKind> {
    if FINAL.contains(&status) {
        Some(ResponseKind::Final)
    } else if INTERIM.contains(&status) && status != SWITCHING_PROTOCOLS {
        Some(ResponseKind::Interim)
    } else {
        None
    }
}

/// Removes the white space that may surround a field's value: blanks and tabs.
pub fn trim(value: &str) -> &str {
    value.trim_matches([' ', '\t'])
}

/// The size in the line before a chunk, which may be followed by blanks and extensions; `None` if the
/// line is malformed.
pub fn chunk_size(line: &[u8]) -> Option<u64> {
    let (size, _) = match line.iter().position(|byte| *byte == b';') {
        Some(end) => line.split_at(end),
        None => (line, &[][..]),
    };
    let digits = std::str::from_utf8(size).ok()?.trim_end_matches([' ', '\t']);
    let valid = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    valid.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}
