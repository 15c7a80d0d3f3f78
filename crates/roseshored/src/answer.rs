//! One answer of a model, from its admission to its last token.
//!
//! The front gives the question and a [`Sink`]; what comes back is the whole answer or a refusal
//! that says whether it may have run. The sink is told of tokens in order, each once.
//!
//! Decisions are [`roseshore_core::answer::Answer`]'s. Its driver runs in the caller's thread and
//! never waits for a target: whatever may be held up by a frozen one runs in a bounded pool.

mod calls;
mod driver;
mod pool;

use crate::app::App;
use crate::budgets::Budgets;
use roseshore_core::answer::AnswerSettings;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{RequestInfo, Router};
use roseshore_ports::outside::Engine;
use std::sync::Arc;

/// What is asked of a model.
#[derive(Clone, Debug)]
pub struct AnswerRequest {
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
pub struct CompletedAnswer {
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

/// Answers one question, over as many chains as it takes within the bounds of
/// [`roseshore_core::answer::Rules`].
///
/// # Errors
/// [`Verdict::NotRun`] only when no target took the answer.
pub fn run(
    app: &App,
    ask: &RequestInfo,
    prompt: AnswerRequest,
    sink: &mut dyn Sink,
) -> Result<CompletedAnswer, Refusal> {
    let (router, engine) = (app.router.clone(), app.engine.clone());
    let parts = AnswerDeps {
        router,
        engine,
        budgets: app.budgets.clone(),
        rules: AnswerSettings::default(),
    };
    run_with(&parts, ask, prompt, sink)
}

/// What an answer needs of the daemon.
#[derive(Clone)]
pub struct AnswerDeps {
    /// The choice of targets.
    pub router: Arc<dyn Router>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// What services may spend on retries.
    pub budgets: Arc<Budgets>,
    /// Bounds.
    pub rules: AnswerSettings,
}

/// [`run`] over given parts.
///
/// # Errors
/// As [`run`].
pub fn run_with(
    parts: &AnswerDeps,
    ask: &RequestInfo,
    prompt: AnswerRequest,
    sink: &mut dyn Sink,
) -> Result<CompletedAnswer, Refusal> {
    driver::Driver::new(parts, ask, prompt, sink).run()
}
