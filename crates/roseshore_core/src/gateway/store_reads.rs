//! When a host reads the store, and when it leaves that to others.
//!
//! One host reads the store for all, and the others learn its progress from heartbeats. Every host
//! has a rank in the order of hosts, and reads the store itself only when reports from those ranked
//! before it are late. While the store is down the first few hosts retry, and the others wait to
//! hear that it is back.
//!
//! All hosts but the first few of each data centre are followers. Whatever makes a follower read, the
//! same makes the others read at that moment: a reader that is late, or news that spreads slowly. If
//! all of them read at once, the store is so busy that their calls time out, and they try again
//! together. Followers therefore take turns: in each tick of the event loop only a few of the whole
//! system may begin a read, however many hosts it has. What these read reaches the others by
//! heartbeats and copies.

use super::settings::Bounds;
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
/// longer with each rank.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Share of the operators' bound on a change after which a follower reads for itself, if that is
/// later than its rank says. The rest of the bound is left for its turn and the read.
const FOLLOWER_SHARE: f64 = 0.5;
/// Expected number of followers of the whole system that may begin a read in one tick.
const FOLLOWER_READS: f64 = 4.0;
/// How long the first hosts wait for a copy of a newer configuration before they read it instead.
const MAX_COPY_WAIT: Duration = Duration::from_millis(500);
/// The same for followers, as a share of the operators' bound on a change of the configuration.
const FOLLOWER_COPY_SHARE: f64 = 0.3;
/// Share of the operators' bound on a change of the configuration for which a host serves on while
/// it lacks a configuration that another host has.
const OUTDATED_SHARE: f64 = 0.35;
/// Hosts of this rank and later ones are followers.
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

/// When a host reads the store itself, as far as that follows from the operators' bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPolicy {
    /// Longest age of a follower's confirmation of the configuration and of the list.
    config_age: Duration,
    list_age: Duration,
    /// How long a follower waits for a copy of a newer configuration.
    copy_wait: Duration,
    /// How long a host serves while it lacks a newer configuration.
    outdated: Duration,
}

impl ReadPolicy {
    /// The policy under these bounds.
    pub fn new(bounds: &Bounds) -> ReadPolicy {
        let last = RANK_DELAY * steps(LAST_RANK);
        let share = |bound: Duration| bound.mul_f64(FOLLOWER_SHARE);
        ReadPolicy {
            config_age: share(bounds.config).max(CONFIG_LONG_POLL + last),
            list_age: share(bounds.drain).max(TARGETS_INTERVAL + last),
            copy_wait: bounds.config.mul_f64(FOLLOWER_COPY_SHARE),
            outdated: bounds.config.mul_f64(OUTDATED_SHARE),
        }
    }

    /// How old the last confirmation of the configuration may be before the host of a rank reads it
    /// itself; `None` for the first host, which always reads.
    pub fn config_max_age(&self, rank: usize) -> Option<Duration> {
        max_age(rank, CONFIG_LONG_POLL, self.config_age)
    }

    /// The same for the list of targets.
    pub fn list_max_age(&self, rank: usize) -> Option<Duration> {
        max_age(rank, TARGETS_INTERVAL, self.list_age)
    }

    /// How long the host of a rank waits for a copy of a newer configuration before it reads it.
    pub fn copy_wait(&self, rank: usize) -> Duration {
        if is_follower(rank) { self.copy_wait.max(MAX_COPY_WAIT) } else { MAX_COPY_WAIT }
    }

    /// How long a host may lack a configuration that another host has before it counts as outdated.
    pub fn outdated_after(&self) -> Duration {
        self.outdated
    }

    /// Age of the last confirmation of the list at which followers begin to read it. If their calls
    /// fail as well, the store is down for all hosts.
    pub fn unconfirmed_after(&self) -> Duration {
        self.list_age
    }
}

/// How old a confirmation may be that the first host renews at this interval, or for followers.
fn max_age(rank: usize, interval: Duration, follower: Duration) -> Option<Duration> {
    match rank {
        0 => None,
        _ if is_follower(rank) => Some(follower),
        _ => Some(interval + RANK_DELAY * steps(rank)),
    }
}

/// Whether a host of this rank is a follower.
pub fn is_follower(rank: usize) -> bool {
    rank >= LAST_RANK
}

/// Whether a follower has its turn to read in this tick. `others` is the number of other hosts in the
/// system and `draw` a random number from 0 to 1.
pub fn has_turn(others: usize, draw: f64) -> bool {
    draw * others as f64 <= FOLLOWER_READS
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
