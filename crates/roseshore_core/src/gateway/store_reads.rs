//! When a host reads the store, and when it leaves that to others.
//!
//! One host reads the store for all, and the others learn its progress from heartbeats. Every host
//! has a rank in the order of hosts, and reads the store itself only when reports from those ranked
//! before it are late. While the store is down the first few hosts retry, and the others wait to
//! hear that it is back.

use crate::prelude::*;

/// How long a read of the configuration waits for a change. Each read has a price, which speaks for
/// a long wait; but a store that drops its history may leave a waiting read unanswered while
/// changes are made, and a change has to be in force within two seconds. One host reads for all, so
/// its wait has to leave time to tell the others.
pub const CONFIG_LONG_POLL: Duration = Duration::from_millis(1100);
/// Interval between reads of the list of targets by the first host; well within the bound for
/// leaving targets. The other hosts compare their digests of the list with its own.
pub const TARGETS_INTERVAL: Duration = Duration::from_millis(900);
/// A host reads for itself when nothing has confirmed its list, or its configuration, for this much
/// longer with each rank. The last host reads its list within 1.8 s; the bound for leaving targets
/// is 2 s.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Ranks from this one on are treated alike.
const LAST_RANK: usize = 3;
/// The wait after the first failed call, and the longest.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));
/// The shortest wait after a failed call of a host that is not among the first to read. Those retry
/// all the while and tell it when the store is back. If it retried as often, calls to a store that
/// is down would grow with the number of hosts.
const FOLLOWER_BACKOFF: Duration = Duration::from_millis(2500);
/// A starting host listens to others for the first of these times, plus the second for each rank,
/// before it reads the store. Running hosts answer within some milliseconds and have a copy; when
/// all hosts start together the first one reads, and the others have its copy soon after.
const LISTEN: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(100));
/// The same when the whole system starts for the first time, which starts all hosts within 0.3 s.
const LISTEN_FIRST: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(500));

fn steps(rank: usize) -> u32 {
    rank.min(LAST_RANK) as u32
}

/// How old the last confirmation of the configuration may be before the host of a rank reads it
/// itself; `None` for the first host, which always reads.
pub fn config_max_age(rank: usize) -> Option<Duration> {
    (rank > 0).then(|| CONFIG_LONG_POLL + RANK_DELAY * steps(rank))
}

/// The same for the list of targets.
pub fn list_max_age(rank: usize) -> Option<Duration> {
    (rank > 0).then(|| TARGETS_INTERVAL + RANK_DELAY * steps(rank))
}

/// Once the last confirmation is older than this, a read must not wait for a change, since a waiting
/// read confirms nothing until it is answered.
pub const LONG_POLL_MAX_AGE: Duration = Duration::from_millis(1250);

/// The wait after a failed call, when `failed` calls in a row had failed before it.
pub fn backoff(failed: u32, rank: usize) -> Duration {
    let usual = (BACKOFF.0 * (1 << failed.min(4))).min(BACKOFF.1);
    if rank < LAST_RANK { usual } else { usual.max(FOLLOWER_BACKOFF) }
}

/// How long a host that starts waits for a copy from another host; `first` if the whole system
/// starts for the first time.
pub fn startup_delay(first: bool, rank: usize) -> Duration {
    let (least, each) = if first { LISTEN_FIRST } else { LISTEN };
    least + each * steps(rank)
}
