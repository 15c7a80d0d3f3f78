//! Looking at keys of unrepeatable work, and settling one that nobody else can.

use crate::cli::{self, Scope};
use crate::client::{self, Answer, CallError, Client};
use crate::show;
use crate::{Done, Exit};
use clap::ArgMatches;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use roseshore_core::prelude::*;
use roseshore_wire::admin::{KeyReport, KeyState, Settle, Settled};

/// How long a host may take; it waits for the log for 10 s itself.
const LIMIT: Duration = Duration::from_secs(20);

/// Runs `key`.
pub fn look(client: &dyn Client, scope: &Scope, args: &ArgMatches) -> Done {
    let part = |name| cli::text(args, name);
    let path = path_of(part("ORGANISATION"), part("SERVICE"), part("KEY"));
    match client::first::<KeyReport>(client, &scope.hosts, &path, None, LIMIT) {
        Ok(report) => {
            let exit = if report.current { Exit::Good } else { Exit::Unknown };
            Done::new(exit, scope.json, &report, show::key(&report))
        }
        Err(message) => Done::failed(Exit::Unreachable, &message),
    }
}

/// Runs `settle`.
pub fn settle(client: &dyn Client, scope: &Scope, args: &ArgMatches) -> Done {
    let part = |name| cli::text(args, name).to_owned();
    let settle = Settle {
        organisation: part("ORGANISATION"),
        service: part("SERVICE"),
        key: part("KEY"),
        ran: args.get_flag("ran"),
        note: part("note"),
        operator: part("operator"),
    };
    match send(client, scope, &settle) {
        Ok(settled) => show::settled(&settle, &settled, scope.json),
        Err(message) => Done::failed(Exit::Unreachable, &message),
    }
}

/// Sends a word to the first host that can be reached; a lost reply is made up for by looking.
fn send(client: &dyn Client, scope: &Scope, settle: &Settle) -> Result<Settled, String> {
    let body = serde_json::to_string(settle).unwrap_or_default();
    let mut faults = Vec::new();
    let mut rejected = None;
    for host in &scope.hosts {
        match client.call(*host, "/v1/admin/keys/settle", Some(body.clone()), LIMIT) {
            Err(err @ CallError::Unreached(_)) => faults.push(format!("host `{host}`: {err}")),
            Err(CallError::Lost(why)) => return Ok(looked(client, scope, settle, why)),
            Ok(answer) => match read(client, scope, settle, &answer) {
                settled if is_local(&settled) => rejected = Some(settled),
                settled => return Ok(settled),
            },
        }
    }
    rejected.ok_or_else(|| faults.join("\n"))
}

/// Whether another host may do better: this one sent nothing.
fn is_local(settled: &Settled) -> bool {
    matches!(settled, Settled::Rejected { code: Code::LogUnreachable | Code::Internal, .. })
}

fn read(client: &dyn Client, scope: &Scope, settle: &Settle, answer: &Answer) -> Settled {
    match answer.read() {
        Ok(Settled::Unknown { message }) => looked(client, scope, settle, message),
        Ok(settled) => settled,
        // A host that cannot read the command has sent nothing.
        Err(message) if (400..500).contains(&answer.status) => {
            Settled::Rejected { code: Code::CommandInvalid, message }
        }
        Err(message) => looked(client, scope, settle, message),
    }
}

/// Whether the word took effect after all, by what a host reads in the log.
fn looked(client: &dyn Client, scope: &Scope, settle: &Settle, why: String) -> Settled {
    let path = path_of(&settle.organisation, &settle.service, &settle.key);
    let report = client::first::<KeyReport>(client, &scope.hosts, &path, None, LIMIT);
    let taken = report.ok().and_then(|report| taken(settle, &report));
    taken.map_or(Settled::Unknown { message: why }, |offset| Settled::Taken { offset })
}

/// Where the word stands, if it stands for the key's state as it is now.
fn taken(settle: &Settle, report: &KeyReport) -> Option<Offset> {
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

fn path_of(organisation: &str, service: &str, key: &str) -> String {
    let code = |text| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
    let (organisation, service, key) = (code(organisation), code(service), code(key));
    format!("/v1/admin/keys?organisation={organisation}&service={service}&key={key}")
}
