//! A stream of events, cut at event borders.
//!
//! Only whole events go to the caller, so that an answer whose target dies inside an event can go
//! on with the next one from elsewhere.

/// The blank line that ends an event.
const END: &[u8] = b"\n\n";

/// Whole events taken off a buffer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes, those already seen left out.
    pub bytes: Vec<u8>,
    /// The id of the last one.
    pub last: Option<u64>,
    /// How many there are.
    pub count: u32,
    /// Whether an id did not rise by one where that was to be expected.
    pub gap: bool,
}

/// Takes the whole events off the front of `buffer`; those up to `after` were seen before.
pub fn take_events(buffer: &mut Vec<u8>, after: Option<u64>) -> CompleteEvents {
    let mut taken = CompleteEvents { last: after, ..CompleteEvents::default() };
    let mut from = 0;
    while let Some(at) = find(&buffer[from..], END) {
        let end = from + at + END.len();
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

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
