//! A single target: its record in the platform's list and this host's view of it.

use super::super::paces::EnginePace;
use super::super::position::Position;
use super::{Availability, LOAD_VALIDITY};
use crate::gateway::hashes::{TargetHash, target_hash};
use crate::gateway::quota::room::{RecentClaims, UsableRoom};
use crate::gateway::reports::TargetLoad;
use crate::load::breaker::CircuitBreaker;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Longest time that an engine usually takes to finish the requests running through layers that it
/// gives up.
const CLEAR_TIME: Duration = Duration::from_secs(3);

/// Layers that an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// First layer, and one past the last.
    pub layers: (Layer, Layer),
}

/// A target's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Id; it is kept across restarts.
    pub id: TargetId,
    /// Incarnation: Unix time of the target's start in milliseconds; 0 if the target does not
    /// report it.
    pub life: Incarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Kind of its accelerator; `None` for a target that is not an engine.
    pub kind: Option<String>,
    /// Layers that it holds; `None` if it is not an engine or holds none.
    pub holding: Option<Holding>,
}

impl TargetRecord {
    /// Layers according to the record; an empty range for none.
    pub fn listed_layers(&self) -> (Layer, Layer) {
        self.holding.map_or((0, 0), |h| h.layers)
    }
}

/// Layers that a target was reported to hold, for a limited time. Without the limit, a report that
/// arrived after a newer list would be believed until the target's next change: the other hosts of
/// a data centre would take its layer range for narrower than it is, and refuse requests while a
/// single host still serves them.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedHolding {
    /// `None` if the target was shown not to hold what the list says.
    pub(super) holding: Option<Holding>,
    /// End of validity, unless the report is repeated.
    pub(super) until: Instant,
}

/// A report of the layers that a target holds. Hosts forward reports at once, so reports are
/// numbered: without an order, two hosts with different reports would send them to each other for
/// ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayersReport {
    /// Increases with each report since the list record last changed.
    pub number: u32,
    /// Layers held; an empty range if the target does not hold what the list says.
    pub layers: (Layer, Layer),
    /// Layers in the list record that the report refers to; it does not apply to any other record.
    pub listed: (Layer, Layer),
}

impl LayersReport {
    /// The state before any report on this record.
    fn initial(record: &TargetRecord) -> LayersReport {
        LayersReport { number: 0, layers: (0, 0), listed: record.listed_layers() }
    }
}

/// Layers being given up. The engine keeps their weights until the requests running through them
/// have finished, and has no free memory before that. If the memory were counted as free at once,
/// engines would turn away requests that hosts expect to fit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clearing {
    /// Number of layers whose weights are still in memory.
    pub(super) width: Layer,
    /// When the memory is taken to be free; set by the first tick.
    pub(super) until: Option<Instant>,
}

/// How a target failed its liveness checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessFailure {
    /// Its port resets connections: the process is gone or accepts no more of them.
    Reset,
    /// Nothing answers: its machine is down, or a link to it is cut.
    Silent,
}

impl LivenessFailure {
    /// Value used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            LivenessFailure::Reset => "reset",
            LivenessFailure::Silent => "silent",
        }
    }
}

/// How long another host is taken to reach a target after it last did.
const RELAY_VALIDITY: Duration = Duration::from_millis(2500);

/// Another host that reaches a target which this one cannot reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Address of the host.
    pub host: SocketAddr,
    /// Whether it is in the own data centre.
    pub near: bool,
    /// When it last reached the target, as far as is known here.
    pub confirmed: Instant,
}

/// Why a listed target gets no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfUse {
    /// It fails this host's liveness checks.
    Failing(LivenessFailure),
    /// It fails the liveness checks of another host.
    Reported,
    /// A request failed there a moment ago.
    Failed,
}

impl fmt::Display for OutOfUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OutOfUse::Failing(failure) => write!(f, "fails liveness checks ({})", failure.name()),
            OutOfUse::Reported => write!(f, "is reported to fail liveness checks"),
            OutOfUse::Failed => write!(f, "failed a request a moment ago"),
        }
    }
}

/// Resources that a request takes at one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Target that the request is sent to.
    pub target: TargetId,
    /// KV cache, in tokens times layers.
    pub kv_used: f64,
}

/// A target and this host's view of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its entry in the list.
    pub record: TargetRecord,
    /// Requests of this host in flight.
    pub in_flight: u32,
    /// KV cache used by requests of this host, in tokens times layers.
    pub kv_used: f64,
    /// Changes of these that other hosts' reports may not cover yet.
    pub(super) recent: RecentClaims,
    /// What its refusals showed of its room.
    pub(super) usable: Option<UsableRoom>,
    /// Set while it is missing from the list: when it is removed.
    pub(super) missing_until: Option<Instant>,
    /// Whether another target answered at its address.
    pub(super) replaced: bool,
    /// Whether its record lists layers that the model of its service does not have. It is the entry
    /// of another program then, and is neither used nor checked.
    pub(super) foreign: bool,
    pub(super) hash: TargetHash,
    /// Digest of its record.
    digest: u64,
    /// List position at the last change of its record, or a later one.
    pub(super) changed_at: Position,
    /// Load that other hosts have there.
    pub(super) remote_load: TargetLoad,
    pub(super) health: CircuitBreaker,
    /// Whether a request has failed by what the target sent, and none has succeeded since.
    pub(super) failed_itself: bool,
    pub(super) reported_load: Option<(f64, Instant)>,
    /// Pace that it reported.
    pub(super) pace: Option<EnginePace>,
    /// Layers that it was reported to hold, where they differ from the list.
    pub(super) reported_holding: Option<ReportedHolding>,
    /// Latest layers report.
    pub(super) layers_report: LayersReport,
    /// When data last arrived through it.
    pub(super) last_progress: Option<Instant>,
    /// Longest recent time from a send through it to the first event, and when that arrived.
    pub(super) first_event: Option<(Duration, Instant)>,
    /// How it failed its latest liveness check; `None` if it passed.
    pub(super) liveness_failure: Option<LivenessFailure>,
    /// Since when other hosts have reported that it fails their liveness checks.
    pub(super) reported_at: Option<Instant>,
    /// Latest time at which it was alive by this host's own observation.
    pub(super) alive_at: Option<Instant>,
    /// When its process last sent something, as far as this host saw it.
    pub(super) responded_at: Option<Instant>,
    /// When it was last asked for a report to see whether it responds.
    pub(super) asked_at: Option<Instant>,
    /// When it was first asked of the times that it has not answered.
    pub(super) unanswered_since: Option<Instant>,
    /// When it last answered after it had been taken to be stopped.
    pub(super) resumed_at: Option<Instant>,
    /// The host that reaches it; used while it fails this host's liveness checks.
    pub(super) relay: Option<Relay>,
    /// Layers being given up.
    pub(super) clearing: Option<Clearing>,
    /// Availability that it stated.
    pub(super) availability: Availability,
}

impl Target {
    pub(super) fn new(record: TargetRecord) -> Target {
        Target {
            hash: target_hash(&record.id, record.life),
            digest: record_digest(&record),
            changed_at: Position::default(),
            remote_load: TargetLoad::default(),
            layers_report: LayersReport::initial(&record),
            record,
            in_flight: 0,
            kv_used: 0.0,
            recent: RecentClaims::default(),
            usable: None,
            missing_until: None,
            replaced: false,
            foreign: false,
            health: CircuitBreaker::default(),
            failed_itself: false,
            reported_load: None,
            pace: None,
            reported_holding: None,
            last_progress: None,
            first_event: None,
            liveness_failure: None,
            reported_at: None,
            alive_at: None,
            responded_at: None,
            asked_at: None,
            unanswered_since: None,
            resumed_at: None,
            relay: None,
            clearing: None,
            availability: Availability::default(),
        }
    }

    /// Its part in the digest of the list; 0 while it is missing from the list.
    pub(super) fn digest(&self) -> u64 {
        if self.missing_until.is_some() { 0 } else { self.digest }
    }

    /// Whether it takes new work according to the list and its own statements, apart from pauses.
    pub fn is_available(&self) -> bool {
        !self.record.draining && !self.replaced && !self.foreign && !self.availability.leaving
    }

    /// Whether other hosts report that it fails their liveness checks.
    pub fn is_reported_down(&self) -> bool {
        self.remote_load.down
    }

    /// Whether this host's own experience and the liveness checks of all hosts allow new work.
    pub fn is_healthy(&self, now: Instant) -> bool {
        !self.is_down() && self.health.usable(now, self.in_flight)
    }

    /// Whether it fails the liveness checks of this host, or of another one whose report is not
    /// refuted, and no host is known to reach it.
    pub fn is_down(&self) -> bool {
        match self.liveness_failure {
            Some(_) => self.relay.is_none(),
            None => self.remote_load.down && !self.is_refuted(),
        }
    }

    /// The host to reach it through; `None` if this host reaches it itself, or no host is known to.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay.filter(|_| self.liveness_failure.is_some()).map(|relay| relay.host)
    }

    /// Records that a host reached it. A host of the own data centre is preferred, otherwise the
    /// current one stays.
    pub(super) fn set_relay(&mut self, relay: Relay) {
        let stays = |known: &Relay| known.host != relay.host && (known.near || !relay.near);
        if !self.relay.as_ref().is_some_and(stays) {
            self.relay = Some(relay);
        }
    }

    /// Whether this host reached it after others had reported that it fails their checks: the fault
    /// is then at their links.
    pub(super) fn is_refuted(&self) -> bool {
        self.liveness_failure.is_none()
            && self.reported_at.is_some_and(|reported| self.alive_at >= Some(reported))
    }

    /// Latest time at which it was alive by this host's own observation.
    pub fn alive_at(&self) -> Option<Instant> {
        self.alive_at
    }

    /// How it failed this host's latest liveness check; `None` if it passed.
    pub fn liveness_failure(&self) -> Option<LivenessFailure> {
        self.liveness_failure
    }

    /// Requests that it recently reported as running and waiting; 0 without such a report.
    pub(super) fn reported_requests(&self, now: Instant) -> f64 {
        let recent = |at: Instant| now.saturating_duration_since(at) < LOAD_VALIDITY;
        self.reported_load.filter(|(_, at)| recent(*at)).map_or(0.0, |(requests, _)| requests)
    }

    /// Requests of all hosts in flight.
    pub fn total_in_flight(&self) -> f64 {
        f64::from(self.in_flight) + f64::from(self.remote_load.own)
    }

    /// KV cache used by requests of all hosts, in tokens times layers.
    pub fn total_kv_used(&self) -> f64 {
        self.kv_used + f64::from(self.remote_load.held) * 1000.0
    }

    /// Part of this KV cache that turned out to be usable.
    pub(super) fn usable_part(&self, capacity: f64, now: Instant) -> f64 {
        self.usable.map_or(1.0, |usable| usable.part(capacity, now))
    }

    /// The same target in a new incarnation, with no state of the former one except this host's
    /// load: requests that were sent to it still end one by one.
    pub(super) fn restarted(&self, record: TargetRecord) -> Target {
        Target { in_flight: self.in_flight, kv_used: self.kv_used, ..Target::new(record) }
    }

    /// Whether it recently reported another pace than the published one.
    pub fn pace_differs(&self, now: Instant) -> bool {
        self.pace.is_some_and(|pace| pace.differs(now))
    }

    /// Factor on the published times; 1 without a recent report.
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.pace.map_or(1.0, |pace| pace.factor(now))
    }

    /// Updates the record within an incarnation. Returns whether it changed.
    pub(super) fn update_record(&mut self, record: TargetRecord) -> bool {
        self.missing_until = None;
        if self.record.holding != record.holding {
            self.start_clearing(self.holding(), record.holding);
            self.reported_holding = None;
            self.layers_report = LayersReport::initial(&record);
        }
        let changed = self.record != record;
        if changed {
            self.digest = record_digest(&record);
            self.record = record;
        }
        changed
    }

    /// Starts clearing if the change gives up layers.
    fn start_clearing(&mut self, old: Option<Holding>, new: Option<Holding>) {
        let (Some(old), Some(new)) = (old, new) else { return };
        let (old, new) = (old.layers, new.layers);
        if old.0 < new.0 || new.1 < old.1 {
            let width = old.1.max(new.1) - old.0.min(new.0);
            self.clearing = Some(Clearing { width, until: None });
        }
    }

    /// Expires what is only valid for a limited time.
    pub(super) fn tick(&mut self, now: Instant) {
        self.reported_holding = self.reported_holding.filter(|report| now < report.until);
        self.relay = self.relay.filter(|relay| now < relay.confirmed + RELAY_VALIDITY);
        if let Some(clearing) = &mut self.clearing {
            let until = *clearing.until.get_or_insert(now + CLEAR_TIME);
            if now >= until {
                self.clearing = None;
            }
        }
    }

    /// Number of layers whose weights are in memory, including those being given up.
    pub fn weight_layers(&self) -> Layer {
        let held = self.holding().map_or(0, |h| h.layers.1 - h.layers.0);
        self.clearing.map_or(held, |clearing| clearing.width.max(held))
    }

    /// Layers that it holds, according to the latest valid report or else the list.
    pub fn holding(&self) -> Option<Holding> {
        self.reported_holding.map_or(self.record.holding, |l| l.holding)
    }
}

/// Digest of a record, by which hosts compare their lists; it is the same on all hosts.
fn record_digest(record: &TargetRecord) -> u64 {
    let layers = record.listed_layers();
    let TargetRecord { id, life, addr, draining, .. } = record;
    let text = format!("{id} {life} {addr} {draining} {layers:?}");
    xxh3_64(text.as_bytes())
}
