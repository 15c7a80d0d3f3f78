//! Inputs and actions of an answer's state machine.

use crate::answer::lineage::{LineageError, Stage, Stamp};
use crate::code::Code;
use crate::event::Event;
use crate::ids::*;
use crate::verdict::Refusal;
use std::fmt;
use std::time::{Duration, Instant};

/// What an answer is to compute, and its limits.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request that is answered.
    pub answer: RequestId,
    /// Number of layers of the model.
    pub layers: Layer,
    /// Version of the weights.
    pub version: VersionId,
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Upper bound on the number of tokens in the answer.
    pub limit: u32,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

/// A chain chosen by the router, with its predicted times.
#[derive(Clone, Debug)]
pub struct Route {
    /// Stages, in order of layers.
    pub stages: Vec<Stage>,
    /// Predicted time to the next token if the chain prefills from scratch.
    pub first_token: Duration,
    /// Predicted time between two tokens.
    pub token_interval: Duration,
}

/// Why a stream could not be opened or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFailure {
    /// The connection failed; no request was sent.
    Unreachable,
    /// The request was sent, but no complete reply came back.
    Lost,
    /// The engine replied that it ran nothing.
    Refused {
        /// HTTP status of the reply.
        status: u16,
        /// Wait that the engine asks for before the next attempt.
        after: Option<Duration>,
    },
    /// The reply violated the protocol.
    Malformed,
}

/// Result of a liveness probe of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered, and reported this incarnation.
    Alive(Incarnation),
    /// It refused the connection.
    Dead,
    /// It did not answer within the limit.
    Silent,
}

/// One line of an engine's stream.
#[derive(Clone, Debug)]
pub enum StreamLine {
    /// One token.
    Token {
        /// Index of the token in the answer.
        position: Position,
        /// The token's text.
        text: String,
        /// Stamps of the stages that ran, in order of layers.
        lineage: Vec<Stamp>,
    },
    /// The answer is complete.
    Done {
        /// Number of tokens in the complete answer.
        count: u32,
        /// `stop` or `length`.
        reason: String,
        /// Number of prompt tokens found in a prefix cache.
        cached: u32,
    },
    /// The answer cannot continue on this route.
    Lost {
        /// The stage that failed, if known.
        stage: Option<TargetId>,
    },
}

/// An event for the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// The router chose a chain.
    Chosen(Route),
    /// The router found no chain.
    NoChain(Refusal),
    /// No further attempt is allowed, whether or not a chain exists.
    RetryDenied(Refusal),
    /// The head of a stream arrived.
    Opened(Epoch),
    /// A stream could not be opened.
    OpenFailed(Epoch, StreamFailure),
    /// A stream line arrived, with the answer and the epoch that it names.
    Line(RequestId, Epoch, StreamLine),
    /// A stream ended; `None` when the engine closed it cleanly.
    Ended(Epoch, Option<StreamFailure>),
    /// The probe of a stage returned.
    Probed(Epoch, TargetId, ProbeResult),
    /// A transfer of KV caches ended; `true` when all of them arrived.
    Moved(Epoch, bool),
    /// A target is being withdrawn from service.
    Leaving(TargetId),
    /// The caller disconnected.
    CallerLeft,
    /// The time that [`crate::answer::Answer::next_tick`] gave has come.
    Tick,
}

/// One stage's KV cache to copy to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheMove {
    /// The stage that has the cache.
    pub from: Stage,
    /// The stage that needs it.
    pub to: Stage,
}

/// How a complete answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finish {
    /// `stop` or `length`.
    pub reason: String,
    /// Number of prompt tokens found in a prefix cache.
    pub cached: u32,
}

/// An action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask the router for a chain that excludes these targets.
    Route {
        /// Targets that failed, or may have failed, for this answer.
        avoid: Vec<TargetId>,
        /// Whether work of an earlier attempt is repeated.
        retry: bool,
        /// Whether the retry is charged to the service's retry budget. It is when no target was
        /// proved to have failed: continuing elsewhere may then only add load to targets that are
        /// slow.
        charge_budget: bool,
    },
    /// Open a stream over the stages in [`crate::answer::Answer::stages`].
    Open {
        /// Epoch of the route.
        epoch: Epoch,
        /// Whether every stage already holds the KV cache.
        warm: bool,
    },
    /// Stop reading the stream of this epoch.
    Close(Epoch),
    /// Send the caller the token at this index of [`crate::answer::Answer::tokens`].
    Deliver(Position),
    /// Cancel the work on a stage, best effort.
    Cancel {
        /// The stage on which the work runs.
        stage: Stage,
        /// Cancels the work of this epoch and of older ones.
        epoch: Epoch,
        /// Whether the stage keeps its KV cache for the next route.
        keep_cache: bool,
    },
    /// Probe the stages of the route for liveness.
    Probe {
        /// Epoch of the route.
        epoch: Epoch,
        /// Time limit of each probe.
        limit: Duration,
    },
    /// Stop the work of the old route, transfer KV caches, and report once with [`Input::Moved`].
    Move {
        /// Epoch of the new route.
        epoch: Epoch,
        /// The caches to transfer.
        moves: Vec<CacheMove>,
        /// Time limit for all transfers together.
        limit: Duration,
    },
    /// Tell the router that a target failed.
    Failed(TargetId),
    /// Log an event of the catalogue with this text.
    Log(Event, String),
    /// Finish the complete answer.
    Finish(Finish),
    /// Give the answer up with this refusal.
    Refuse(Refusal),
}

/// Why a route was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The first stage could not be connected to.
    Unreachable,
    /// The first stage refused the request.
    Refused,
    /// A stage holds another version, adapter or layer range than the route requires.
    Mismatch,
    /// The queue of the first stage is full.
    Busy,
    /// The stream ended before the answer was complete.
    Cut,
    /// Nothing arrived within the timeout.
    Silent,
    /// A probe was refused the connection to a stage.
    Dead,
    /// A probe found another incarnation on a stage.
    Restarted,
    /// The engine reported that it lost a stage.
    StageLost,
    /// A token did not pass through every layer once and in order.
    Lineage(LineageError),
    /// A token was further ahead than the reorder buffer holds.
    Overflow,
    /// The stream's lines contradict each other or violate the protocol.
    Malformed,
    /// A target is being withdrawn from service.
    Leaving,
}

impl Cause {
    /// Code of the refusal that this cause leads to if nothing ran.
    pub fn code(self) -> Code {
        match self {
            Cause::Unreachable => Code::TargetUnreachable,
            Cause::Refused => Code::TargetRefused,
            Cause::Mismatch => Code::TargetMismatch,
            Cause::Busy => Code::QueueFull,
            Cause::Lineage(_) | Cause::Overflow | Cause::Malformed => Code::TargetGarbled,
            _ => Code::TargetLost,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Unreachable => f.write_str("not reached"),
            Cause::Refused => f.write_str("refused"),
            Cause::Mismatch => f.write_str("holds another version, adapter or layer range"),
            Cause::Busy => f.write_str("full"),
            Cause::Cut => f.write_str("stream cut"),
            Cause::Silent => f.write_str("silent"),
            Cause::Dead => f.write_str("dead"),
            Cause::Restarted => f.write_str("restarted"),
            Cause::StageLost => f.write_str("lost by the engine"),
            Cause::Lineage(broken) => write!(f, "lineage: {broken}"),
            Cause::Overflow => f.write_str("tokens too far ahead"),
            Cause::Malformed => f.write_str("broke the protocol"),
            Cause::Leaving => f.write_str("leaving"),
        }
    }
}
