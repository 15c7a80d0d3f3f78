//! What is said and thought of a daemon.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a daemon says of itself, several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Grows with every heartbeat of one life.
    pub sequence: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// One past the last configuration record it has folded.
    pub offset: Offset,
    /// The digest of its configuration at that offset.
    pub digest: u64,
}

/// What a daemon thinks of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Heard of lately.
    Alive,
    /// Not heard of lately; still counted among the daemons.
    Suspect,
    /// Takes no new work, by its own heartbeat or the host list.
    Leaving,
    /// No longer counted.
    Gone,
}

/// A daemon, this one included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it hears peers, UDP and TCP.
    pub peer: SocketAddr,
    /// Its life; 0 until heard of.
    pub incarnation: Incarnation,
    /// What this daemon thinks of it.
    pub state: MemberState,
    /// One past the last configuration record it says it has folded.
    pub offset: Offset,
    /// The digest it gives for that offset.
    pub digest: u64,
}

/// A daemon's change of state; one not known before was gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The daemon.
    pub host: HostId,
    /// What was thought of it.
    pub from: MemberState,
    /// What is thought of it now.
    pub to: MemberState,
}

/// Why a heartbeat was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ignored {
    /// The sender's address is neither in the host list nor a seed, or belongs to another host.
    UnknownSender,
    /// It names this daemon's own host.
    OwnHost,
    /// It is of an older life.
    OldIncarnation,
    /// It was heard of before, or a newer one of the same life was.
    Duplicate,
}

impl Ignored {
    /// The stable name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Ignored::UnknownSender => "stranger",
            Ignored::OwnHost => "own_name",
            Ignored::OldIncarnation => "old_life",
            Ignored::Duplicate => "repeat",
        }
    }
}

/// One daemon of another data centre, in a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The last heartbeat.
    pub beat: Heartbeat,
    /// Its age when the digest was written, milliseconds.
    pub age_ms: u32,
}
