//! What is an HTTP/1.1 message, as far as the libraries that parse heads do not check it.
//!
//! They check the form of status lines, field names and values. What they leave to their callers is
//! decided here for every reader: which statuses a response may have, what white space is, and the
//! lines of a chunked body. A message that breaks a rule is none: nothing of it is used, nor of what
//! follows on its connection, as where it ends is not known.

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
    if !is_text(line) {
        return None;
    }
    let size = line.split(|byte| *byte == b';').next()?;
    let digits = std::str::from_utf8(size).ok()?.trim_end_matches([' ', '\t']);
    let valid = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    valid.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// Whether a line is a trailer field: a name, a colon and a value on this line.
pub fn is_trailer_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
    let (name, value) = line.split_at(colon);
    !name.is_empty() && name.iter().all(|byte| is_token(*byte)) && is_text(value)
}

/// Whether a byte may occur in a field's name.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether bytes may occur in a field's value: no control characters but tabs.
fn is_text(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == b'\t' || !byte.is_ascii_control())
}
