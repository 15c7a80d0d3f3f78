//! The operators' tool: a small query and command language over any entry host.
//!
//! [`cli`] is the language, [`client`] the way to the hosts, [`apply`] brings declarations in
//! force and [`ask`] shows what the system says. Everything yields a [`Done`]: text for people or
//! JSON for programs, and an [`Exit`] that scripts can rely on.

pub mod apply;
pub mod ask;
pub mod cli;
pub mod client;
pub mod keys;
mod show;

use clap::ArgMatches;
use client::Client;
use serde::Serialize;

/// What the process ends with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done; a command is accepted and in force everywhere.
    Good = 0,
    /// Rejected; nothing changed.
    Rejected = 1,
    /// The command line is wrong; nothing was asked.
    Usage = 2,
    /// Whether the command took effect is not known; ask again with its id, or look at the key.
    Unknown = 3,
    /// No entry host could be reached; nothing was asked.
    Unreachable = 4,
    /// Accepted, but not yet confirmed in every data centre.
    Unconfirmed = 5,
    /// Answered without the rows of hosts that could not be asked.
    Partial = 6,
}

/// What a command ends with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// How it went.
    pub exit: Exit,
    /// For standard output.
    pub out: String,
    /// For standard error.
    pub err: String,
}

impl Done {
    /// An end with text for people, or the value for programs.
    pub fn new(exit: Exit, json: bool, value: &impl Serialize, text: String) -> Done {
        let out = if json {
            let value = serde_json::to_string_pretty(value);
            value.unwrap_or_else(|err| format!("{{\"error\":\"{err}\"}}"))
        } else {
            text
        };
        Done { exit, out: out.trim_end().to_owned() + "\n", err: String::new() }
    }

    /// An end without a result.
    pub fn failed(exit: Exit, message: &str) -> Done {
        Done { exit, out: String::new(), err: format!("roseshore: {}\n", message.trim_end()) }
    }
}

/// Runs one command line.
pub fn run(matches: &ArgMatches, client: &dyn Client) -> Done {
    let scope = match cli::scope(matches) {
        Ok(scope) => scope,
        Err(message) => return Done::failed(Exit::Usage, &message),
    };
    match matches.subcommand() {
        Some(("apply", args)) => apply::run(client, &scope, args),
        Some(("command", args)) => apply::report(client, &scope, cli::text(args, "ID")),
        Some(("explain", args)) => ask::explain(client, &scope, cli::text(args, "REQUEST")),
        Some(("key", args)) => keys::look(client, &scope, args),
        Some(("settle", args)) => keys::settle(client, &scope, args),
        Some(("status", _)) => ask::status(client, &scope),
        Some(("drain", args)) => ask::drain(client, &scope, cli::text(args, "HOST")),
        Some((topic, args)) => ask::rows(client, &scope, topic, args),
        None => Done::failed(Exit::Usage, "name a command; see --help"),
    }
}
