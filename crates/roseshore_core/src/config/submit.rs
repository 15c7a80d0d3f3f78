//! What an operator may be told of a command.
//!
//! An append whose reply is lost may have taken effect, now or later. Since a repeat of the id is
//! the same command, it is appended again until one reply names a place, and the fold up to there
//! decides. Only what the fold says is told as accepted or rejected; "nothing was appended" is
//! told only when no append was ever lost; everything else is unknown.

use super::state::{Decision, Reason, State, WINDOW};
use crate::code::Code;
use crate::ids::*;
use std::time::{Duration, Instant};

/// Refused or unreached appends that are tried before the command is given up.
const MAX_REFUSED: u32 = 4;
const PAUSE: Duration = Duration::from_millis(150);

/// How an append went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record lies at this offset.
    Appended(Offset),
    /// Certainly nothing was appended.
    Refused(String),
    /// Whether it was appended is not known.
    Lost(String),
}

/// What is known of a command in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It was accepted at this offset.
    Accepted(Offset),
    /// It changed nothing and never will; the reason if the fold decided so.
    Rejected(Code, Option<Reason>, String),
    /// Nobody here knows.
    Unknown(String),
}

/// What to do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append the record, then tell [`Submission::appended`].
    Append,
    /// Read the log on, then tell [`Submission::log_read`].
    Read,
    /// Wait until then.
    Wait(Instant),
    /// Tell the operator.
    Done(Settled),
}

/// One command on its way.
#[derive(Clone, Debug)]
pub struct Submission {
    id: CommandId,
    digest: u64,
    until: Instant,
    place: Option<Offset>,
    lost: bool,
    look: bool,
    refused: u32,
    rest: Instant,
    why: String,
}

impl Submission {
    /// A command whose record has this digest, to be settled by `until`.
    pub fn new(id: CommandId, digest: u64, now: Instant, until: Instant) -> Submission {
        Submission {
            id,
            digest,
            until,
            place: None,
            lost: false,
            look: false,
            refused: 0,
            rest: now,
            why: String::new(),
        }
    }

    /// What to do now.
    pub fn next(&self, now: Instant, state: &State) -> Step {
        if let Some(settled) = self.decided(state) {
            return Step::Done(settled);
        }
        if now >= self.until || (self.refused >= MAX_REFUSED && !self.lost) {
            return Step::Done(self.undecided());
        }
        if self.place.is_some() || self.look {
            return Step::Read;
        }
        if now < self.rest { Step::Wait(self.rest.min(self.until)) } else { Step::Append }
    }

    /// How the append went.
    pub fn appended(&mut self, now: Instant, outcome: AppendOutcome) {
        self.rest = now + PAUSE;
        match outcome {
            AppendOutcome::Appended(offset) => self.place = Some(offset),
            AppendOutcome::Refused(why) => {
                self.refused += 1;
                self.why = why;
            }
            AppendOutcome::Lost(why) => {
                self.lost = true;
                self.look = true;
                self.why = why;
            }
        }
    }

    /// The log was read on, or could not be.
    pub fn log_read(&mut self) {
        self.look = false;
    }

    fn decided(&self, state: &State) -> Option<Settled> {
        if let Some((offset, digest, decision)) = state.decision(&self.id) {
            return Some(settle(&self.id, offset, digest == self.digest, decision));
        }
        let place = self.place.filter(|it| *it < state.offset())?;
        if state.offset() - place > WINDOW {
            return Some(Settled::Unknown("it is no longer remembered".into()));
        }
        let message = "the record cannot be read as a command of this format".to_owned();
        Some(Settled::Rejected(Code::CommandInvalid, None, message))
    }

    fn undecided(&self) -> Settled {
        if let Some(place) = self.place {
            return Settled::Unknown(format!(
                "it lies at offset {place} of the log, which could not be read up to there in time"
            ));
        }
        if self.lost {
            return Settled::Unknown(format!("the log service's reply was lost: {}", self.why));
        }
        let why = if self.why.is_empty() { "no time was left" } else { &self.why };
        let message = format!("nothing was appended to the log: {why}");
        Settled::Rejected(Code::LogUnreachable, None, message)
    }
}

/// What a remembered verdict says to the sender of a record, the `same` as the remembered or not.
pub(super) fn settle(id: &str, offset: Offset, same: bool, decision: &Decision) -> Settled {
    if !same {
        let message = format!(
            "the id `{id}` belongs to another command, at offset {offset}; choose a new id"
        );
        let reason = Reason::Invalid { key: None, message: message.clone() };
        return Settled::Rejected(Code::CommandInvalid, Some(reason), message);
    }
    match decision {
        Decision::Accepted => Settled::Accepted(offset),
        Decision::Rejected(reason) => {
            let code = match reason {
                Reason::Conflict { .. } => Code::CommandConflict,
                Reason::Invalid { .. } => Code::CommandInvalid,
            };
            Settled::Rejected(code, Some(reason.clone()), reason.to_string())
        }
        Decision::TooOld => Settled::Unknown(format!(
            "the copy at offset {offset} is too old to be told from a first one and changed \
             nothing; an earlier copy may have been accepted: look at the difference"
        )),
    }
}

/// What is known of a command by its id alone.
impl State {
    /// The end of a remembered command.
    pub fn settled(&self, id: &str) -> Option<Settled> {
        self.decision(id).map(|(offset, _, decision)| settle(id, offset, true, decision))
    }
}
