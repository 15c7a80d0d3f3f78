//! What goes into an answer's machine and what comes out.

use crate::answer::lineage::{LineageError, Stage, Stamp};
use crate::code::Code;
use crate::event::Event;
use crate::ids::*;
use crate::verdict::Refusal;
use std::fmt;
use std::time::{Duration, Instant};

/// What is to be answered.
#[derive(Clone, Debug)]
pub struct Job {
    /// The answer's id.
    pub answer: RequestId,
    /// The number of layers of the model.
    pub layers: Layer,
    /// The version of the weights.
    pub version: VersionId,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// How many tokens the whole answer may have.
    pub limit: u32,
    /// When the answer must be whole.
    pub deadline: Instant,
}

/// A chain that the router chose, with its predictions.
#[derive(Clone, Debug)]
pub struct Route {
    /// In order of layers.
    pub stages: Vec<Stage>,
    /// Predicted time to the next token, by a new prefill.
    pub first_token: Duration,
    /// Predicted time between tokens.
    pub token_interval: Duration,
}

/// Why opening or reading a stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFailure {
    /// Nothing was sent.
    Unreachable,
    /// It was sent, and no whole reply came.
    Lost,
    /// The engine said that nothing ran.
    Refused {
        /// The HTTP status.
        status: u16,
        /// When the engine wants to be asked again.
        after: Option<Duration>,
    },
    /// The reply broke the protocol.
    Malformed,
}

/// What a probe of a target showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered, in this life.
    Alive(Incarnation),
    /// It refused the connection.
    Dead,
    /// It did not answer in time.
    Silent,
}

/// One line of a stream.
#[derive(Clone, Debug)]
pub enum StreamLine {
    /// One token.
    Token {
        /// Which place.
        position: Position,
        /// The text.
        text: String,
        /// What ran, in order.
        lineage: Vec<Stamp>,
    },
    /// The answer is whole.
    Done {
        /// Tokens in the whole answer.
        count: u32,
        /// `stop` or `length`.
        reason: String,
        /// Prompt tokens that a prefix cache saved.
        cached: u32,
    },
    /// The answer cannot go on over this route.
    Lost {
        /// The stage that failed, if known.
        stage: Option<TargetId>,
    },
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// The router chose a chain.
    Chosen(Route),
    /// The router has no chain.
    NoChain(Refusal),
    /// No further attempt is allowed, whatever the router has.
    RetryDenied(Refusal),
    /// A stream's head has come.
    Opened(Epoch),
    /// A stream could not be opened.
    OpenFailed(Epoch, StreamFailure),
    /// A line came, with the answer and epoch that it names.
    Line(RequestId, Epoch, StreamLine),
    /// A stream ended; without a failure, the engine closed it in order.
    Ended(Epoch, Option<StreamFailure>),
    /// A probe of a stage came back.
    Probed(Epoch, TargetId, ProbeResult),
    /// A move of KV cache ended.
    Moved(Epoch, bool),
    /// A target is being taken away.
    Leaving(TargetId),
    /// The caller has left.
    CallerLeft,
    /// Time has passed.
    Tick,
}

/// One stage's KV cache to bring to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheMove {
    /// Where it is.
    pub from: Stage,
    /// Where it is to go.
    pub to: Stage,
}

/// The end of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finish {
    /// `stop` or `length`.
    pub reason: String,
    /// Prompt tokens that a prefix cache saved.
    pub cached: u32,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask the router for a chain without these targets.
    Route {
        /// Targets that failed this answer.
        avoid: Vec<TargetId>,
        /// Whether work of an earlier attempt is done again.
        retry: bool,
        /// Whether the retry must be paid for from the service's retry budget: nothing was proved
        /// to have failed, so that going on elsewhere may only add load to what is slow.
        charge_budget: bool,
    },
    /// Open a stream over [`crate::answer::Answer::stages`].
    Open {
        /// The number of the route.
        epoch: Epoch,
        /// Whether all stages hold the KV cache.
        warm: bool,
    },
    /// Stop reading the stream of this epoch.
    Close(Epoch),
    /// Give the caller the token at this position of [`crate::answer::Answer::tokens`].
    Deliver(Position),
    /// End the work on a stage, best effort.
    Cancel {
        /// Where.
        stage: Stage,
        /// This epoch and older ones.
        epoch: Epoch,
        /// Whether the KV cache is still wanted.
        keep_cache: bool,
    },
    /// Ask the stages of the route whether they live.
    Probe {
        /// The number of the route.
        epoch: Epoch,
        /// How long to wait for each.
        limit: Duration,
    },
    /// Stop the old work, bring KV caches over, and report once with [`Input::Moved`].
    Move {
        /// The number of the new route.
        epoch: Epoch,
        /// The caches.
        moves: Vec<CacheMove>,
        /// How long all may take.
        limit: Duration,
    },
    /// Tell the router that a target failed.
    Failed(TargetId),
    /// Log a line of the catalogue.
    Log(Event, String),
    /// The answer is whole.
    Finish(Finish),
    /// The answer is given up.
    Refuse(Refusal),
}

/// Why a route was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The first stage was not reached.
    Unreachable,
    /// The first stage refused.
    Refused,
    /// A stage holds something else than the route says.
    Mismatch,
    /// The first stage is full.
    Busy,
    /// The stream ended before the answer.
    Cut,
    /// Nothing came for too long.
    Silent,
    /// A probe found a stage dead.
    Dead,
    /// A probe found a stage in another life.
    Restarted,
    /// The engine lost a stage.
    StageLost,
    /// A token did not pass every layer once and in order.
    Lineage(LineageError),
    /// Tokens came further ahead than the window reaches.
    Overflow,
    /// The stream's lines contradict each other or the protocol.
    Malformed,
    /// A target is being taken away.
    Leaving,
}

impl Cause {
    /// The code of a refusal for this cause, when nothing ran.
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
