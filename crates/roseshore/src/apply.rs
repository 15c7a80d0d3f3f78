//! Submits declarations and reports an outcome as known only if it is certain.
//!
//! A command is sent to the hosts in order until one knows its outcome. This is safe, because a
//! command that is sent again with the same id is the same command. A command is reported as
//! rejected only if the fold rejected it, or if no host can have appended it to the log.

use crate::cli::{self, GlobalArgs};
use crate::client::{self, CallError, Client};
use crate::show;
use crate::{CommandOutput, ExitStatus};
use clap::ArgMatches;
use roseshore_core::config::{Command, FORMAT, Object, ObjectKey};
use roseshore_core::declare::{Diff, Source, diff, parse};
use roseshore_core::prelude::*;
use roseshore_wire::admin::{Config, Outcome, Report};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Timeout of requests that only read.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
/// How much longer a call may take than the time that the host is requested to wait.
const NETWORK_MARGIN: Duration = Duration::from_secs(5);

/// Runs `apply`.
pub fn run(client: &dyn Client, globals: &GlobalArgs, args: &ArgMatches) -> CommandOutput {
    let wait = match cli::parse_duration(cli::text(args, "wait")) {
        Ok(wait) => wait,
        Err(message) => return CommandOutput::failed(ExitStatus::Usage, &message),
    };
    let paths = args.get_many::<String>("PATH").unwrap_or_default();
    let sources = match sources(paths) {
        Ok(sources) => sources,
        Err(message) => return CommandOutput::failed(ExitStatus::Usage, &message),
    };
    let fleet = match parse(&sources) {
        Ok(fleet) => fleet,
        Err(problems) => {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            let message = format!("nothing was changed:\n{}", lines.join("\n"));
            return CommandOutput::failed(ExitStatus::Rejected, &message);
        }
    };
    let given = args.get_one::<String>("id");
    if let Some(report) = given.and_then(|id| find_decision(client, globals, id)) {
        return report_repeat(client, globals, report, &fleet, args);
    }
    let config: Config =
        match client::first_answer(client, &globals.hosts, "/v1/admin/config", None, QUERY_TIMEOUT)
        {
            Ok(config) => config,
            Err(message) => return CommandOutput::failed(ExitStatus::Unreachable, &message),
        };
    let diff = difference(&config, &fleet, args);
    if diff.changes.is_empty() || args.get_flag("dry-run") {
        return show::difference(&diff, globals.json);
    }
    let command = Command {
        format: FORMAT,
        id: given.cloned().unwrap_or_else(random_id),
        operator: cli::text(args, "operator").to_owned(),
        made_at: config.offset,
        changes: diff.changes,
    };
    show::report(&send(client, &globals.hosts, &command, wait), globals.json)
}

/// Runs `command ID`.
pub fn report(client: &dyn Client, globals: &GlobalArgs, id: &str) -> CommandOutput {
    if let Some(report) = find_decision(client, globals, id) {
        return show::report(&report, globals.json);
    }
    let path = command_path(id);
    match client::first_answer::<Report>(client, &globals.hosts, &path, None, QUERY_TIMEOUT) {
        Ok(report) => show::report(&report, globals.json),
        Err(message) => CommandOutput::failed(ExitStatus::Unreachable, &message),
    }
}

/// Queries the hosts in order for a final report on a command.
fn find_decision(client: &dyn Client, globals: &GlobalArgs, id: &str) -> Option<Report> {
    globals.hosts.iter().find_map(|host| fetch_decision(client, *host, id))
}

/// Queries one host for a final report on a command.
fn fetch_decision(client: &dyn Client, host: std::net::SocketAddr, id: &str) -> Option<Report> {
    let report: Report =
        client::first_answer(client, &[host], &command_path(id), None, QUERY_TIMEOUT).ok()?;
    is_final(&report.outcome).then_some(report)
}

fn command_path(id: &str) -> String {
    format!("/v1/admin/commands/{id}")
}

/// Whether the fold decided the command, so that no later copy of it can change the outcome.
fn is_final(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Accepted { .. } => true,
        Outcome::Rejected { reason, .. } => reason.is_some(),
        Outcome::Unknown { .. } => false,
    }
}

/// Sends a command to the hosts in order until one knows its outcome, and returns the report.
pub fn send(
    client: &dyn Client,
    hosts: &[std::net::SocketAddr],
    command: &Command,
    wait: Duration,
) -> Report {
    let body = serde_json::to_string(command).unwrap_or_default();
    let path = format!("/v1/admin/commands?wait_ms={}", wait.as_millis());
    let mut unsure = Vec::new();
    let mut rejection = None;
    let mut errors = Vec::new();
    for host in hosts {
        let answer = client.call(*host, &path, Some(body.clone()), wait + NETWORK_MARGIN);
        let report = match &answer {
            Ok(answer) if answer.status == 200 => answer.read::<Report>(),
            Ok(answer) if answer.status < 500 => {
                let why = answer.read::<Report>().err().unwrap_or_default();
                errors.push(format!("host `{host}`: {why}"));
                continue;
            }
            Ok(answer) => Err(answer.read::<Report>().err().unwrap_or_default()),
            Err(CallError::Unreached(why)) => {
                errors.push(format!("host `{host}`: {why}"));
                continue;
            }
            Err(CallError::Lost(why)) => Err(why.clone()),
        };
        match report {
            Ok(report) if is_final(&report.outcome) => return report,
            Ok(Report { outcome: Outcome::Unknown { message }, .. }) => unsure.push(message),
            Ok(report) => rejection = rejection.or(Some(report)),
            Err(why) => unsure.push(format!("host `{host}`: {why}")),
        }
    }
    if unsure.is_empty() {
        return rejection.unwrap_or_else(|| not_submitted(command, &errors));
    }
    let found = hosts.iter().find_map(|host| fetch_decision(client, *host, &command.id));
    found.unwrap_or_else(|| Report {
        command: command.id.clone(),
        outcome: Outcome::Unknown { message: unsure.join("; ") },
    })
}

/// The report if no host can have appended the command.
fn not_submitted(command: &Command, errors: &[String]) -> Report {
    let message = format!("no entry host took it: {}", errors.join("; "));
    let outcome = Outcome::Rejected { code: Code::LogUnreachable, reason: None, message };
    Report { command: command.id.clone(), outcome }
}

/// Reports a command that was decided before. If it was accepted but the files now differ from what
/// is in force, the exit status says that they were not applied.
fn report_repeat(
    client: &dyn Client,
    globals: &GlobalArgs,
    report: Report,
    fleet: &Fleet,
    args: &ArgMatches,
) -> CommandOutput {
    let mut done = show::report(&report, globals.json);
    let config =
        client::first_answer(client, &globals.hosts, "/v1/admin/config", None, QUERY_TIMEOUT);
    let differs = config.is_ok_and(|it| !difference(&it, fleet, args).changes.is_empty());
    if differs && matches!(report.outcome, Outcome::Accepted { .. }) {
        done.exit = ExitStatus::Rejected;
        done.err = "roseshore: this command was decided before, and the declarations now differ \
                    from what is in force; apply them with a new id\n"
            .into();
    }
    done
}

fn difference(config: &Config, fleet: &Fleet, args: &ArgMatches) -> Diff {
    let objects = config.objects.iter();
    let in_force: BTreeMap<ObjectKey, (Offset, Object)> =
        objects.map(|it| (it.key.clone(), (it.version, it.object.clone()))).collect();
    diff(&in_force, fleet, args.get_flag("prune"))
}

fn random_id() -> CommandId {
    format!("{:016x}", rand::random::<u64>())
}

/// Reads the files at the paths. A folder stands for its `*.toml` files, sorted by name.
fn sources<'a>(paths: impl Iterator<Item = &'a String>) -> Result<Vec<Source>, String> {
    let mut files = Vec::new();
    for path in paths.map(Path::new) {
        if path.is_dir() {
            files.extend(toml_files(path)?);
        } else {
            files.push(path.to_owned());
        }
    }
    files.iter().map(|it| source(it)).collect()
}

fn toml_files(path: &Path) -> Result<Vec<PathBuf>, String> {
    let fault = |err: std::io::Error| format!("folder `{}`: {err}", path.display());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(fault)? {
        let file = entry.map_err(fault)?.path();
        if file.extension().is_some_and(|it| it == "toml") {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(format!("folder `{}` has no `*.toml` file", path.display()));
    }
    Ok(files)
}

fn source(path: &Path) -> Result<Source, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|err| format!("file `{name}`: {err}"))?;
    Ok(Source { name, text })
}
