//! Generation of one answer by a model, from admission to the last token.
//!
//! The caller passes the request and a [`TokenSink`], which receives each token once and in order. The
//! result is the complete answer, or a refusal that says whether the request may have run.
//!
//! All decisions are made by the state machine [`roseshore_core::answer::Answer`]. Its driver runs in
//! the caller's thread and never blocks on a target: calls that a frozen target could block run in a
//! bounded thread pool.

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

/// A request to a model.
#[derive(Clone, Debug)]
pub struct AnswerRequest {
    /// The model's id.
    pub model: ModelId,
    /// The version that every stage of the chain must hold.
    pub version: VersionId,
    /// Number of layers of the model.
    pub layers: Layer,
    /// The adapter to apply; `None` for the base model.
    pub adapter: Option<AdapterId>,
    /// The prompt's tokens.
    pub prompt: Vec<String>,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// The W3C `traceparent` of the caller's span.
    pub trace: Option<String>,
}

/// Error of a [`TokenSink`] whose caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLeft;

/// Receives the tokens of one answer.
pub trait TokenSink {
    /// Called right before the first byte is sent to any target, and again before every re-route.
    ///
    /// # Errors
    /// On a refusal nothing is sent, and the answer ends with it.
    fn dispatch(&mut self) -> Result<(), Refusal> {
        Ok(())
    }

    /// Receives the next token; positions start at 0 and have no gaps.
    ///
    /// # Errors
    /// [`CallerLeft`] cancels the work on every stage.
    fn token(&mut self, position: Position, text: &str) -> Result<(), CallerLeft>;
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedAnswer {
    /// The tokens, concatenated without separators.
    pub text: String,
    /// Number of tokens in the answer.
    pub token_count: u32,
    /// `stop` or `length`, as the engine reports it.
    pub finish_reason: String,
    /// Prompt tokens that were found in a prefix cache and needed no prefill.
    pub cached_tokens: u32,
    /// How often the answer moved to another chain.
    pub reroutes: u32,
}

/// Generates one answer, over several chains if stages fail, within the bounds of
/// [`AnswerSettings`].
///
/// # Errors
/// The refusal's verdict is [`Verdict::NotRun`] only if no target accepted the request.
pub fn run(
    app: &App,
    info: &RequestInfo,
    request: AnswerRequest,
    sink: &mut dyn TokenSink,
) -> Result<CompletedAnswer, Refusal> {
    let (router, engine) = (app.router.clone(), app.engine.clone());
    let deps = AnswerDeps {
        router,
        engine,
        budgets: app.budgets.clone(),
        settings: AnswerSettings::default(),
    };
    run_with(&deps, info, request, sink)
}

/// The daemon's components that an answer needs.
#[derive(Clone)]
pub struct AnswerDeps {
    /// Chooses the targets.
    pub router: Arc<dyn Router>,
    /// Client of the model engines.
    pub engine: Arc<dyn Engine>,
    /// Retry budgets of the services.
    pub budgets: Arc<Budgets>,
    /// Time-outs and limits.
    pub settings: AnswerSettings,
}

/// Like [`run`], with explicit dependencies.
///
/// # Errors
/// See [`run`].
pub fn run_with(
    deps: &AnswerDeps,
    info: &RequestInfo,
    request: AnswerRequest,
    sink: &mut dyn TokenSink,
) -> Result<CompletedAnswer, Refusal> {
    driver::Driver::new(deps, info, request, sink).run()
}
