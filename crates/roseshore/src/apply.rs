//! Bringing declarations in force, with a report that is never wrong.
//!
//! A command is sent to one host after the other until one knows what became of it; that is
//! harmless, since a repeat of its id is the same command. "Nothing changed" is said only when the
//! fold decided so, or when no host may have brought the command to the log.

use crate::cli::{self, Scope};
use crate::client::{self, CallError, Client};
use crate::show;
use crate::{Done, Exit};
use clap::ArgMatches;
use roseshore_core::config::{Command, FORMAT, Object, ObjectKey};
use roseshore_core::declare::{Diff, Source, diff, parse};
use roseshore_core::prelude::*;
use roseshore_wire::admin::{Config, Outcome, Report};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const QUICK: Duration = Duration::from_secs(5);
/// What a host may take beyond the wait that it is asked for.
const MARGIN: Duration = Duration::from_secs(5);

/// Runs `apply`.
pub fn run(client: &dyn Client, scope: &Scope, args: &ArgMatches) -> Done {
    let wait = match cli::duration(cli::text(args, "wait")) {
        Ok(wait) => wait,
        Err(message) => return Done::failed(Exit::Usage, &message),
    };
    let paths = args.get_many::<String>("PATH").unwrap_or_default();
    let sources = match sources(paths) {
        Ok(sources) => sources,
        Err(message) => return Done::failed(Exit::Usage, &message),
    };
    let fleet = match parse(&sources) {
        Ok(fleet) => fleet,
        Err(mistakes) => {
            let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
            let message = format!("nothing was changed:\n{}", lines.join("\n"));
            return Done::failed(Exit::Rejected, &message);
        }
    };
    let given = args.get_one::<String>("id");
    if let Some(known) = given.and_then(|id| decided(client, scope, id)) {
        return again(client, scope, known, &fleet, args);
    }
    let config: Config = match client::first(client, &scope.hosts, "/v1/admin/config", None, QUICK)
    {
        Ok(config) => config,
        Err(message) => return Done::failed(Exit::Unreachable, &message),
    };
    let diff = difference(&config, &fleet, args);
    if diff.changes.is_empty() || args.get_flag("dry-run") {
        return show::difference(&diff, scope.json);
    }
    let command = Command {
        format: FORMAT,
        id: given.cloned().unwrap_or_else(random_id),
        operator: cli::text(args, "operator").to_owned(),
        made_at: config.offset,
        changes: diff.changes,
    };
    show::report(&send(client, &scope.hosts, &command, wait), scope.json)
}

/// Runs `command ID`.
pub fn report(client: &dyn Client, scope: &Scope, id: &str) -> Done {
    if let Some(report) = decided(client, scope, id) {
        return show::report(&report, scope.json);
    }
    let path = path_of(id);
    match client::first::<Report>(client, &scope.hosts, &path, None, QUICK) {
        Ok(report) => show::report(&report, scope.json),
        Err(message) => Done::failed(Exit::Unreachable, &message),
    }
}

/// What a host knows for certain of a command.
fn decided(client: &dyn Client, scope: &Scope, id: &str) -> Option<Report> {
    scope.hosts.iter().find_map(|host| known(client, *host, id))
}

fn known(client: &dyn Client, host: std::net::SocketAddr, id: &str) -> Option<Report> {
    let report: Report = client::first(client, &[host], &path_of(id), None, QUICK).ok()?;
    is_final(&report.outcome).then_some(report)
}

fn path_of(id: &str) -> String {
    format!("/v1/admin/commands/{id}")
}

/// Whether the fold decided, so that no later copy can change it.
fn is_final(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Accepted { .. } => true,
        Outcome::Rejected { reason, .. } => reason.is_some(),
        Outcome::Unknown { .. } => false,
    }
}

/// Sends a command until a host knows what became of it.
pub fn send(
    client: &dyn Client,
    hosts: &[std::net::SocketAddr],
    command: &Command,
    wait: Duration,
) -> Report {
    let body = serde_json::to_string(command).unwrap_or_default();
    let path = format!("/v1/admin/commands?wait_ms={}", wait.as_millis());
    let mut open = Vec::new();
    let mut refused = None;
    let mut faults = Vec::new();
    for host in hosts {
        let answer = client.call(*host, &path, Some(body.clone()), wait + MARGIN);
        let report = match &answer {
            Ok(answer) if answer.status == 200 => answer.read::<Report>(),
            Ok(answer) if answer.status < 500 => {
                let why = answer.read::<Report>().err().unwrap_or_default();
                faults.push(format!("host `{host}`: {why}"));
                continue;
            }
            Ok(answer) => Err(answer.read::<Report>().err().unwrap_or_default()),
            Err(CallError::Unreached(why)) => {
                faults.push(format!("host `{host}`: {why}"));
                continue;
            }
            Err(CallError::Lost(why)) => Err(why.clone()),
        };
        match report {
            Ok(report) if is_final(&report.outcome) => return report,
            Ok(Report { outcome: Outcome::Unknown { message }, .. }) => open.push(message),
            Ok(report) => refused = refused.or(Some(report)),
            Err(why) => open.push(format!("host `{host}`: {why}")),
        }
    }
    if open.is_empty() {
        return refused.unwrap_or_else(|| nothing(command, &faults));
    }
    let found = hosts.iter().find_map(|host| known(client, *host, &command.id));
    found.unwrap_or_else(|| Report {
        command: command.id.clone(),
        outcome: Outcome::Unknown { message: open.join("; ") },
    })
}

fn nothing(command: &Command, faults: &[String]) -> Report {
    let message = format!("no entry host took it: {}", faults.join("; "));
    let outcome = Outcome::Rejected { code: Code::LogUnreachable, reason: None, message };
    Report { command: command.id.clone(), outcome }
}

/// The id is known already: its report stands, but the files may say something else by now.
fn again(
    client: &dyn Client,
    scope: &Scope,
    known: Report,
    fleet: &Fleet,
    args: &ArgMatches,
) -> Done {
    let mut done = show::report(&known, scope.json);
    let config = client::first(client, &scope.hosts, "/v1/admin/config", None, QUICK);
    let differs = config.is_ok_and(|it| !difference(&it, fleet, args).changes.is_empty());
    if differs && matches!(known.outcome, Outcome::Accepted { .. }) {
        done.exit = Exit::Rejected;
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

/// The files at the paths; of a folder its `*.toml`, in order of name.
fn sources<'a>(paths: impl Iterator<Item = &'a String>) -> Result<Vec<Source>, String> {
    let mut files = Vec::new();
    for path in paths.map(Path::new) {
        if path.is_dir() {
            files.extend(folder(path)?);
        } else {
            files.push(path.to_owned());
        }
    }
    files.iter().map(|it| source(it)).collect()
}

fn folder(path: &Path) -> Result<Vec<PathBuf>, String> {
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
