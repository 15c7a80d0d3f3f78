//! Refusals for attempts.
//!
//! A refusal has the verdict "not run" only where the folded state, current as of the attempt's
//! arrival, proves that the key did not run. In all other cases the message distinguishes the
//! attempt, which did not run, from the key, which may have.

use crate::prelude::*;

/// The key is in use with another request body.
pub(super) fn reused(key: &Key) -> Refusal {
    let message =
        format!("key `{key}` was used with another body; this one did not run, use a new key");
    Refusal::not_run(Code::KeyReused, message)
}

/// It is not known whether an earlier attempt ran.
pub(super) fn unknown(key: &Key, reason: &str) -> Refusal {
    let message = format!(
        "this attempt did not run; whether an earlier one with key `{key}` ran is not known: {reason}; \
         ask again with the same key, or have an operator settle it"
    );
    Refusal::may_have_run(Code::KeyUnknown, message)
}

/// The request ran, but its answer is no longer available anywhere.
pub(super) fn answer_lost(key: &Key) -> Refusal {
    let message = format!("key `{key}` ran, but its answer is not kept any more; ask its target");
    Refusal::may_have_run(Code::KeyUnknown, message)
}

/// The request ran, and the log, which holds its answer, is unavailable.
pub(super) fn answer_unreadable(key: &Key) -> Refusal {
    let message = format!(
        "key `{key}` ran, and its answer cannot be read while the log is out; ask again with the same \
         key"
    );
    Refusal::may_have_run(Code::LogUnreachable, message)
}

/// An operator stated that the request ran.
pub(super) fn already_ran(key: &Key) -> Refusal {
    let message = format!(
        "key `{key}` ran and will not run again, but its answer was not recorded; look at the target"
    );
    Refusal::may_have_run(Code::KeyRan, message)
}

/// An earlier claim of the key may have been trimmed from the log.
pub(super) fn too_old(key: &Key) -> Refusal {
    let message = format!(
        "this attempt did not run; key `{key}` may be older than the record of keys reaches; use a \
         key that carries its time: a version 7 UUID, or any text followed by `@` and milliseconds"
    );
    Refusal::may_have_run(Code::KeyTooOld, message)
}

/// The key's creation time lies in the future.
pub(super) fn in_future(key: &Key) -> Refusal {
    let message =
        format!("the time in key `{key}` lies in the future; set the clock and use a new key");
    Refusal::not_run(Code::BadHeader, message)
}

/// Another attempt holds the key.
pub(super) fn in_progress(key: &Key) -> Refusal {
    let message =
        format!("key `{key}` is being worked on; ask again with the same key for its answer");
    Refusal::may_have_run(Code::KeyInProgress, message)
}

/// The key was free throughout, or held by this attempt, but was not dispatched by the deadline.
pub(super) fn not_dispatched(key: &Key) -> Refusal {
    let message = format!("key `{key}` was not dispatched in time and did not run; send it again");
    Refusal::not_run(Code::DeadlinePassed, message)
}

/// The key was free when the log was last read, and the log is now unavailable.
pub(super) fn not_run_log_unavailable(key: &Key) -> Refusal {
    let message = format!("key `{key}` did not run, and the log takes no claim; send it again");
    Refusal::not_run(Code::LogUnreachable, message)
}

/// The log is unavailable and the state of the key is not known.
pub(super) fn log_unavailable(key: &Key) -> Refusal {
    let message = format!(
        "this attempt did not run; whether an earlier one with key `{key}` ran cannot be read while \
         the log is out; send it again with the same key"
    );
    Refusal::may_have_run(Code::LogUnreachable, message)
}

/// The log was not read in time and the state of the key is not known.
pub(super) fn log_timeout(key: &Key) -> Refusal {
    let message = format!(
        "this attempt did not run; whether an earlier one with key `{key}` ran could not be read in \
         time; send it again with the same key"
    );
    Refusal::may_have_run(Code::DeadlinePassed, message)
}
