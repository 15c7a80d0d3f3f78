//! The work of one answer on one stage: checks, KV cache, step time, stamps, and forwarding.

use super::core::Core;
use super::kv::KvScope;
use super::link::{Link, Loss, Sampled, Step};
use super::text::Sampler;
use roseshore_core::prelude::*;
use roseshore_wire::engine::{Generate, Stamp};
use serde::{Deserialize, Serialize};
use std::net::TcpStream;
use std::sync::Arc;

/// The message that opens an answer on a stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Open {
    /// The request of the router.
    pub(super) ask: Generate,
    /// The index of the receiving stage in the route.
    pub(super) index: u32,
}

/// The work of one answer on one stage.
pub(super) struct Run {
    core: Arc<Core>,
    open: Open,
    ticket: u64,
    scope: KvScope,
    generation: u64,
    next: Option<Link>,
    covered: usize,
    steps: u32,
    cached: u32,
}

/// The work that a step has to compute.
struct Work {
    digest: u64,
    prefill: usize,
}

impl Run {
    /// Checks that the stage can run the answer, and opens the following stages.
    ///
    /// # Errors
    /// The stage that cannot run it, and the reason.
    pub(super) fn open(
        core: &Arc<Core>,
        open: Open,
        upstream: Option<&TcpStream>,
    ) -> Result<Run, Loss> {
        let lost = |reason| Loss { stage: Some(core.settings.target.clone()), reason };
        let generation = core.holding.check(&core.settings.target, &open).map_err(lost)?;
        let ask = &open.ask;
        let ticket = core.answers.enter(&ask.answer, ask.epoch).map_err(lost)?;
        let scope = KvScope {
            answer: ask.answer.clone(),
            epoch: ask.epoch,
            layers: ask.route[open.index as usize].layers,
            version: ask.version.clone(),
        };
        let core = core.clone();
        let (covered, steps, cached, next) = (0, 0, 0, None);
        let mut run = Run { core, open, ticket, scope, generation, next, covered, steps, cached };
        if let Some(upstream) = upstream {
            run.core.answers.add_socket(ticket, upstream);
        }
        if run.open.index as usize + 1 < run.open.ask.route.len() {
            let link = Link::open(&run.core, &run.open)?;
            run.core.answers.add_socket(ticket, link.socket());
            run.next = Some(link);
        }
        Ok(run)
    }

    /// The number of prompt tokens found in the prefix cache.
    pub(super) fn cached(&self) -> u32 {
        self.cached
    }

    /// Runs one step on this stage and the following ones.
    ///
    /// # Errors
    /// The stage that failed, and the reason.
    pub(super) fn step(&mut self, mut step: Step) -> Result<Sampled, Loss> {
        self.core.trigger_faults(self.steps);
        self.check().map_err(|reason| self.lost(reason))?;
        let work = self.cover(&step).map_err(|reason| self.lost(reason))?;
        self.compute(work.prefill);
        self.check().map_err(|reason| self.lost(reason))?;
        self.core.stats.count(|stats| stats.steps += 1);
        self.steps += 1;
        step.lineage.push(self.stamp());
        let Some(link) = &mut self.next else { return Ok(self.sample(step, work.digest)) };
        self.core.work(self.core.settings.link_delay, || true);
        link.step(step)
    }

    /// Ends the work of a complete answer, whose KV cache is no longer needed.
    pub(super) fn finish(mut self) {
        if let Some(link) = &mut self.next {
            link.finish();
        }
        self.core.kv.free(&self.scope.answer, self.scope.epoch);
    }

    fn check(&self) -> Result<(), String> {
        if self.core.has_ended() {
            return Err("the engine ended".to_owned());
        }
        self.core.answers.wanted(&self.scope.answer, self.scope.epoch)?;
        self.core.holding.unchanged(self.generation)
    }

    fn cover(&mut self, step: &Step) -> Result<Work, String> {
        let ask = &self.open.ask;
        let Some(token) = &step.token else { return self.cover_first() };
        let position = ask.done.len() + self.steps as usize;
        if step.position as usize != position {
            return Err("the step is of another position".to_owned());
        }
        let digest = self.core.kv.push(&self.scope, self.covered, token)?;
        self.covered += 1;
        Ok(Work { digest, prefill: 0 })
    }

    fn cover_first(&mut self) -> Result<Work, String> {
        let ask = &self.open.ask;
        if self.steps > 0 {
            return Err("the step lacks its token".to_owned());
        }
        let sequence: Vec<String> = ask.prompt.iter().chain(&ask.done).cloned().collect();
        self.covered = sequence.len();
        if ask.warm {
            let (digest, _) = self.core.kv.adopt(&self.scope, &sequence)?;
            return Ok(Work { digest, prefill: 0 });
        }
        let lost = self.core.faults.get().cache_gap;
        self.cached = self.core.cache.enter(ask.adapter.as_ref(), &ask.prompt, lost);
        let digest = self.core.kv.fill(&self.scope, &sequence)?;
        Ok(Work { digest, prefill: sequence.len() - self.cached as usize })
    }

    fn compute(&self, prefill: usize) {
        let core = &self.core;
        let faults = core.faults.get();
        let wanted = || self.check().is_ok();
        let slot = core.slots.take(self.open.ask.priority);
        let seconds = prefill as f64 / core.settings.prefill_rate * factor(faults.prefill_slow);
        core.work(Duration::from_secs_f64(seconds), wanted);
        core.work(core.settings.step.mul_f64(factor(faults.slow)), wanted);
        drop(slot);
    }

    fn stamp(&self) -> Stamp {
        let mut layers = self.scope.layers;
        if self.core.faults.get().wrong_lineage {
            layers.0 += 1;
        }
        Stamp {
            target: self.core.settings.target.clone(),
            incarnation: self.core.settings.incarnation,
            layers,
            epoch: self.scope.epoch,
            version: self.scope.version.clone(),
        }
    }

    fn sample(&self, step: Step, digest: u64) -> Sampled {
        let ask = &self.open.ask;
        let adapter = ask.adapter.as_deref();
        let sampler = Sampler { model: &ask.model, version: &ask.version, adapter };
        let text = sampler.sample_after(digest, &step.lineage);
        Sampled { position: step.position, text, lineage: step.lineage }
    }

    fn lost(&self, reason: String) -> Loss {
        Loss { stage: Some(self.core.settings.target.clone()), reason }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.core.kv.mark_idle(&self.scope);
        self.core.answers.leave(self.ticket);
    }
}

fn factor(times: f64) -> f64 {
    if times > 0.0 { times } else { 1.0 }
}
