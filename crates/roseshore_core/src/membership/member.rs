//! Heartbeats of daemons and their states.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Heartbeat that a daemon sends several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host of the sender.
    pub host: HostId,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Sequence number; increases with every heartbeat of an incarnation.
    pub sequence: u64,
    /// Whether the sender takes no new work.
    pub leaving: bool,
    /// One past the last configuration record that the sender has folded.
    pub offset: Offset,
    /// Digest of the sender's configuration at that offset.
    pub digest: u64,
}

/// State of a daemon as seen by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Has sent a heartbeat recently.
    Alive,
    /// Has sent no heartbeat recently, but is still a member.
    Suspect,
    /// Takes no new work, by its own heartbeat or by the host list.
    Leaving,
    /// Is no longer a member.
    Gone,
}

/// Member of the system: this daemon or another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Host of the daemon.
    pub host: HostId,
    /// Data centre of the daemon.
    pub data_centre: DataCentreId,
    /// Address for peers, over UDP and TCP.
    pub peer: SocketAddr,
    /// Incarnation of the daemon; 0 before its first heartbeat.
    pub incarnation: Incarnation,
    /// State as seen by this daemon.
    pub state: MemberState,
    /// One past the last configuration record folded, by its newest heartbeat.
    pub offset: Offset,
    /// Digest of its configuration at that offset.
    pub digest: u64,
}

/// Change of a daemon's state; an unknown daemon counts as gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Host of the daemon.
    pub host: HostId,
    /// Previous state.
    pub from: MemberState,
    /// New state.
    pub to: MemberState,
}

/// Why a heartbeat was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ignored {
    /// The sender's address is not that of the named host, or not a seed if that host is unknown.
    UnknownSender,
    /// The heartbeat names this daemon's own host.
    OwnHost,
    /// A newer incarnation of the daemon is known.
    OldIncarnation,
    /// This heartbeat or a newer one of the same incarnation was received before.
    Duplicate,
}

impl Ignored {
    /// Stable name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Ignored::UnknownSender => "stranger",
            Ignored::OwnHost => "own_name",
            Ignored::OldIncarnation => "old_life",
            Ignored::Duplicate => "repeat",
        }
    }
}

/// Digest entry for one daemon of another data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Newest heartbeat of the daemon.
    pub beat: Heartbeat,
    /// Age of the heartbeat when the digest was created, in milliseconds.
    pub age_ms: u32,
}
