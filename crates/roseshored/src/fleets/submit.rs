//! Bringing an operator's command to the log and learning what became of it.

use super::FleetDriver;
use roseshore_core::config::{
    AppendOutcome, Command, Confirmation, Progress, Settled, Step, Submission, confirmation,
    record_digest,
};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{MemberState, Members};
use roseshore_ports::outside::CallError;

/// The longest wait for one read of the log on the way.
const LOOK: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);

impl FleetDriver {
    /// Appends a command and waits until it is decided, or `until`.
    pub fn submit(&self, command: &Command, until: Instant) -> Settled {
        let data = match serde_json::to_string(command) {
            Ok(data) => data,
            Err(err) => {
                return Settled::Rejected(Code::CommandInvalid, None, err.to_string());
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
                    if self.read_log(left.min(LOOK)).is_err() {
                        std::thread::sleep(PAUSE.min(left));
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
            Err(err) if err.verdict() == Verdict::NotRun => AppendOutcome::Refused(told(&err)),
            Err(err) => AppendOutcome::Lost(told(&err)),
        }
    }

    /// Where the command at `version` is in force, by the progress of all daemons.
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

    /// Waits until a command is in force everywhere, or `until`.
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
            std::thread::sleep(PAUSE);
        }
    }
}

fn told(err: &CallError) -> String {
    err.to_string()
}
