//! To whom a host sends heartbeats, how often, and what about.
//!
//! In a small data centre every host tells every other. In a larger one the first few by rank speak
//! for all: the others tell these, and hear from them what all have. Speakers of different data
//! centres tell each other the sums of theirs. So what a host sends and hears does not grow with the
//! number of hosts, but for the speakers', which grows with their own data centre.
//!
//! Nobody elects the speakers: each host works them out from whom it hears, and a host that finds
//! itself among them speaks. Two sets of speakers for a while, or none, cost some freshness.

use crate::prelude::*;

/// Hosts of a data centre up to which each tells every other.
const MESH_MAX_HOSTS: usize = 10;
/// Hosts that speak for a larger data centre. With three, the loss of any two leaves one that is
/// heard without a pause.
const SPEAKERS: usize = 3;
/// Hosts that are asked while no speaker is heard.
const ASKED_WHEN_ISOLATED: usize = 8;
/// Between heartbeats to a host of the own data centre, at least.
const NEAR_MIN_PERIOD: Duration = Duration::from_millis(100);
/// Added for each of them, so that a speaker of up to a hundred hosts sends them 250 heartbeats
/// a second: with those that it hears, 0.012 of a core more than a host that does not speak.
const NEAR_PERIOD_PER_HOST: Duration = Duration::from_millis(4);
/// Added for each of them where each tells every other.
const MESH_PERIOD_PER_HOST: Duration = Duration::from_millis(10);
/// The same in a data centre that has speakers: its other hosts know only some of each other, and
/// would take it for small.
const LARGE_CENTRE_MIN_PERIOD: Duration = Duration::from_millis(200);
/// Between heartbeats to a host of the own data centre, at most: a third of the silence after which
/// a host is given up.
const NEAR_MAX_PERIOD: Duration = Duration::from_millis(400);
/// Between heartbeats to speakers of other data centres: bytes between data centres are dear.
const FAR_PERIOD: Duration = Duration::from_millis(400);
/// Between heartbeats to hosts that are not heard, or have only asked who is there.
const CONTACT_PERIOD: Duration = Duration::from_secs(1);
/// The same for a host that has just begun.
const STARTUP_SEED_PERIOD: Duration = Duration::from_millis(250);
/// Between heartbeats to a seed that is not needed: two halves of a system that know nothing of
/// each other meet there.
const SEED_PERIOD: Duration = Duration::from_secs(5);

/// What another host is to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// One that speaks for the own data centre.
    Speaker,
    /// One of the own data centre that this host speaks to.
    Listener,
    /// One that speaks for another data centre, as this one does for its own.
    FarSpeaker,
    /// One that asked who is there.
    Requester,
    /// A seed, to a host that has just begun.
    StartupSeed,
    /// One that may know others, and is needed since too few are heard.
    Contact,
    /// A seed that is not needed now.
    Seed,
}

impl Relation {
    /// The time between heartbeats, among so many other hosts in the own data centre.
    pub fn period(self, near: usize) -> Duration {
        let hosts = u32::try_from(near).unwrap_or(u32::MAX);
        match self {
            Relation::Speaker | Relation::Listener => {
                let (each, least) = if near < MESH_MAX_HOSTS {
                    (MESH_PERIOD_PER_HOST, NEAR_MIN_PERIOD)
                } else {
                    (NEAR_PERIOD_PER_HOST, LARGE_CENTRE_MIN_PERIOD)
                };
                each.saturating_mul(hosts).clamp(least, NEAR_MAX_PERIOD)
            }
            Relation::FarSpeaker => FAR_PERIOD,
            Relation::StartupSeed => STARTUP_SEED_PERIOD,
            Relation::Requester | Relation::Contact => CONTACT_PERIOD,
            Relation::Seed => SEED_PERIOD,
        }
    }

    /// Whether an answer is wanted.
    pub fn asks(self) -> bool {
        !matches!(self, Relation::Listener | Relation::Requester)
    }
}

/// How many of so many hosts of a data centre speak.
pub fn speakers(hosts: usize) -> usize {
    if hosts <= MESH_MAX_HOSTS { hosts } else { SPEAKERS }
}

/// How many of so many hosts of a data centre a host asks; more while it hears none.
pub fn asked(hosts: usize, heard: bool) -> usize {
    let usual = speakers(hosts);
    if heard { usual } else { usual.max(ASKED_WHEN_ISOLATED) }
}
