//! What the parts of the daemon need of each other.
//!
//! One trait per part; each is given out as a trait object, so that a part can be swapped for its
//! first, simple version or for a fake in tests.

pub use roseshore_core::ledger::history::RequestState;
pub use roseshore_core::membership::{Member, MemberState};
pub use roseshore_core::once::Outcome;
pub use roseshore_core::once::partition::{KeyStatus, SettleResult};
use roseshore_core::prelude::*;
use roseshore_wire::engine::{CacheEvent, Load, Stage};
use roseshore_wire::service::ServiceLoad;
use std::sync::Arc;

/// The configuration in force.
pub trait ConfigSource: Send + Sync {
    /// The fleet, and one past the last record folded; `None` until the first is known.
    fn current(&self) -> Option<ActiveConfig>;
}

/// A configuration with its place in the log.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The declared state.
    pub fleet: Arc<Fleet>,
    /// One past the last record folded.
    pub offset: Offset,
    /// The digest of the folded state.
    pub digest: u64,
}

/// Whose request it is and by when it must be answered.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// The request.
    pub request: RequestId,
    /// The customer.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// When the answer must be whole.
    pub deadline: Instant,
    /// When the request arrived.
    pub arrived: Instant,
    /// Larger goes first; 4 where the caller names none, 0 to 9.
    pub priority: u8,
    /// Its expected work, in tokens for models and in calls for services.
    pub cost: u32,
}

/// Admission and limits.
pub trait AdmissionControl: Send + Sync {
    /// Lets a request in, waiting for its turn if need be, or refuses it at once.
    ///
    /// The permit gives its place back when it is dropped.
    ///
    /// # Errors
    /// A refusal with [`Verdict::NotRun`] and, where it makes sense, when to come back.
    fn admit(&self, ask: &RequestInfo) -> Result<Permit, Refusal>;
}

/// A place among the admitted requests.
pub struct Permit {
    leave: Option<Box<dyn FnOnce() + Send>>,
}

impl Permit {
    /// A place that calls `leave` when it is given back.
    pub fn new(leave: impl FnOnce() + Send + 'static) -> Permit {
        Permit { leave: Some(Box::new(leave)) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(leave) = self.leave.take() {
            leave();
        }
    }
}

/// What an answer needs of its chain.
#[derive(Clone, Debug)]
pub struct ChainNeeds {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The number of layers.
    pub layers: Layer,
    /// The adapter.
    pub adapter: Option<AdapterId>,
    /// Hashes of growing prefixes of the prompt, `(tokens, hash)`, shortest first.
    pub prefixes: Vec<(u32, u64)>,
    /// Tokens to prefill if nothing is cached.
    pub prompt: u32,
    /// Tokens expected to be generated.
    pub expected: u32,
    /// Targets that failed this answer already.
    pub avoid: Vec<TargetId>,
}

/// A chain of stages that tile all layers.
#[derive(Clone, Debug)]
pub struct Chain {
    /// In order of layers.
    pub stages: Vec<Stage>,
    /// Predicted time to the next token.
    pub first: Duration,
    /// Predicted time between tokens.
    pub between: Duration,
}

/// Chooses targets by what is known of their load.
pub trait Router: Send + Sync {
    /// A chain for an answer; its stages count as in use until the guard is dropped.
    ///
    /// # Errors
    /// [`Code::NoRoute`] when the live targets leave a hole.
    fn chain(&self, need: &ChainNeeds) -> Result<(Chain, Permit), Refusal>;

    /// The version that a new answer of a model is to use: the declared one, or while targets
    /// change to it, the one that serves still. `None` leaves it at the declared one.
    fn version(&self, _model: &ModelId) -> Option<VersionId> {
        None
    }

    /// A replica that serves `serves` (`service` or `service/source`), not one of `avoid`.
    ///
    /// # Errors
    /// [`Code::NoRoute`] when none is in use.
    fn replica(&self, serves: &str, avoid: &[TargetId]) -> Result<(Replica, Permit), Refusal>;

    /// Tells that a target failed just now.
    fn failed(&self, target: &TargetId);

    /// Tells how long one step over a whole chain took, links included.
    fn record_step_time(&self, _stages: &[Stage], _took: Duration) {}

    /// Tells how long a target took for one step or call.
    fn record_latency(&self, target: &TargetId, took: Duration);

    /// Whether a target is known to be going away, so that answers on it should be handed over.
    fn leaving(&self, _target: &TargetId) -> bool {
        false
    }
}

/// A replica of a plain or lookup service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The target.
    pub target: TargetId,
    /// Where it listens.
    pub addr: std::net::SocketAddr,
}

/// A target's last report, with its age counted from `seen`.
#[derive(Clone, Debug)]
pub struct Report {
    /// The target.
    pub target: TargetId,
    /// When it was polled.
    pub seen: Instant,
    /// What it said.
    pub content: ReportContent,
}

/// What a target reported.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportContent {
    /// An engine's report.
    Engine(Load),
    /// A service replica's report.
    Service(ServiceLoad),
    /// It did not answer.
    Silent,
}

/// How the start of unrepeatable work went.
pub enum ClaimResult {
    /// This daemon won the key and must call [`Claims::settle`] or [`Claims::abandon`] once.
    Won(Claim),
    /// The key was settled before; this is the recorded answer.
    Settled(Outcome),
    /// Refused; nothing was dispatched by this attempt.
    Refused(Refusal),
}

/// A won key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The key.
    pub key: Key,
    /// The offset of the winning record.
    pub offset: Offset,
}

/// Unrepeatable work, run at most once per key.
pub trait Claims: Send + Sync {
    /// Claims a key; waits for the log, or for another's outcome, until the deadline at most.
    ///
    /// `digest` is over the request's body: a key that comes back with another body is refused.
    fn begin(&self, key: &Key, digest: u64, deadline: Instant) -> ClaimResult;

    /// Whether a won claim may be dispatched now; asked right before the first byte is sent. After a
    /// `true` the claim cannot be abandoned, after a `false` it has been.
    fn dispatch(&self, claim: &Claim) -> bool;

    /// Records the end of a won key; returns once the record is safe, or after a bounded time.
    fn settle(&self, claim: &Claim, outcome: Outcome);

    /// Gives up a won key that was not dispatched.
    fn abandon(&self, claim: &Claim);
}

/// An operator's word on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorDecision {
    /// Who says so.
    pub operator: String,
    /// What the operator looked at.
    pub note: String,
    /// Whether the key ran.
    pub ran: bool,
}

/// What operators ask about keys.
pub trait Keys: Send + Sync {
    /// What is known of a key; `None` when this daemon cannot judge keys.
    fn known(&self, key: &Key, deadline: Instant) -> Option<KeyStatus>;

    /// Records an operator's word on a key that nobody else can settle.
    fn settle_by_operator(
        &self,
        key: &Key,
        word: OperatorDecision,
        deadline: Instant,
    ) -> SettleResult;
}

/// How a request ended, for the account, the operators' queries and the metrics.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    /// Whose it was.
    pub ask: RequestInfo,
    /// What the caller was told.
    pub verdict: Verdict,
    /// The code of a refusal, or of the answer that a name is not found.
    pub code: Option<Code>,
    /// Whether it was a recorded answer given again.
    pub repeated: bool,
    /// Whether the caller left first.
    pub left: bool,
    /// When it ended.
    pub ended: Instant,
    /// When the first token or byte was sent.
    pub first: Option<Instant>,
    /// Re-routes it took.
    pub resumed: u32,
    /// Whether its service's work must not be dropped silently.
    pub advisory: bool,
}

impl RequestEnd {
    /// Whether it is advisory work that ended without a whole answer in time.
    pub fn missed(&self) -> bool {
        let in_time = self.ended <= self.ask.deadline && !self.left;
        self.advisory && !(self.verdict == Verdict::Answered && in_time)
    }
}

/// The record of running and ended requests.
pub trait Ledger: Send + Sync {
    /// A request has come in.
    fn begun(&self, ask: &RequestInfo);

    /// A request got its final verdict.
    fn ended(&self, end: &RequestEnd);

    /// What became of a request, by its id or the part of it before `~`, which its caller gave.
    fn find(&self, _id: &str) -> Option<RequestState> {
        None
    }
}

/// The daemons, and what the platform says of hosts.
pub trait Members: Send + Sync {
    /// This daemon.
    fn own(&self) -> Member;

    /// Every daemon known and not gone, own data centre first.
    fn all(&self) -> Vec<Member>;

    /// The alive daemons of the own data centre in rendezvous order for a subject; the first does
    /// the work, the next ones take over.
    fn ranked(&self, subject: &str) -> Vec<Member>;

    /// Whether the platform or an own observation says that a host is being taken away.
    fn leaving(&self, host: &HostId) -> bool;
}

/// Takes reports of targets, polled here or told by a peer.
pub trait ReportStore: Send + Sync {
    /// Takes one report; an older one than known is ignored.
    fn take(&self, report: Report);

    /// The newest reports, for sharing with peers.
    fn newest(&self) -> Vec<Report>;
}

/// Takes what entered and left the prefix caches of engines; it may be late and have gaps.
pub trait CacheEventSink: Send + Sync {
    /// Takes events of one engine, in order.
    fn take_cache(&self, target: &TargetId, events: &[CacheEvent]);
}

/// Answers questions of peers; every part that knows a [`roseshore_wire::peer::PeerRequest`] is asked in
/// turn.
pub trait PeerHandler: Send + Sync {
    /// The reply, or `None` when the question is for another part.
    fn answer(
        &self,
        ask: &roseshore_wire::peer::PeerRequest,
    ) -> Option<roseshore_wire::peer::PeerReply>;
}

/// Takes records of a stream that came from a peer or the log.
pub trait RecordSink: Send + Sync {
    /// Takes records in any order, repeats and holes allowed.
    fn take(&self, records: &[roseshore_wire::platform::Record]);
}

/// Answers operators' questions about requests, for the whole system.
pub trait QueryHandler: Send + Sync {
    /// The rows, with the daemons that could not be asked.
    fn ask(&self, query: &roseshore_wire::query::Query) -> roseshore_wire::query::Reply;
}
