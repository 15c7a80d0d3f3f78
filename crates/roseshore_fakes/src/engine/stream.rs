//! The first stage of an answer: the stream to the router, and the faults on it.

use super::core::Core;
use super::faults::EngineFaults;
use super::link::{Loss, Sampled, Step};
use super::run::{Open, Run};
use super::text;
use crate::http::{self, LineWriter, Request};
use roseshore_core::prelude::*;
use roseshore_wire::engine::{Generate, Output};
use std::io;
use std::sync::Arc;
use std::thread;

/// The `Retry-After` time of a full engine.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The content type of a stream of JSON lines.
const NDJSON: &str = "application/x-ndjson";
/// The answer id of tokens that belong to another answer.
const OTHER_ANSWER: &str = "another-answer";

/// Handles `POST /v1/generate`.
pub(super) fn serve(core: &Arc<Core>, request: Request) {
    let trace = http::header(&request, "traceparent");
    let ask: Generate = match http::read_json(&request) {
        Ok(ask) => ask,
        Err(why) => return http::reply_text(request, 400, &why),
    };
    if let Some(after) = full(core, &ask) {
        return http::reply_after(request, 503, after, "full");
    }
    let open = Open { ask, index: 0 };
    if core.holding.check(&core.settings.target, &open).is_err() {
        return http::reply_json(request, 409, &core.holding.get());
    }
    core.stats.opened(trace.or_else(|| open.ask.trace.clone()));
    // A client that disconnected needs no reply; the work ends with the stream.
    let _ = stream(core, request, open);
}

fn full(core: &Core, ask: &Generate) -> Option<Duration> {
    if let Some(seconds) = core.faults.get().refuse {
        return Some(Duration::from_secs(seconds));
    }
    let tokens = ask.prompt.len() + ask.done.len();
    let busy = core.answers.running() >= core.settings.max_running;
    (busy || !core.kv.fits(tokens as u64)).then_some(FULL_RETRY_AFTER)
}

fn stream(core: &Arc<Core>, request: Request, open: Open) -> io::Result<()> {
    let mut sink = Sink {
        core: core.clone(),
        lines: LineWriter::start(request, NDJSON)?,
        answer: open.ask.answer.clone(),
        epoch: open.ask.epoch,
        sent: 0,
        held: None,
    };
    match generate(core, open, &mut sink)? {
        Ending::Whole { count, reason, cached } => sink.done(count, reason, cached),
        Ending::Lost(_) if core.has_ended() => Ok(()),
        Ending::Lost(loss) => sink.lost(loss),
        Ending::Cut => Ok(()),
    }
}

enum Ending {
    Whole { count: u32, reason: &'static str, cached: u32 },
    Lost(Loss),
    Cut,
}

fn generate(core: &Arc<Core>, open: Open, sink: &mut Sink) -> io::Result<Ending> {
    let (count, reason) = text::length(&open.ask.prompt, open.ask.max_tokens);
    let first = open.ask.done.len() as Position;
    let mut run = match Run::open(core, open, None) {
        Ok(run) => run,
        Err(loss) => return Ok(Ending::Lost(loss)),
    };
    let mut token = None;
    for position in first..count {
        let sampled = match run.step(Step { position, token, lineage: Vec::new() }) {
            Ok(sampled) => sampled,
            Err(loss) => return Ok(Ending::Lost(loss)),
        };
        token = Some(sampled.text.clone());
        if !sink.token(sampled)? {
            return Ok(Ending::Cut);
        }
    }
    let cached = run.cached();
    run.finish();
    Ok(Ending::Whole { count, reason, cached })
}

/// Writes the lines of a stream and applies the active faults.
struct Sink {
    core: Arc<Core>,
    lines: LineWriter,
    answer: RequestId,
    epoch: Epoch,
    sent: u32,
    held: Option<Output>,
}

impl Sink {
    /// Sends a token; returns `false` if the stream has to be cut.
    fn token(&mut self, sampled: Sampled) -> io::Result<bool> {
        let faults = self.core.faults.get();
        if faults.cut_after.is_some_and(|after| self.sent >= after) {
            return Ok(false);
        }
        thread::sleep(Duration::from_millis(faults.delay_ms));
        if faults.garble_after.is_some_and(|after| self.sent >= after) {
            self.lines.line(b"{\"type\":\"tok")?;
        }
        self.sent += 1;
        if faults.skip == Some(sampled.position) {
            return Ok(true);
        }
        self.write_strays(&faults, &sampled)?;
        let output = self.output(sampled);
        self.order(&faults, output)?;
        Ok(true)
    }

    fn write_strays(&mut self, faults: &EngineFaults, sampled: &Sampled) -> io::Result<()> {
        let stray = |answer: &str, epoch| Output::Token {
            answer: answer.to_owned(),
            epoch,
            position: sampled.position,
            text: "stray".to_owned(),
            lineage: sampled.lineage.clone(),
        };
        if faults.old_epoch {
            let old = stray(&self.answer, self.epoch.saturating_sub(1));
            self.write(&old)?;
        }
        if faults.crossed {
            self.write(&stray(OTHER_ANSWER, self.epoch))?;
        }
        Ok(())
    }

    fn output(&self, sampled: Sampled) -> Output {
        let Sampled { position, text, lineage } = sampled;
        let (answer, epoch) = (self.answer.clone(), self.epoch);
        Output::Token { answer, epoch, position, text, lineage }
    }

    fn order(&mut self, faults: &EngineFaults, output: Output) -> io::Result<()> {
        if faults.reorder && self.held.is_none() {
            self.held = Some(output);
            return Ok(());
        }
        self.write(&output)?;
        if faults.duplicate {
            self.write(&output)?;
        }
        self.release()
    }

    fn release(&mut self) -> io::Result<()> {
        self.held.take().map_or(Ok(()), |held| self.write(&held))
    }

    fn done(mut self, count: u32, reason: &str, cached: u32) -> io::Result<()> {
        self.release()?;
        let (answer, epoch) = (self.answer.clone(), self.epoch);
        self.write(&Output::Done { answer, epoch, count, reason: reason.to_owned(), cached })?;
        self.lines.end();
        Ok(())
    }

    fn lost(mut self, loss: Loss) -> io::Result<()> {
        self.release()?;
        let (answer, epoch) = (self.answer.clone(), self.epoch);
        let Loss { stage, reason } = loss;
        self.write(&Output::Lost { answer, epoch, stage, reason })?;
        self.lines.end();
        Ok(())
    }

    fn write(&mut self, output: &Output) -> io::Result<()> {
        self.lines.line(&serde_json::to_vec(output)?)
    }
}
