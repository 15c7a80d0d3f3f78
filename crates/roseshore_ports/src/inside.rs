//! Traits between the components of the daemon.
//!
//! Each component has one trait and is passed as a trait object, so that it can be replaced by a
//! simpler implementation, or by a fake in tests.

pub use roseshore_core::ledger::history::RequestState;
pub use roseshore_core::membership::{Member, MemberState};
pub use roseshore_core::once::Outcome;
pub use roseshore_core::once::partition::{KeyStatus, SettleResult};
use roseshore_core::prelude::*;
use roseshore_wire::engine::{CacheEvent, Load, Stage};
use roseshore_wire::service::ServiceLoad;
use std::sync::Arc;

/// Access to the active configuration.
pub trait ConfigSource: Send + Sync {
    /// Returns the active configuration; `None` until the first one is known.
    fn current(&self) -> Option<ActiveConfig>;
}

/// A configuration and its position in the log.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The declared state.
    pub fleet: Arc<Fleet>,
    /// One past the offset of the last record applied.
    pub offset: Offset,
    /// Digest of the state after that record.
    pub digest: u64,
}

/// A request's identity, deadline and expected cost.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// Id of the request.
    pub request: RequestId,
    /// The organisation that made the request.
    pub organisation: OrganisationId,
    /// The requested service.
    pub service: ServiceId,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// When the request arrived.
    pub arrived: Instant,
    /// Priority from 0 to 9, larger first; 4 if the caller gives none.
    pub priority: u8,
    /// Expected cost, in tokens for models and in calls for services.
    pub cost: u32,
}

/// Admission control and limits.
pub trait AdmissionControl: Send + Sync {
    /// Admits a request, after waiting for its turn if necessary, or refuses it immediately.
    ///
    /// Dropping the permit releases the slot.
    ///
    /// # Errors
    /// A refusal with [`Verdict::NotRun`] and, where useful, the time after which to retry.
    fn admit(&self, request: &RequestInfo) -> Result<Permit, Refusal>;
}

/// A guard for a slot in use; dropping it releases the slot.
pub struct Permit {
    release: Option<Box<dyn FnOnce() + Send>>,
}

impl Permit {
    /// Creates a permit that calls `release` when it is dropped.
    pub fn new(release: impl FnOnce() + Send + 'static) -> Permit {
        Permit { release: Some(Box::new(release)) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}

/// The requirements of an answer on its chain, and the data for predicting its latency.
#[derive(Clone, Debug)]
pub struct ChainNeeds {
    /// The model.
    pub model: ModelId,
    /// The version of the model.
    pub version: VersionId,
    /// The number of layers of the model.
    pub layers: Layer,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Hashes of prefixes of the prompt as `(tokens, hash)`, shortest first.
    pub prefixes: Vec<(u32, u64)>,
    /// Tokens in the prompt, all of which need a prefill if nothing is cached.
    pub prompt: u32,
    /// Expected number of generated tokens.
    pub expected: u32,
    /// Targets that have already failed for this answer.
    pub avoid: Vec<TargetId>,
}

/// A chain of stages that together cover every layer exactly once.
#[derive(Clone, Debug)]
pub struct Chain {
    /// The stages, in order of their layers.
    pub stages: Vec<Stage>,
    /// Predicted time until the next token, including any prefill.
    pub first_token: Duration,
    /// Predicted time between tokens.
    pub token_interval: Duration,
}

/// Chooses targets by their known load.
pub trait Router: Send + Sync {
    /// Chooses a chain for an answer. Its stages count as in use until the permit is dropped.
    ///
    /// # Errors
    /// [`Code::NoRoute`] if the live targets do not cover all layers.
    fn chain(&self, need: &ChainNeeds) -> Result<(Chain, Permit), Refusal>;

    /// Returns the version of a model for new answers. While targets are changing to the declared
    /// version, this is the one still served; `None` stands for the declared one.
    fn version(&self, _model: &ModelId) -> Option<VersionId> {
        None
    }

    /// Chooses a replica for `serves` (`service` or `service/source`) that is not in `avoid`.
    ///
    /// # Errors
    /// [`Code::NoRoute`] if no replica is in use.
    fn replica(&self, serves: &str, avoid: &[TargetId]) -> Result<(Replica, Permit), Refusal>;

    /// Records that a target has just failed.
    fn failed(&self, target: &TargetId);

    /// Records how long one step over a whole chain took, including its links.
    fn record_step_time(&self, _stages: &[Stage], _took: Duration) {}

    /// Records how long a target took for one step or call.
    fn record_latency(&self, target: &TargetId, took: Duration);

    /// Whether a target is known to be leaving, so that its answers should move to another one.
    fn leaving(&self, _target: &TargetId) -> bool {
        false
    }
}

/// A replica of a plain or lookup service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Id of the target.
    pub target: TargetId,
    /// The address it listens on.
    pub addr: std::net::SocketAddr,
}

/// The latest report of a target; its age counts from `seen`.
#[derive(Clone, Debug)]
pub struct Report {
    /// Id of the target.
    pub target: TargetId,
    /// When the target was polled.
    pub seen: Instant,
    /// What the target reported.
    pub content: ReportContent,
}

/// What a target reported.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportContent {
    /// An engine's report.
    Engine(Load),
    /// A service replica's report.
    Service(ServiceLoad),
    /// The target did not answer.
    Silent,
}

/// The result of claiming a key for non-idempotent work.
pub enum ClaimResult {
    /// This daemon holds the key and must call [`Claims::settle`] or [`Claims::abandon`] once.
    Won(Claim),
    /// The key was already settled, with this recorded outcome.
    Settled(Outcome),
    /// Refused. This attempt did not dispatch anything.
    Refused(Refusal),
}

/// A key that this daemon has claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The key.
    pub key: Key,
    /// The offset of the record that claimed it.
    pub offset: Offset,
}

/// Claims keys, so that non-idempotent work runs at most once per key.
pub trait Claims: Send + Sync {
    /// Claims a key. Waits for the log, or for the outcome of another claim, until the deadline.
    ///
    /// `digest` covers the body of the request. A key that is reused with another body is refused.
    fn begin(&self, key: &Key, digest: u64, deadline: Instant) -> ClaimResult;

    /// Whether a claim may be dispatched now. Must be called immediately before the first byte is
    /// sent. After `true` the claim can no longer be abandoned; after `false` it has been.
    fn dispatch(&self, claim: &Claim) -> bool;

    /// Records the outcome of a claim. Returns once the record is durable, or after a bounded time.
    fn settle(&self, claim: &Claim, outcome: Outcome);

    /// Releases a claim that was not dispatched.
    fn abandon(&self, claim: &Claim);
}

/// An operator's statement whether the request with a key ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorDecision {
    /// Name of the operator.
    pub operator: String,
    /// The operator's evidence.
    pub note: String,
    /// Whether the request with the key ran.
    pub ran: bool,
}

/// Operators' access to keys.
pub trait Keys: Send + Sync {
    /// Returns the status of a key; `None` if this daemon does not track keys.
    fn known(&self, key: &Key, deadline: Instant) -> Option<KeyStatus>;

    /// Settles a key that cannot be settled otherwise by an operator's decision.
    fn settle_by_operator(
        &self,
        key: &Key,
        decision: OperatorDecision,
        deadline: Instant,
    ) -> SettleResult;
}

/// How a request ended; feeds the accounts, the operators' queries and the metrics.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    /// The request.
    pub ask: RequestInfo,
    /// The verdict that the caller got.
    pub verdict: Verdict,
    /// The code of a refusal, or of the answer that a name was not found.
    pub code: Option<Code>,
    /// Whether the answer was a recorded one.
    pub repeated: bool,
    /// Whether the caller disconnected before the end.
    pub caller_left: bool,
    /// When the request ended.
    pub ended: Instant,
    /// When the first token or byte was sent; `None` if nothing was.
    pub first: Option<Instant>,
    /// How many times it was rerouted.
    pub resumed: u32,
    /// Whether the service is advisory, that is, its requests must not be dropped silently.
    pub advisory: bool,
}

impl RequestEnd {
    /// Whether an advisory request ended without a complete answer in time.
    pub fn missed(&self) -> bool {
        let in_time = self.ended <= self.ask.deadline && !self.caller_left;
        self.advisory && !(self.verdict == Verdict::Answered && in_time)
    }
}

/// The record of running and ended requests.
pub trait Ledger: Send + Sync {
    /// Records that a request has arrived.
    fn begun(&self, request: &RequestInfo);

    /// Records the final verdict of a request.
    fn ended(&self, end: &RequestEnd);

    /// Returns the state of a request. `_id` is its full id, or the part before `~` that the caller
    /// gave.
    fn find(&self, _id: &str) -> Option<RequestState> {
        None
    }
}

/// The members of the system, and the state of hosts.
pub trait Members: Send + Sync {
    /// Returns this daemon.
    fn own(&self) -> Member;

    /// Returns every known daemon that is not gone, those of the own data centre first.
    fn all(&self) -> Vec<Member>;

    /// Returns the alive daemons of the own data centre in rendezvous-hash order for a subject. The
    /// first one does the work, and the following ones take over if it fails.
    fn ranked(&self, subject: &str) -> Vec<Member>;

    /// Whether a host is leaving, according to the platform or to this daemon's own observation.
    fn leaving(&self, host: &HostId) -> bool;
}

/// Stores reports of targets, from own polls and from peers.
pub trait ReportStore: Send + Sync {
    /// Stores a report, unless a newer one is known.
    fn store(&self, report: Report);

    /// Returns the latest reports, for sharing with peers.
    fn newest(&self) -> Vec<Report>;
}

/// Receives changes of the engines' prefix caches. Events may arrive late and have gaps.
pub trait CacheEventSink: Send + Sync {
    /// Applies events of one engine, in order.
    fn apply_events(&self, target: &TargetId, events: &[CacheEvent]);
}

/// Handles requests of peers. The components are tried in turn until one of them replies.
pub trait PeerHandler: Send + Sync {
    /// Returns the reply, or `None` if another component has to answer.
    fn answer(
        &self,
        request: &roseshore_wire::peer::PeerRequest,
    ) -> Option<roseshore_wire::peer::PeerReply>;
}

/// Receives records of a stream from a peer or from the log.
pub trait RecordSink: Send + Sync {
    /// Accepts records in any order, with duplicates and gaps.
    fn accept(&self, records: &[roseshore_wire::platform::Record]);
}

/// Answers operators' queries about requests, for the whole system.
pub trait QueryHandler: Send + Sync {
    /// Returns the rows, and the daemons that could not be queried.
    fn ask(&self, query: &roseshore_wire::query::Query) -> roseshore_wire::query::Reply;
}
