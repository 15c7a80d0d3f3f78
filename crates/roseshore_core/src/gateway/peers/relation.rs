//! Decides which hosts get heartbeats, how often, and in which role.
//!
//! In a small data centre every host sends heartbeats to every other. In a larger one the first few
//! by rank are speakers for the data centre: the other hosts exchange heartbeats only with these,
//! and receive the combined state of all hosts from them. Speakers of different data centres
//! exchange the sums of their own. So the traffic of a host does not grow with the number of hosts,
//! except for speakers, whose traffic grows with their own data centre.
//!
//! Speakers are not elected: each host derives them from the hosts that it hears, and a host that
//! finds itself among them acts as one. If for a while there are two sets of speakers, or none,
//! state is less fresh.

use crate::gateway::quota::room::ReportAges;
use crate::prelude::*;

/// Largest data centre, in hosts, in which every host sends heartbeats to every other.
const MESH_MAX_HOSTS: usize = 10;
/// Number of speakers in a larger data centre. With three, the loss of any two leaves one that is
/// heard without interruption.
const SPEAKERS: usize = 3;
/// Number of hosts to ask while none is heard.
const ASKED_WHEN_ISOLATED: usize = 8;
/// Shortest period of heartbeats within a data centre.
const NEAR_MIN_PERIOD: Duration = Duration::from_millis(100);
/// Period per receiver, so that a speaker of up to a hundred hosts sends 250 heartbeats a second.
/// With those that it receives, this takes 0.012 of a core more than a host that is no speaker.
const NEAR_PERIOD_PER_HOST: Duration = Duration::from_millis(4);
/// Period per receiver where every host sends to every other.
const MESH_PERIOD_PER_HOST: Duration = Duration::from_millis(10);
/// Shortest period in a data centre with schedule. Its other hosts know only some of each other,
/// and would take the data centre for a small one.
const LARGE_CENTRE_MIN_PERIOD: Duration = Duration::from_millis(200);
/// Longest period of heartbeats within a data centre: a third of the silence after which a host is
/// taken to be down.
const NEAR_MAX_PERIOD: Duration = Duration::from_millis(400);
/// Period of heartbeats to speakers of other data centres; traffic between data centres is
/// expensive.
const FAR_PERIOD: Duration = Duration::from_millis(400);
/// Period of heartbeats to hosts that are not heard, or have only asked for known hosts.
const CONTACT_PERIOD: Duration = Duration::from_secs(1);
/// Period of heartbeats to a seed while this host starts.
const STARTUP_SEED_PERIOD: Duration = Duration::from_millis(250);
/// Period of heartbeats to a seed that is not needed: two parts of a system that do not know each
/// other can meet there.
const SEED_PERIOD: Duration = Duration::from_secs(5);

/// Ages up to which loads may be missing in what a host knows of others, in a data centre of so many
/// hosts. A load passes a speaker on the way to the other hosts of a large data centre, and two on
/// the way to another one.
pub fn report_ages(hosts: usize) -> ReportAges {
    let period = Relation::Speaker.period(hosts.saturating_sub(1));
    let near = if hosts <= MESH_MAX_HOSTS { 2 * period } else { period * 3 / 2 };
    ReportAges { near, far: near + FAR_PERIOD * 5 / 4 }
}

/// Role of another host towards this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// A speaker of the own data centre.
    Speaker,
    /// A host of the own data centre for which this host is a speaker.
    Listener,
    /// A speaker of another data centre, while this host is one of its own.
    FarSpeaker,
    /// A host that asked for known hosts.
    Requester,
    /// A seed, while this host starts.
    StartupSeed,
    /// A host that may know others, contacted because too few are heard.
    Contact,
    /// A seed that is not needed now.
    Seed,
}

impl Relation {
    /// Period of heartbeats to the host, given the number of other hosts in the own data centre.
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

    /// Whether the heartbeat asks for an answer.
    pub fn asks(self) -> bool {
        !matches!(self, Relation::Listener | Relation::Requester)
    }
}

/// Number of speakers in a data centre with this many hosts.
pub fn speakers(hosts: usize) -> usize {
    if hosts <= MESH_MAX_HOSTS { hosts } else { SPEAKERS }
}

/// Number of hosts that a host asks in a data centre with this many; more while it hears none.
pub fn asked(hosts: usize, heard: bool) -> usize {
    let usual = speakers(hosts);
    if heard { usual } else { usual.max(ASKED_WHEN_ISOLATED) }
}
