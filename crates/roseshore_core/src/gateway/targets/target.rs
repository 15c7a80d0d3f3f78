//! One target: its record in the platform's list, and this host's own view of it.

use super::super::paces::EnginePace;
use super::super::peers::{TargetHash, TargetLoad, target_hash};
use super::super::position::Position;
use super::Availability;
use crate::load::breaker::CircuitBreaker;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// How long an engine usually takes at most to be done with what passes through layers that it gives up.
const CLEAR_TIME: Duration = Duration::from_secs(3);

/// The layers an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// First layer and one past the last.
    pub layers: (Layer, Layer),
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Its id; it may start again under the same one.
    pub id: TargetId,
    /// Its life: Unix milliseconds of its start; 0 where targets do not tell it.
    pub life: Incarnation,
    /// The service it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// The kind of its accelerator.
    pub kind: Option<String>,
    /// The layers it holds, if it is an engine that holds any.
    pub holding: Option<Holding>,
}

impl TargetRecord {
    /// The layers it holds; an empty range for none.
    pub fn listed_layers(&self) -> (Layer, Layer) {
        self.holding.map_or((0, 0), |h| h.layers)
    }
}

/// What a target was said to hold. Without the bound, one word that came after a newer list would be
/// believed until the target's next change: the other hosts of a data centre would count a part
/// as narrower than it is, and refuse while one host serves alone.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedHolding {
    /// None where it was shown not to hold what the list says.
    pub(super) holding: Option<Holding>,
    /// Believed until then, unless it is said again.
    pub(super) until: Instant,
}

/// What was said of the layers that a target holds. Hosts pass such words on at once, so they are numbered: without
/// an order, two hosts that had heard different words would tell each other theirs for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayersReport {
    /// Grows with each word since the list last changed.
    pub number: u32,
    /// The layers; an empty range when it does not hold what the list says.
    pub layers: (Layer, Layer),
    /// The layers that the list names beside it: the word is no answer to another list.
    pub listed: (Layer, Layer),
}

impl LayersReport {
    /// No word yet beside a list's record.
    fn initial(record: &TargetRecord) -> LayersReport {
        LayersReport { number: 0, layers: (0, 0), listed: record.listed_layers() }
    }
}

/// An engine that gives layers up keeps their weights until what passes through them is done, and
/// has no more room before. Counted as free at once, that room would make engines turn away requests
/// which their hosts take them to have room for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clearing {
    /// Layers whose weights it still keeps.
    pub(super) width: Layer,
    /// Done by then; known from the first tick on.
    pub(super) until: Option<Instant>,
}

/// How a target failed its liveness checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessFailure {
    /// Its port resets connections: the process is gone, or takes no more of them.
    Reset,
    /// Nothing answers: its machine is dark, or a link to it is cut.
    Silent,
}

impl LivenessFailure {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            LivenessFailure::Reset => "reset",
            LivenessFailure::Silent => "silent",
        }
    }
}

/// What a request takes of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// The target.
    pub target: TargetId,
    /// KV cache, tokens times layers.
    pub kv_used: f64,
}

/// A target and this host's own view of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// The list's record.
    pub record: TargetRecord,
    /// Own requests in flight.
    pub in_flight: u32,
    /// KV cache that own requests take, tokens times layers.
    pub kv_used: f64,
    /// It dropped out of the list, and is kept until then.
    pub(super) missing_until: Option<Instant>,
    /// Whether another target answered at its address.
    pub(super) replaced: bool,
    pub(super) hash: TargetHash,
    /// Of its record, while it is listed.
    digest: u64,
    /// How far the list was read when its record became what it is, at most.
    pub(super) changed_at: Position,
    /// What other hosts have there.
    pub(super) remote_load: TargetLoad,
    pub(super) health: CircuitBreaker,
    pub(super) reported_load: Option<(f64, Instant)>,
    /// How fast it runs.
    pub(super) pace: Option<EnginePace>,
    /// What it holds by its own report, where the list does not say so yet.
    pub(super) reported_holding: Option<ReportedHolding>,
    /// The last word of its layers that was heard.
    pub(super) layers_report: LayersReport,
    /// When something last came through it.
    pub(super) last_progress: Option<Instant>,
    /// How it failed its last liveness checks, if it did.
    pub(super) liveness_failure: Option<LivenessFailure>,
    /// Layers that it is giving up.
    pub(super) clearing: Option<Clearing>,
    /// What it says that it takes.
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
            missing_until: None,
            replaced: false,
            health: CircuitBreaker::default(),
            reported_load: None,
            pace: None,
            reported_holding: None,
            last_progress: None,
            liveness_failure: None,
            clearing: None,
            availability: Availability::default(),
        }
    }

    /// Its part in the digest of the list; none while it is missing.
    pub(super) fn digest(&self) -> u64 {
        if self.missing_until.is_some() { 0 } else { self.digest }
    }

    /// Whether new work may go there by what the list and the target itself say.
    pub fn is_available(&self) -> bool {
        !self.record.draining && !self.replaced && !self.availability.leaving
    }

    /// Whether own experience allows new work, too.
    pub fn is_healthy(&self, now: Instant) -> bool {
        !self.is_down() && self.health.usable(now, self.in_flight)
    }

    /// Whether it answers nobody's liveness checks.
    pub fn is_down(&self) -> bool {
        self.liveness_failure.is_some() || self.remote_load.down
    }

    /// How it failed its last liveness checks, if it did.
    pub fn liveness_failure(&self) -> Option<LivenessFailure> {
        self.liveness_failure
    }

    /// Requests in flight of all hosts.
    pub fn total_in_flight(&self) -> f64 {
        f64::from(self.in_flight) + f64::from(self.remote_load.own)
    }

    /// KV cache that all hosts' requests take, tokens times layers.
    pub fn total_kv_used(&self) -> f64 {
        self.kv_used + f64::from(self.remote_load.held) * 1000.0
    }

    /// The same target in another life, which holds and knows nothing of this one. What this host has
    /// sent there still ends one by one.
    pub(super) fn restarted(&self, record: TargetRecord) -> Target {
        Target { in_flight: self.in_flight, kv_used: self.kv_used, ..Target::new(record) }
    }

    /// How many times slower it runs than published.
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.pace.map_or(1.0, |pace| pace.factor(now))
    }

    /// Takes a record of the same life; returns whether it changed anything that matters for work.
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

    /// Notes that layers are given up, if they are.
    fn start_clearing(&mut self, old: Option<Holding>, new: Option<Holding>) {
        let (Some(old), Some(new)) = (old, new) else { return };
        let (old, new) = (old.layers, new.layers);
        if old.0 < new.0 || new.1 < old.1 {
            let width = old.1.max(new.1) - old.0.min(new.0);
            self.clearing = Some(Clearing { width, until: None });
        }
    }

    /// Lets time pass for what is believed for a while only.
    pub(super) fn tick(&mut self, now: Instant) {
        self.reported_holding = self.reported_holding.filter(|learned| now < learned.until);
        if let Some(clearing) = &mut self.clearing {
            let until = *clearing.until.get_or_insert(now + CLEAR_TIME);
            if now >= until {
                self.clearing = None;
            }
        }
    }

    /// Layers whose weights take of its memory.
    pub fn weight_layers(&self) -> Layer {
        let held = self.holding().map_or(0, |h| h.layers.1 - h.layers.0);
        self.clearing.map_or(held, |clearing| clearing.width.max(held))
    }

    /// The layers it holds.
    pub fn holding(&self) -> Option<Holding> {
        self.reported_holding.map_or(self.record.holding, |l| l.holding)
    }
}

/// What hosts compare their lists by; the same wherever the same was read.
fn record_digest(record: &TargetRecord) -> u64 {
    let layers = record.listed_layers();
    let TargetRecord { id, life, addr, draining, .. } = record;
    let text = format!("{id} {life} {addr} {draining} {layers:?}");
    xxh3_64(text.as_bytes())
}
