//! Shows idempotency keys, and settles keys for which no host can tell whether they ran.

use crate::cli::{self, GlobalArgs};
use crate::client::{self, Answer, CallError, Client};
use crate::show;
use crate::{CommandOutput, ExitStatus};
use clap::ArgMatches;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use roseshore_core::prelude::*;
use roseshore_wire::admin::{KeyReport, KeyState, Settle, Settled};

/// Timeout of a call. The host itself waits up to 10 s for the log.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs `key`.
pub fn show_key(client: &dyn Client, globals: &GlobalArgs, args: &ArgMatches) -> CommandOutput {
    let part = |name| cli::text(args, name);
    let path = key_path(part("ORGANISATION"), part("SERVICE"), part("KEY"));
    match client::first_answer::<KeyReport>(client, &globals.hosts, &path, None, TIMEOUT) {
        Ok(report) => {
            let exit = if report.current { ExitStatus::Success } else { ExitStatus::Unknown };
            CommandOutput::new(exit, globals.json, &report, show::key(&report))
        }
        Err(message) => CommandOutput::failed(ExitStatus::Unreachable, &message),
    }
}

/// Runs `settle`.
pub fn settle(client: &dyn Client, globals: &GlobalArgs, args: &ArgMatches) -> CommandOutput {
    let part = |name| cli::text(args, name).to_owned();
    let settle = Settle {
        organisation: part("ORGANISATION"),
        service: part("SERVICE"),
        key: part("KEY"),
        ran: args.get_flag("ran"),
        note: part("note"),
        operator: part("operator"),
    };
    match send(client, globals, &settle) {
        Ok(settled) => show::settled(&settle, &settled, globals.json),
        Err(message) => CommandOutput::failed(ExitStatus::Unreachable, &message),
    }
}

/// Sends the decision to the first host that can be reached. If its reply is lost, reads the key to
/// find out whether the decision was recorded.
fn send(client: &dyn Client, globals: &GlobalArgs, settle: &Settle) -> Result<Settled, String> {
    let body = serde_json::to_string(settle).unwrap_or_default();
    let mut errors = Vec::new();
    let mut rejected = None;
    for host in &globals.hosts {
        match client.call(*host, "/v1/admin/keys/settle", Some(body.clone()), TIMEOUT) {
            Err(err @ CallError::Unreached(_)) => errors.push(format!("host `{host}`: {err}")),
            Err(CallError::Lost(why)) => return Ok(check_recorded(client, globals, settle, why)),
            Ok(answer) => match interpret(client, globals, settle, &answer) {
                settled if was_not_sent(&settled) => rejected = Some(settled),
                settled => return Ok(settled),
            },
        }
    }
    rejected.ok_or_else(|| errors.join("\n"))
}

/// Whether the host failed before it sent anything to the log, so that another host may succeed.
fn was_not_sent(settled: &Settled) -> bool {
    matches!(settled, Settled::Rejected { code: Code::LogUnreachable | Code::Internal, .. })
}

/// Interprets a host's answer, and reads the key if the answer leaves the outcome unknown.
fn interpret(
    client: &dyn Client,
    globals: &GlobalArgs,
    settle: &Settle,
    answer: &Answer,
) -> Settled {
    match answer.read() {
        Ok(Settled::Unknown { message }) => check_recorded(client, globals, settle, message),
        Ok(settled) => settled,
        // A host that refuses the request has not sent anything to the log.
        Err(message) if (400..500).contains(&answer.status) => {
            Settled::Rejected { code: Code::CommandInvalid, message }
        }
        Err(message) => check_recorded(client, globals, settle, message),
    }
}

/// Reads the key from a host to find out whether the decision was recorded.
fn check_recorded(
    client: &dyn Client,
    globals: &GlobalArgs,
    settle: &Settle,
    why: String,
) -> Settled {
    let path = key_path(&settle.organisation, &settle.service, &settle.key);
    let report = client::first_answer::<KeyReport>(client, &globals.hosts, &path, None, TIMEOUT);
    let recorded_at = report.ok().and_then(|report| recorded_at(settle, &report));
    recorded_at.map_or(Settled::Unknown { message: why }, |offset| Settled::Taken { offset })
}

/// Returns the offset of the decision, if it was recorded and still determines the key's state.
fn recorded_at(settle: &Settle, report: &KeyReport) -> Option<Offset> {
    let word = report.word.as_ref()?;
    let same =
        (&word.operator, &word.note, word.ran) == (&settle.operator, &settle.note, settle.ran);
    let holds = match report.state {
        KeyState::Ran => settle.ran,
        KeyState::Free => !settle.ran,
        _ => false,
    };
    (same && holds).then_some(word.offset)
}

fn key_path(organisation: &str, service: &str, key: &str) -> String {
    let encode = |text| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
    let (organisation, service, key) = (encode(organisation), encode(service), encode(key));
    format!("/v1/admin/keys?organisation={organisation}&service={service}&key={key}")
}
