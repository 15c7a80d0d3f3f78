//! When a host asks the store, and when it leaves that to others.
//!
//! One host reads for all and the others hear how far it has come. Each of them has a place in the
//! order of hosts, and reads for itself only when the word of those before it is late. While the
//! store is away the first few try, and the others wait to hear of it.

use crate::prelude::*;

/// How long a read of the configuration waits for a change. Each read has a price; but a store that
/// drops its history may leave a waiting read unanswered while changes are made, and a change has
/// to be in force two seconds after it was made: one host reads for all, so its wait has to leave time to tell them.
pub const CONFIG_LONG_POLL: Duration = Duration::from_millis(1100);
/// Between reads of the list of targets by the first host: well within the bound for leaving
/// targets. The others compare digests with it.
pub const TARGETS_INTERVAL: Duration = Duration::from_millis(900);
/// A host reads for itself when nothing has confirmed its list, or its configuration, for so much
/// longer with each place; the last of them within 1.8 s, and the bound for leaving targets is two.
const LATER: Duration = Duration::from_millis(300);
/// Places in the order of hosts beyond which it makes no difference.
const LAST_PLACE: usize = 3;
/// The first wait after a failed call, and the longest.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));
/// The shortest wait of a host that is not among the first to read: those try all the while, and
/// tell it when the store is back. Were it to try as often, calls to a store that is down would grow with the hosts.
const AWAY_AGAIN: Duration = Duration::from_millis(2500);
/// A host that has begun listens for so long before it reads the store, and so much longer for each
/// place in the order of hosts: who lives answers within some milliseconds, and has a copy; when all
/// begin together the first reads, and the others have its copy soon after.
const LISTEN: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(100));
/// The same where the whole system starts for the first time, since all begin within 0.3 s.
const LISTEN_FIRST: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(500));

fn steps(place: usize) -> u32 {
    place.min(LAST_PLACE) as u32
}

/// How old the proof of a configuration may be before the host at a place reads for itself; `None`
/// for the first one, which always does.
pub fn config_max_age(place: usize) -> Option<Duration> {
    (place > 0).then(|| CONFIG_LONG_POLL + LATER * steps(place))
}

/// The same for the list of targets.
pub fn list_max_age(place: usize) -> Option<Duration> {
    (place > 0).then(|| TARGETS_INTERVAL + LATER * steps(place))
}

/// The age of a proof from which on a read must not wait for a change: it proves nothing until it is
/// answered.
pub const LONG_POLL_MAX_AGE: Duration = Duration::from_millis(1250);

/// The wait after so many failed calls, this one left out.
pub fn backoff(failed: u32, place: usize) -> Duration {
    let usual = (BACKOFF.0 * (1 << failed.min(4))).min(BACKOFF.1);
    if place < LAST_PLACE { usual } else { usual.max(AWAY_AGAIN) }
}

/// How long a host that has begun waits for another one's copy; `first` where the whole system
/// starts for the first time.
pub fn startup_delay(first: bool, place: usize) -> Duration {
    let (least, each) = if first { LISTEN_FIRST } else { LISTEN };
    least + each * steps(place)
}
