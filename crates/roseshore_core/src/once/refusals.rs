//! What refused attempts are told.
//!
//! "Not run" is said of a key only where the fold, current to the attempt's arrival, proves it; of
//! everything else the message tells the attempt, which did not run, from the key.

use crate::prelude::*;

/// The key belongs to another body.
pub(super) fn reused(key: &Key) -> Refusal {
    let text =
        format!("key `{key}` was used with another body; this one did not run, use a new key");
    Refusal::not_run(Code::KeyReused, text)
}

/// Whether an earlier attempt ran is not known.
pub(super) fn unknown(key: &Key, why: &str) -> Refusal {
    let text = format!(
        "this attempt did not run; whether an earlier one with key `{key}` ran is not known: {why}; \
         ask again with the same key, or have an operator settle it"
    );
    Refusal::may_have_run(Code::KeyUnknown, text)
}

/// The work ran, and nobody has its answer.
pub(super) fn not_held(key: &Key) -> Refusal {
    let text = format!("key `{key}` ran, but its answer is not kept any more; ask its target");
    Refusal::may_have_run(Code::KeyUnknown, text)
}

/// An operator said that it ran.
pub(super) fn ran(key: &Key) -> Refusal {
    let text = format!(
        "key `{key}` ran and will not run again, but its answer was not recorded; look at the target"
    );
    Refusal::may_have_run(Code::KeyRan, text)
}

/// An earlier claim may have been trimmed.
pub(super) fn too_old(key: &Key) -> Refusal {
    let text = format!(
        "this attempt did not run; key `{key}` may be older than the record of keys reaches; use a \
         key that carries its time: a version 7 UUID, or any text followed by `@` and milliseconds"
    );
    Refusal::may_have_run(Code::KeyTooOld, text)
}

/// The key's time lies in the future.
pub(super) fn ahead(key: &Key) -> Refusal {
    let text =
        format!("the time in key `{key}` lies in the future; set the clock and use a new key");
    Refusal::not_run(Code::BadHeader, text)
}

/// Another attempt is under way.
pub(super) fn in_progress(key: &Key) -> Refusal {
    let text =
        format!("key `{key}` is being worked on; ask again with the same key for its answer");
    Refusal::may_have_run(Code::KeyInProgress, text)
}

/// The key was free to the last.
pub(super) fn late(key: &Key) -> Refusal {
    let text = format!("key `{key}` was not dispatched in time and did not run; send it again");
    Refusal::not_run(Code::DeadlinePassed, text)
}

/// The key was free when the log last answered.
pub(super) fn free_but_out(key: &Key) -> Refusal {
    let text = format!("key `{key}` did not run, and the log takes no claim; send it again");
    Refusal::not_run(Code::LogUnreachable, text)
}

/// Nothing can be read.
pub(super) fn log_out(key: &Key) -> Refusal {
    let text = format!(
        "this attempt did not run; whether an earlier one with key `{key}` ran cannot be read while \
         the log is out; send it again with the same key"
    );
    Refusal::may_have_run(Code::LogUnreachable, text)
}

/// Nothing was read in time.
pub(super) fn log_slow(key: &Key) -> Refusal {
    let text = format!(
        "this attempt did not run; whether an earlier one with key `{key}` ran could not be read in \
         time; send it again with the same key"
    );
    Refusal::may_have_run(Code::DeadlinePassed, text)
}
