//! The operators' command-line tool, which queries and configures a fleet through any entry host.
//!
//! [`cli`] defines the command line and [`client`] calls the entry hosts. [`apply`] submits
//! declarations, [`query`] runs read-only queries and drains daemons, and [`keys`] inspects and
//! settles idempotency keys. Each command returns a [`CommandOutput`] with text or JSON and an
//! [`ExitStatus`] that scripts can rely on.

pub mod apply;
pub mod cli;
pub mod client;
pub mod keys;
pub mod query;
mod show;

use clap::ArgMatches;
use client::Client;
use serde::Serialize;

/// Exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Success. A submitted command was accepted and is in force everywhere.
    Success = 0,
    /// The command was rejected. Nothing changed.
    Rejected = 1,
    /// The command line is invalid. No request was sent.
    Usage = 2,
    /// It is unknown whether the command took effect. Query it by its id, or show the key.
    Unknown = 3,
    /// No entry host could be reached. No request was sent.
    Unreachable = 4,
    /// The command was accepted, but not every data centre has confirmed it yet.
    Unconfirmed = 5,
    /// The result lacks the rows of hosts that could not be queried.
    Partial = 6,
}

/// The result of a command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit status of the process.
    pub exit: ExitStatus,
    /// Text for standard output.
    pub out: String,
    /// Text for standard error.
    pub err: String,
}

impl CommandOutput {
    /// Creates a result that prints `value` as JSON if `json` is set, and `text` otherwise.
    pub fn new(
        exit: ExitStatus,
        json: bool,
        value: &impl Serialize,
        text: String,
    ) -> CommandOutput {
        let out = if json {
            let value = serde_json::to_string_pretty(value);
            value.unwrap_or_else(|err| format!("{{\"error\":\"{err}\"}}"))
        } else {
            text
        };
        CommandOutput { exit, out: out.trim_end().to_owned() + "\n", err: String::new() }
    }

    /// Creates a result that prints only an error message.
    pub fn failed(exit: ExitStatus, message: &str) -> CommandOutput {
        CommandOutput {
            exit,
            out: String::new(),
            err: format!("roseshore: {}\n", message.trim_end()),
        }
    }
}

/// Runs a parsed command line.
pub fn run(matches: &ArgMatches, client: &dyn Client) -> CommandOutput {
    let globals = match cli::global_args(matches) {
        Ok(globals) => globals,
        Err(message) => return CommandOutput::failed(ExitStatus::Usage, &message),
    };
    match matches.subcommand() {
        Some(("apply", args)) => apply::run(client, &globals, args),
        Some(("command", args)) => apply::report(client, &globals, cli::text(args, "ID")),
        Some(("explain", args)) => query::explain(client, &globals, cli::text(args, "REQUEST")),
        Some(("key", args)) => keys::show_key(client, &globals, args),
        Some(("settle", args)) => keys::settle(client, &globals, args),
        Some(("status", _)) => query::status(client, &globals),
        Some(("drain", args)) => query::drain(client, &globals, cli::text(args, "HOST")),
        Some((topic, args)) => query::rows(client, &globals, topic, args),
        None => CommandOutput::failed(ExitStatus::Usage, "name a command; see --help"),
    }
}
