//! Splits a server-sent event stream at event boundaries.
//!
//! Only complete events are forwarded to the caller, so that a stream whose target dies in the
//! middle of an event can be resumed at the next event by another target.

/// Terminates an event.
const TERMINATOR: &[u8] = b"\n\n";

/// Complete events taken from a buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes of the events, without events that were forwarded before.
    pub bytes: Vec<u8>,
    /// The id of the last event, or that of an event forwarded before; `None` if none had an id.
    pub last: Option<u64>,
    /// Number of events in `bytes`.
    pub count: u32,
    /// Whether an id was not one more than the id before it, so that events are missing.
    pub gap: bool,
}

/// Removes complete events from the front of `buffer`; those with ids up to `after` were forwarded
/// before and are discarded. An incomplete event stays in `buffer`.
pub fn take_events(buffer: &mut Vec<u8>, after: Option<u64>) -> CompleteEvents {
    take_new_events(buffer, after, 0)
}

/// Like [`take_events`], for a buffer whose first `searched` bytes hold no end of an event.
pub fn take_new_events(
    buffer: &mut Vec<u8>,
    after: Option<u64>,
    searched: usize,
) -> CompleteEvents {
    let mut taken = CompleteEvents { last: after, ..CompleteEvents::default() };
    let mut from = 0;
    // The end may have begun with the last byte.
    let mut search = searched.saturating_sub(TERMINATOR.len() - 1);
    while let Some(at) = find_subslice(&buffer[search..], TERMINATOR) {
        let end = search + at + TERMINATOR.len();
        search = end;
        let event = &buffer[from..end];
        from = end;
        let id = event_id(event);
        if let (Some(id), Some(last)) = (id, taken.last) {
            if id <= last {
                continue;
            }
            taken.gap |= id != last + 1;
        }
        taken.last = id.or(taken.last);
        taken.count += 1;
        taken.bytes.extend_from_slice(event);
    }
    buffer.drain(..from);
    taken
}

fn find_subslice(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).position(|w| w == needle)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
