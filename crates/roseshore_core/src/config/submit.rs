//! Decides how to append a command and what to report to its operator.
//!
//! An append whose reply is lost may have taken effect or may do so later. Records with the same id
//! are the same command, so the record is appended again until a reply states its offset, and the
//! fold up to that offset decides. "Accepted" and "rejected" are reported only from the fold,
//! "nothing was appended" only if no reply was ever lost, and otherwise the result is unknown.

use super::state::{Decision, Reason, State, WINDOW};
use crate::code::Code;
use crate::ids::*;
use std::time::{Duration, Instant};

/// Number of refused appends after which the command fails, unless a reply was lost.
const MAX_REFUSED: u32 = 4;
/// Delay before an append is repeated.
const APPEND_INTERVAL: Duration = Duration::from_millis(150);

/// Outcome of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Appended(Offset),
    /// The record was certainly not appended; the text is the error.
    Refused(String),
    /// Whether the record was appended is unknown; the text is the error.
    Lost(String),
}

/// Final result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The command was accepted at this offset.
    Accepted(Offset),
    /// The command has no effect and never will; the reason is present if the fold decided so.
    Rejected(Code, Option<Reason>, String),
    /// Whether the command takes effect is unknown; the text tells why.
    Unknown(String),
}

/// Next step of a [`Submission`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append the record, then call [`Submission::appended`].
    Append,
    /// Read and fold new records of the log, then call [`Submission::log_read`].
    Read,
    /// Wait until then.
    Wait(Instant),
    /// Report the result to the operator.
    Done(CommandResult),
}

/// Submission of one command.
#[derive(Clone, Debug)]
pub struct Submission {
    id: CommandId,
    digest: u64,
    until: Instant,
    appended_at: Option<Offset>,
    reply_lost: bool,
    must_read: bool,
    refused: u32,
    next_append: Instant,
    last_error: String,
}

impl Submission {
    /// Creates the submission of a command whose record has this digest; it ends by `until`.
    pub fn new(id: CommandId, digest: u64, now: Instant, until: Instant) -> Submission {
        Submission {
            id,
            digest,
            until,
            appended_at: None,
            reply_lost: false,
            must_read: false,
            refused: 0,
            next_append: now,
            last_error: String::new(),
        }
    }

    /// Returns the step for `now`.
    pub fn next(&self, now: Instant, state: &State) -> Step {
        if let Some(settled) = self.decided(state) {
            return Step::Done(settled);
        }
        if now >= self.until || (self.refused >= MAX_REFUSED && !self.reply_lost) {
            return Step::Done(self.undecided());
        }
        if self.appended_at.is_some() || self.must_read {
            return Step::Read;
        }
        if now < self.next_append {
            Step::Wait(self.next_append.min(self.until))
        } else {
            Step::Append
        }
    }

    /// Records the outcome of an append.
    pub fn appended(&mut self, now: Instant, outcome: AppendOutcome) {
        self.next_append = now + APPEND_INTERVAL;
        match outcome {
            AppendOutcome::Appended(offset) => self.appended_at = Some(offset),
            AppendOutcome::Refused(why) => {
                self.refused += 1;
                self.last_error = why;
            }
            AppendOutcome::Lost(why) => {
                self.reply_lost = true;
                self.must_read = true;
                self.last_error = why;
            }
        }
    }

    /// Records that new records of the log were read, or that reading failed.
    pub fn log_read(&mut self) {
        self.must_read = false;
    }

    fn decided(&self, state: &State) -> Option<CommandResult> {
        if let Some((offset, digest, decision)) = state.decision(&self.id) {
            return Some(outcome_of(&self.id, offset, digest == self.digest, decision));
        }
        let offset = self.appended_at.filter(|it| *it < state.offset())?;
        if state.offset() - offset > WINDOW {
            return Some(CommandResult::Unknown("it is no longer remembered".into()));
        }
        let message = "the record cannot be read as a command of this format".to_owned();
        Some(CommandResult::Rejected(Code::CommandInvalid, None, message))
    }

    fn undecided(&self) -> CommandResult {
        if let Some(offset) = self.appended_at {
            return CommandResult::Unknown(format!(
                "it lies at offset {offset} of the log, which could not be read up to there in time"
            ));
        }
        if self.reply_lost {
            return CommandResult::Unknown(format!(
                "the log service's reply was lost: {}",
                self.last_error
            ));
        }
        let why = if self.last_error.is_empty() { "no time was left" } else { &self.last_error };
        let message = format!("nothing was appended to the log: {why}");
        CommandResult::Rejected(Code::LogUnreachable, None, message)
    }
}

/// Returns the result for the sender of a record; `same` tells whether the record equals the one
/// that the decision was made on.
pub(super) fn outcome_of(
    id: &str,
    offset: Offset,
    same: bool,
    decision: &Decision,
) -> CommandResult {
    if !same {
        let message = format!(
            "the id `{id}` belongs to another command, at offset {offset}; choose a new id"
        );
        let reason = Reason::Invalid { key: None, message: message.clone() };
        return CommandResult::Rejected(Code::CommandInvalid, Some(reason), message);
    }
    match decision {
        Decision::Accepted => CommandResult::Accepted(offset),
        Decision::Rejected(reason) => {
            let code = match reason {
                Reason::Conflict { .. } => Code::CommandConflict,
                Reason::Invalid { .. } => Code::CommandInvalid,
            };
            CommandResult::Rejected(code, Some(reason.clone()), reason.to_string())
        }
        Decision::TooOld => CommandResult::Unknown(format!(
            "the copy at offset {offset} is too old to be told from a first one and changed \
             nothing; an earlier copy may have been accepted: look at the difference"
        )),
    }
}

/// Results of commands by id.
impl State {
    /// Returns the result of a remembered command; `None` if it is not remembered.
    pub fn command_result(&self, id: &str) -> Option<CommandResult> {
        self.decision(id).map(|(offset, _, decision)| outcome_of(id, offset, true, decision))
    }
}
