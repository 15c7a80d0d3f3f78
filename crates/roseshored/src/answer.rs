//! One answer of a model, from its admission to its last token.
//!
//! The front gives the question and a [`Sink`]; what comes back is the whole answer or a refusal
//! that says whether it may have run. The sink is told of tokens in order, each once.

use crate::app::App;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Ask, Need};
use roseshore_ports::outside::{CallError, StreamItem};
use roseshore_wire::engine::{Generate, Output};

/// What is asked of a model.
#[derive(Clone, Debug)]
pub struct AnswerAsk {
    /// The model.
    pub model: ModelId,
    /// The version that every stage must hold.
    pub version: VersionId,
    /// The number of layers of the model.
    pub layers: Layer,
    /// The adapter.
    pub adapter: Option<AdapterId>,
    /// The prompt's tokens.
    pub prompt: Vec<String>,
    /// How many tokens the answer may have.
    pub max_tokens: u32,
    /// The W3C `traceparent` of the caller's span.
    pub trace: Option<String>,
}

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLeft;

/// Takes the tokens of one answer.
pub trait Sink {
    /// Asked right before the first byte goes to any target, and again before every re-route.
    ///
    /// # Errors
    /// The answer must not be sent; the refusal is its end.
    fn dispatch(&mut self) -> Result<(), Refusal> {
        Ok(())
    }

    /// Takes the next token; positions come in order without holes.
    ///
    /// # Errors
    /// The caller is gone and the work is to be cancelled.
    fn token(&mut self, position: Position, text: &str) -> Result<(), CallerLeft>;
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// The text: the tokens as they came, joined without anything between them.
    pub text: String,
    /// Tokens in the answer.
    pub count: u32,
    /// `stop` or `length`.
    pub reason: String,
    /// Prompt tokens that a prefix cache saved from prefill.
    pub cached: u32,
    /// Re-routes it took.
    pub resumed: u32,
}

/// Answers one question; a first version that takes one chain and gives up when it breaks.
///
/// # Errors
/// [`Verdict::NotRun`] only when no target took the answer.
pub fn run(app: &App, ask: &Ask, prompt: AnswerAsk, sink: &mut dyn Sink) -> Result<Whole, Refusal> {
    let need = Need {
        model: prompt.model.clone(),
        version: prompt.version.clone(),
        layers: prompt.layers,
        adapter: prompt.adapter.clone(),
        prefixes: Vec::new(),
        prompt: prompt.prompt.len() as u32,
        expected: prompt.max_tokens,
        avoid: Vec::new(),
    };
    let (chain, _permit) = app.router.chain(&need)?;
    let Some(first) = chain.stages.first() else {
        return Err(Refusal::not_run(Code::NoRoute, "no chain of targets covers every layer"));
    };
    let addr = first.addr;
    let generate = Generate {
        answer: ask.request.clone(),
        epoch: 1,
        route: chain.stages,
        model: prompt.model,
        version: prompt.version,
        adapter: prompt.adapter,
        prompt: prompt.prompt,
        done: Vec::new(),
        warm: false,
        max_tokens: prompt.max_tokens,
        priority: ask.priority,
        trace: prompt.trace,
    };
    sink.dispatch()?;
    let items = app.engine.generate(addr, &generate, ask.deadline).map_err(unopened)?;
    collect(&items, ask.deadline, sink)
}

fn collect(
    items: &flume::Receiver<StreamItem>,
    deadline: Instant,
    sink: &mut dyn Sink,
) -> Result<Whole, Refusal> {
    let mut text = String::new();
    loop {
        match items.recv_deadline(deadline) {
            Ok(StreamItem::Output(Output::Token { position, text: token, .. })) => {
                sink.token(position, &token).map_err(|CallerLeft| left())?;
                text.push_str(&token);
            }
            Ok(StreamItem::Output(Output::Done { count, reason, cached, .. })) => {
                return Ok(Whole { text, count, reason, cached, resumed: 0 });
            }
            Ok(StreamItem::Output(Output::Lost { reason, .. })) => return Err(lost(&reason)),
            Ok(StreamItem::Ended(_)) | Err(flume::RecvTimeoutError::Disconnected) => {
                return Err(lost("the stream was cut"));
            }
            Err(flume::RecvTimeoutError::Timeout) => {
                return Err(Refusal::may_have_run(Code::DeadlinePassed, "the deadline passed"));
            }
        }
    }
}

fn unopened(err: CallError) -> Refusal {
    let code = match &err {
        CallError::Unreached(_) => Code::TargetUnreachable,
        CallError::Refused(409, ..) => Code::TargetMismatch,
        CallError::Refused(..) => Code::TargetRefused,
        _ => Code::TargetLost,
    };
    let verdict = err.verdict();
    Refusal { verdict, code, message: err.to_string(), retry_after: None }
}

fn left() -> Refusal {
    Refusal::may_have_run(Code::TargetLost, "the caller left before the answer was whole")
}

fn lost(why: &str) -> Refusal {
    Refusal::may_have_run(Code::TargetLost, format!("the answer broke off: {why}"))
}
