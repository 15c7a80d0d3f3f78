//! Faults that an answer may meet, and the steps at which they are injected.

use crate::world::{State, TOTAL, World};
use roseshore_core::answer::lineage::Stamp;
use roseshore_core::answer::{AnswerSettings, Input, StreamLine};
use roseshore_core::prelude::*;

pub(crate) type Change = fn(&mut World);

pub(crate) struct Fault {
    pub(crate) name: &'static str,
    pub(crate) apply: Change,
}

pub(crate) struct Step {
    pub(crate) name: &'static str,
    pub(crate) reached: fn(&World) -> bool,
}

pub(crate) fn set(world: &mut World, range: usize, state: State) {
    let name = current(world, range);
    world.engine_mut(&name).state = state;
}

pub(crate) fn current(world: &World, range: usize) -> TargetId {
    world.route.get(range).map_or(format!("e{range}0"), |s| s.target.clone())
}

pub(crate) fn restart(world: &mut World, range: usize) {
    let name = current(world, range);
    world.engine_mut(&name).incarnation += 1;
}

/// Queues a token of the current route whose stamps were changed.
pub(crate) fn forge(world: &mut World, change: fn(&mut Vec<Stamp>)) {
    let position = world.delivered.len() as u32;
    let StreamLine::Token { mut lineage, .. } = world.token(world.epoch, position) else {
        return;
    };
    if lineage.is_empty() {
        return;
    }
    change(&mut lineage);
    let text = "forged".to_owned();
    world.push_line(world.epoch, StreamLine::Token { position, text, lineage });
}

pub(crate) fn push_line(world: &mut World, answer: &str, epoch: Epoch, line: StreamLine) {
    world.queue.push_back(Input::Line(answer.to_owned(), epoch, line));
}

pub(crate) fn done(count: u32) -> StreamLine {
    StreamLine::Done { count, reason: "stop".to_owned(), cached: 0 }
}

pub(crate) const FAULTS: &[Fault] = &[
    Fault { name: "first stage dies", apply: |w| set(w, 0, State::Dead) },
    Fault { name: "middle stage dies", apply: |w| set(w, 1, State::Dead) },
    Fault { name: "last stage dies", apply: |w| set(w, 2, State::Dead) },
    Fault { name: "first stage freezes", apply: |w| set(w, 0, State::Frozen) },
    Fault { name: "middle stage freezes", apply: |w| set(w, 1, State::Frozen) },
    Fault { name: "last stage freezes", apply: |w| set(w, 2, State::Frozen) },
    Fault { name: "first stage full", apply: |w| set(w, 0, State::Busy) },
    Fault { name: "first stage holds another version", apply: |w| set(w, 0, State::OtherVersion) },
    Fault { name: "first stage restarts", apply: |w| restart(w, 0) },
    Fault { name: "middle stage restarts", apply: |w| restart(w, 1) },
    Fault { name: "stream cut", apply: World::cut },
    Fault {
        name: "lost, stage unknown",
        apply: |w| w.push_line(w.epoch, StreamLine::Lost { stage: None }),
    },
    Fault { name: "layer skipped", apply: |w| forge(w, |l| drop(l.pop())) },
    Fault { name: "layer run twice", apply: |w| forge(w, |l| l[1].layers.0 -= 1) },
    Fault { name: "stages out of order", apply: |w| forge(w, |l| l.swap(0, 1)) },
    Fault { name: "another target ran", apply: |w| forge(w, |l| l[1].target.push('x')) },
    Fault { name: "another life ran", apply: |w| forge(w, |l| l[1].incarnation += 1) },
    Fault { name: "another version ran", apply: |w| forge(w, |l| l[2].version.push('x')) },
    Fault { name: "stamp of an old epoch", apply: |w| forge(w, |l| l[0].epoch = 0) },
    Fault {
        name: "token of an old epoch",
        apply: |w| forge_line(w, "own", w.epoch.wrapping_sub(1)),
    },
    Fault { name: "token of another answer", apply: |w| forge_line(w, "other", w.epoch) },
    Fault { name: "end of another answer", apply: |w| push_line(w, "other", w.epoch, done(0)) },
    Fault {
        name: "end of an old epoch",
        apply: |w| push_line(w, "own", w.epoch.wrapping_sub(1), done(0)),
    },
    Fault { name: "end with a hole", apply: |w| push_line(w, "own", w.epoch, done(TOTAL + 5)) },
    Fault {
        name: "end before what was delivered",
        apply: |w| {
            if let Some(count) = w.delivered.len().checked_sub(1) {
                push_line(w, "own", w.epoch, done(count as u32));
            }
        },
    },
    Fault {
        name: "token too far ahead",
        apply: |w| w.push_line(w.epoch, w.token(w.epoch, TOTAL + 40)),
    },
    Fault {
        name: "token delivered before",
        apply: |w| {
            if let Some(position) = w.delivered.len().checked_sub(1) {
                let mut token = w.token(w.epoch, position as u32);
                if let StreamLine::Token { text, .. } = &mut token {
                    "again".clone_into(text);
                }
                w.push_line(w.epoch, token);
            }
        },
    },
    Fault {
        name: "first stage leaves",
        apply: |w| {
            let target = current(w, 0);
            w.queue.push_back(Input::Leaving(target));
        },
    },
];

pub(crate) fn forge_line(world: &mut World, answer: &str, epoch: Epoch) {
    let position = world.delivered.len() as u32;
    let mut token = world.token(world.epoch, position);
    if let StreamLine::Token { text, .. } = &mut token {
        "forged".clone_into(text);
    }
    push_line(world, answer, epoch, token);
}

pub(crate) const STEPS: &[Step] = &[
    Step { name: "before open", reached: |_| true },
    Step { name: "opening", reached: |w| w.epoch == 1 },
    Step { name: "prefill", reached: |w| w.epoch == 1 && w.queue.is_empty() },
    Step { name: "first token", reached: |w| w.delivered.len() == 1 },
    Step { name: "middle token", reached: |w| w.delivered.len() == TOTAL as usize / 2 },
    Step { name: "last token", reached: |w| w.delivered.len() == TOTAL as usize },
];

/// When the second fault is injected: after the answer has changed to another route.
pub(crate) const SECOND_FAULT_STEPS: &[Step] = &[
    Step { name: "at the next open", reached: |w| w.epoch >= 2 },
    Step { name: "in the next prefill", reached: |w| w.epoch >= 2 && w.queue.is_empty() },
    Step {
        name: "after the next token",
        reached: |w| w.epoch >= 2 && w.delivered.last().is_some_and(|t| !t.ends_with("/1")),
    },
];

pub(crate) fn settings() -> AnswerSettings {
    AnswerSettings { window: 16, max_attempts: 6, ..AnswerSettings::default() }
}

/// Runs until a step is reached; `false` if the answer ended before.
pub(crate) fn run_until(world: &mut World, step: &Step) -> bool {
    while world.end.is_none() {
        if (step.reached)(world) {
            return true;
        }
        world.step();
    }
    false
}

pub(crate) fn assert_whole(world: &World, case: &str) {
    assert!(matches!(world.end, Some(Ok(_))), "{case}: {:?}", world.end);
    assert_eq!(world.delivered.len() as u32, TOTAL, "{case}");
}
