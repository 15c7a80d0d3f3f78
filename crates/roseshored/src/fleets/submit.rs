//! Appends operators' commands to the log and determines their outcome.

use super::FleetDriver;
use roseshore_core::config::{
    AppendOutcome, Command, CommandResult, Confirmation, Progress, Step, Submission, confirmation,
    record_digest,
};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{MemberState, Members};
use roseshore_ports::outside::CallError;

/// Longest wait of one read of the log.
const MAX_READ_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed read, and between checks whether a command is in force everywhere.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl FleetDriver {
    /// Appends a command and waits, at most to `until`, until it is accepted or rejected.
    pub fn submit(&self, command: &Command, until: Instant) -> CommandResult {
        let data = match serde_json::to_string(command) {
            Ok(data) => data,
            Err(err) => {
                return CommandResult::Rejected(Code::CommandInvalid, None, err.to_string());
            }
        };
        let id = command.id.clone();
        let mut submission = Submission::new(id, record_digest(&data), Instant::now(), until);
        loop {
            match self.inspect(|state| submission.next(Instant::now(), state)) {
                Step::Done(settled) => return settled,
                Step::Append => {
                    let outcome = self.append(&data);
                    submission.appended(Instant::now(), outcome);
                }
                Step::Read => {
                    let left = until.saturating_duration_since(Instant::now());
                    if self.read_log(left.min(MAX_READ_WAIT)).is_err() {
                        std::thread::sleep(RETRY_PAUSE.min(left));
                    }
                    submission.log_read();
                }
                Step::Wait(until) => {
                    std::thread::sleep(until.saturating_duration_since(Instant::now()));
                }
            }
        }
    }

    fn append(&self, data: &str) -> AppendOutcome {
        match self.log.append(roseshore_core::config::STREAM, &[data.to_owned()]) {
            Ok(offset) => AppendOutcome::Appended(offset),
            Err(err) if err.verdict() == Verdict::NotRun => AppendOutcome::Refused(message(&err)),
            Err(err) => AppendOutcome::Lost(message(&err)),
        }
    }

    /// In which data centres the command at `version` is in force, according to the offsets of all
    /// daemons.
    pub fn confirmation(&self, members: &dyn Members, version: Offset) -> Confirmation {
        let own = members.own();
        let mut progress: Vec<Progress> = members
            .all()
            .into_iter()
            .filter(|it| it.host != own.host && it.state != MemberState::Gone)
            .map(|it| Progress { data_centre: it.data_centre, offset: it.offset })
            .collect();
        let (offset, declared) = self.inspect(|it| {
            (it.offset(), it.fleet().data_centres.keys().cloned().collect::<Vec<_>>())
        });
        progress.push(Progress { data_centre: own.data_centre, offset });
        confirmation(version, &declared, &progress)
    }

    /// Waits, at most to `until`, until the command at `version` is in force in all data centres.
    pub fn wait_confirmed(
        &self,
        members: &dyn Members,
        version: Offset,
        until: Instant,
    ) -> Confirmation {
        loop {
            let confirmation = self.confirmation(members, version);
            if confirmation.unconfirmed.is_empty() || Instant::now() >= until {
                return confirmation;
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }
}

fn message(err: &CallError) -> String {
    err.to_string()
}
